package budget

import (
	"math/rand"
	"time"
)

// never is the time of a timer that is not set.
const never = time.Duration(1<<63 - 1)

// Executor carries out the scheduler's decisions. Its methods must not call the scheduler.
type Executor interface {
	// Send sends an attempt of a call. attempt is 0 for the first, and 1 for a retry or hedged request, which carries
	// the same idempotency key.
	Send(execution *Execution, call, attempt int, timeout time.Duration)
	// Cancel cancels an attempt whose response is no longer awaited. If its end becomes known all the same, it is
	// reported to CancelledCallEnded.
	Cancel(execution *Execution, call, attempt int)
	// Fallback replaces a part with a stored result or a constant, and reports whether there is one.
	Fallback(execution *Execution, call int) bool
	// Finish answers the request. The execution is reused afterwards and must not be retained.
	Finish(execution *Execution, verdict Verdict)
}

// Scheduler runs the plans of all requests in progress against their dependencies. It is not safe for concurrent use.
// Invariants: each request gets exactly one Finish, or none if it was cancelled; no attempt's timeout extends past its
// request's deadline; an AtMostOnce call is sent at most once.
type Scheduler struct {
	dependencies []*Dependency
	executor     Executor
	rng          *rand.Rand
	executions   []*Execution // in progress, in order of their start; finished ones stay until recycle
	free         []*Execution
	anyFinished  bool // executions contains finished ones
	nextTimer    time.Duration
}

// NewScheduler returns a scheduler without requests. Plans refer to dependencies by their index; seed makes the jitter
// of retries repeatable.
func NewScheduler(dependencies []*Dependency, executor Executor, seed int64) *Scheduler {
	return &Scheduler{dependencies: dependencies, executor: executor, rng: rand.New(rand.NewSource(seed)), nextTimer: never}
}

// InFlight returns the number of requests in progress.
func (s *Scheduler) InFlight() int { return len(s.executions) }

// NextTimer returns the latest time at which Advance must be called.
func (s *Scheduler) NextTimer() time.Duration { return s.nextTimer }

// Start starts a request that must be answered by its deadline. It returns nil if the request has finished already.
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

// CallEnded records the outcome of an attempt that was not cancelled.
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

// CancelledCallEnded records that a cancelled attempt has ended at a dependency, which frees its slot.
func (s *Scheduler) CancelledCallEnded(dependency int, now time.Duration) {
	s.dependencies[dependency].CancelledCallEnded(now)
	s.sendQueued(dependency, now)
	s.recycle()
}

// Cancel ends a request without an answer, because its caller has disconnected or it was answered elsewhere.
func (s *Scheduler) Cancel(execution *Execution, now time.Duration) {
	if execution.finished {
		return
	}
	s.release(execution, now)
	s.recycle()
}

// Advance updates limits and breakers, sends queued calls and runs the timers that are due.
func (s *Scheduler) Advance(now time.Duration) {
	for i := range s.dependencies {
		s.sendQueued(i, now)
	}
	s.recycle()
	if now < s.nextTimer {
		return
	}
	for i := 0; i < len(s.executions); i++ { // not a range loop: executions may be added meanwhile
		s.runTimers(s.executions[i], now)
	}
	s.recycle()
	s.nextTimer = never
	for _, execution := range s.executions {
		s.nextTimer = min(s.nextTimer, execution.nextTimer())
	}
}

// nextTimer returns the time of a request's earliest timer.
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

// settle ends a call. If a required part is missing, the request is aborted at once, because waiting for the others
// would only delay its caller.
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

// setPart marks a call as settled, and replaces a missing part with a fallback if there is one.
func (s *Scheduler) setPart(execution *Execution, call int, available bool, status PartStatus) {
	state := &execution.calls[call]
	state.phase, state.available, state.status = phaseSettled, available, status
	if !available && execution.plan.Calls[call].Fallback && s.executor.Fallback(execution, call) {
		state.available, state.status = true, UsedFallback
	}
}

// startReadyCalls starts all calls for which the calls they depend on are settled, so that they run concurrently, and
// finishes the request if all its calls are settled.
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
			s.startCall(execution, i, now) // may settle the call, and so recurse
		}
	}
	if !unsettled && !execution.finished {
		s.finish(execution, now)
	}
}

// finish answers a request according to its verdict.
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
		case phasePending, phaseRetryBackoff, phaseSettled: // use no slot or queue place
		}
	}
}

// recycle keeps finished executions for later requests. It runs last in each exported method, so that no caller on the
// stack still uses an execution that is reused.
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
