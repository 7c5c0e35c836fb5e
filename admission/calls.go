package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quartzpoint/saturate"
)

const (
	lostCallFactor        = 8.0 // multiple of the mean call time after which a call that may be repeated is abandoned
	maxCallBackoffPower   = 6   // maximum number of doublings of the delay between attempts of a call
	minCallWorkDivisor    = 4   // minimum work assumed to remain after a run's call: its expected work divided by this
	minCallTurnarounds    = 2   // turnarounds (wait and call) for which there has to be time; otherwise the request skips its call
	minOverQuotaCallTimes = 2   // minimum timeout of a call beyond the quota, in mean call times
)

// endCall processes the end of a call. After a call that did not succeed, the request skips its call, waits for another
// attempt, or is aborted if another attempt might repeat an effect.
func (c *Controller) endCall(end Completion, executor Executor) {
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
		executor.SkipCall(request)
	case request.Route.Idempotency != Retryable:
		c.abort(request, ReasonCallUnclear, executor)
	}
}

// recordCall adds an ended call to the statistics of calls.
func (c *Controller) recordCall(end Completion) {
	calls, took := &c.calls, end.Took.Seconds()
	switch end.Outcome {
	case Succeeded:
		calls.outcomes.add(c.now, 1, took)
		calls.seconds.add(took, callMeanSamples)
		calls.sample.add(took, c.now)
	case Unknown: // abandoned: its time is only this server's timeout, and it still loads the dependency for a while
		calls.outcomes.add(c.now, 1, took)
		calls.charge(c.now, c.settings.CallLinger)
		calls.assumeAtLeast(took)
	case Failed, NotRun, Stopped, NeverStarted:
		calls.outcomes.add(c.now, 0, 0, 1)
	}
}

// backOffCall sets when the request's call may be made again. The delay grows with each attempt and has jitter, as a
// rejected call costs the dependency work too, and many servers retry at once.
func (c *Controller) backOffCall(request *Request) {
	request.callFailures++
	usual := max(c.calls.seconds.mean, c.calls.peerCallSeconds(), tickInterval.Seconds())
	wait := usual * callBackoff(request)
	wait *= 0.5 + c.random.Float64()
	request.callNotBefore = c.now + saturate.Seconds(wait)
}

// callBackoff returns the backoff factor of the request's call. It doubles with each attempt that did not succeed, up
// to maxCallBackoffPower times.
func callBackoff(request *Request) float64 {
	return math.Exp2(float64(min(request.callFailures, maxCallBackoffPower)))
}

// placeCalls makes the calls that may be made now. The requests that lose most value without their call go first, then
// those with the least time left. A request whose call would return too late skips it, if an answer without it earns
// value.
func (c *Controller) placeCalls(executor Executor) {
	waiting, inProgress := c.waitingCalls()
	count := c.inFlight()
	slowdown := max(1, count.total/c.settings.Cores) // factor by which the requests in flight slow each run down
	for ahead, request := range waiting {
		if request.answered {
			continue // its run ends without a call
		}
		rest := saturate.Nanoseconds(slowdown * float64(c.remainingWork(request, minCallWorkDivisor)))
		switch {
		case c.skipsCall(request, rest, float64(ahead), inProgress):
			c.enterPhase(request, running)
			executor.SkipCall(request)
		case c.now < request.callNotBefore:
		case !c.mayCall(inProgress, count.onCores):
			c.calls.delayed = true
		default:
			timeout := c.callTimeout(request, rest, inProgress)
			inProgress++
			request.calledAt = c.now
			c.enterPhase(request, calling)
			executor.Call(request, timeout)
		}
	}
}

// waitingCalls returns the requests that wait until their call may be made, in the order in which calls are made, and
// the number of calls in progress.
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

// lossWithoutCall returns the value that is lost if the request skips its call.
func (r *Request) lossWithoutCall() float64 { return r.Route.Value * (1 - r.Route.SkipValueShare) }

// skipsCall reports whether a request skips its call. Only a request that can skip it does, and for one of two reasons:
//
//   - The dependency is strained and little capacity is left, which is reserved for requests that can't skip their calls.
//   - There is no time for the call and the wait before it. Requests ahead use up the credit first.
//
// rest is the time that the run takes after its call.
func (c *Controller) skipsCall(request *Request, rest time.Duration, ahead, inProgress float64) bool {
	calls := &c.calls
	turnaround := c.callTime()
	if deficit := (ahead+inProgress)*turnaround.Seconds() - calls.credit; deficit > 0 {
		turnaround += saturate.Seconds(deficit / calls.capacity)
	}
	hasSpare := !calls.strained ||
		inProgress+1 <= max(minCallSlots, calls.capacity*strainedSkipShare) && calls.credit > calls.capacity*strainedSkipShare
	return request.Route.SkipValueShare > 0 && (!hasSpare || c.now+rest+minCallTurnarounds*turnaround > request.usefulUntil)
}

// mayCall reports whether one more call may be made.
func (c *Controller) mayCall(inProgress, onCores float64) bool {
	calls := &c.calls
	return inProgress+1 <= max(minCallSlots, calls.capacity) && calls.credit > 0 && calls.pacingAllows() &&
		onCores+inProgress+1 <= c.maxConcurrency()
}

// callTimeout returns the timeout of a call: at most the time for which an answer to its request earns value.
func (c *Controller) callTimeout(request *Request, rest time.Duration, inProgress float64) time.Duration {
	calls := &c.calls
	timeout := request.usefulUntil - c.now
	if request.Route.SkipValueShare > 0 { // after the timeout, its run still has to continue without the call
		timeout -= rest
	}
	if inProgress+1 > calls.quota {
		// The dependency survives the quota as a mean over the window: a call beyond it may last only for what is left
		// in the window.
		left := calls.quota*c.settings.CallWindow.Seconds()*plannedShare - calls.inProgress.sum(c.now)[0]
		left -= c.settings.CallLinger.Seconds()
		timeout = min(timeout, max(saturate.Seconds(left), minOverQuotaCallTimes*c.callTime()))
	}
	if calls.seconds.count > 0 && request.Route.Idempotency == Retryable {
		// A call that is never answered would use up capacity until its request is aborted. It is abandoned and made
		// again, with a longer timeout each time, as the dependency may only have become slow.
		lost := calls.seconds.mean * lostCallFactor * callBackoff(request)
		timeout = min(timeout, saturate.Seconds(lost))
	}
	return max(timeout, tickInterval)
}
