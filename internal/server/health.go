package server

import "time"

const (
	verifyTimeout = time.Second // after which a deep check without an answer counts as failed
	maxChecks     = 8           // deep checks that wait for the workers' answer at the same time
)

// health is the state from which health checks are answered.
type health struct {
	healthy        bool
	withoutWorkers bool // deep checks, too, are answered with healthy, without asking the workers
	checks         []deepCheck
	lastNonce      uint64
}

// deepCheck is a health check that the workers are to answer.
type deepCheck struct {
	caller   Caller
	stream   uint32
	nonce    uint64
	deadline time.Duration
}

// CheckHealth answers a health check with the health that the controller last set. A deep check of a healthy server is
// passed on to the workers, unless SetHealth has ruled that out; it fails at once if maxChecks are pending.
func (s *Server) CheckHealth(c Caller, stream uint32, deep bool) {
	h := &s.health
	if !deep || h.withoutWorkers || !h.healthy {
		c.ReportHealth(stream, h.healthy, s.shedLevel.text)
		return
	}
	h.lastNonce++
	if len(h.checks) >= maxChecks {
		c.ReportHealth(stream, false, s.shedLevel.text)
		return
	}
	s.link.Verify(h.lastNonce) // without a link it is sent once there is one
	h.checks = append(h.checks, deepCheck{c, stream, h.lastNonce, s.Now() + verifyTimeout})
}

// finishCheck answers a deep check with the workers' answer.
func (s *Server) finishCheck(nonce uint64, healthy bool) {
	for i, c := range s.health.checks {
		if c.nonce == nonce {
			s.health.checks = append(s.health.checks[:i], s.health.checks[i+1:]...)
			c.caller.ReportHealth(c.stream, healthy, s.shedLevel.text)
			return
		}
	}
}

// expireChecks answers as failed the deep checks that the workers have not answered in time.
func (s *Server) expireChecks(now time.Duration) {
	remaining := s.health.checks[:0]
	for _, c := range s.health.checks {
		if now < c.deadline {
			remaining = append(remaining, c)
			continue
		}
		c.caller.ReportHealth(c.stream, false, s.shedLevel.text)
	}
	s.health.checks = remaining
}
