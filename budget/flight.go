package budget

import (
	"math/rand"
	"slices"
	"time"
)

const (
	maxAttempts           = 2
	optionalTimeoutFactor = 4                     // times what it is stated to take that an optional call is waited for
	requiredTimeoutFactor = 12                    // times what it takes, as stated and as seen, that a needed one is: beyond that it is most likely lost
	minTimeDivisor        = 4                     // a needed call is not begun in less than this part of what it takes
	maxRetryDelay         = 40 * time.Millisecond // most that a second attempt waits, with full jitter
)

// Verdict is how a task made of calls is answered.
type Verdict int

// The verdicts. Partial has all that is needed, and lacks something else.
const (
	Complete Verdict = iota
	Partial
	Aborted
)

// PartStatus says what became of a call's part.
type PartStatus int

// The reasons. UsedFallback has a part all the same; Unclear is an effect that may or may not have happened.
const (
	Fresh PartStatus = iota
	UsedFallback
	DeadlineTooClose
	OverLimit
	BreakerOpen
	CallFailed
	TimedOut
	EffectUnknown
)

func (p PartStatus) String() string {
	return [...]string{"fresh", "fell back", "no time", "no room", "breaker open", "failed", "late", "unclear"}[p]
}

type phase int

const (
	phasePending phase = iota
	phaseQueued
	phaseInFlight
	phaseRetryBackoff // before a second attempt
	phaseSettled
)

type callState struct {
	phase          phase
	available      bool
	status         PartStatus
	attempts       int
	inFlight       [maxAttempts]bool
	startedAt      [maxAttempts]time.Duration
	deadline       time.Duration // of what is open, or of the wait
	retryOrHedgeAt time.Duration // of a hedge or of a second attempt; 0 without one
}

// Execution is one task under way.
type Execution struct {
	Ref      any // what the Writer keeps with it
	plan     *Plan
	deadline time.Duration
	calls    [MaxCalls]callState
	finished bool
}

// Plan is that of the task.
func (e *Execution) Plan() *Plan { return e.plan }

// PartStatus tells what became of a call.
func (e *Execution) PartStatus(call int) (good bool, why PartStatus) {
	return e.calls[call].available, e.calls[call].status
}

// Value is the importance of the parts that are there, as a share of all.
func (e *Execution) Value() float64 {
	has, all := 0.0, 0.0
	for i, c := range e.plan.Calls {
		all += c.Value
		if e.calls[i].available {
			has += c.Value
		}
	}
	if all == 0 {
		return 1
	}
	return has / all
}

// Executor carries out what is decided. None of its methods may call back.
type Executor interface {
	// Send makes a call; attempt is 0, or 1 for a second one of the same call, which carries the same number.
	Send(execution *Execution, call, attempt int, within time.Duration)
	// Cancel tells that nobody waits for an attempt any more. Its end, if it is ever told, goes to Late.
	Cancel(execution *Execution, call, attempt int)
	// Fallback puts a last good result or a constant in the place of a part, and tells whether there is one.
	Fallback(execution *Execution, call int) bool
	// Finish answers the task. The flight is used again after it.
	Finish(execution *Execution, v Verdict)
}

type queuedCall struct {
	execution *Execution
	call      int
	deadline  time.Duration
}

// Scheduler holds the dependencies and all tasks under way. Its methods are for one caller at a time.
type Scheduler struct {
	dependencies []*Dependency
	executor     Executor
	rng          *rand.Rand
	executions   []*Execution
	free         []*Execution
	anyFinished  bool // some of them are finished, and not collected yet
	nextTimer    time.Duration
}

// NewScheduler begins with dependencies in the order in which plans name them.
func NewScheduler(deps []*Dependency, w Executor, seed int64) *Scheduler {
	return &Scheduler{dependencies: deps, executor: w, rng: rand.New(rand.NewSource(seed)), nextTimer: never}
}

const never = time.Duration(1<<63 - 1)

// InFlight is the number of tasks under way.
func (s *Scheduler) InFlight() int { return len(s.executions) }

// NextTimer is the moment of the earliest timer.
func (s *Scheduler) NextTimer() time.Duration { return s.nextTimer }

// Start starts a task that is to be answered by a moment. It gives none where the task was finished at once.
func (s *Scheduler) Start(p *Plan, now, until time.Duration, ref any) *Execution {
	var execution *Execution
	if n := len(s.free); n > 0 {
		execution, s.free = s.free[n-1], s.free[:n-1]
		*execution = Execution{}
	} else {
		execution = &Execution{}
	}
	execution.Ref, execution.plan, execution.deadline = ref, p, until-p.Reserve
	s.executions = append(s.executions, execution)
	s.nextTimer = min(s.nextTimer, execution.deadline)
	s.skipOptional(execution, now)
	s.startReadyCalls(execution, now)
	done := execution.finished
	s.recycle()
	if done {
		return nil
	}
	return execution
}

// CallEnded takes the end of an attempt that was not cancelled.
func (s *Scheduler) CallEnded(execution *Execution, call, attempt int, how Outcome, now time.Duration) {
	state, c := &execution.calls[call], &execution.plan.Calls[call]
	d := s.dependencies[c.Dependency]
	if execution.finished || !state.inFlight[attempt] {
		return
	}
	state.inFlight[attempt] = false
	d.Tick(now)
	d.CallEnded(how, now-state.startedAt[attempt], attempt == 0, now)
	switch {
	case how == Succeeded:
		s.cancelAttempts(execution, call, false, now)
		s.settle(execution, call, true, Fresh, now)
	case state.inFlight[1-attempt]: // the other may still come back
	case !s.scheduleRetry(execution, call, how, now):
		s.settle(execution, call, false, failedStatus(c, how), now)
	}
	s.admitWaiting(c.Dependency, now)
	s.recycle()
}

func failedStatus(c *Call, how Outcome) PartStatus {
	if c.Effect == AtMostOnce && how == Lost {
		return EffectUnknown
	}
	return CallFailed
}

// CancelledCallEnded takes the end of an attempt that was cancelled: its slot is free, and nothing else changes.
func (s *Scheduler) CancelledCallEnded(dependency int, now time.Duration) {
	s.dependencies[dependency].CancelledCallEnded(now)
	s.admitWaiting(dependency, now)
	s.recycle()
}

// Cancel ends a task without an answer: somebody else has given it up, or its caller is gone.
func (s *Scheduler) Cancel(execution *Execution, now time.Duration) {
	if execution.finished {
		return
	}
	s.release(execution, now)
	s.recycle()
}

// Advance does what is due.
func (s *Scheduler) Advance(now time.Duration) {
	for i := range s.dependencies {
		s.admitWaiting(i, now) // limits move and slots linger out with time
	}
	s.recycle()
	if now < s.nextTimer {
		return
	}
	for i := 0; i < len(s.executions); i++ { // those that begin meanwhile stand behind
		s.runTimers(s.executions[i], now)
	}
	s.recycle()
	s.nextTimer = never
	for _, execution := range s.executions {
		s.nextTimer = min(s.nextTimer, execution.deadline)
		for i := range execution.plan.Calls {
			if state := &execution.calls[i]; state.phase != phasePending && state.phase != phaseSettled {
				if state.phase != phaseRetryBackoff {
					s.nextTimer = min(s.nextTimer, state.deadline)
				}
				if state.retryOrHedgeAt > 0 {
					s.nextTimer = min(s.nextTimer, state.retryOrHedgeAt)
				}
			}
		}
	}
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
			state.retryOrHedgeAt = 0
			if admitted, _ := s.dependencies[c.Dependency].Admit(now); admitted {
				s.send(execution, i, now)
			} else {
				s.settle(execution, i, false, OverLimit, now)
			}
		case state.phase == phaseInFlight && now >= state.deadline:
			s.cancelAttempts(execution, i, true, now)
			s.settle(execution, i, false, timedOutStatus(c), now)
		case state.phase == phaseInFlight && state.retryOrHedgeAt > 0 && now >= state.retryOrHedgeAt:
			state.retryOrHedgeAt = 0
			s.hedge(execution, i, now)
		}
	}
}

func timedOutStatus(c *Call) PartStatus {
	if c.Effect == AtMostOnce {
		return EffectUnknown
	}
	return TimedOut
}

// finishAtDeadline answers with what is there.
func (s *Scheduler) finishAtDeadline(execution *Execution, now time.Duration) {
	for i := range execution.plan.Calls {
		state, c := &execution.calls[i], &execution.plan.Calls[i]
		if state.phase == phaseSettled {
			continue
		}
		why := DeadlineTooClose
		switch state.phase {
		case phaseInFlight:
			s.cancelAttempts(execution, i, true, now)
			why = timedOutStatus(c)
		case phaseQueued:
			s.dequeue(execution, i)
			why = OverLimit
		}
		state.phase, state.status = phaseSettled, why
		if c.Fallback && s.executor.Fallback(execution, i) {
			state.available, state.status = true, UsedFallback
		}
	}
	s.finish(execution, now)
}

// settle ends a call. Without one that is needed the task is given up at once: waiting for the rest would only
// hold up whoever asked.
func (s *Scheduler) settle(execution *Execution, i int, good bool, why PartStatus, now time.Duration) {
	state, c := &execution.calls[i], &execution.plan.Calls[i]
	if execution.finished || state.phase == phaseSettled {
		return
	}
	state.phase, state.available, state.status, state.retryOrHedgeAt = phaseSettled, good, why, 0
	if !good && c.Fallback && s.executor.Fallback(execution, i) {
		state.available, state.status = true, UsedFallback
	}
	if c.Required && !state.available {
		s.finish(execution, now)
		return
	}
	s.startReadyCalls(execution, now)
}

// startReadyCalls begins all calls that wait for nothing any more, side by side, and finishes a task without any left.
func (s *Scheduler) startReadyCalls(execution *Execution, now time.Duration) {
	left := false
	for _, i := range execution.plan.order {
		if execution.finished {
			return
		}
		if execution.calls[i].phase == phaseSettled {
			continue
		}
		left = true
		if execution.calls[i].phase != phasePending {
			continue
		}
		ready := true
		for a := range execution.plan.Calls {
			ready = ready && (!execution.plan.dependsOn[i][a] || execution.calls[a].phase == phaseSettled)
		}
		if ready {
			s.startCall(execution, i, now) // may settle, and so come here again
		}
	}
	if !left && !execution.finished {
		s.finish(execution, now)
	}
}

func (s *Scheduler) startCall(execution *Execution, i int, now time.Duration) {
	state, c := &execution.calls[i], &execution.plan.Calls[i]
	d := s.dependencies[c.Dependency]
	may, takes := s.callTimeout(execution, i, now), d.ExpectedDuration(c.Expected)
	// An optional call is begun although it is seen to take longer than it may: else a dependency that was slow would
	// never be seen to be quick again. The breaker keeps that to a few.
	if left := execution.deadline - now; may <= 0 || !c.Required && left < takes || may < takes/minTimeDivisor && c.Required {
		s.settle(execution, i, false, DeadlineTooClose, now)
		return
	}
	admitted, broken := d.Admit(now)
	switch {
	case broken:
		s.settle(execution, i, false, BreakerOpen, now)
	case admitted:
		s.send(execution, i, now)
	default:
		state.phase, state.deadline = phaseQueued, now+max(may-takes, 0)
		s.nextTimer = min(s.nextTimer, state.deadline)
		s.enqueue(queuedCall{execution, i, execution.deadline}, now)
	}
}

// enqueue puts a call behind those that are due sooner. Past the bound the one due last goes.
func (s *Scheduler) enqueue(w queuedCall, now time.Duration) {
	d := s.dependencies[w.execution.plan.Calls[w.call].Dependency]
	at := len(d.queue)
	for at > 0 && d.queue[at-1].deadline > w.deadline {
		at--
	}
	if len(d.queue) < d.options.QueueLimit {
		d.queue = slices.Insert(d.queue, at, w)
		return
	}
	last := w
	if at < len(d.queue) {
		last = d.queue[len(d.queue)-1]
		copy(d.queue[at+1:], d.queue[at:len(d.queue)-1])
		d.queue[at] = w
	}
	s.settle(last.execution, last.call, false, OverLimit, now)
}

func (s *Scheduler) dequeue(execution *Execution, i int) {
	d := s.dependencies[execution.plan.Calls[i].Dependency]
	d.queue = slices.DeleteFunc(d.queue, func(w queuedCall) bool { return w.execution == execution && w.call == i })
}

// admitWaiting gives free room to those that wait, by due time.
func (s *Scheduler) admitWaiting(dependency int, now time.Duration) {
	d := s.dependencies[dependency]
	for len(d.queue) > 0 {
		w := d.queue[0]
		if now >= w.execution.deadline { // its time is up, and the timers have not come to it yet
			d.queue = d.queue[:copy(d.queue, d.queue[1:])]
			s.settle(w.execution, w.call, false, OverLimit, now)
			continue
		}
		admitted, broken := d.Admit(now)
		if !admitted && !broken {
			return
		}
		d.queue = d.queue[:copy(d.queue, d.queue[1:])]
		if broken {
			s.settle(w.execution, w.call, false, BreakerOpen, now)
			continue
		}
		s.send(w.execution, w.call, now)
	}
	d.Tick(now)
}

// send makes an attempt for which a slot was taken.
func (s *Scheduler) send(execution *Execution, i int, now time.Duration) {
	state, c := &execution.calls[i], &execution.plan.Calls[i]
	d := s.dependencies[c.Dependency]
	attempt := state.attempts
	state.attempts++
	state.phase, state.inFlight[attempt], state.startedAt[attempt] = phaseInFlight, true, now
	if attempt == 0 {
		d.FirstAttempts++
		state.deadline = now + s.callTimeout(execution, i, now)
		if state.retryOrHedgeAt = 0; c.Hedge && d.hedgeDelay > 0 && now+d.hedgeDelay < state.deadline {
			state.retryOrHedgeAt = now + d.hedgeDelay
			s.nextTimer = min(s.nextTimer, state.retryOrHedgeAt)
		}
	}
	s.nextTimer = min(s.nextTimer, state.deadline)
	s.executor.Send(execution, i, attempt, max(state.deadline-now, 0))
}

// scheduleRetry makes ready a second attempt, where the plan, the time, the budget and the effect allow one. An
// at-most-once call never has one, whatever is said of its first: plans that state one are refused.
func (s *Scheduler) scheduleRetry(execution *Execution, i int, how Outcome, now time.Duration) bool {
	state, c := &execution.calls[i], &execution.plan.Calls[i]
	d := s.dependencies[c.Dependency]
	wait := time.Duration(s.rng.Int63n(int64(maxRetryDelay)))
	if !c.Retry || c.Effect == AtMostOnce || state.attempts >= maxAttempts ||
		now+wait+d.ExpectedDuration(c.Expected) > state.deadline || !d.TakeRetryToken(now) {
		return false
	}
	state.phase, state.retryOrHedgeAt = phaseRetryBackoff, now+wait
	s.nextTimer = min(s.nextTimer, state.retryOrHedgeAt)
	return true
}

// hedge makes a second attempt beside a slow first one, from the same budget as any other.
func (s *Scheduler) hedge(execution *Execution, i int, now time.Duration) {
	state, c := &execution.calls[i], &execution.plan.Calls[i]
	d := s.dependencies[c.Dependency]
	if c.Effect != Read || state.attempts >= maxAttempts || d.slotsInUse() >= int(d.limit) || !d.TakeRetryToken(now) {
		return
	}
	if admitted, _ := d.Admit(now); admitted {
		s.send(execution, i, now)
	}
}

// cancelAttempts cancels the attempts of a call that are still open.
func (s *Scheduler) cancelAttempts(execution *Execution, i int, failed bool, now time.Duration) {
	state := &execution.calls[i]
	for attempt := range state.inFlight {
		if state.inFlight[attempt] {
			state.inFlight[attempt] = false
			s.dependencies[execution.plan.Calls[i].Dependency].CallCancelled(now-state.startedAt[attempt], failed, now)
			s.executor.Cancel(execution, i, attempt)
		}
	}
}

// finish answers a task by what its calls came to.
func (s *Scheduler) finish(execution *Execution, now time.Duration) {
	v := Complete
	for i, c := range execution.plan.Calls {
		if state := &execution.calls[i]; !state.available && c.Required {
			v = Aborted
			break
		} else if !state.available || state.status != Fresh {
			v = Partial
		}
	}
	s.release(execution, now)
	s.executor.Finish(execution, v)
}

// release lets go of all that a task holds.
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
		}
	}
}

// recycle keeps finished flights for the next tasks.
func (s *Scheduler) recycle() {
	if !s.anyFinished {
		return
	}
	s.anyFinished = false
	left := s.executions[:0]
	for _, execution := range s.executions {
		if execution.finished {
			execution.Ref = nil
			s.free = append(s.free, execution)
		} else {
			left = append(left, execution)
		}
	}
	clear(s.executions[len(left):])
	s.executions = left
}

// callTimeout is how much time a call may use: of what is left, the part that it has in the longest expected way from
// it to the end. So the parts along any way never add up to more than the time left, and a call that is done
// sooner leaves the rest to those behind it. One that is not needed gets a few times what it is stated to take and
// no more: while a task waits for it, it takes room in flight from tasks that need nothing of that dependency.
func (s *Scheduler) callTimeout(execution *Execution, i int, now time.Duration) time.Duration {
	left := execution.deadline - now
	if left <= 0 {
		return 0
	}
	own := s.expectedDuration(execution, i)
	way := own + s.remainingPaths(execution)[i]
	may := time.Duration(float64(left) * float64(own) / float64(way))
	if c := &execution.plan.Calls[i]; !c.Required {
		return min(may, optionalTimeoutFactor*c.Expected)
	}
	return min(may, requiredTimeoutFactor*max(own, execution.plan.Calls[i].Expected))
}

func (s *Scheduler) expectedDuration(execution *Execution, i int) time.Duration {
	c := &execution.plan.Calls[i]
	return max(s.dependencies[c.Dependency].ExpectedDuration(c.Expected), time.Microsecond)
}

// remainingPaths are the longest expected ways behind each call.
func (s *Scheduler) remainingPaths(execution *Execution) (tails [MaxCalls]time.Duration) {
	order := execution.plan.order
	for at := len(order) - 1; at >= 0; at-- {
		j := order[at]
		if execution.calls[j].phase == phaseSettled {
			continue
		}
		through := s.expectedDuration(execution, j) + tails[j]
		for i := range execution.plan.Calls {
			if execution.plan.dependsOn[j][i] {
				tails[i] = max(tails[i], through)
			}
		}
	}
	return tails
}

// skipOptional leaves out optional calls while the longest expected way takes more than is left: the one of least
// importance for its time first.
func (s *Scheduler) skipOptional(execution *Execution, now time.Duration) {
	for {
		tails := s.remainingPaths(execution)
		var heads [MaxCalls]time.Duration
		least, worth := -1, 0.0
		for _, i := range execution.plan.order {
			if execution.calls[i].phase == phaseSettled {
				continue
			}
			takes := s.expectedDuration(execution, i)
			for j := range execution.plan.Calls {
				if execution.plan.dependsOn[j][i] {
					heads[j] = max(heads[j], heads[i]+takes)
				}
			}
			c := &execution.plan.Calls[i]
			if c.Required || heads[i]+takes+tails[i] <= execution.deadline-now {
				continue
			}
			if w := c.Value / takes.Seconds(); least < 0 || w < worth {
				least, worth = i, w
			}
		}
		if least < 0 {
			return
		}
		state := &execution.calls[least]
		state.phase, state.status = phaseSettled, DeadlineTooClose
		if execution.plan.Calls[least].Fallback && s.executor.Fallback(execution, least) {
			state.available, state.status = true, UsedFallback
		}
	}
}
