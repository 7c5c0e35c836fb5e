package budget

import "time"

// maxRetryDelay is the upper bound of the delay before a retry, which is drawn uniformly from 0 (full jitter).
const maxRetryDelay = 40 * time.Millisecond

// startCall sends a call's first attempt, queues it if no slot is free, or settles it if the time left or the breaker
// rules it out.
func (s *Scheduler) startCall(execution *Execution, call int, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	timeout, expected := s.callTimeout(execution, call, now), d.ExpectedDuration(c.Expected)
	if !s.canEndInTime(execution, call, timeout, expected, now) {
		s.settle(execution, call, false, DeadlineTooClose, now)
		return
	}
	admitted, breakerOpen := d.Admit(now)
	switch {
	case breakerOpen:
		s.settle(execution, call, false, BreakerOpen, now)
	case admitted:
		s.send(execution, call, now)
	default:
		state.phase, state.deadline = phaseQueued, now+max(timeout-expected, 0)
		s.nextTimer = min(s.nextTimer, state.deadline)
		s.enqueue(queuedCall{execution, call, execution.deadline}, now)
	}
}

// send sends the next attempt of a call. Its slot must have been taken before.
func (s *Scheduler) send(execution *Execution, call int, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	attempt := state.attempts
	state.attempts++
	state.phase, state.inFlight[attempt], state.startedAt[attempt] = phaseInFlight, true, now
	if attempt == 0 {
		d.FirstAttempts++
		state.deadline = now + s.callTimeout(execution, call, now)
		if state.retryOrHedgeAt = 0; c.Hedge && d.hedgeDelay > 0 && now+d.hedgeDelay < state.deadline {
			state.retryOrHedgeAt = now + d.hedgeDelay
			s.nextTimer = min(s.nextTimer, state.retryOrHedgeAt)
		}
	}
	s.nextTimer = min(s.nextTimer, state.deadline)
	s.executor.Send(execution, call, attempt, max(state.deadline-now, 0))
}

// scheduleRetry sets the timer of a retry if plan, effect, time and retry tokens allow one, and reports whether they
// do. The effect is checked although Validate rejects plans that retry an AtMostOnce call, because sending one twice
// cannot be undone.
func (s *Scheduler) scheduleRetry(execution *Execution, call int, now time.Duration) bool {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	delay := time.Duration(s.rng.Int63n(int64(maxRetryDelay)))
	if !c.Retry || c.Effect == AtMostOnce || state.attempts >= maxAttempts ||
		now+delay+d.ExpectedDuration(c.Expected) > state.deadline || !d.TakeRetryToken(now) {
		return false
	}
	state.phase, state.retryOrHedgeAt = phaseRetryBackoff, now+delay
	s.nextTimer = min(s.nextTimer, state.retryOrHedgeAt)
	return true
}

// retry sends a scheduled retry, or settles the call if no slot is free or the breaker is open. It does not queue the
// retry, because too little time is left.
func (s *Scheduler) retry(execution *Execution, call int, now time.Duration) {
	execution.calls[call].retryOrHedgeAt = 0
	if admitted, _ := s.dependencies[execution.plan.Calls[call].Dependency].Admit(now); admitted {
		s.send(execution, call, now)
	} else {
		s.settle(execution, call, false, OverLimit, now)
	}
}

// hedge sends a second attempt in parallel with a slow first one if a slot and a retry token are available.
func (s *Scheduler) hedge(execution *Execution, call int, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	state.retryOrHedgeAt = 0
	if c.Effect != Read || state.attempts >= maxAttempts || d.slotsInUse() >= int(d.limit) || !d.TakeRetryToken(now) {
		return
	}
	if admitted, _ := d.Admit(now); admitted {
		s.send(execution, call, now)
	}
}

// cancelAttempts cancels the attempts of a call that are in flight. If timedOut is set, they count as lost.
func (s *Scheduler) cancelAttempts(execution *Execution, call int, timedOut bool, now time.Duration) {
	state := &execution.calls[call]
	for attempt := range state.inFlight {
		if state.inFlight[attempt] {
			state.inFlight[attempt] = false
			s.dependencies[execution.plan.Calls[call].Dependency].CallCancelled(now-state.startedAt[attempt], timedOut, now)
			s.executor.Cancel(execution, call, attempt)
		}
	}
}

// failedStatus returns the status of a call whose attempts ended without success.
func failedStatus(c *Call, outcome Outcome) PartStatus {
	if c.Effect == AtMostOnce && outcome == Lost {
		return EffectUnknown
	}
	return CallFailed
}

// timedOutStatus returns the status of a call whose attempts were cancelled at its deadline.
func timedOutStatus(c *Call) PartStatus {
	if c.Effect == AtMostOnce {
		return EffectUnknown
	}
	return TimedOut
}
