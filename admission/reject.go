package admission

import "time"

const (
	// fasterServer is how many times as fast as this one another server of the fleet may be.
	fasterServer = 2
	// fleetFullLevel is the shed level over which the other servers are taken to be as full as this one.
	fleetFullLevel = 0.06
)

// answerRejected answers a request that never ran. One that is queued stays in the queue until removeAnswered.
func (c *Controller) answerRejected(request *Request, reason RejectReason, w Executor) {
	request.reason = reason
	c.releaseKey(request, w)
	request.answered = true
	w.Reject(request, c.retryAfter(request), c.noRetryElsewhere(request))
}

// retryAfter is how long the caller of a rejected request is asked to stay away: for as long as the request lay unread and
// the queue ahead of it was too long, as those are read or run first.
func (c *Controller) retryAfter(request *Request) time.Duration {
	if !c.settings.RetryAfter {
		return 0
	}
	return min(request.phaseSince-request.Arrived+request.queueExcess, c.settings.MaxRetryAfter)
}

// noRetryElsewhere is whether an attempt at another server would be wasted: not even a faster one has time for the request,
// or the others are as full. Each attempt costs a server the reading of it.
func (c *Controller) noRetryElsewhere(request *Request) bool {
	return request.usefulUntil < c.now+c.expectedWork(request)/fasterServer || c.shedding.level > fleetFullLevel
}

// abort answers a request that ran, or a duplicate whose original may have, and stops its run, so that the core is free for
// work that somebody waits for.
func (c *Controller) abort(request *Request, reason RejectReason, w Executor) {
	request.reason = reason
	request.answered = true
	w.Abort(request)
	switch request.phase {
	case running:
		c.preempt(request, w)
	case awaitingCall, calling: // its memory and its call are released only with the end of its run
	case queued, awaitingOriginal, stopping:
		c.release(request)
	}
}

// preempt stops the run of an answered request, where settings allow that. Elsewhere the run goes on to its end and counts on
// the cores until then.
func (c *Controller) preempt(request *Request, w Executor) {
	if c.settings.Preemption.Allowed() {
		c.enterPhase(request, stopping)
		w.Pause(request)
	}
}
