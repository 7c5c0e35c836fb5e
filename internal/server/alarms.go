package server

import (
	"time"

	"quartzpoint/admission"
)

const (
	gaugeTimeout = 5 * time.Millisecond // maximum wait of an alarm's round for the workers' gauges
	maxAlarms    = 8                    // pending at the same time
)

// polls holds the controller's alarms, and the state of the polls of the workers' gauges that they cause.
type polls struct {
	alarms   []time.Duration
	nonce    uint64        // of the poll that an alarm's round waits for, 0 without one
	deadline time.Duration // when the alarm's round takes place without an answer
	ready    bool          // the alarm's round need not wait any longer
	answered uint64        // nonce of the last poll that was answered
	gauges   admission.Gauges
	readAt   time.Duration // when the gauges were received, 0 before the first
}

// WakeAfter sets an alarm. The controller must set at most one new alarm for each that fires, as their number would
// otherwise grow without bound; alarms beyond maxAlarms are dropped.
func (s *Server) WakeAfter(delay time.Duration) {
	s.counters.Assert(len(s.polls.alarms) < maxAlarms, "too many alarms")
	if len(s.polls.alarms) < maxAlarms {
		s.polls.alarms = append(s.polls.alarms, s.Now()+delay)
	}
}

// runAlarms polls the workers' gauges when an alarm is due. The alarm's round waits at most gaugeTimeout for them, and
// then uses the last gauges received, as answers that are due must not depend on the workers.
func (s *Server) runAlarms(now time.Duration) {
	remaining := s.polls.alarms[:0]
	fired := false
	for _, at := range s.polls.alarms {
		if at <= now {
			fired = true
		} else {
			remaining = append(remaining, at)
		}
	}
	s.polls.alarms = remaining
	if fired && s.polls.nonce == 0 {
		if nonce, sent := s.link.Poll(); sent {
			s.polls.nonce, s.polls.deadline = nonce, now+gaugeTimeout
		} else {
			s.polls.ready = true
		}
	}
	if s.polls.nonce > 0 && now >= s.polls.deadline {
		s.counters.Count("gauges late, round on the last ones")
		s.polls.ready = true
	}
	if s.polls.ready {
		s.polls.nonce, s.polls.ready = 0, false
		s.round.Gauges, s.round.GaugesAge = &s.polls.gauges, now-s.polls.readAt
		s.round.pending = true
	}
}
