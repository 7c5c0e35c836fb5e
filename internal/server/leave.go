package server

import "time"

// Leave takes the notice to leave.
func (s *Server) Leave(within time.Duration) {
	if s.noticed > 0 {
		return
	}
	now := s.Now()
	s.noticed, s.stop = now, now+within-noticeDelay
	grace, _ := s.terms.Values["grace"].(time.Duration)
	s.retire = max(now, min(now+grace, s.stop-lastOrders))
	s.round.StopAt = s.stop
	s.touched = true
	s.log.Info("notice to leave", "stop_in", within, "no_more_connections_in", s.retire-now, "tasks", len(s.tasks))
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
			f.Retire()
		}
		open += f.Open()
	}
	if !s.retired {
		s.retired = true
		s.log.Info("no more connections", "open", open, "tasks", len(s.tasks))
		return false
	}
	unanswered := 0
	for _, t := range s.tasks {
		if !t.answered {
			unanswered++
		}
	}
	// A router that neither reads nor closes must not keep the process until it is killed.
	done := unanswered == 0 && written && open == 0
	last := unanswered == 0 && now >= s.stop-lastMoment
	s.counts.That(unanswered == 0 || now < s.stop, "the stop came with tasks unanswered")
	if !done && !last && now < s.stop {
		return false
	}
	s.log.Info("left", "connections", open, "stopped_runs", len(s.tasks), "before_stop", s.stop-now)
	return true
}
