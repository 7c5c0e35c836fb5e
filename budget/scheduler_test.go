package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// step is an action on a request at a given time, and the decisions that the scheduler then makes.
type step struct {
	at        time.Duration
	act       func(scheduler *Scheduler, execution *Execution, now time.Duration) // nil: only time passes
	decisions []string
}

// ends returns an action that ends a call's first attempt.
func ends(call int, outcome Outcome) func(*Scheduler, *Execution, time.Duration) {
	return func(scheduler *Scheduler, execution *Execution, now time.Duration) {
		scheduler.CallEnded(execution, call, 0, outcome, now)
	}
}

var (
	bothSent       = step{0, nil, []string{"send a/0", "send b/0"}}
	firstSucceeded = step{10 * ms, ends(0, Succeeded), []string{"send c/0"}}
)

var executionCases = []struct {
	name      string
	change    func(*Plan)
	fallbacks []int
	steps     []step
}{
	{"complete", nil, nil, []step{
		bothSent, firstSucceeded,
		{20 * ms, ends(1, Succeeded), nil},
		{30 * ms, ends(2, Succeeded), []string{"finish 0"}},
	}},
	{"an optional call is late: partial, with the available parts", nil, nil, []step{
		bothSent, firstSucceeded,
		{30 * ms, ends(2, Succeeded), nil},
		{80 * ms, nil, []string{"cancel b/0", "finish 1"}},
	}},
	{"a required call failed: aborted at once", func(plan *Plan) { plan.Calls[0].Retry = false }, nil, []step{
		bothSent,
		{10 * ms, ends(0, Failed), []string{"cancel b/0", "finish 2"}},
	}},
	{"a fallback replaces a required part", func(plan *Plan) { plan.Calls[0].Retry, plan.Calls[0].Fallback = false, true }, []int{0}, []step{
		bothSent,
		{10 * ms, ends(0, Failed), []string{"send c/0"}},
	}},
	{"no retry without a token", nil, nil, []step{
		bothSent,
		{10 * ms, ends(0, NotSent), []string{"cancel b/0", "finish 2"}},
	}},
	{"the effect of an at-most-once call is unknown", nil, nil, []step{
		bothSent, firstSucceeded,
		{20 * ms, ends(2, Lost), []string{"cancel b/0", "finish 2"}},
		{25 * ms, func(scheduler *Scheduler, _ *Execution, now time.Duration) { scheduler.CancelledCallEnded(0, now) }, nil},
	}},
	{"the caller has disconnected", nil, nil, []step{
		bothSent,
		{10 * ms, (*Scheduler).Cancel, []string{"cancel a/0", "cancel b/0"}},
		{time.Second, nil, nil},
	}},
}

func TestExecution(t *testing.T) {
	for _, c := range executionCases {
		t.Run(c.name, func(t *testing.T) {
			executor := newRecorder()
			for _, i := range c.fallbacks {
				executor.fallbacks[i] = true
			}
			scheduler, _ := newTestScheduler(executor, 10)
			plan := testPlan(t, c.change)
			execution := scheduler.Start(plan, 0, 300*ms, nil)
			require.NotNil(t, execution)
			for _, s := range c.steps {
				if s.act != nil {
					s.act(scheduler, execution, s.at)
				}
				scheduler.Advance(s.at)
				assert.Equal(t, s.decisions, executor.takeLog(), "at %v", s.at)
			}
		})
	}
}

// A request has less time left than its longest expected path takes. It skips the optional call of least value per
// expected duration instead of missing its deadline.
func TestSkipsOptionalCalls(t *testing.T) {
	executor := newRecorder()
	scheduler, _ := newTestScheduler(executor, 10)
	plan := &Plan{Route: "t", Calls: []Call{
		{Name: "low-value", Value: 1, Expected: 100 * ms},
		{Name: "high-value", Value: 5, Expected: 100 * ms},
		{Name: "last", Required: true, Expected: 100 * ms, After: []int{0, 1}},
	}}
	require.NoError(t, plan.Validate(1, time.Minute))
	plan.Calls[0].Expected = 150 * ms
	scheduler.Start(plan, 0, 220*ms, nil)
	assert.Equal(t, []string{"send high-value/0"}, executor.takeLog())
	scheduler.Start(plan, 0, 150*ms, nil)
	assert.Equal(t, []string{"send last/0"}, executor.takeLog())
}

// More calls wait for a slot than fit into the queue. The one with the latest deadline is dropped, and the one with the
// earliest is sent first; none waits past its deadline.
func TestWaiting(t *testing.T) {
	executor := newRecorder()
	scheduler, d := newTestScheduler(executor, 1)
	plan := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: 10 * ms}}}
	require.NoError(t, plan.Validate(1, time.Minute))
	first := scheduler.Start(plan, 0, time.Second, nil)
	late := scheduler.Start(plan, 0, 900*ms, nil)
	for i := range 3 {
		scheduler.Start(plan, 0, time.Duration(500+i)*ms, nil)
	}
	soon := scheduler.Start(plan, 0, 400*ms, nil) // the fifth: the one with the latest deadline is dropped
	assert.Equal(t, []string{"send a/0", "finish 2"}, executor.takeLog())
	assert.Equal(t, Aborted, executor.verdicts[late])
	assert.Equal(t, []PartStatus{OverLimit}, executor.parts[late])
	scheduler.CallEnded(first, 0, 0, Succeeded, 5*ms)
	assert.Equal(t, []string{"finish 0", "send a/0"}, executor.takeLog())
	assert.Same(t, soon, executor.sent[1].execution)
	assert.Len(t, d.queue, 3)
	scheduler.Advance(700 * ms)
	assert.Empty(t, d.queue, "no call waits past its deadline")
	assert.Zero(t, scheduler.InFlight())
}
