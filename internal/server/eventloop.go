package server

import (
	"log/slog"
	"runtime"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

const (
	maxPasses     = 4           // passes over the input per round
	maxIdlePeriod = time.Second // between two rounds
	// slowRound is the duration from which a round is logged as slow: half of the time by which answers are sent before
	// their deadlines.
	slowRound = 25 * time.Millisecond
)

// round collects the input of the controller's next decision, and the work that is left once it has decided.
type round struct {
	admission.Round
	pending    bool                 // there is input to decide on
	duplicates []*admission.Request // answered from their originals in this round
	composites []*admission.Request // started in this round, and consisting of calls
	notStarted []*Request           // that the composer did not accept
}

// Ended returns a channel that is closed when Run has returned.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Run runs the event loop until the server has drained.
func (s *Server) Run() {
	defer close(s.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var firesAt time.Duration // when timer fires next
	s.decide(s.Now())         // the first round is empty: in it the controller sets its health and its first alarm
	for {
		began := s.Now()
		s.detectStall(began)
		s.clock.timestamps.Observe(s.clock.wallOffset())
		s.readInput(began + maxReadTime)
		s.applyTableChanges()
		now := s.Now()
		s.runAlarms(now)
		s.monitorOccupancy(now)
		s.expireChecks(now)
		s.runMaintenance(now)
		// A process that was suspended past stopAt has had no round in which the controller could answer the remaining
		// requests.
		needsDecision := s.round.pending || s.drain.started() && now >= s.drain.stopAt
		arrived := len(s.round.Arrived)
		if needsDecision {
			s.decide(now)
		}
		decided := s.Now()
		written := s.flush()
		ended := s.Now()
		if needsDecision {
			s.recordRound(roundTimes{began: began, read: now, decided: decided, written: ended}, arrived)
		}
		if s.advanceDrain(now, written) {
			return
		}
		// Resetting the timer costs as much as an idle round, so it is reset only if it has fired or must fire earlier.
		// A round that begins too early has nothing to do.
		if next := s.nextTimer(ended); next < firesAt || firesAt <= ended {
			firesAt = next
			timer.Reset(max(next-ended, 0))
		}
		if s.wait(timer) {
			firesAt = 0
		}
	}
}

// roundTimes holds the time at which a round began, and those at which its parts ended.
type roundTimes struct {
	began, read, decided, written time.Duration
}

// longestPart returns the name of the part that took longest.
func (times roundTimes) longestPart() string {
	reading, deciding, writing := times.read-times.began, times.decided-times.read, times.written-times.decided
	switch {
	case reading >= max(deciding, writing):
		return "reading"
	case deciding >= writing:
		return "deciding"
	default:
		return "writing"
	}
}

// recordRound reports the duration of a round to observeRound, and logs a round that took slowRound or longer.
func (s *Server) recordRound(times roundTimes, arrived int) {
	took := times.written - times.began
	if s.observeRound != nil {
		s.observeRound(took)
	}
	if took < slowRound {
		return
	}
	s.events.Record(events.SlowRound, times.longestPart(), slog.Duration("reading", times.read-times.began),
		slog.Duration("deciding", times.decided-times.read), slog.Duration("writing", times.written-times.decided),
		slog.Int("arrived", arrived), slog.Int("submitted", s.submittedCount()))
}

// readInput handles all input that was reported. Input that arrives meanwhile belongs to the same round, for up to
// maxPasses passes and until the time limit. The rest belongs to the next round, so that a flood of input delays neither
// the round nor the answers due in it.
func (s *Server) readInput(until time.Duration) {
	for pass, repeat := 0, true; repeat && pass < maxPasses; pass++ {
		called := s.callSubmitted(until)
		now := s.Now()
		repeat = called && now < until
		s.composer.Advance(now)
		s.startRecorded()
		s.notices = s.composer.AppendNotices(s.link.AppendNotices(s.notices[:0]))
		for i := range s.notices {
			s.handleNotice(&s.notices[i])
		}
	}
	if s.inbox.called < len(s.inbox.batch) {
		s.Wake()
	}
}

// flush writes the output, and reports whether all answers could be written: they can't while a peer does not read.
// Answers are written before commands to the workers, as a run is only stopped once its request is answered.
func (s *Server) flush() (written bool) {
	written = true
	for _, f := range s.frontends {
		written = f.Flush() && written
	}
	s.link.Flush()
	s.composer.Flush()
	return written
}

// wait blocks until there is input or the timer fires, and reports whether the timer fired.
func (s *Server) wait(timer *time.Timer) (fired bool) {
	for yields := s.limits.MaxIdleYields; yields > 0 && len(s.inbox.wake) == 0; yields-- {
		runtime.Gosched()
	}
	select {
	case <-s.inbox.wake:
		return false
	case <-timer.C:
		return true
	}
}

// nextTimer returns the time at which the next round is due without new input.
func (s *Server) nextTimer(now time.Duration) time.Duration {
	if s.round.pending { // set while the round was decided
		return 0
	}
	first := min(now+maxIdlePeriod, s.composer.NextTimer())
	for _, at := range s.polls.alarms {
		first = min(first, at)
	}
	if s.polls.nonce > 0 {
		first = min(first, s.polls.deadline)
	}
	for _, c := range s.health.checks {
		first = min(first, c.deadline)
	}
	if s.drain.started() {
		first = min(first, now+drainPollPeriod)
	}
	if len(s.keys.awaitingLedger) > 0 { // a ledger that stalls does not wake the loop
		first = min(first, now+ledgerPollPeriod)
	}
	return first
}

// decide lets the controller decide the round.
func (s *Server) decide(now time.Duration) {
	s.round.Now = now
	s.controller.Decide(&s.round.Round, s)
	for _, e := range s.round.RunsEnded {
		s.forgetIfDone(s.requests.byDecision[e.Request])
	}
	for _, decided := range s.round.Canceled {
		s.forgetIfDone(s.requests.byDecision[decided])
	}
	s.round.Reset()
	s.round.pending = false
	for len(s.round.composites) > 0 { // a composite waits for its calls from the time at which it was started
		s.round.Now = now
		s.round.AwaitingCall = append(s.round.AwaitingCall, s.round.composites...)
		s.round.composites = s.round.composites[:0]
		s.controller.Decide(&s.round.Round, s)
		s.round.Reset()
	}
	for _, decided := range s.round.duplicates {
		s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: decided, Outcome: admission.Succeeded})
		s.round.pending = true
	}
	s.round.duplicates = s.round.duplicates[:0]
	for _, request := range s.round.notStarted {
		s.endRun(request, admission.NeverStarted, 0, nil)
	}
	s.round.notStarted = s.round.notStarted[:0]
	if reduced := s.controller.TakeLimitReduction(); reduced != nil {
		s.events.Record(events.LimitReduced, reduced.Cause.String(), slog.Float64("from", reduced.From), slog.Float64("to", reduced.To),
			slog.Float64("cpu", s.polls.gauges.CPU), slog.Float64("memory", s.polls.gauges.Memory))
	}
	s.publishEstimates(now)
}
