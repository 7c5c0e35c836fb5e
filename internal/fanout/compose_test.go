package fanout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/budget"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/testkit/harness"
	"quartzpoint/internal/workerapi"
)

const (
	patience = 20 * time.Second
	ms       = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer is a composer with an owner's loop round it.
type testServer struct {
	*Composer
	t         *testing.T
	counts    *invariant.Counts
	startedAt time.Time
	notices   chan workerapi.Notice
	posted    chan func()
	number    atomic.Int32
}

func dependency(name, address string) Dependency {
	return Dependency{
		Options: budget.Options{Name: name, MaxInFlight: 8, QueueLimit: 8, CancelledTimeout: 300 * ms, RetryRatio: 0.5},
		Address: address, Connections: 2, SilenceTimeout: 500 * ms,
	}
}

func newTestServer(t *testing.T, memory int, types []Route, dependencies ...Dependency) *testServer {
	server := &testServer{
		t: t, counts: invariant.New(slog.New(slog.DiscardHandler)), startedAt: time.Now(),
		notices: make(chan workerapi.Notice, 100), posted: make(chan func(), 100),
	}
	ctx, cancel := context.WithCancel(context.Background())
	woken := make(chan struct{}, 1)
	now := func() time.Duration { return time.Hour + time.Since(server.startedAt) }
	for _, typ := range types {
		require.NoError(t, typ.Plan.Validate(len(dependencies), time.Minute))
	}
	server.Composer = New(ctx, dependencies, types, memory, 1, now, server.counts, slog.New(slog.DiscardHandler), func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	})
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			server.Advance(now())
			for _, n := range server.Take(nil) {
				server.notices <- n
			}
			server.Flush()
			select {
			case <-ctx.Done():
				return
			case f := <-server.posted:
				f()
			case <-woken:
			case <-time.After(min(max(server.NextTimer()-now(), 0), 20*ms)):
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-over
		server.Wait()
	})
	for i := range dependencies {
		require.Eventually(t, func() bool { return server.transports[i].Available() > 0 || dependencies[i].Name == "down" }, patience, ms)
	}
	return server
}

// start starts a task and returns its id.
func (s *testServer) start(kind, body string, within time.Duration) string {
	id := fmt.Sprintf("%016x", s.number.Add(1))
	s.posted <- func() { s.Start(workerapi.Run{ID: id, Route: kind, Body: []byte(body), Deadline: s.now() + within}) }
	return id
}

func (s *testServer) next() (outcome string, a Answer) {
	s.t.Helper()
	select {
	case n := <-s.notices:
		if len(n.Result) > 0 {
			require.NoError(s.t, json.Unmarshal(n.Result, &a))
			assert.LessOrEqual(s.t, len(n.Result), maxAnswer)
		}
		return n.Outcome, a
	case <-time.After(patience):
		require.FailNow(s.t, "no end")
	}
	return "", a
}

func states(a Answer) (all []string) {
	for _, p := range a.Parts {
		all = append(all, p.State)
	}
	return all
}

func startDependency(t *testing.T, mean time.Duration, script harness.Script) *harness.Dependency {
	d, err := harness.NewDependency(4, mean, 0, 1, script)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// readRoute is a type with a needed read of the first dependency, and one of the second that it can do without.
func readRoute(change func(*Route)) []Route {
	t := Route{
		Plan: &budget.Plan{Route: "look", Reserve: 10 * ms, Calls: []budget.Call{
			{Name: "map", Required: true, Value: 3, Expected: 20 * ms, Retry: true},
			{Name: "guest", Dependency: 1, Value: 1, Expected: 20 * ms},
		}},
		Calls: []Call{{Op: "read-map"}, {Op: "read-guest"}},
	}
	if change != nil {
		change(&t)
	}
	return []Route{t}
}

func TestParts(t *testing.T) {
	broken := func(time.Duration) harness.Mood { return harness.Mood{Errors: true} }
	slow := func(time.Duration) harness.Mood { return harness.Mood{Slow: 100} }
	cases := []struct {
		name       string
		one, other harness.Script
		change     func(*Route)
		outcome    string
		states     []string
		worth      float64
	}{
		{"all there", nil, nil, nil, "success", []string{"fresh", "fresh"}, 1},
		{"the optional one fails", nil, broken, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"the optional one is late", nil, slow, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"a constant for it", nil, broken, func(t *Route) {
			t.Plan.Calls[1].Fallback, t.Calls[1].Default = true, []byte("nobody")
		}, "success", []string{"fresh", "default"}, 1},
		{"the needed one fails", broken, nil, nil, "interrupted", []string{"missing", "missing"}, 0},
		{"the needed one is late", slow, nil, nil, "interrupted", []string{"missing", "fresh"}, 0.25},
		{"both fail", broken, slow, nil, "interrupted", []string{"missing", "missing"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, other := startDependency(t, 5*ms, c.one), startDependency(t, 5*ms, c.other)
			server := newTestServer(t, 64<<20, readRoute(c.change), dependency("one", one.Address), dependency("other", other.Address))
			began := time.Now()
			server.start("look", "body", 300*ms)
			outcome, a := server.next()
			assert.Less(t, time.Since(began), 300*ms+patience/20)
			assert.Equal(t, c.outcome, outcome)
			assert.Equal(t, c.states, states(a))
			assert.InDelta(t, c.worth, a.Value, 1e-9)
			for _, p := range a.Parts {
				assert.Equal(t, p.State == "fresh", p.Reason == "", "why a part is missing is said")
			}
		})
	}
}

// A last good result takes the place of one that fails, for the same body, up to its age and no longer.
func TestLastGood(t *testing.T) {
	var failing atomic.Bool
	other := startDependency(t, ms, func(time.Duration) harness.Mood { return harness.Mood{Errors: failing.Load()} })
	one := startDependency(t, ms, nil)
	server := newTestServer(t, 64<<20, readRoute(func(t *Route) { t.Plan.Calls[1].Fallback, t.Calls[1].MaxStaleness = true, 400*ms }),
		dependency("one", one.Address), dependency("other", other.Address))
	server.start("look", "mine", 300*ms)
	_, a := server.next()
	assert.True(t, a.Complete)
	kept := time.Now()
	failing.Store(true)
	server.start("look", "mine", 300*ms)
	_, a = server.next()
	assert.Equal(t, "old", a.Parts[1].State)
	assert.Positive(t, a.Parts[1].AgeMS)
	assert.NotEmpty(t, a.Parts[1].Result)
	server.start("look", "another's", 300*ms)
	_, a = server.next()
	assert.Equal(t, "missing", a.Parts[1].State, "the key holds the body")
	time.Sleep(time.Until(kept.Add(450 * ms)))
	server.start("look", "mine", 300*ms)
	_, a = server.next()
	assert.Equal(t, "missing", a.Parts[1].State, "too old")
}

// confirmRoute is a needed hold with a number and a deposit that must not run twice behind it.
func confirmRoute() []Route {
	return []Route{{
		Plan: &budget.Plan{Route: "confirm", Reserve: 10 * ms, Calls: []budget.Call{
			{Name: "hold", Required: true, Value: 1, Expected: 20 * ms, Effect: budget.Keyed, Retry: true},
			{Name: "deposit", Dependency: 1, Required: true, Value: 1, Expected: 20 * ms, Effect: budget.AtMostOnce, After: []int{0}},
		}},
		Calls: []Call{{Op: "hold"}, {Op: "deposit"}},
	}}
}

// The deposit was written and its answer comes too late: given up at once with what is known, never sent again; the
// late answer is counted and changes nothing.
func TestUnclearDeposit(t *testing.T) {
	hold := startDependency(t, ms, nil)
	deposit := startDependency(t, ms, func(time.Duration) harness.Mood { return harness.Mood{Late: 400 * ms} })
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	server.start("confirm", "x", 250*ms)
	outcome, a := server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, []string{"fresh", "missing"}, states(a))
	assert.Equal(t, "unclear", a.Parts[1].Reason)
	state := func() (late int) {
		told := make(chan int, 1)
		server.posted <- func() { told <- server.States(server.now())[1].LateResponses }
		return <-told
	}
	require.Eventually(t, func() bool { return state() == 1 }, patience, 10*ms, "the late answer")
	assert.Empty(t, server.notices, "it changes nothing")
	assert.Equal(t, harness.Seen{Calls: 1, Effects: 1, Numbers: 1, Most: 1}, deposit.Seen())
}

// startCutProxy is a way to a dependency that breaks once, behind the first call it passes on.
func startCutProxy(t *testing.T, to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var over sync.WaitGroup
	var broke atomic.Bool
	over.Add(1)
	go func() {
		defer over.Done()
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			into, err := net.Dial("tcp", to)
			if err != nil {
				from.Close()
				continue
			}
			pass := func(a, b net.Conn, up bool) {
				defer over.Done()
				defer a.Close()
				defer b.Close()
				buffer := make([]byte, 4096)
				for {
					n, err := b.Read(buffer)
					if err != nil {
						return
					}
					if !up && broke.CompareAndSwap(false, true) {
						return // the answer is lost: the call has run
					}
					if _, err := a.Write(buffer[:n]); err != nil {
						return
					}
				}
			}
			over.Add(2)
			go pass(into, from, true)
			go pass(from, into, false)
		}
	}()
	t.Cleanup(func() { listener.Close(); over.Wait() })
	return listener.Addr().String()
}

// The connection breaks behind a call that ran: a numbered one is repeated with its number and answered from the
// first; an at-most-once one is given up.
func TestConnectionBreaks(t *testing.T) {
	hold, deposit := startDependency(t, 5*ms, nil), startDependency(t, 5*ms, nil)
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", startCutProxy(t, hold.Address)), dependency("deposit", deposit.Address))
	server.posted <- func() {
		for range 2 { // a second attempt is earned
			_, _ = server.dependencies[0].Admit(server.now())
			server.dependencies[0].CallEnded(budget.Succeeded, ms, true, server.now())
		}
	}
	server.start("confirm", "x", 2*time.Second)
	outcome, a := server.next()
	assert.Equal(t, "success", outcome)
	assert.True(t, a.Complete)
	assert.Equal(t, harness.Seen{Calls: 2, Effects: 1, Numbers: 1, Most: 1}, hold.Seen())

	hold, deposit = startDependency(t, 5*ms, nil), startDependency(t, 5*ms, nil)
	server = newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", startCutProxy(t, deposit.Address)))
	server.start("confirm", "x", 2*time.Second)
	outcome, a = server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, "unclear", a.Parts[1].Reason)
	time.Sleep(100 * ms)
	assert.Equal(t, 1, deposit.Seen().Calls)
}

// What a dependency may do to its connections: each is dialled anew, and calls go on as soon as it is back.
func TestComesBack(t *testing.T) {
	cases := map[string]harness.Mood{
		"silent": {Silent: true}, "garbage": {Garbage: true}, "down": {Down: true}, "refuses": {Refuses: true},
	}
	for name, mood := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var bad atomic.Bool
			one := startDependency(t, ms, func(time.Duration) harness.Mood {
				if bad.Load() {
					return mood
				}
				return harness.Mood{}
			})
			other := startDependency(t, ms, nil)
			server := newTestServer(t, 64<<20, readRoute(nil), dependency("one", one.Address), dependency("other", other.Address))
			bad.Store(true)
			if name == "down" {
				require.Eventually(t, func() bool { return server.transports[0].Available() == 0 }, patience, ms)
			}
			for range 8 {
				server.start("look", "x", 100*ms)
				outcome, _ := server.next()
				assert.Equal(t, "interrupted", outcome)
			}
			bad.Store(false)
			back := false
			for began := time.Now(); !back && time.Since(began) < patience; time.Sleep(20 * ms) {
				server.start("look", "x", 100*ms)
				outcome, _ := server.next()
				back = outcome == "success"
			}
			assert.True(t, back)
		})
	}
}

// Results take no more of the memory than their share, and an answer no more than a router can be sent.
func TestBounds(t *testing.T) {
	one, other := startDependency(t, ms, nil), startDependency(t, ms, nil)
	server := newTestServer(t, 4*resultMemoryDivisor, readRoute(nil), dependency("one", one.Address), dependency("other", other.Address))
	server.start("look", "x", 200*ms)
	outcome, _ := server.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Positive(t, server.counts.Times("result of a call beyond the program's own memory"))
	held := make(chan int, 1)
	server.posted <- func() { held <- server.resultBytes }
	assert.Zero(t, <-held)

	plan := readRoute(nil)[0].Plan
	require.NoError(t, plan.Validate(2, time.Minute))
	d := []*budget.Dependency{budget.NewDependency(budget.Options{MaxInFlight: 4}, 1), budget.NewDependency(budget.Options{MaxInFlight: 4}, 1)}
	for _, c := range []struct {
		sizes     [2]int
		cut, fits bool
	}{
		{[2]int{100, 100}, false, true}, {[2]int{2000, 2000}, true, true}, {[2]int{4000, 10}, true, false},
	} {
		k := &finishRecorder{}
		book := budget.NewScheduler(d, k, 1)
		tk := &request{route: &Route{Plan: plan, Calls: make([]Call, 2)}}
		execution := book.Start(plan, time.Hour, time.Hour+time.Second, tk)
		for i, size := range c.sizes {
			tk.parts[i] = []byte(strings.Repeat("x", size))
			k.onFinish = func() {
				raw, cut, fits := tk.compose(execution, budget.Complete)
				assert.Equal(t, c.cut, cut)
				assert.Equal(t, c.fits, fits)
				assert.LessOrEqual(t, len(raw), maxAnswer)
			}
			book.CallEnded(execution, i, 0, budget.Succeeded, time.Hour+ms)
		}
		assert.True(t, k.finished)
	}
}

// finishRecorder looks at a flight as it is finished.
type finishRecorder struct {
	onFinish func()
	finished bool
}

func (*finishRecorder) Send(*budget.Execution, int, int, time.Duration) {}
func (*finishRecorder) Cancel(*budget.Execution, int, int)              {}
func (*finishRecorder) Fallback(*budget.Execution, int) bool            { return false }
func (r *finishRecorder) Finish(*budget.Execution, budget.Verdict)      { r.finished = true; r.onFinish() }

// The caller is gone, or somebody else gave the task up: nothing more is called, and nothing is left.
func TestPause(t *testing.T) {
	hold, deposit := startDependency(t, 50*ms, nil), startDependency(t, ms, nil)
	server := newTestServer(t, 64<<20, confirmRoute(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	id := server.start("confirm", "x", time.Second)
	require.Eventually(t, func() bool { return hold.Seen().Calls == 1 }, patience, ms)
	server.posted <- func() { assert.True(t, server.Pause(id)) }
	outcome, _ := server.next()
	assert.Equal(t, "interrupted", outcome)
	time.Sleep(150 * ms)
	assert.Zero(t, deposit.Seen().Calls)
	left := make(chan int, 1)
	server.posted <- func() { left <- len(server.requests) + server.scheduler.InFlight() }
	assert.Zero(t, <-left)
	server.posted <- func() { assert.False(t, server.Pause(id)) }
}
