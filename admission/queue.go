package admission

import (
	"slices"
)

// answerMargin is the time before its deadline by which a request is answered: a tick may be late by one interval, and
// the answer takes time to arrive.
const answerMargin = 2 * tickInterval

// arrive processes a request that was read: a duplicate waits for its original; a request past the grace of a shutdown
// or without memory for its idempotency key is rejected; all others are queued. A duplicate is never rejected, as its
// original may have run, and it needs no grace, as it does not run itself.
func (c *Controller) arrive(request *Request, executor Executor) {
	c.setDeadlines(request)
	c.countArrival(request)
	if request.Duplicate {
		c.enterPhase(request, awaitingOriginal)
		c.active = append(c.active, request)
		executor.AnswerFromOriginal(request)
		return
	}
	if c.drain.begun() && c.drain.pastGrace(request.ReceivedAt(), c.settings.Grace) {
		c.answerRejected(request, ReasonDraining, executor)
		return
	}
	if request.Route.Idempotency == Keyed && !c.rememberKey(request, executor) {
		c.answerRejected(request, ReasonMemory, executor)
		return
	}
	c.enqueue(request)
}

// setDeadlines sets when the request is answered at the latest, and until when an answer earns value. In a drain both are
// before the stop.
func (c *Controller) setDeadlines(request *Request) {
	request.chargedAt = c.now
	request.answerBy = request.Arrived + request.Route.Deadline
	if request.Deadline > 0 {
		request.answerBy = request.Deadline
	}
	request.answerBy -= answerMargin
	request.usefulUntil = request.answerBy
	if request.Route.LateValueShare == 0 {
		request.usefulUntil = min(request.answerBy, request.Arrived+request.Route.LatencyTarget)
	}
	if c.drain.begun() {
		c.drain.capDeadlines(request)
	}
}

// countArrival adds a request to the statistics of arrivals.
func (c *Controller) countArrival(request *Request) {
	c.shedding.addRead(c.now, request)
	c.connections.add(c.now, request.Router, c.settings.IdleTimeout)
	c.tenants.add(request.Tenant, c.now)
	if request.Rank >= c.shedding.level {
		c.shedding.addOffered(c.now, c.expectedWork(request))
	}
}

// rememberKey creates the entry of the request's idempotency key, before any run, so that no duplicate is taken for a
// new request. It returns false if there is no memory for the entry.
func (c *Controller) rememberKey(request *Request, executor Executor) bool {
	if c.memoryUsedKB()+c.settings.KeyKB+request.QueuedKB > c.memoryKB() {
		return false
	}
	request.key = &keyEntry{expiresAt: request.Arrived + request.Route.DedupWindow + tickInterval}
	c.keys = append(c.keys, request.key)
	executor.RememberKey(request, request.key.expiresAt-c.now)
	return true
}

// releaseKey drops the idempotency key of a request that never ran. The key of one that ran stays known for its whole
// dedup window.
func (c *Controller) releaseKey(request *Request, executor Executor) {
	if released := request.key; released != nil && !request.started {
		request.key = nil
		c.keys = slices.DeleteFunc(c.keys, func(other *keyEntry) bool { return other == released })
		executor.ForgetKey(request)
	}
}

// expireKeys removes the entries whose dedup window has ended.
func (c *Controller) expireKeys() {
	c.keys = slices.DeleteFunc(c.keys, func(key *keyEntry) bool { return key.expiresAt <= c.now })
}

// enqueue inserts a request after all requests with the same or an earlier answerBy.
func (c *Controller) enqueue(request *Request) {
	i, _ := slices.BinarySearchFunc(c.queue, request, func(a, b *Request) int {
		if a.answerBy <= b.answerBy {
			return -1
		}
		return 1
	})
	c.queue = slices.Insert(c.queue, i, request)
}

// cancel releases the resources of a request whose caller no longer waits. A run on the cores is stopped only if the
// request is retryable: the caller of a keyed one may retry with its key, and is then answered from this run.
func (c *Controller) cancel(request *Request, executor Executor) {
	switch request.phase {
	case queued, awaitingOriginal:
		c.releaseKey(request, executor)
		request.answered = true
		c.release(request)
	case running, awaitingCall, calling:
		request.answered = true
		if request.phase == running && request.Route.Idempotency == Retryable {
			c.preempt(request, executor)
		}
	case stopping:
	}
}

// removeAnswered removes the answered requests from the queue in one pass, as a burst may have shed thousands.
func (c *Controller) removeAnswered() {
	c.queue = slices.DeleteFunc(c.queue, func(request *Request) bool { return request.answered })
}

// expireRequests answers the requests, in any phase, for which an answer no longer earns value.
func (c *Controller) expireRequests(executor Executor) {
	expired := false
	for _, request := range c.queue {
		if c.now >= request.usefulUntil {
			c.answerRejected(request, c.expiryReason(request), executor)
			expired = true
		}
	}
	if expired {
		c.removeAnswered()
	}
	c.scratch.active = append(c.scratch.active[:0], c.active...)
	for _, request := range c.scratch.active {
		if c.now >= request.usefulUntil && !request.answered {
			c.abort(request, c.expiryReason(request), executor)
		}
	}
}

// expiryReason returns why a request expired: by its own deadline, or by the stop of the server.
func (c *Controller) expiryReason(request *Request) RejectReason {
	if c.drain.begun() && request.usefulUntil == c.drain.deadline {
		return ReasonDraining
	}
	return ReasonExpired
}
