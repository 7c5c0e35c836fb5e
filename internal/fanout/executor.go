package fanout

import (
	"time"

	"quartzpoint/budget"
)

// Send sends an attempt of a call. It implements budget.Executor, as do Cancel, Fallback and Finish.
func (c *Composer) Send(execution *budget.Execution, call, index int, timeout time.Duration) {
	r := execution.Ref.(*request)
	planned := &r.route.Plan.Calls[call]
	attempt := &Attempt{
		Op: r.route.Calls[call].Op, Body: r.body, Timeout: timeout,
		execution: execution, call: call, index: index, dependency: planned.Dependency,
	}
	if planned.Effect != budget.Read {
		attempt.IdempotencyKey = r.id + "/" + planned.Name
	}
	r.attempts[call][index] = attempt
	if !c.transports[attempt.dependency].Send(attempt) {
		c.unsent = append(c.unsent, attempt)
	}
}

// Cancel cancels an attempt. A call with an effect is not cancelled at the dependency, because it may have begun there.
func (c *Composer) Cancel(execution *budget.Execution, call, index int) {
	r := execution.Ref.(*request)
	attempt := r.attempts[call][index]
	r.attempts[call][index] = nil
	attempt.cancelled = true
	if attempt.IdempotencyKey == "" {
		c.transports[attempt.dependency].Cancel(attempt)
	}
}

// Fallback replaces a part with a stored result that is not too old, or otherwise with the configured constant. It
// reports whether there is one of them.
func (c *Composer) Fallback(execution *budget.Execution, call int) bool {
	r := execution.Ref.(*request)
	config := r.route.Calls[call]
	if config.MaxStale > 0 {
		body, age, found := c.cache.load(r.cacheKey(call), c.now())
		if found && age <= config.MaxStale {
			r.parts[call], r.ages[call] = body, max(age, 1)
			return true
		}
	}
	if config.Default != nil {
		r.parts[call] = config.Default
		return true
	}
	return false
}

// Finish answers a request. The answer of an aborted request contains the available parts too.
func (c *Composer) Finish(execution *budget.Execution, verdict budget.Verdict) {
	r := execution.Ref.(*request)
	answer, truncated, hasRequired := r.compose(execution, verdict)
	if truncated {
		c.counts.Count("composed answer too long, parts left out")
	}
	if verdict == budget.Aborted || !hasRequired {
		c.finish(r, runInterrupted, answer)
	} else {
		c.finish(r, runSucceeded, answer)
	}
}
