package server

import "time"

// Drain takes the notice to leave, from any goroutine. The time to the stop runs from here, not from the owner's turn.
func (s *Server) Drain(within time.Duration) {
	came := s.Now()
	s.Submit(func() { s.leave(came, within) })
}

// leave begins to go. A second notice changes nothing: the time runs from the first.
func (s *Server) leave(came, within time.Duration) {
	if s.noticed > 0 {
		return
	}
	now := min(came, s.Now())
	if s.limits.EarlyKill {
		within = min(within, s.earliestKill())
	}
	s.noticed, s.stop = now, now+within-noticeDelay
	grace := s.settings.Admission.Grace
	s.retire = max(now, min(now+grace, s.stop-lastOrders))
	s.round.StopAt, s.round.NotifiedAt = s.stop, s.noticed
	s.touched = true
	s.log.Info("notice to leave", "stop_in", within, "no_more_connections_in", s.retire-now, "tasks", len(s.requests))
}

const (
	maxKillDeadline = 3 * time.Second        // the longest deadline counts for no more
	killDelay       = 700 * time.Millisecond // behind that
)

// earliestKill is the earliest time after the notice at which the process may be killed, by the platform's terms: the
// longest deadline, 3 s at most, and 0.7 s.
func (s *Server) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, route := range s.routes {
		longest = max(longest, route.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// leaving goes through the end: no more connections once nothing that comes would be run, then the end
// itself as soon as all is answered and read by its caller, or at the last moment.
func (s *Server) leaving(now time.Duration, written bool) (left bool) {
	if s.noticed == 0 || now < s.retire {
		return false
	}
	open := 0
	for _, f := range s.fronts {
		if !s.retired {
			f.StopAccepting()
		}
		open += f.Open()
	}
	if !s.retired {
		s.retired = true
		s.log.Info("no more connections", "open", open, "tasks", len(s.requests))
		return false
	}
	unanswered := 0
	for _, request := range s.requests {
		if !request.answered {
			unanswered++
		}
	}
	s.counts.Assert(unanswered == 0 || now < s.stop, "the stop came with tasks unanswered")
	// A router that neither reads nor closes must not keep the process until it is killed.
	over := unanswered == 0 && (written && open == 0 || now >= s.stop-lastMoment)
	if now < s.stop && !(over && s.quiet()) {
		return false
	}
	s.log.Info("left", "connections", open, "stopped_runs", len(s.requests), "before_stop", s.stop-now)
	return true
}

// quiet tells whether nothing that came waits to be taken or read. A process that ends resets the connections that it
// has not taken, and those with bytes that it has not read: a task on them would be lost, and answers sent with it.
func (s *Server) quiet() bool {
	for _, f := range s.fronts {
		if !f.Quiet() {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.posted) == 0
}
