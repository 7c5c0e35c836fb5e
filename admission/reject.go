package admission

import "time"

const (
	// maxServerSpeedRatio is the assumed maximum ratio of the speed of another server of the fleet to that of this one.
	maxServerSpeedRatio = 2
	// fleetFullLevel is the shed level above which the other servers are assumed to be as full as this one.
	fleetFullLevel = 0.06
)

// answerRejected rejects a request that never ran. One that is queued stays in the queue until removeAnswered.
func (c *Controller) answerRejected(request *Request, reason RejectReason, executor Executor) {
	request.reason = reason
	c.releaseKey(request, executor)
	request.answered = true
	executor.Reject(request, c.retryAfter(request), c.noRetryElsewhere(request))
}

// retryAfter returns how long the caller of a rejected request is asked to wait before a retry: the time that the
// request waited unread plus the time by which the queue ahead of it was too long, as the requests ahead are read or
// run first.
func (c *Controller) retryAfter(request *Request) time.Duration {
	if !c.settings.RetryAfter {
		return 0
	}
	return min(request.chargedAt-request.Arrived+request.queueExcess, c.settings.MaxRetryAfter)
}

// noRetryElsewhere reports whether an attempt at another server would be wasted: not even a faster one has time for the
// request, or the others are as full. Each attempt costs a server the reading of it.
func (c *Controller) noRetryElsewhere(request *Request) bool {
	return request.usefulUntil < c.now+c.expectedWork(request)/maxServerSpeedRatio || c.shedding.level > fleetFullLevel
}

// abort answers a request that ran, or a duplicate whose original may have run, without a result. It stops the run to
// free the core for requests whose callers still wait.
func (c *Controller) abort(request *Request, reason RejectReason, executor Executor) {
	request.reason = reason
	request.answered = true
	executor.Abort(request)
	switch request.phase {
	case running:
		c.preempt(request, executor)
	case awaitingCall, calling: // its memory and its call are released only when its run ends
	case queued, awaitingOriginal, stopping:
		c.release(request)
	}
}

// preempt stops the run of an answered request, if the settings allow that. Otherwise the run continues to its end and
// counts on the cores until then.
func (c *Controller) preempt(request *Request, executor Executor) {
	if c.settings.Preemption.Allowed() {
		c.enterPhase(request, stopping)
		executor.Pause(request)
	}
}
