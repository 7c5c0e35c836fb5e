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

// bench is a composer with an owner's loop round it.
type bench struct {
	*Composer
	t      *testing.T
	counts *invariant.Counters
	began  time.Time
	ends   chan workerapi.Notice
	posted chan func()
	number atomic.Int32
}

func dependency(name, address string) Dependency {
	return Dependency{
		Options: budget.Options{Name: name, Share: 8, QueueLimit: 8, Linger: 300 * ms, RetryRatio: 0.5},
		Address: address, Connections: 2, Silence: 500 * ms,
	}
}

func newBench(t *testing.T, memory int, types []Type, dependencies ...Dependency) *bench {
	b := &bench{
		t: t, counts: invariant.New(slog.New(slog.DiscardHandler)), began: time.Now(),
		ends: make(chan workerapi.Notice, 100), posted: make(chan func(), 100),
	}
	ctx, cancel := context.WithCancel(context.Background())
	woken := make(chan struct{}, 1)
	now := func() time.Duration { return time.Hour + time.Since(b.began) }
	for _, typ := range types {
		require.NoError(t, typ.Plan.Check(len(dependencies), time.Minute))
	}
	b.Composer = New(ctx, dependencies, types, memory, 1, now, b.counts, slog.New(slog.DiscardHandler), func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	})
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			b.Turn(now())
			for _, n := range b.AppendNotices(nil) {
				b.ends <- n
			}
			b.Flush()
			select {
			case <-ctx.Done():
				return
			case f := <-b.posted:
				f()
			case <-woken:
			case <-time.After(min(max(b.Due()-now(), 0), 20*ms)):
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-over
		b.Wait()
	})
	for i := range dependencies {
		require.Eventually(t, func() bool { return b.ways[i].Up() > 0 || dependencies[i].Name == "down" }, patience, ms)
	}
	return b
}

// ask starts a task and returns its id.
func (b *bench) ask(kind, body string, within time.Duration) string {
	id := fmt.Sprintf("%016x", b.number.Add(1))
	b.posted <- func() { b.Start(workerapi.Run{ID: id, Route: kind, Body: []byte(body), Deadline: b.now() + within}) }
	return id
}

func (b *bench) next() (outcome string, a Answer) {
	b.t.Helper()
	select {
	case n := <-b.ends:
		if len(n.Result) > 0 {
			require.NoError(b.t, json.Unmarshal(n.Result, &a))
			assert.LessOrEqual(b.t, len(n.Result), mostAnswer)
		}
		return n.Outcome, a
	case <-time.After(patience):
		require.FailNow(b.t, "no end")
	}
	return "", a
}

func states(a Answer) (all []string) {
	for _, p := range a.Parts {
		all = append(all, p.State)
	}
	return all
}

func acts(t *testing.T, mean time.Duration, script harness.Script) *harness.Dependency {
	d, err := harness.NewDependency(4, mean, 0, 1, script)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// kinds is a type with a needed read of the first dependency, and one of the second that it can do without.
func kinds(change func(*Type)) []Type {
	t := Type{
		Plan: &budget.Plan{Route: "look", Reserve: 10 * ms, Calls: []budget.Call{
			{Name: "map", Required: true, Value: 3, Expected: 20 * ms, Retry: true},
			{Name: "guest", Dependency: 1, Value: 1, Expected: 20 * ms},
		}},
		Calls: []Call{{Op: "read-map"}, {Op: "read-guest"}},
	}
	if change != nil {
		change(&t)
	}
	return []Type{t}
}

func TestParts(t *testing.T) {
	broken := func(time.Duration) harness.Mood { return harness.Mood{Errors: true} }
	slow := func(time.Duration) harness.Mood { return harness.Mood{Slow: 100} }
	cases := []struct {
		name       string
		one, other harness.Script
		change     func(*Type)
		outcome    string
		states     []string
		worth      float64
	}{
		{"all there", nil, nil, nil, "success", []string{"fresh", "fresh"}, 1},
		{"the optional one fails", nil, broken, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"the optional one is late", nil, slow, nil, "success", []string{"fresh", "missing"}, 0.75},
		{"a constant for it", nil, broken, func(t *Type) {
			t.Plan.Calls[1].Fallback, t.Calls[1].Default = true, []byte("nobody")
		}, "success", []string{"fresh", "default"}, 1},
		{"the needed one fails", broken, nil, nil, "interrupted", []string{"missing", "missing"}, 0},
		{"the needed one is late", slow, nil, nil, "interrupted", []string{"missing", "fresh"}, 0.25},
		{"both fail", broken, slow, nil, "interrupted", []string{"missing", "missing"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, other := acts(t, 5*ms, c.one), acts(t, 5*ms, c.other)
			b := newBench(t, 64<<20, kinds(c.change), dependency("one", one.Address), dependency("other", other.Address))
			began := time.Now()
			b.ask("look", "body", 300*ms)
			outcome, a := b.next()
			assert.Less(t, time.Since(began), 300*ms+patience/20)
			assert.Equal(t, c.outcome, outcome)
			assert.Equal(t, c.states, states(a))
			assert.InDelta(t, c.worth, a.Worth, 1e-9)
			for _, p := range a.Parts {
				assert.Equal(t, p.State == "fresh", p.Why == "", "why a part is missing is said")
			}
		})
	}
}

// A last good result takes the place of one that fails, for the same body, up to its age and no longer.
func TestLastGood(t *testing.T) {
	var failing atomic.Bool
	other := acts(t, ms, func(time.Duration) harness.Mood { return harness.Mood{Errors: failing.Load()} })
	one := acts(t, ms, nil)
	b := newBench(t, 64<<20, kinds(func(t *Type) { t.Plan.Calls[1].Fallback, t.Calls[1].Keep = true, 400*ms }),
		dependency("one", one.Address), dependency("other", other.Address))
	b.ask("look", "mine", 300*ms)
	_, a := b.next()
	assert.True(t, a.Whole)
	kept := time.Now()
	failing.Store(true)
	b.ask("look", "mine", 300*ms)
	_, a = b.next()
	assert.Equal(t, "old", a.Parts[1].State)
	assert.Positive(t, a.Parts[1].AgeMS)
	assert.NotEmpty(t, a.Parts[1].Result)
	b.ask("look", "another's", 300*ms)
	_, a = b.next()
	assert.Equal(t, "missing", a.Parts[1].State, "the key holds the body")
	time.Sleep(time.Until(kept.Add(450 * ms)))
	b.ask("look", "mine", 300*ms)
	_, a = b.next()
	assert.Equal(t, "missing", a.Parts[1].State, "too old")
}

// confirm is a needed hold with a number and a deposit that must not run twice behind it.
func confirm() []Type {
	return []Type{{
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
	hold := acts(t, ms, nil)
	deposit := acts(t, ms, func(time.Duration) harness.Mood { return harness.Mood{Late: 400 * ms} })
	b := newBench(t, 64<<20, confirm(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	b.ask("confirm", "x", 250*ms)
	outcome, a := b.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, []string{"fresh", "missing"}, states(a))
	assert.Equal(t, "unclear", a.Parts[1].Why)
	state := func() (late int) {
		told := make(chan int, 1)
		b.posted <- func() { told <- b.States(b.now())[1].Late }
		return <-told
	}
	require.Eventually(t, func() bool { return state() == 1 }, patience, 10*ms, "the late answer")
	assert.Empty(t, b.ends, "it changes nothing")
	assert.Equal(t, harness.Seen{Calls: 1, Effects: 1, Numbers: 1, Most: 1}, deposit.Seen())
}

// cutting is a way to a dependency that breaks once, behind the first call it passes on.
func cutting(t *testing.T, to string) string {
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
	hold, deposit := acts(t, 5*ms, nil), acts(t, 5*ms, nil)
	b := newBench(t, 64<<20, confirm(), dependency("hold", cutting(t, hold.Address)), dependency("deposit", deposit.Address))
	b.posted <- func() {
		for range 2 { // a second attempt is earned
			_, _ = b.deps[0].Admit(b.now())
			b.deps[0].Ended(budget.Succeeded, ms, true, b.now())
		}
	}
	b.ask("confirm", "x", 2*time.Second)
	outcome, a := b.next()
	assert.Equal(t, "success", outcome)
	assert.True(t, a.Whole)
	assert.Equal(t, harness.Seen{Calls: 2, Effects: 1, Numbers: 1, Most: 1}, hold.Seen())

	hold, deposit = acts(t, 5*ms, nil), acts(t, 5*ms, nil)
	b = newBench(t, 64<<20, confirm(), dependency("hold", hold.Address), dependency("deposit", cutting(t, deposit.Address)))
	b.ask("confirm", "x", 2*time.Second)
	outcome, a = b.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Equal(t, "unclear", a.Parts[1].Why)
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
			one := acts(t, ms, func(time.Duration) harness.Mood {
				if bad.Load() {
					return mood
				}
				return harness.Mood{}
			})
			other := acts(t, ms, nil)
			b := newBench(t, 64<<20, kinds(nil), dependency("one", one.Address), dependency("other", other.Address))
			bad.Store(true)
			if name == "down" {
				require.Eventually(t, func() bool { return b.ways[0].Up() == 0 }, patience, ms)
			}
			for range 8 {
				b.ask("look", "x", 100*ms)
				outcome, _ := b.next()
				assert.Equal(t, "interrupted", outcome)
			}
			bad.Store(false)
			back := false
			for began := time.Now(); !back && time.Since(began) < patience; time.Sleep(20 * ms) {
				b.ask("look", "x", 100*ms)
				outcome, _ := b.next()
				back = outcome == "success"
			}
			assert.True(t, back)
		})
	}
}

// Results take no more of the memory than their share, and an answer no more than a router can be sent.
func TestBounds(t *testing.T) {
	one, other := acts(t, ms, nil), acts(t, ms, nil)
	b := newBench(t, 4*holdShare, kinds(nil), dependency("one", one.Address), dependency("other", other.Address))
	b.ask("look", "x", 200*ms)
	outcome, _ := b.next()
	assert.Equal(t, "interrupted", outcome)
	assert.Positive(t, b.counts.Times("result of a call beyond the program's own memory"))
	held := make(chan int, 1)
	b.posted <- func() { held <- b.holds }
	assert.Zero(t, <-held)

	plan := kinds(nil)[0].Plan
	require.NoError(t, plan.Check(2, time.Minute))
	d := []*budget.Dependency{budget.NewDependency(budget.Options{Share: 4}, 1), budget.NewDependency(budget.Options{Share: 4}, 1)}
	for _, c := range []struct {
		sizes     [2]int
		cut, fits bool
	}{
		{[2]int{100, 100}, false, true}, {[2]int{2000, 2000}, true, true}, {[2]int{4000, 10}, true, false},
	} {
		k := &keeper{}
		book := budget.NewScheduler(d, k, 1)
		tk := &task{kind: &Type{Plan: plan, Calls: make([]Call, 2)}}
		f := book.Begin(plan, time.Hour, time.Hour+time.Second, tk)
		for i, size := range c.sizes {
			tk.parts[i] = []byte(strings.Repeat("x", size))
			k.at = func() {
				raw, cut, fits := tk.answer(f, budget.Complete)
				assert.Equal(t, c.cut, cut)
				assert.Equal(t, c.fits, fits)
				assert.LessOrEqual(t, len(raw), mostAnswer)
			}
			book.CallEnded(f, i, 0, budget.Succeeded, time.Hour+ms)
		}
		assert.True(t, k.finished)
	}
}

// keeper looks at a flight as it is finished.
type keeper struct {
	at       func()
	finished bool
}

func (*keeper) Send(*budget.Execution, int, int, time.Duration) {}
func (*keeper) Cancel(*budget.Execution, int, int)              {}
func (*keeper) Fallback(*budget.Execution, int) bool            { return false }
func (k *keeper) Finish(*budget.Execution, budget.Verdict)      { k.finished = true; k.at() }

// The caller is gone, or somebody else gave the task up: nothing more is called, and nothing is left.
func TestPause(t *testing.T) {
	hold, deposit := acts(t, 50*ms, nil), acts(t, ms, nil)
	b := newBench(t, 64<<20, confirm(), dependency("hold", hold.Address), dependency("deposit", deposit.Address))
	id := b.ask("confirm", "x", time.Second)
	require.Eventually(t, func() bool { return hold.Seen().Calls == 1 }, patience, ms)
	b.posted <- func() { assert.True(t, b.Pause(id)) }
	outcome, _ := b.next()
	assert.Equal(t, "interrupted", outcome)
	time.Sleep(150 * ms)
	assert.Zero(t, deposit.Seen().Calls)
	left := make(chan int, 1)
	b.posted <- func() { left <- len(b.tasks) + b.scheduler.Open() }
	assert.Zero(t, <-left)
	b.posted <- func() { assert.False(t, b.Pause(id)) }
}
