package budget

import (
	"testing"
	"time"
)

// discardExecutor discards all decisions but keeps the latest execution.
type discardExecutor struct{ last *Execution }

func (d *discardExecutor) Send(execution *Execution, _, _ int, _ time.Duration) { d.last = execution }
func (*discardExecutor) Cancel(*Execution, int, int)                            {}
func (*discardExecutor) Fallback(*Execution, int) bool                          { return false }
func (*discardExecutor) Finish(*Execution, Verdict)                             {}

// BenchmarkCall measures the decisions on one request of three calls: its start, and the ends of the calls.
func BenchmarkCall(b *testing.B) {
	executor := &discardExecutor{}
	deps := []*Dependency{NewDependency(testOptions(100), 1)}
	deps[0].limit = 100
	scheduler := NewScheduler(deps, executor, 1)
	plan := testPlan(b, nil)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += ms
		scheduler.Start(plan, now, now+time.Second, nil)
		for i := range 3 {
			scheduler.CallEnded(executor.last, i, 0, Succeeded, now+ms)
		}
		scheduler.Advance(now)
	}
}
