package budget

import "time"

const (
	optionalTimeoutFactor = 4  // times its configured duration that an optional call may take
	requiredTimeoutFactor = 12 // times its expected duration that a required call may take: after that it is most likely lost
	minTimeDivisor        = 4  // a required call is not started in less than this part of its expected duration
)

// callTimeout is the time that a call gets: of the time left to the request, the part that the call's expected duration
// has in the longest expected path from it to the end. So the timeouts along any path never add up to more than the time
// left, and a call that ends early leaves the rest to those behind it.
//
// An optional call gets optionalTimeoutFactor times its configured duration at the most: while a request waits for it, it
// holds a place in flight that requests without this dependency could use.
func (s *Scheduler) callTimeout(execution *Execution, call int, now time.Duration) time.Duration {
	remaining := execution.deadline - now
	if remaining <= 0 {
		return 0
	}
	own := s.expectedDuration(execution, call)
	path := own + s.remainingPaths(execution)[call]
	timeout := time.Duration(float64(remaining) * float64(own) / float64(path))
	c := &execution.plan.Calls[call]
	if !c.Required {
		return min(timeout, optionalTimeoutFactor*c.Expected)
	}
	return min(timeout, requiredTimeoutFactor*max(own, c.Expected))
}

// worthStarting reports whether a call has a chance to end in time. An optional call is started even where its timeout is
// under its expected duration: else a dependency that was slow once would never be measured again, and stay skipped after
// it has recovered. The breaker keeps such calls few.
func (s *Scheduler) worthStarting(execution *Execution, call int, timeout, expected, now time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	if execution.plan.Calls[call].Required {
		return timeout >= expected/minTimeDivisor
	}
	return execution.deadline-now >= expected
}

// expectedDuration of a call; above 0, as it is divided by.
func (s *Scheduler) expectedDuration(execution *Execution, call int) time.Duration {
	c := &execution.plan.Calls[call]
	return max(s.dependencies[c.Dependency].ExpectedDuration(c.Expected), time.Microsecond)
}

// remainingPaths are, for each call, the longest expected path of unsettled calls behind it.
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

// skipOptional settles optional calls, the one of least value for its time first, until the longest expected path fits
// into the time left or has no optional calls any more.
func (s *Scheduler) skipOptional(execution *Execution, now time.Duration) {
	for {
		call := s.leastValuable(execution, now)
		if call < 0 {
			return
		}
		s.setPart(execution, call, false, DeadlineTooClose)
	}
}

// leastValuable is the optional call of least value for its time among those on paths that take longer than the time
// left, or -1 without one.
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

// finishAtDeadline answers a request with the parts that are there.
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
