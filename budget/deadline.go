package budget

import (
	"time"

	"quartzpoint/saturate"
)

const (
	optionalTimeoutFactor = 4 // maximum timeout of an optional call, as a multiple of its configured duration
	// requiredTimeoutFactor is the maximum timeout of a required call, as a multiple of the longer of its expected and
	// configured durations: after that it is most likely lost.
	requiredTimeoutFactor = 12
	minTimeDivisor        = 4 // a required call is not started if its timeout is below its expected duration divided by this
)

// callTimeout returns the timeout of a call: the time left to the request, times the call's expected duration, divided
// by that of the longest expected path from the call to the end. So the timeouts along any path never add up to more
// than the time left, and time that a call leaves unused is available to the calls that depend on it.
//
// The timeout of an optional call is at most optionalTimeoutFactor times its configured duration: a request that waits
// for it is in flight and uses capacity that requests without this dependency could use.
func (s *Scheduler) callTimeout(execution *Execution, call int, now time.Duration) time.Duration {
	remaining := execution.deadline - now
	if remaining <= 0 {
		return 0
	}
	expected := s.expectedDuration(execution, call)
	path := expected + s.remainingPaths(execution)[call]
	timeout := saturate.Nanoseconds(float64(remaining) * float64(expected) / float64(path))
	c := &execution.plan.Calls[call]
	if !c.Required {
		return min(timeout, optionalTimeoutFactor*c.Expected)
	}
	return min(timeout, requiredTimeoutFactor*max(expected, c.Expected))
}

// canEndInTime reports whether a call has a chance to end in time. An optional call is started even if its timeout is
// below its expected duration, as long as the time left to the request is not: otherwise a dependency that was slow
// once would never be measured again, and would stay skipped after it has recovered. The breaker limits the number of
// such calls.
func (s *Scheduler) canEndInTime(execution *Execution, call int, timeout, expected, now time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	if execution.plan.Calls[call].Required {
		return timeout >= expected/minTimeDivisor
	}
	return execution.deadline-now >= expected
}

// expectedDuration returns the expected duration of a call. It is above 0, because it is used as a divisor.
func (s *Scheduler) expectedDuration(execution *Execution, call int) time.Duration {
	c := &execution.plan.Calls[call]
	return max(s.dependencies[c.Dependency].ExpectedDuration(c.Expected), time.Microsecond)
}

// remainingPaths returns, for each call, the duration of the longest expected path of unsettled calls that depend on
// it.
func (s *Scheduler) remainingPaths(execution *Execution) (paths [MaxCalls]time.Duration) {
	order := execution.plan.order
	for at := len(order) - 1; at >= 0; at-- {
		dependent := order[at]
		if execution.calls[dependent].phase == phaseSettled {
			continue
		}
		path := s.expectedDuration(execution, dependent) + paths[dependent]
		for i := range execution.plan.Calls {
			if execution.plan.dependsOn[dependent][i] {
				paths[i] = max(paths[i], path)
			}
		}
	}
	return paths
}

// skipOptional settles optional calls, the one of least value per expected duration first, until the longest expected
// path fits into the time left or has no more optional calls.
func (s *Scheduler) skipOptional(execution *Execution, now time.Duration) {
	for {
		call := s.leastValuable(execution, now)
		if call < 0 {
			return
		}
		s.setPart(execution, call, false, DeadlineTooClose)
	}
}

// leastValuable returns the optional call of least value per expected duration among those on paths that take longer
// than the time left, or -1 if there is none.
func (s *Scheduler) leastValuable(execution *Execution, now time.Duration) int {
	after := s.remainingPaths(execution)
	var before [MaxCalls]time.Duration
	least, leastValue := -1, 0.0
	for _, i := range execution.plan.order {
		if execution.calls[i].phase == phaseSettled {
			continue
		}
		expected := s.expectedDuration(execution, i)
		for j := range execution.plan.Calls {
			if execution.plan.dependsOn[j][i] {
				before[j] = max(before[j], before[i]+expected)
			}
		}
		c := &execution.plan.Calls[i]
		if c.Required || before[i]+expected+after[i] <= execution.deadline-now {
			continue
		}
		if value := c.Value / expected.Seconds(); least < 0 || value < leastValue {
			least, leastValue = i, value
		}
	}
	return least
}

// finishAtDeadline answers a request with the parts that are available.
func (s *Scheduler) finishAtDeadline(execution *Execution, now time.Duration) {
	for i := range execution.plan.Calls {
		state, c := &execution.calls[i], &execution.plan.Calls[i]
		status := DeadlineTooClose
		switch state.phase {
		case phaseSettled:
			continue
		case phaseInFlight:
			s.cancelAttempts(execution, i, true, now)
			status = timedOutStatus(c)
		case phaseQueued:
			s.dequeue(execution, i)
			status = OverLimit
		case phasePending, phaseRetryBackoff:
		}
		s.setPart(execution, i, false, status)
	}
	s.finish(execution, now)
}
