package server

import "time"

// deepCheck is one in the pool's hands.
type deepCheck struct {
	caller Caller
	stream uint32
	nonce  uint64
	until  time.Duration
}

// CheckHealth answers a health check as the module last decided, or from the worker pool where it wants that.
func (s *Server) CheckHealth(c Caller, stream uint32, deep bool) {
	if !deep || s.fromStore || !s.good {
		c.ReportHealth(stream, s.good, s.level)
		return
	}
	s.checkNonce++
	if len(s.checks) >= maxChecks {
		c.ReportHealth(stream, false, s.level)
		return
	}
	s.link.Verify(s.checkNonce) // without a link it is asked for as soon as there is one
	s.checks = append(s.checks, deepCheck{c, stream, s.checkNonce, s.Now() + verifyWait})
}

// dueChecks answers deep checks that the pool has left without an answer for too long.
func (s *Server) dueChecks(now time.Duration) {
	left := s.checks[:0]
	for _, c := range s.checks {
		if now < c.until {
			left = append(left, c)
			continue
		}
		c.caller.ReportHealth(c.stream, false, s.level)
	}
	s.checks = left
}
