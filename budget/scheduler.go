package budget

import (
	"math/rand"
	"time"
)

// never is the moment of a timer that is not set.
const never = time.Duration(1<<63 - 1)

// Executor carries out the scheduler's decisions. Its methods must not call the scheduler.
type Executor interface {
	// Send sends an attempt of a call: 0 is the first, 1 a retry or hedged request, which carries the same idempotency key.
	Send(execution *Execution, call, attempt int, timeout time.Duration)
	// Cancel reports that the response of an attempt is not awaited any more. If its end becomes known all the same, it goes
	// to CancelledCallEnded.
	Cancel(execution *Execution, call, attempt int)
	// Fallback replaces a part by a stored result or a constant, and reports whether there is one.
	Fallback(execution *Execution, call int) bool
	// Finish answers the request. The execution is reused afterwards and must not be kept.
	Finish(execution *Execution, verdict Verdict)
}

// Scheduler runs the plans of all requests in progress against their dependencies. It is not safe for concurrent use.
// Invariants: each request gets exactly one Finish, or none if it was cancelled; no attempt's timeout reaches past its
// request's deadline; an AtMostOnce call is sent once at the most.
type Scheduler struct {
	dependencies []*Dependency
	executor     Executor
	rng          *rand.Rand
	executions   []*Execution // in progress, by start; finished ones until recycle
	free         []*Execution
	anyFinished  bool // executions holds finished ones
	nextTimer    time.Duration
}

// NewScheduler returns a scheduler without requests. The indexes of dependencies are those that plans name; seed makes
// the jitter of retries repeatable.
func NewScheduler(dependencies []*Dependency, executor Executor, seed int64) *Scheduler {
	return &Scheduler{dependencies: dependencies, executor: executor, rng: rand.New(rand.NewSource(seed)), nextTimer: never}
}

// InFlight is the number of requests in progress.
func (s *Scheduler) InFlight() int { return len(s.executions) }

// NextTimer is when Advance must be called at the latest.
func (s *Scheduler) NextTimer() time.Duration { return s.nextTimer }

// Start starts a request that must be answered by its deadline. It returns nil where the request was finished at once.
func (s *Scheduler) Start(plan *Plan, now, deadline time.Duration, ref any) *Execution {
	var execution *Execution
	if n := len(s.free); n > 0 {
		execution, s.free = s.free[n-1], s.free[:n-1]
		*execution = Execution{}
	} else {
		execution = &Execution{}
	}
	execution.Ref, execution.plan, execution.deadline = ref, plan, deadline-plan.Reserve
	s.executions = append(s.executions, execution)
	s.nextTimer = min(s.nextTimer, execution.deadline)
	s.skipOptional(execution, now)
	s.startReadyCalls(execution, now)
	finished := execution.finished
	s.recycle()
	if finished {
		return nil
	}
	return execution
}

// CallEnded takes the outcome of an attempt that was not cancelled.
func (s *Scheduler) CallEnded(execution *Execution, call, attempt int, outcome Outcome, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	if execution.finished || !state.inFlight[attempt] {
		return
	}
	state.inFlight[attempt] = false
	d.Tick(now)
	d.CallEnded(outcome, now-state.startedAt[attempt], attempt == 0, now)
	switch {
	case outcome == Succeeded:
		s.cancelAttempts(execution, call, false, now)
		s.settle(execution, call, true, Fresh, now)
	case state.inFlight[1-attempt]: // the other attempt may still succeed
	case !s.scheduleRetry(execution, call, now):
		s.settle(execution, call, false, failedStatus(c, outcome), now)
	}
	s.sendQueued(c.Dependency, now)
	s.recycle()
}

// CancelledCallEnded takes the end of a cancelled attempt at a dependency: its slot becomes free.
func (s *Scheduler) CancelledCallEnded(dependency int, now time.Duration) {
	s.dependencies[dependency].CancelledCallEnded(now)
	s.sendQueued(dependency, now)
	s.recycle()
}

// Cancel ends a request without an answer, as its caller is gone or it was answered elsewhere.
func (s *Scheduler) Cancel(execution *Execution, now time.Duration) {
	if execution.finished {
		return
	}
	s.release(execution, now)
	s.recycle()
}

// Advance moves limits and breakers on and runs the timers that are due.
func (s *Scheduler) Advance(now time.Duration) {
	for i := range s.dependencies {
		s.sendQueued(i, now)
	}
	s.recycle()
	if now < s.nextTimer {
		return
	}
	for i := 0; i < len(s.executions); i++ { // not a range: more may start meanwhile
		s.runTimers(s.executions[i], now)
	}
	s.recycle()
	s.nextTimer = never
	for _, execution := range s.executions {
		s.nextTimer = min(s.nextTimer, execution.nextTimer())
	}
}

// nextTimer is the earliest timer of a request.
func (e *Execution) nextTimer() time.Duration {
	next := e.deadline
	for i := range e.plan.Calls {
		state := &e.calls[i]
		if state.phase == phasePending || state.phase == phaseSettled {
			continue
		}
		if state.phase != phaseRetryBackoff {
			next = min(next, state.deadline)
		}
		if state.retryOrHedgeAt > 0 {
			next = min(next, state.retryOrHedgeAt)
		}
	}
	return next
}

func (s *Scheduler) runTimers(execution *Execution, now time.Duration) {
	if execution.finished {
		return
	}
	if now >= execution.deadline {
		s.finishAtDeadline(execution, now)
		return
	}
	for i := range execution.plan.Calls {
		state, c := &execution.calls[i], &execution.plan.Calls[i]
		switch {
		case execution.finished:
			return
		case state.phase == phaseQueued && now >= state.deadline:
			s.dequeue(execution, i)
			s.settle(execution, i, false, OverLimit, now)
		case state.phase == phaseRetryBackoff && now >= state.retryOrHedgeAt:
			s.retry(execution, i, now)
		case state.phase == phaseInFlight && now >= state.deadline:
			s.cancelAttempts(execution, i, true, now)
			s.settle(execution, i, false, timedOutStatus(c), now)
		case state.phase == phaseInFlight && state.retryOrHedgeAt > 0 && now >= state.retryOrHedgeAt:
			s.hedge(execution, i, now)
		}
	}
}

// settle ends a call. Where a required part is missing, the request is aborted at once: waiting for the others would only
// delay its caller.
func (s *Scheduler) settle(execution *Execution, call int, available bool, status PartStatus, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	if execution.finished || state.phase == phaseSettled {
		return
	}
	state.retryOrHedgeAt = 0
	s.setPart(execution, call, available, status)
	if c.Required && !state.available {
		s.finish(execution, now)
		return
	}
	s.startReadyCalls(execution, now)
}

// setPart marks a call as settled, with a fallback in place of a missing part where there is one.
func (s *Scheduler) setPart(execution *Execution, call int, available bool, status PartStatus) {
	state := &execution.calls[call]
	state.phase, state.available, state.status = phaseSettled, available, status
	if !available && execution.plan.Calls[call].Fallback && s.executor.Fallback(execution, call) {
		state.available, state.status = true, UsedFallback
	}
}

// startReadyCalls starts all calls whose dependencies are settled, concurrently, and finishes a request whose calls are
// all settled.
func (s *Scheduler) startReadyCalls(execution *Execution, now time.Duration) {
	unsettled := false
	for _, i := range execution.plan.order {
		if execution.finished {
			return
		}
		if execution.calls[i].phase == phaseSettled {
			continue
		}
		unsettled = true
		if execution.calls[i].phase == phasePending && execution.ready(i) {
			s.startCall(execution, i, now) // may settle it, and so recurse
		}
	}
	if !unsettled && !execution.finished {
		s.finish(execution, now)
	}
}

// finish answers a request by what became of its calls.
func (s *Scheduler) finish(execution *Execution, now time.Duration) {
	verdict := execution.verdict()
	s.release(execution, now)
	s.executor.Finish(execution, verdict)
}

// release frees all slots and queue places of a request.
func (s *Scheduler) release(execution *Execution, now time.Duration) {
	execution.finished, s.anyFinished = true, true
	for i := range execution.plan.Calls {
		switch execution.calls[i].phase {
		case phaseQueued:
			s.dequeue(execution, i)
		case phaseInFlight:
			s.cancelAttempts(execution, i, false, now)
			if execution.plan.Calls[i].Effect == AtMostOnce {
				execution.calls[i].status = EffectUnknown
			}
		case phasePending, phaseRetryBackoff, phaseSettled: // hold nothing
		}
	}
}

// recycle keeps finished executions for later requests. It runs last in each exported method, so that no caller on the
// stack still uses one that starts anew.
func (s *Scheduler) recycle() {
	if !s.anyFinished {
		return
	}
	s.anyFinished = false
	unfinished := s.executions[:0]
	for _, execution := range s.executions {
		if execution.finished {
			execution.Ref = nil
			s.free = append(s.free, execution)
		} else {
			unfinished = append(unfinished, execution)
		}
	}
	clear(s.executions[len(unfinished):])
	s.executions = unfinished
}
