package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/rulecheck"
)

// Start implements admission.Executor, as do the methods below it.
func (s *server) Start(c *admission.Request) {
	t := s.attempts[c]
	if t == nil || t.answered {
		return
	}
	if !t.started {
		t.started, t.active, t.run.startedAt, t.run.heapIndex = true, true, s.world.now, -1
		s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Started, At: s.world.now, Server: s.number, Attempt: t.id})
		s.world.result.Starts++
	}
	if t.composed {
		if t.execution == nil {
			s.awaitingCall = append(s.awaitingCall, c)
		}
		return
	}
	if t.run.heapIndex < 0 {
		s.pool.start(&t.run)
	}
	n := float64(len(s.pool.runs))
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.RunsPerCore, At: s.world.now, Server: s.number, Value: n / (enduredRunsPerCore * s.pool.machine.Cores)})
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Memory, At: s.world.now, Server: s.number, Value: s.memoryShare()})
}

func (s *server) memoryShare() float64 {
	return (RunKB*float64(len(s.pool.runs)) + queuedKB*float64(len(s.attempts))) / s.pool.machine.MemoryKB
}

// Pause stops a run. The end of the run is reported after linkDelay, the delay of the link to a worker pool.
func (s *server) Pause(c *admission.Request) {
	t := s.attempts[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.composer.abandon(t)
		return
	}
	s.pool.stop(&t.run)
	life := s.incarnation
	s.world.after(linkDelay, func() {
		s.whenRunning(life, func() {
			if !t.active || t.run.heapIndex >= 0 {
				return
			}
			t.active = false
			s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: admission.Stopped, Took: s.world.now - t.run.startedAt})
			if !t.answered {
				s.answer(t, aborted, 0, false)
			}
			s.decide()
		})
	})
}

func (s *server) Reject(c *admission.Request, retryAfter time.Duration, nowhereElse bool) {
	if t := s.attempts[c]; t != nil {
		s.answer(t, rejected, retryAfter, nowhereElse)
	}
}

func (s *server) Abort(c *admission.Request) {
	if t := s.attempts[c]; t != nil {
		s.answer(t, aborted, 0, false)
		if t.composed && t.active { // the policy waits for its end without pausing it
			s.composer.abandon(t)
		}
	}
}

// answer sends the answer to the router, and counts any further one as a duplicate.
func (s *server) answer(t *attempt, v verdict, retryAfter time.Duration, nowhereElse bool) {
	if t.answered {
		s.world.result.DuplicateAnswers++
		return
	}
	t.answered = true
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Answered, At: s.world.now, Server: s.number, Attempt: t.id, Rejected: v == rejected})
	s.world.sendAnswer(t, v, retryAfter, nowhereElse)
	s.forgetIfDone(t)
}

// AnswerFromOriginal does nothing because idempotency keys are not emulated; RememberKey and ForgetKey do nothing
// either.
func (s *server) AnswerFromOriginal(*admission.Request) {}

func (s *server) RememberKey(*admission.Request, time.Duration) {}

func (s *server) ForgetKey(*admission.Request) {}

func (s *server) Call(c *admission.Request, timeout time.Duration) {
	t := s.attempts[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.composer.begin(t, s.world.now+timeout)
		return
	}
	life := s.incarnation
	s.world.dependency(s.world.fleet.Routes[t.origin.route].Dependency).handle(timeout, func(outcome admission.Outcome, took time.Duration) {
		s.whenRunning(life, func() { s.callReturned(t, outcome, took) })
	})
}

func (s *server) SkipCall(c *admission.Request) {
	if t := s.attempts[c]; t != nil {
		t.valueShare = s.world.fleet.Routes[t.origin.route].SkipValueShare
		s.resumeAfterCall(t)
	}
}

func (s *server) SetHealth(bool, bool) {}

func (s *server) SetShedLevel(level float64) { s.shedLevel = level }

func (s *server) CloseIdleAfter(time.Duration) {}

func (s *server) Log(string) {}

// WakeAfter schedules a round with gauges.
func (s *server) WakeAfter(in time.Duration) {
	life := s.incarnation
	s.world.after(in, func() {
		s.whenRunning(life, func() {
			s.round.Gauges = &admission.Gauges{
				CPU: s.pool.use(), Runnable: float64(len(s.pool.runs)) + s.pool.neighbourCores, Connections: 1,
				Memory: min(1, RunKB*float64(len(s.pool.runs))/s.pool.machine.MemoryKB),
			}
			s.decide()
		})
	})
}
