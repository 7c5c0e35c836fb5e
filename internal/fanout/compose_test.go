package fanout

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/budget"
	"quartzpoint/internal/testkit/harness"
)

func TestParts(t *testing.T) {
	broken := func(time.Duration) harness.DependencyBehaviour { return harness.DependencyBehaviour{Fails: true} }
	slow := func(time.Duration) harness.DependencyBehaviour { return harness.DependencyBehaviour{SlowFactor: 100} }
	cases := []struct {
		name       string
		one, other harness.BehaviourScript
		change     func(*Route)
		outcome    string
		states     []string
		value      float64
	}{
		{"all succeed", nil, nil, nil, "success", []string{"fresh", "fresh"}, 1},
		{"the optional call fails", nil, broken, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"the optional call is late", nil, slow, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"a constant replaces the optional call", nil, broken, func(route *Route) {
			route.Plan.Calls[1].Fallback, route.Calls[1].Default = true, []byte("nobody")
		}, "success", []string{"fresh", "default"}, 1},
		{"the required call fails", broken, nil, nil, "interrupted", []string{"missing", "missing"}, 0},
		{"the required call is late", slow, nil, nil, "interrupted", []string{"missing", "fresh"}, 0.25},
		{"both fail", broken, slow, nil, "interrupted", []string{"missing", "missing"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, other := startDependency(t, 5*ms, c.one), startDependency(t, 5*ms, c.other)
			server := newTestServer(t, 64<<20, readRoute(c.change), dependency("one", one.Address), dependency("other", other.Address))
			startedAt := time.Now()
			server.start("look", "body", 300*ms)
			outcome, a := server.next()
			assert.Less(t, time.Since(startedAt), 300*ms+testTimeout/20)
			assert.Equal(t, c.outcome, outcome)
			assert.Equal(t, c.states, states(a))
			assert.InDelta(t, c.value, a.Value, 1e-9)
			for _, p := range a.Parts {
				assert.Equal(t, p.State == "fresh", p.Reason == "", "only parts that are not fresh state a reason")
			}
		})
	}
}

// A dependency fails after it has answered once. The stored result replaces its part for the same request body, up to
// the configured age and no longer.
func TestLastGood(t *testing.T) {
	var failing atomic.Bool
	other := startDependency(t, ms, func(time.Duration) harness.DependencyBehaviour {
		return harness.DependencyBehaviour{Fails: failing.Load()}
	})
	one := startDependency(t, ms, nil)
	server := newTestServer(t, 64<<20, readRoute(func(route *Route) { route.Plan.Calls[1].Fallback, route.Calls[1].MaxStale = true, 400*ms }),
		dependency("one", one.Address), dependency("other", other.Address))
	server.start("look", "mine", 300*ms)
	_, a := server.next()
	assert.True(t, a.Complete)
	storedAt := time.Now()
	failing.Store(true)
	server.start("look", "mine", 300*ms)
	_, a = server.next()
	assert.Equal(t, "old", a.Parts[1].State)
	assert.Positive(t, a.Parts[1].AgeMS)
	assert.NotEmpty(t, a.Parts[1].Result)
	server.start("look", "another's", 300*ms)
	_, a = server.next()
	assert.Equal(t, "missing", a.Parts[1].State, "the cache key contains the body")
	time.Sleep(time.Until(storedAt.Add(450 * ms)))
	server.start("look", "mine", 300*ms)
	_, a = server.next()
	assert.Equal(t, "missing", a.Parts[1].State, "too old")
}

// The response to the deposit arrives after the deadline. The request is aborted with the parts that are known, and the
// deposit is not sent again. The late response is counted and has no other effect.
func TestUnclearDeposit(t *testing.T) {
	hold := startDependency(t, ms, nil)
	deposit := startDependency(t, ms, func(time.Duration) harness.DependencyBehaviour {
		return harness.DependencyBehaviour{AnswerDelay: 400 * ms}
	})
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	server.start("confirm", "x", 250*ms)
	outcome, a := server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, []string{"fresh", "missing"}, states(a))
	assert.Equal(t, "unclear", a.Parts[1].Reason)
	lateResponses := func() (late int) {
		result := make(chan int, 1)
		server.submitted <- func() { result <- server.States(server.now())[1].LateResponses }
		return <-result
	}
	require.Eventually(t, func() bool { return lateResponses() == 1 }, testTimeout, 10*ms, "the late response is counted")
	assert.Empty(t, server.notices, "the late response has no other effect")
	assert.Equal(t, harness.DependencyStats{Calls: 1, Effects: 1, DistinctKeys: 1, MaxOpen: 1}, deposit.Stats())
}

// A call runs and the connection ends before its response. A call with an idempotency key is retried with the same key
// and answered from the first run; an at-most-once call aborts the request.
func TestConnectionBreaks(t *testing.T) {
	hold, deposit := startDependency(t, 5*ms, nil), startDependency(t, 5*ms, nil)
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", startCutProxy(t, hold.Address)), dependency("deposit", deposit.Address))
	server.submitted <- func() {
		for range 2 { // earns a retry token
			_, _ = server.dependencies[0].Admit(server.now())
			server.dependencies[0].CallEnded(budget.Succeeded, ms, true, server.now())
		}
	}
	server.start("confirm", "x", 2*time.Second)
	outcome, a := server.next()
	assert.Equal(t, "success", outcome)
	assert.True(t, a.Complete)
	assert.Equal(t, harness.DependencyStats{Calls: 2, Effects: 1, DistinctKeys: 1, MaxOpen: 1}, hold.Stats())

	hold, deposit = startDependency(t, 5*ms, nil), startDependency(t, 5*ms, nil)
	server = newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", startCutProxy(t, deposit.Address)))
	server.start("confirm", "x", 2*time.Second)
	outcome, a = server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, "unclear", a.Parts[1].Reason)
	time.Sleep(100 * ms)
	assert.Equal(t, 1, deposit.Stats().Calls)
}

// A dependency is silent, sends garbage, is down or rejects calls for a while. The connections are dialled again, and
// calls succeed once the dependency has recovered.
func TestDependencyRecovers(t *testing.T) {
	cases := map[string]harness.DependencyBehaviour{
		"silent": {Silent: true}, "garbage": {Garbage: true}, "down": {Down: true}, "rejects": {Rejects: true},
	}
	for name, behaviour := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var faulty atomic.Bool
			one := startDependency(t, ms, func(time.Duration) harness.DependencyBehaviour {
				if faulty.Load() {
					return behaviour
				}
				return harness.DependencyBehaviour{}
			})
			other := startDependency(t, ms, nil)
			server := newTestServer(t, 64<<20, readRoute(nil), dependency("one", one.Address), dependency("other", other.Address))
			faulty.Store(true)
			if name == "down" {
				require.Eventually(t, func() bool { return server.transports[0].Available() == 0 }, testTimeout, ms)
			}
			for range 8 {
				server.start("look", "x", 100*ms)
				outcome, _ := server.next()
				assert.Equal(t, "interrupted", outcome)
			}
			faulty.Store(false)
			recovered := false
			for startedAt := time.Now(); !recovered && time.Since(startedAt) < testTimeout; time.Sleep(20 * ms) {
				server.start("look", "x", 100*ms)
				outcome, _ := server.next()
				recovered = outcome == "success"
			}
			assert.True(t, recovered)
		})
	}
}

// A result exceeds the memory limit for results. Its call fails, and no bytes remain counted.
func TestResultMemory(t *testing.T) {
	one, other := startDependency(t, ms, nil), startDependency(t, ms, nil)
	server := newTestServer(t, 4*resultMemoryDivisor, readRoute(nil), dependency("one", one.Address), dependency("other", other.Address))
	server.start("look", "x", 200*ms)
	outcome, _ := server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Positive(t, server.counts.Times("result of a call beyond the program's own memory"))
	resultBytes := make(chan int, 1)
	server.submitted <- func() { resultBytes <- server.resultBytes }
	assert.Zero(t, <-resultBytes)
}

// The results together exceed the maximum answer size. The longest optional part is left out. If a required part must
// be left out as well, compose reports that the answer lacks it.
func TestAnswerSize(t *testing.T) {
	plan := readRoute(nil)[0].Plan
	require.NoError(t, plan.Validate(2, time.Minute))
	d := []*budget.Dependency{budget.NewDependency(budget.Options{MaxInFlight: 4}, 1), budget.NewDependency(budget.Options{MaxInFlight: 4}, 1)}
	for _, c := range []struct {
		sizes                  [2]int
		truncated, hasRequired bool
	}{
		{[2]int{100, 100}, false, true}, {[2]int{2000, 2000}, true, true}, {[2]int{4000, 10}, true, false},
	} {
		recorder := &finishRecorder{}
		scheduler := budget.NewScheduler(d, recorder, 1)
		r := &request{route: &Route{Plan: plan, Calls: make([]Call, 2)}}
		execution := scheduler.Start(plan, time.Hour, time.Hour+time.Second, r)
		for i, size := range c.sizes {
			r.parts[i] = []byte(strings.Repeat("x", size))
			recorder.onFinish = func() {
				encoded, truncated, hasRequired := r.compose(execution, budget.Complete)
				assert.Equal(t, c.truncated, truncated)
				assert.Equal(t, c.hasRequired, hasRequired)
				assert.LessOrEqual(t, len(encoded), maxAnswer)
			}
			scheduler.CallEnded(execution, i, 0, budget.Succeeded, time.Hour+ms)
		}
		assert.True(t, recorder.finished)
	}
}

// finishRecorder records that an execution finished, and calls onFinish.
type finishRecorder struct {
	onFinish func()
	finished bool
}

func (*finishRecorder) Send(*budget.Execution, int, int, time.Duration) {}
func (*finishRecorder) Cancel(*budget.Execution, int, int)              {}

func (*finishRecorder) Fallback(*budget.Execution, int) bool { return false }

func (r *finishRecorder) Finish(*budget.Execution, budget.Verdict) { r.finished = true; r.onFinish() }

// A request is paused because its caller has disconnected or it was aborted. No more calls are sent, and no state of
// the request remains.
func TestPause(t *testing.T) {
	hold, deposit := startDependency(t, 50*ms, nil), startDependency(t, ms, nil)
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	id := server.start("confirm", "x", time.Second)
	require.Eventually(t, func() bool { return hold.Stats().Calls == 1 }, testTimeout, ms)
	server.submitted <- func() { assert.True(t, server.Pause(id)) }
	outcome, _ := server.next()
	assert.Equal(t, "interrupted", outcome)
	time.Sleep(150 * ms)
	assert.Zero(t, deposit.Stats().Calls)
	remaining := make(chan int, 1)
	server.submitted <- func() { remaining <- len(server.requests) + server.scheduler.InFlight() }
	assert.Zero(t, <-remaining)
	server.submitted <- func() { assert.False(t, server.Pause(id)) }
}

// Both dependencies are down. The optional first call cannot be sent, and handling it starts the required at-most-once
// call after it, which finds no connection either. This second attempt used to be lost: the request waited for a
// response that would never arrive, and was then reported with an effect that might have happened although nothing was
// sent.
func TestUnsentCallAfterUnsentCall(t *testing.T) {
	routes := confirmRoute()
	routes[0].Plan.Calls[0].Required, routes[0].Plan.Calls[0].Retry, routes[0].Plan.Calls[0].Effect = false, false, budget.Read
	var down atomic.Bool
	behaviour := func(time.Duration) harness.DependencyBehaviour { return harness.DependencyBehaviour{Down: down.Load()} }
	hold, deposit := startDependency(t, ms, behaviour), startDependency(t, ms, behaviour)
	server := newTestServer(t, 64<<20, routes, dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	down.Store(true)
	require.Eventually(t, func() bool {
		return server.transports[0].Available()+server.transports[1].Available() == 0
	}, testTimeout, ms)
	server.start("confirm", "x", 5*time.Second)
	outcome, a := server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, []string{"missing", "missing"}, states(a))
	assert.Equal(t, "failed", a.Parts[1].Reason)
	assert.Zero(t, deposit.Stats().Calls)
}
