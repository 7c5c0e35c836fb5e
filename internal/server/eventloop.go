package server

import (
	"runtime"
	"time"

	"quartzpoint/admission"
)

const (
	maxPasses     = 4           // over the input before a round
	maxIdlePeriod = time.Second // between two turns of the loop
)

// round is what the controller is told next, and what is left to do behind its decision.
type round struct {
	admission.Round
	pending    bool                 // there is something to decide
	duplicates []*admission.Request // answered from their original in this round
	composites []*admission.Request // started in this round, and made of calls
	notStarted []*Request           // that the composer did not take
}

// Run goes from round to round until the server has drained.
func (s *Server) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	var firesAt time.Duration // when timer fires
	s.decide(s.Now())         // the first round is empty: the controller states its health and sets its alarm
	for {
		began := s.Now()
		s.detectStall(began)
		s.clock.stamps.Observe(s.clock.wallOffset())
		batch = s.readInput(batch)
		s.applyTableChanges()
		now := s.Now()
		s.runAlarms(now)
		s.observe(now)
		s.expireChecks(now)
		s.sweep(now)
		// A process that was stopped across stopAt has had no round in which the controller could answer what is left.
		decides := s.round.pending || s.drain.started() && now >= s.drain.stopAt
		if decides {
			s.decide(now)
		}
		written := s.flush()
		if decides && s.observeRound != nil {
			s.observeRound(s.Now() - began)
		}
		if s.advanceDrain(now, written) {
			return
		}
		// Setting the timer costs as much as an idle turn; one that fires too soon finds nothing to do.
		now = s.Now()
		if next := s.nextTimer(now); next < firesAt || firesAt <= now {
			firesAt = next
			timer.Reset(max(next-now, 0))
		}
		if s.wait(timer) {
			firesAt = 0
		}
	}
}

// readInput takes in all that was reported, with batch as a buffer for what was submitted. What comes meanwhile belongs to
// the same round, up to maxPasses: a flood must not keep the round, and the answers that are due in it, from coming.
func (s *Server) readInput(batch []func()) []func() {
	for pass, again := 0, true; again && pass < maxPasses; pass++ {
		batch = s.takeSubmitted(batch[:0])
		for _, f := range batch {
			f()
		}
		s.composer.Advance(s.Now())
		s.startRecorded()
		s.notices = s.composer.AppendNotices(s.link.AppendNotices(s.notices[:0]))
		for i := range s.notices {
			s.handleNotice(&s.notices[i])
		}
		again = len(batch) > 0
		clear(batch)
	}
	return batch
}

// flush writes all output. written is false while peers have yet to read some of it. Answers leave before commands: what is
// stopped has been answered.
func (s *Server) flush() (written bool) {
	written = true
	for _, f := range s.frontends {
		written = f.Flush() && written
	}
	s.link.Flush()
	s.composer.Flush()
	return written
}

// wait blocks until there is input or the timer fires.
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

// nextTimer is the time of the earliest timer.
func (s *Server) nextTimer(now time.Duration) time.Duration {
	if s.round.pending { // by what the round itself led to
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
	if len(s.keys.awaitingLedger) > 0 { // a ledger that stalls wakes nobody
		first = min(first, now+ledgerPollPeriod)
	}
	return first
}

// decide has the controller decide the round.
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
	for len(s.round.composites) > 0 { // a composite that was started waits for its calls from the same moment on
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
	s.publishEstimates(now)
}
