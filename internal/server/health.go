package server

import "time"

const (
	verifyTimeout = time.Second // until a deep check without an answer counts as failed
	maxChecks     = 8           // deep checks that the workers have at once
)

// health is what health checks are answered with.
type health struct {
	healthy   bool
	fromStore bool // the controller wants checks answered by healthy alone, also deep ones
	checks    []deepCheck
	lastNonce uint64
}

// deepCheck is a check that the workers are to answer.
type deepCheck struct {
	caller   Caller
	stream   uint32
	nonce    uint64
	deadline time.Duration
}

// CheckHealth answers a health check as the controller last decided; a deep one is answered by the workers where it decided
// that.
func (s *Server) CheckHealth(c Caller, stream uint32, deep bool) {
	h := &s.health
	if !deep || h.fromStore || !h.healthy {
		c.ReportHealth(stream, h.healthy, s.shedLevel.text)
		return
	}
	h.lastNonce++
	if len(h.checks) >= maxChecks {
		c.ReportHealth(stream, false, s.shedLevel.text)
		return
	}
	s.link.Verify(h.lastNonce) // without a link it is sent as soon as there is one
	h.checks = append(h.checks, deepCheck{c, stream, h.lastNonce, s.Now() + verifyTimeout})
}

// finishCheck answers the deep check that the workers have answered.
func (s *Server) finishCheck(nonce uint64, healthy bool) {
	for i, c := range s.health.checks {
		if c.nonce == nonce {
			s.health.checks = append(s.health.checks[:i], s.health.checks[i+1:]...)
			c.caller.ReportHealth(c.stream, healthy, s.shedLevel.text)
			return
		}
	}
}

// expireChecks fails deep checks that the workers have not answered in time.
func (s *Server) expireChecks(now time.Duration) {
	left := s.health.checks[:0]
	for _, c := range s.health.checks {
		if now < c.deadline {
			left = append(left, c)
			continue
		}
		c.caller.ReportHealth(c.stream, false, s.shedLevel.text)
	}
	s.health.checks = left
}
