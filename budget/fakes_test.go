package budget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain makes rapid draw the same cases in every run, unless -rapid.seed states a seed.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

const ms = time.Millisecond

// recorder is an Executor that records the decisions.
type recorder struct {
	log       []string
	fallbacks map[int]bool // whether there is a fallback, by call
	sent      []sentCall
	verdicts  map[*Execution]Verdict
	parts     map[*Execution][]PartStatus
}

type sentCall struct {
	execution     *Execution
	call, attempt int
	timeout       time.Duration
}

func (r *recorder) Send(execution *Execution, call, attempt int, timeout time.Duration) {
	r.log = append(r.log, fmt.Sprintf("send %s/%d", execution.plan.Calls[call].Name, attempt))
	r.sent = append(r.sent, sentCall{execution, call, attempt, timeout})
}

func (r *recorder) Cancel(execution *Execution, call, attempt int) {
	r.log = append(r.log, fmt.Sprintf("cancel %s/%d", execution.plan.Calls[call].Name, attempt))
}
func (r *recorder) Fallback(_ *Execution, call int) bool { return r.fallbacks[call] }
func (r *recorder) Finish(execution *Execution, v Verdict) {
	r.log = append(r.log, fmt.Sprintf("finish %d", v))
	r.verdicts[execution] = v
	var statuses []PartStatus
	for i := range execution.plan.Calls {
		_, status := execution.PartStatus(i)
		statuses = append(statuses, status)
	}
	r.parts[execution] = statuses
}

func newRecorder() *recorder {
	return &recorder{fallbacks: map[int]bool{}, verdicts: map[*Execution]Verdict{}, parts: map[*Execution][]PartStatus{}}
}

func (r *recorder) takeLog() (log []string) { log, r.log = r.log, nil; return log }

func testOptions(maxInFlight int) Options {
	return Options{Name: "d", MaxInFlight: maxInFlight, QueueLimit: 4, CancelledTimeout: time.Second, RetryRatio: 0.1}
}

// testPlan returns a plan of a required read, an optional read in parallel, and a required at-most-once call that
// depends on the first.
func testPlan(t require.TestingT, change func(*Plan)) *Plan {
	plan := &Plan{Route: "t", Reserve: 10 * ms, Calls: []Call{
		{Name: "a", Required: true, Value: 2, Expected: 20 * ms, Retry: true},
		{Name: "b", Value: 1, Expected: 20 * ms},
		{Name: "c", Required: true, Value: 5, Expected: 40 * ms, After: []int{0}, Effect: AtMostOnce},
	}}
	if change != nil {
		change(plan)
	}
	require.NoError(t, plan.Validate(1, time.Minute))
	return plan
}

func newTestScheduler(executor *recorder, maxInFlight int) (*Scheduler, *Dependency) {
	d := NewDependency(testOptions(maxInFlight), 1)
	d.limit = float64(maxInFlight)
	return NewScheduler([]*Dependency{d}, executor, 1), d
}
