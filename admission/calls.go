package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	lostCallFactor       = 8.0 // times as long as usual after which a call that may be made again is abandoned
	maxCallBackoffPower  = 6   // doublings of the wait between attempts of a call
	minCallWorkDivisor   = 4   // part of its expected work, as a divisor, that a run at its call is taken to need at least
	callTurnsForSlack    = 2   // turns of its call for which a request must have time, to wait for it rather than skip it
	minWindowCallTimings = 2   // call times for which a call beyond the share is waited for at least
)

// endCall takes the end of a call. After a call that did not succeed, a request skips its call, waits for another attempt, or
// is aborted where another attempt might repeat an effect.
func (c *Controller) endCall(end Completion, w Executor) {
	request := end.Request
	if request.phase != calling {
		return
	}
	c.enterPhase(request, awaitingCall)
	c.recordCall(end)
	if end.Outcome == Succeeded {
		c.enterPhase(request, running)
		return
	}
	c.backOffCall(request)
	switch {
	case request.answered || end.Outcome == NotRun:
	case request.Route.SkipValueShare > 0:
		c.enterPhase(request, running)
		w.SkipCall(request)
	case request.Route.Idempotency != Retryable:
		c.abort(request, ReasonCallUnclear, w)
	}
}

// recordCall takes the end of a call into what is known of calls.
func (c *Controller) recordCall(end Completion) {
	calls, took := &c.calls, end.Took.Seconds()
	switch end.Outcome {
	case Succeeded:
		calls.outcomes.add(c.now, 1, took)
		calls.seconds.add(took, callMeanSamples)
		calls.sample.add(took, c.now)
	case Unknown: // abandoned: its time is only this server's patience, and it stays the dependency's load for a while
		calls.outcomes.add(c.now, 1, took)
		calls.charge(c.now, c.settings.CallLinger)
		calls.assumeAtLeast(took)
	case Failed, NotRun, Stopped, NeverStarted:
		calls.outcomes.add(c.now, 0, 0, 1)
	}
}

// backOffCall sets when the request's call may be made again: later each time and with jitter, as a call that is rejected
// costs the dependency work too, and many servers retry at once.
func (c *Controller) backOffCall(request *Request) {
	request.callFailures++
	usual := max(c.calls.seconds.mean, c.calls.peerCallSeconds(), tickInterval.Seconds())
	wait := usual * callBackoff(request)
	wait *= 0.5 + c.random.Float64()
	request.callNotBefore = c.now + time.Duration(wait*float64(time.Second))
}

// callBackoff is the factor by which an attempt of a call waits longer than the first.
func callBackoff(request *Request) float64 {
	return math.Exp2(float64(min(request.callFailures, maxCallBackoffPower)))
}

// placeCalls makes the calls that may be made now. Requests that lose most value without their call go first, then the most
// urgent. One whose call would return too late skips it, where that earns anything.
func (c *Controller) placeCalls(w Executor) {
	waiting, inProgress := c.waitingCalls()
	count := c.inFlight()
	slowdown := max(1, count.total/c.settings.Cores) // by which all that is in flight slows each run down
	for ahead, request := range waiting {
		if request.answered {
			continue // its run ends here by itself
		}
		rest := time.Duration(slowdown * float64(c.remainingWork(request, minCallWorkDivisor)))
		switch {
		case c.skipsCall(request, rest, float64(ahead), inProgress):
			c.enterPhase(request, running)
			w.SkipCall(request)
		case c.now < request.callNotBefore:
		case !c.mayCall(inProgress, count.onCores):
			c.calls.delayed = true
		default:
			timeout := c.callTimeout(request, rest, inProgress)
			inProgress++
			request.calledAt = c.now
			c.enterPhase(request, calling)
			w.Call(request, timeout)
		}
	}
}

// waitingCalls are the requests that wait until their call may be made, in the order in which they go, and the number of
// calls in progress.
func (c *Controller) waitingCalls() (waiting []*Request, inProgress float64) {
	for _, request := range c.active {
		switch request.phase {
		case awaitingCall:
			waiting = append(waiting, request)
		case calling:
			inProgress++
		case queued, running, awaitingOriginal, stopping:
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(b.lossWithoutCall(), a.lossWithoutCall()), cmp.Compare(a.usefulUntil, b.usefulUntil))
	})
	return waiting, inProgress
}

// lossWithoutCall is the value that is lost when the request skips its call.
func (r *Request) lossWithoutCall() float64 { return r.Route.Value * (1 - r.Route.SkipValueShare) }

// skipsCall is whether a request that can skip its call does: while the dependency is strained and little capacity is left,
// which then belongs to those that can't, or where there is no time for the call and its turn. Requests ahead use up the credit
// first; rest is the time that the run takes after its call.
func (c *Controller) skipsCall(request *Request, rest time.Duration, ahead, inProgress float64) bool {
	calls := &c.calls
	turn := c.callTime()
	if behind := (ahead+inProgress)*turn.Seconds() - calls.credit; behind > 0 {
		turn += time.Duration(behind / calls.capacity * float64(time.Second))
	}
	spare := !calls.strained ||
		inProgress+1 <= max(minCallSlots, calls.capacity*strainedSkipShare) && calls.credit > calls.capacity*strainedSkipShare
	return request.Route.SkipValueShare > 0 && (!spare || c.now+rest+callTurnsForSlack*turn > request.usefulUntil)
}

// mayCall is whether one more call may be made.
func (c *Controller) mayCall(inProgress, onCores float64) bool {
	calls := &c.calls
	return inProgress+1 <= max(minCallSlots, calls.capacity) && calls.credit > 0 && calls.hasTurn() &&
		onCores+inProgress+1 <= c.maxConcurrency()
}

// callTimeout is how long a call is waited for: no longer than its request is useful.
func (c *Controller) callTimeout(request *Request, rest time.Duration, inProgress float64) time.Duration {
	calls := &c.calls
	timeout := request.usefulUntil - c.now
	if request.Route.SkipValueShare > 0 {
		timeout -= rest
	}
	if inProgress+1 > calls.quota {
		// The share is survived on the mean over the window: a call beyond it may last only for what the window has left.
		left := calls.quota*c.settings.CallWindow.Seconds()*plannedShare - calls.inProgress.sum(c.now)[0]
		left -= c.settings.CallLinger.Seconds()
		timeout = min(timeout, max(time.Duration(left*float64(time.Second)), minWindowCallTimings*c.callTime()))
	}
	if calls.seconds.count > 0 && request.Route.Idempotency == Retryable {
		// A call that is never answered would keep its place until its request is aborted. It is made again, with a longer timeout
		// each time, as the dependency may only have grown slow.
		lost := calls.seconds.mean * lostCallFactor * callBackoff(request)
		timeout = min(timeout, time.Duration(lost*float64(time.Second)))
	}
	return max(timeout, tickInterval)
}
