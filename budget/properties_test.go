package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawPlan draws any valid plan.
func drawPlan(t *rapid.T) *Plan {
	plan := &Plan{Route: "t", Reserve: time.Duration(rapid.IntRange(0, 20).Draw(t, "reserve")) * ms}
	for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
		c := Call{
			Name: fmt.Sprint("call ", i), Required: i == 0 || rapid.Bool().Draw(t, "required"),
			Expected: time.Duration(rapid.IntRange(1, 100).Draw(t, "expected")) * ms,
			Value:    float64(rapid.IntRange(0, 5).Draw(t, "value")), Dependency: rapid.IntRange(0, 1).Draw(t, "dependency"),
			Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
		}
		c.Retry = c.Effect != AtMostOnce && rapid.Bool().Draw(t, "retry")
		c.Hedge = c.Effect == Read && rapid.Bool().Draw(t, "hedge")
		for a := range i {
			if rapid.IntRange(0, 3).Draw(t, "after") == 0 {
				c.After = append(c.After, a)
			}
		}
		plan.Calls = append(plan.Calls, c)
	}
	require.NoError(t, plan.Validate(2, time.Hour))
	return plan
}

// invariantChecker is a recorder that checks each attempt that is sent.
type invariantChecker struct {
	*recorder
	t         *rapid.T
	now       time.Duration
	deadlines map[*Execution]time.Duration // of the requests, by the Ref of their executions
}

func (c *invariantChecker) Send(execution *Execution, call, attempt int, timeout time.Duration) {
	c.recorder.Send(execution, call, attempt, timeout)
	planned := execution.plan.Calls[call]
	assert.LessOrEqual(c.t, c.now+timeout, c.deadlines[execution.Ref.(*Execution)], "a call outlasts its request")
	if planned.Effect == AtMostOnce {
		assert.Zero(c.t, attempt, "an at-most-once call was sent again")
	}
}

// endOrCancel ends one attempt in flight. If there is none, it may cancel a request. It returns the number of requests
// cancelled.
func (c *invariantChecker) endOrCancel(t *rapid.T, scheduler *Scheduler) (cancelled int) {
	var inFlight []sentCall
	for _, s := range c.sent {
		if !s.execution.finished && s.execution.Ref != nil && s.execution.calls[s.call].inFlight[s.attempt] {
			inFlight = append(inFlight, s)
		}
	}
	if len(inFlight) > 0 {
		s := rapid.SampledFrom(inFlight).Draw(t, "ends")
		scheduler.CallEnded(s.execution, s.call, s.attempt, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), c.now)
	} else if len(scheduler.executions) > 0 && rapid.Bool().Draw(t, "cancel") {
		scheduler.Cancel(scheduler.executions[0], c.now)
		return 1
	}
	return 0
}

func assertBounds(t *rapid.T, deps []*Dependency, maxInFlight int) {
	for _, d := range deps {
		assert.GreaterOrEqual(t, d.limit, 1.0)
		assert.LessOrEqual(t, d.limit, float64(maxInFlight))
		assert.LessOrEqual(t, d.slotsInUse(), maxInFlight)
		assert.GreaterOrEqual(t, d.inFlight, 0)
		assert.LessOrEqual(t, len(d.queue), d.options.QueueLimit)
	}
}

// Attempts end in any order, and requests start and are cancelled at any time. Limits stay within their bounds, no
// at-most-once call is sent twice, no request is finished twice or past its deadline, and no slot or queue place is
// leaked.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := &invariantChecker{recorder: newRecorder(), t: t, deadlines: map[*Execution]time.Duration{}}
		maxInFlight := rapid.IntRange(1, 6).Draw(t, "max in flight")
		deps := []*Dependency{NewDependency(testOptions(maxInFlight), 1), NewDependency(testOptions(maxInFlight), 2)}
		scheduler := NewScheduler(deps, checker, 3)
		plan := drawPlan(t)
		started, cancelled := 0, 0
		latest := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			checker.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "elapsed")) * ms
			scheduler.Advance(checker.now)
			for _, execution := range scheduler.executions {
				assert.Less(t, checker.now, execution.deadline, "a request outlasts its deadline")
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				ref := &Execution{}
				deadline := checker.now + time.Duration(rapid.IntRange(1, 500).Draw(t, "time"))*ms
				checker.deadlines[ref], latest = deadline, max(latest, deadline)
				started++
				scheduler.Start(plan, checker.now, deadline, ref)
			default:
				cancelled += checker.endOrCancel(t, scheduler)
			}
			assertBounds(t, deps, maxInFlight)
		}
		scheduler.Advance(latest + time.Second)
		scheduler.Advance(latest + 5*time.Second)
		assert.Zero(t, scheduler.InFlight())
		finished := 0
		for _, s := range checker.log {
			if len(s) > 6 && s[:6] == "finish" {
				finished++
			}
		}
		assert.Equal(t, started, finished+cancelled, "each request is finished once")
		for _, d := range deps {
			assert.Zero(t, d.slotsInUse(), "a slot is leaked")
			assert.Empty(t, d.queue)
		}
	})
}

// Each call uses its whole timeout. Along any path of a plan, the timeouts never add up to more than the time left.
func TestTimeoutsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := drawPlan(t)
		deadline := time.Duration(rapid.IntRange(30, 2000).Draw(t, "time")) * ms
		scheduler := NewScheduler([]*Dependency{NewDependency(testOptions(50), 1), NewDependency(testOptions(50), 2)}, newRecorder(), 1)
		execution := &Execution{plan: plan, deadline: deadline}
		var ends [MaxCalls]time.Duration
		for _, i := range plan.order {
			start := time.Duration(0)
			for a := range plan.Calls {
				if plan.dependsOn[i][a] {
					start = max(start, ends[a])
				}
			}
			ends[i] = start + scheduler.callTimeout(execution, i, start)
			assert.LessOrEqual(t, ends[i], deadline+time.Microsecond)
		}
	})
}
