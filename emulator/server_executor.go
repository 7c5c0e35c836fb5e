package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/rulecheck"
)

// Start implements admission.Executor, as do the other exported methods of server.
func (s *server) Start(request *admission.Request) {
	a := s.attempts[request]
	if a == nil || a.answered {
		return
	}
	if !a.started {
		a.started, a.active, a.run.startedAt, a.run.heapIndex = true, true, s.world.now, -1
		s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Started, At: s.world.now, Server: s.number, Attempt: a.id})
		s.world.result.Starts++
	}
	if a.composed {
		if a.execution == nil {
			s.awaitingCall = append(s.awaitingCall, request)
		}
		return
	}
	if a.run.heapIndex < 0 {
		s.pool.start(&a.run)
	}
	n := float64(len(s.pool.runs))
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.RunLoad, At: s.world.now, Server: s.number, Value: n / (survivedRunsPerCore * s.pool.machine.Cores)})
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.MemoryUse, At: s.world.now, Server: s.number, Value: s.memoryShare()})
}

func (s *server) memoryShare() float64 {
	return (RunKB*float64(len(s.pool.runs)) + queuedKB*float64(len(s.attempts))) / s.pool.machine.MemoryKB
}

// Pause stops a run. The end of the run is reported after linkDelay, the delay of the link to a worker pool.
func (s *server) Pause(request *admission.Request) {
	a := s.attempts[request]
	if a == nil || !a.active {
		return
	}
	if a.composed {
		s.composer.abandon(a)
		return
	}
	s.pool.stop(&a.run)
	incarnation := s.incarnation
	s.world.after(linkDelay, func() {
		s.whenRunning(incarnation, func() {
			if !a.active || a.run.heapIndex >= 0 {
				return
			}
			a.active = false
			s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &a.Request, Outcome: admission.Stopped, Took: s.world.now - a.run.startedAt})
			if !a.answered {
				s.answer(a, aborted, 0, false)
			}
			s.decide()
		})
	})
}

func (s *server) Reject(request *admission.Request, retryAfter time.Duration, noRetryElsewhere bool) {
	if a := s.attempts[request]; a != nil {
		s.answer(a, rejected, retryAfter, noRetryElsewhere)
	}
}

func (s *server) Abort(request *admission.Request) {
	if a := s.attempts[request]; a != nil {
		s.answer(a, aborted, 0, false)
		// The policy does not pause a run that waits for its calls, but waits for the run to end. As the request is
		// answered, its calls are no longer needed; cancelling them ends the run.
		if a.composed && a.active {
			s.composer.abandon(a)
		}
	}
}

// answer sends the answer to the router, and counts any further one as a duplicate.
func (s *server) answer(a *attempt, v verdict, retryAfter time.Duration, noRetryElsewhere bool) {
	if a.answered {
		s.world.result.DuplicateAnswers++
		return
	}
	a.answered = true
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Answered, At: s.world.now, Server: s.number, Attempt: a.id, Rejected: v == rejected})
	s.world.sendAnswer(a, v, retryAfter, noRetryElsewhere)
	s.forgetIfDone(a)
}

// AnswerFromOriginal does nothing because idempotency keys are not emulated; RememberKey and ForgetKey do nothing
// either.
func (s *server) AnswerFromOriginal(*admission.Request) {}

func (s *server) RememberKey(*admission.Request, time.Duration) {}

func (s *server) ForgetKey(*admission.Request) {}

func (s *server) Call(request *admission.Request, timeout time.Duration) {
	a := s.attempts[request]
	if a == nil || !a.active {
		return
	}
	if a.composed {
		s.composer.begin(a, s.world.now+timeout)
		return
	}
	incarnation := s.incarnation
	s.world.dependency(s.world.fleet.Routes[a.origin.route].Dependency).handle(timeout, func(outcome admission.Outcome, took time.Duration) {
		s.whenRunning(incarnation, func() { s.callReturned(a, outcome, took) })
	})
}

func (s *server) SkipCall(request *admission.Request) {
	if a := s.attempts[request]; a != nil {
		a.valueShare = s.world.fleet.Routes[a.origin.route].SkipValueShare
		s.resumeAfterCall(a)
	}
}

func (s *server) SetHealth(bool, bool) {}

func (s *server) SetShedLevel(level float64) { s.shedLevel = level }

func (s *server) SetIdleTimeout(time.Duration) {}

func (s *server) Log(string) {}

// WakeAfter schedules a round with gauges.
func (s *server) WakeAfter(wait time.Duration) {
	incarnation := s.incarnation
	s.world.after(wait, func() {
		s.whenRunning(incarnation, func() {
			s.round.Gauges = &admission.Gauges{
				CPU: s.pool.cpuUsage(), Runnable: float64(len(s.pool.runs)) + s.pool.neighbourCores, Connections: 1,
				Memory: min(1, RunKB*float64(len(s.pool.runs))/s.pool.machine.MemoryKB),
			}
			s.decide()
		})
	})
}
