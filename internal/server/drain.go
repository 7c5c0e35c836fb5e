package server

import "time"

const (
	// stopAcceptingBefore is how long before the stop no connection is accepted any more, even if the grace lasts longer.
	stopAcceptingBefore = 400 * time.Millisecond
	// exitBefore is how long before the stop the process ends, even if peers do not read or close.
	exitBefore = 40 * time.Millisecond
	// maxLateness is by how much the process may be late in reading the signal and in ending, on a busy machine.
	maxLateness     = 65 * time.Millisecond
	drainPollPeriod = 5 * time.Millisecond // between checks whether the drain is complete
	// The platform may kill the process killDelay and the longest deadline of its routes after the signal, whatever stop the
	// configuration states; a deadline counts for maxKillDeadline at most.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
)

// drain is the graceful shutdown. Times are by the clock of rounds.
type drain struct {
	startedAt       time.Duration // 0 before it
	stopAcceptingAt time.Duration // from when connections are no longer accepted
	stopAt          time.Duration // when all has to be answered
	notAccepting    bool
}

func (d *drain) started() bool { return d.startedAt > 0 }

// Drain starts the graceful shutdown, which ends within the given time. Any goroutine may call it; the time runs from here,
// not from the loop's next turn.
func (s *Server) Drain(within time.Duration) {
	calledAt := s.Now()
	s.Submit(func() { s.startDrain(calledAt, within) })
}

// startDrain starts the drain. A second call changes nothing: the time runs from the first.
func (s *Server) startDrain(calledAt, within time.Duration) {
	if s.drain.started() {
		return
	}
	now := min(calledAt, s.Now())
	if s.limits.EarlyKill {
		within = min(within, s.earliestKill())
	}
	stopAt := now + within - maxLateness
	s.drain = drain{
		startedAt:       now,
		stopAt:          stopAt,
		stopAcceptingAt: max(now, min(now+s.settings.Admission.Grace, stopAt-stopAcceptingBefore)),
	}
	s.round.StopAt, s.round.NotifiedAt = s.drain.stopAt, s.drain.startedAt
	s.round.pending = true
	s.log.Info("drain started", "stop_in", within, "no_more_connections_in", s.drain.stopAcceptingAt-now, "requests", len(s.requests.byID))
}

// earliestKill is the earliest time after Drain at which the platform may kill the process: the longest deadline, 3 s at
// most, and 0.7 s.
func (s *Server) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, route := range s.tables.routes {
		longest = max(longest, route.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// advanceDrain goes through the drain: connections are no longer accepted once nothing that arrives would run; then the
// process ends as soon as all is answered and read by its caller, or at the stop. written is whether peers have read all.
func (s *Server) advanceDrain(now time.Duration, written bool) (done bool) {
	if !s.drain.started() || now < s.drain.stopAcceptingAt {
		return false
	}
	open := 0
	for _, f := range s.frontends {
		if !s.drain.notAccepting {
			f.StopAccepting()
		}
		open += f.Open()
	}
	if !s.drain.notAccepting {
		s.drain.notAccepting = true
		s.log.Info("stopped accepting connections", "open", open, "requests", len(s.requests.byID))
		return false
	}
	unanswered := 0
	for _, request := range s.requests.byID {
		if !request.answered {
			unanswered++
		}
	}
	s.counters.Assert(unanswered == 0 || now < s.drain.stopAt, "the stop came with requests unanswered")
	// A router that neither reads nor closes must not keep the process until it is killed.
	complete := unanswered == 0 && (written && open == 0 || now >= s.drain.stopAt-exitBefore)
	if now < s.drain.stopAt && (!complete || !s.inputDrained()) {
		return false
	}
	s.log.Info("drain complete", "connections", open, "stopped_runs", len(s.requests.byID), "before_stop", s.drain.stopAt-now)
	return true
}

// inputDrained is whether nothing waits to be accepted or read. A process that ends resets the connections that it has not
// accepted, and those with bytes that it has not read: a request on them would be lost, and answers sent with it.
func (s *Server) inputDrained() bool {
	for _, f := range s.frontends {
		if !f.Quiet() {
			return false
		}
	}
	return s.nothingSubmitted()
}
