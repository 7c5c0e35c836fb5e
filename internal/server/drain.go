package server

import "time"

const (
	// stopAcceptingBefore is the time before the stop at which the server stops accepting connections, even if the
	// grace lasts longer.
	stopAcceptingBefore = 400 * time.Millisecond
	// exitBefore is the time before the stop from which the drain no longer waits for peers to read their answers and
	// to close their connections.
	exitBefore = 40 * time.Millisecond
	// maxLateness is the time by which a busy machine may delay the reading of the signal and the end of the process.
	maxLateness     = 65 * time.Millisecond
	drainPollPeriod = 5 * time.Millisecond // between checks whether the drain is complete
	// The platform may kill the process after killDelay plus the longest deadline of its routes, counted from the
	// signal, regardless of the configured stop. A deadline counts for maxKillDeadline at most.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
)

// drain is the state of the graceful shutdown. Times are by the clock of rounds.
type drain struct {
	startedAt       time.Duration // 0 before the drain
	stopAcceptingAt time.Duration // time from which connections are not accepted
	stopAt          time.Duration // time by which all requests must be answered
	notAccepting    bool
}

func (d *drain) started() bool { return d.startedAt > 0 }

// Drain starts the graceful shutdown, which ends within the given time. The time counts from the call, not from the
// next round. Any goroutine may call it.
func (s *Server) Drain(within time.Duration) {
	calledAt := s.Now()
	s.Submit(func() { s.startDrain(calledAt, within) })
}

// startDrain starts the drain. Further calls have no effect.
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

// earliestKill returns the earliest time after Drain at which the platform may kill the process: killDelay plus the
// longest route deadline, which counts for maxKillDeadline at most.
func (s *Server) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, route := range s.tables.routes {
		longest = max(longest, route.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// advanceDrain advances the drain, and reports whether it is done. From stopAcceptingAt on, connections are not
// accepted, as a request that arrives after the grace does not run. The drain is done once all requests are answered,
// all answers are written (written), peers have closed their connections, and no input is left. In the last exitBefore
// before the stop it does not wait for peers, and at the stop it is done in any case.
func (s *Server) advanceDrain(now time.Duration, written bool) (done bool) {
	if !s.drain.started() || now < s.drain.stopAcceptingAt {
		return false
	}
	open := 0
	for _, f := range s.frontends {
		if !s.drain.notAccepting {
			f.StopAccepting()
		}
		open += f.OpenConnections()
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
	// A router that neither reads nor closes must not keep the process alive until it is killed.
	complete := unanswered == 0 && (written && open == 0 || now >= s.drain.stopAt-exitBefore)
	if now < s.drain.stopAt && (!complete || !s.inputDrained()) {
		return false
	}
	s.log.Info("drain complete", "connections", open, "stopped_runs", len(s.requests.byID), "before_stop", s.drain.stopAt-now)
	return true
}

// inputDrained reports whether no input is left to accept or read. A process that ends resets the connections that it
// has not accepted, and those with unread bytes: a request on them would be lost, and so would answers already sent on
// them.
func (s *Server) inputDrained() bool {
	for _, f := range s.frontends {
		if !f.InputDrained() {
			return false
		}
	}
	return s.inboxEmpty()
}
