package quartzpoint

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const (
	patience = 20 * time.Second
	ms       = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newGate(t testing.TB, terms Options) *Gate {
	g, err := New(terms)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
		defer cancel()
		assert.NoError(t, g.Shutdown(ctx))
	})
	return g
}

func TestTwoLines(t *testing.T) {
	g := newGate(t, Options{})
	ran := false
	require.NoError(t, g.Do(t.Context(), Request{Route: "anything"}, func(context.Context) error { ran = true; return nil }))
	assert.True(t, ran)
	broken := errors.New("broken")
	assert.ErrorIs(t, g.Do(t.Context(), Request{}, func(context.Context) error { return broken }), broken)
	assert.PanicsWithValue(t, "oh", func() {
		_ = g.Do(t.Context(), Request{Route: "anything"}, func(context.Context) error { panic("oh") })
	})
	for i := range strangers + 5 { // types on first sight are bounded
		err := g.Do(t.Context(), Request{Route: fmt.Sprint(i)}, func(context.Context) error { return nil })
		var dismissed *RejectedError
		assert.Equal(t, i >= strangers-2, errors.As(err, &dismissed), i)
	}
	assert.Equal(t, int64(strangers+5+3), g.Counts().Received)
}

func TestTermsOutOfRange(t *testing.T) {
	for name, terms := range map[string]Options{
		"twice":    {Routes: []Route{{Name: "a"}, {Name: "a"}}},
		"no name":  {Routes: []Route{{}}},
		"repeats":  {Routes: []Route{{Name: "a", Idempotency: "often"}}},
		"outer":    {Routes: []Route{{Name: "a", LatencyTarget: time.Second, Deadline: ms}}},
		"cores":    {Cores: -1},
		"negative": {Grace: -1},
	} {
		_, err := New(terms)
		assert.Error(t, err, name)
	}
}

// A handler that ignores its deadline: its caller is answered in time, it holds its place, and is counted.
func TestIgnoresDeadline(t *testing.T) {
	g := newGate(t, Options{Cores: 1, OverrunLimit: 1, Routes: []Route{{Name: "slow", LatencyTarget: 200 * ms}}})
	end := make(chan struct{})
	var cancelled atomic.Bool
	began := time.Now()
	err := g.Do(t.Context(), Request{Route: "slow"}, func(ctx context.Context) error {
		<-ctx.Done()
		cancelled.Store(true)
		<-end
		return nil
	})
	assert.ErrorIs(t, err, ErrAborted)
	assert.Less(t, time.Since(began), 200*ms+patience/100)
	require.Eventually(t, cancelled.Load, patience, ms)
	assert.Equal(t, int64(1), g.Counts().Overruns)
	assert.False(t, g.Healthy(), "it says so")
	close(end)
	require.Eventually(t, func() bool { return g.Counts().Overruns == 0 }, patience, ms)
	assert.True(t, g.Healthy())
}

// One number from a hundred goroutines at the same moment: one run, a hundred equal answers.
func TestNumbered(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "confirm-booking", Idempotency: Keyed, LatencyTarget: 5 * time.Second}}})
	var ran atomic.Int32
	task := Request{Route: "confirm-booking", IdempotencyKey: "n1", Fingerprint: 1}
	run := func(context.Context) ([]byte, error) {
		time.Sleep(20 * ms)
		return fmt.Appendf(nil, "run %d", ran.Add(1)), nil
	}
	var all sync.WaitGroup
	for range 100 {
		all.Add(1)
		go func() {
			defer all.Done()
			got, err := g.DoOnce(t.Context(), task, run)
			assert.NoError(t, err)
			assert.Equal(t, "run 1", string(got))
		}()
	}
	all.Wait()
	got, err := g.DoOnce(t.Context(), task, run)
	require.NoError(t, err)
	assert.Equal(t, "run 1", string(got), "and later, within its window")
	clash := task
	clash.Fingerprint = 2
	_, err = g.DoOnce(t.Context(), clash, run)
	assert.ErrorIs(t, err, ErrKeyConflict)
	assert.Equal(t, int32(1), ran.Load())

	// One whose run broke is never run again; one without a number is dismissed.
	task.IdempotencyKey = "n2"
	broken := errors.New("broken")
	_, err = g.DoOnce(t.Context(), task, func(context.Context) ([]byte, error) { ran.Add(1); return nil, broken })
	assert.ErrorIs(t, err, broken)
	_, err = g.DoOnce(t.Context(), task, run)
	assert.ErrorIs(t, err, ErrAborted)
	task.IdempotencyKey = ""
	var dismissed *RejectedError
	_, err = g.DoOnce(t.Context(), task, run)
	assert.ErrorAs(t, err, &dismissed)
	assert.Equal(t, int32(2), ran.Load())
}

// The caller of a numbered task goes while it runs: the run is known, and a repeat is answered from it.
func TestNumberedCallerGone(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "pay", Idempotency: Keyed, LatencyTarget: 5 * time.Second}}})
	ctx, cancel := context.WithCancel(t.Context())
	began, end := make(chan struct{}), make(chan struct{})
	task := Request{Route: "pay", IdempotencyKey: "x"}
	gone := make(chan error, 1)
	go func() {
		_, err := g.DoOnce(ctx, task, func(context.Context) ([]byte, error) {
			close(began)
			<-end
			return []byte("paid"), nil
		})
		gone <- err
	}()
	<-began
	cancel()
	assert.ErrorIs(t, <-gone, context.Canceled)
	close(end)
	got, err := g.DoOnce(t.Context(), task, func(context.Context) ([]byte, error) { return []byte("twice"), nil })
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	assert.Equal(t, int64(1), g.Counts().Served, "the one nobody waited for is not counted")
}

// A context that ends before, while held, while running, and after.
func TestContexts(t *testing.T) {
	g := newGate(t, Options{Cores: 1, Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	over, cancel := context.WithCancel(t.Context())
	cancel()
	never := func(context.Context) error { t.Error("it ran"); return nil }
	assert.ErrorIs(t, g.Do(over, Request{Route: "a"}, never), context.Canceled)

	end := make(chan struct{})
	var running sync.WaitGroup
	for range 2 { // all that a core takes
		running.Add(1)
		go func() {
			defer running.Done()
			assert.NoError(t, g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { <-end; return nil }))
		}()
	}
	require.Eventually(t, func() bool { return g.Counts().Received == 2 }, patience, ms)
	time.Sleep(10 * ms)
	short, stop := context.WithTimeout(t.Context(), 30*ms)
	defer stop()
	err := g.Do(short, Request{Route: "a"}, never)
	assert.Error(t, err, "held, and its time is over")
	close(end)
	running.Wait()

	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	err = g.Do(ctx, Request{Route: "a"}, func(inner context.Context) error {
		cancel()
		<-inner.Done()
		close(stopped)
		return inner.Err()
	})
	assert.ErrorIs(t, err, context.Canceled)
	<-stopped
	assert.NoError(t, g.Do(t.Context(), Request{Route: "a"}, func(inner context.Context) error { return inner.Err() }))
}

// Calls of runs keep to the share of their dependency; a call that fails is let go again, or the task goes on without.
func TestCalls(t *testing.T) {
	g := newGate(t, Options{Cores: 4, Calls: CallOptions{Share: 4}, Routes: []Route{
		{Name: "needs", LatencyTarget: 5 * time.Second}, {Name: "can do without", LatencyTarget: 5 * time.Second, SkipValueShare: 0.5},
		{Name: "once", LatencyTarget: 5 * time.Second, Idempotency: AtMostOnce},
	}})
	var now, most, tries atomic.Int32
	var all sync.WaitGroup
	for range 12 {
		all.Add(1)
		go func() {
			defer all.Done()
			assert.NoError(t, g.Do(t.Context(), Request{Route: "needs"}, func(ctx context.Context) error {
				return Call(ctx, func(context.Context) error {
					for n := now.Add(1); n > most.Load(); {
						most.Store(n)
					}
					time.Sleep(5 * ms)
					now.Add(-1)
					return nil
				})
			}))
		}()
	}
	all.Wait()
	assert.LessOrEqual(t, most.Load(), int32(4))
	fails := errors.New("fails")
	require.NoError(t, g.Do(t.Context(), Request{Route: "needs"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error {
			if tries.Add(1) == 1 {
				return fails
			}
			return nil
		})
	}))
	assert.Equal(t, int32(2), tries.Load())
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "can do without"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error { return fails })
	}), ErrCallSkipped)
	tries.Store(0)
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "once"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error { tries.Add(1); return fails })
	}), ErrAborted)
	assert.Equal(t, int32(1), tries.Load(), "never again")
	assert.NoError(t, Call(t.Context(), func(context.Context) error { return nil }), "outside a task")
}

// What a customer asks beyond its share is turned away first.
func TestCustomers(t *testing.T) {
	g := newGate(t, Options{Cores: 1, OverQuotaValue: 0.1, Tenants: []Tenant{{"greedy", 1}, {"modest", 50}},
		Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}})
	var honoured [2]atomic.Int32
	var all sync.WaitGroup
	for i := range 160 {
		all.Add(1)
		go func() {
			defer all.Done()
			who := i % 4 / 3 // one of four is modest
			if g.Do(t.Context(), Request{Route: "a", Tenant: []string{"greedy", "modest"}[who]}, func(context.Context) error {
				time.Sleep(80 * ms)
				return nil
			}) == nil {
				honoured[who].Add(1)
			}
		}()
		time.Sleep(5 * ms)
	}
	all.Wait()
	assert.Greater(t, float64(honoured[1].Load())/40, 1.3*float64(honoured[0].Load())/120)
}

func TestReadTerms(t *testing.T) {
	path := filepath.Join(t.TempDir(), "terms.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("Cores = 2.0\nGrace = \"50ms\"\n[[Types]]\nName = \"a\"\nContract = \"300ms\"\n")
	terms, err := ReadOptions(path)
	require.NoError(t, err)
	assert.Equal(t, Options{Cores: 2, Grace: 50 * ms, Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}}, terms)
	write("Coers = 2\n")
	_, err = ReadOptions(path)
	assert.ErrorContains(t, err, "Coers")
	_, err = ReadOptions("/nowhere")
	assert.ErrorContains(t, err, "/nowhere")
}

// A caller's context ends after its task: it must not end the run of whoever the call belongs to by then.
func TestContextEndsLater(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		require.NoError(t, g.Do(ctx, Request{Route: "a"}, func(inner context.Context) error {
			select {
			case <-inner.Done():
				return inner.Err()
			case <-time.After(50 * time.Microsecond):
				return nil
			}
		}))
		go cancel()
	}
}

// What a run started may hold its context long after: it has ended with the run, whoever uses the call by then.
func TestContextOutlivesRun(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	var kept []context.Context
	for range 50 {
		require.NoError(t, g.Do(t.Context(), Request{Route: "a"}, func(inner context.Context) error {
			derived, cancel := context.WithCancel(inner)
			t.Cleanup(cancel)
			kept = append(kept, inner, derived)
			return nil
		}))
	}
	for _, ctx := range kept {
		<-ctx.Done()
		assert.ErrorIs(t, ctx.Err(), context.Canceled)
		assert.ErrorIs(t, Call(ctx, func(context.Context) error { t.Error("called"); return nil }), context.Canceled)
	}
}

// Ten thousand at once: most are dismissed quickly, memory stays bounded, and each has one answer.
func TestTenThousand(t *testing.T) {
	g := newGate(t, Options{Cores: 2, MemoryMB: 64, Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var honoured, dismissed, others, most, now atomic.Int32
	var all sync.WaitGroup
	for range 10000 {
		all.Add(1)
		go func() {
			defer all.Done()
			err := g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error {
				for n := now.Add(1); n > most.Load(); {
					most.Store(n)
				}
				time.Sleep(5 * ms)
				now.Add(-1)
				return nil
			})
			var no *RejectedError
			switch {
			case err == nil:
				honoured.Add(1)
			case errors.As(err, &no):
				dismissed.Add(1)
			default:
				others.Add(1)
			}
		}()
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	assert.Equal(t, int32(10000), honoured.Load()+dismissed.Load()+others.Load())
	assert.Positive(t, honoured.Load())
	assert.Greater(t, dismissed.Load(), int32(5000))
	assert.LessOrEqual(t, most.Load(), int32(12), "the crowd on two cores")
	assert.Less(t, after.HeapAlloc, before.HeapAlloc+64<<20)
}

func TestLeave(t *testing.T) {
	g, err := New(Options{Cores: 1, Grace: 50 * ms, Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	require.NoError(t, err)
	end := make(chan struct{})
	answers := make(chan error, 3)
	for range 3 { // some run, some are held, and none returns
		go func() {
			answers <- g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { <-end; return nil })
		}()
	}
	require.Eventually(t, func() bool { return g.Counts().Received == 3 }, patience, ms)
	time.Sleep(10 * ms)
	ctx, cancel := context.WithTimeout(t.Context(), 600*ms)
	defer cancel()
	began := time.Now()
	require.NoError(t, g.Shutdown(ctx))
	assert.Less(t, time.Since(began), time.Second)
	for range 3 {
		assert.Error(t, <-answers, "all were answered before the stop")
	}
	assert.False(t, g.Healthy())
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { return nil }), ErrShutDown)
	close(end)
	require.NoError(t, g.Shutdown(t.Context()), "again is no harm")
}

func TestTicket(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "a", LatencyTarget: 100 * ms}, {Name: "n", Idempotency: Keyed, LatencyTarget: time.Second}}})
	ticket, err := g.Admit(t.Context(), Request{Route: "a"}, nil)
	require.NoError(t, err)
	assert.True(t, ticket.Finish(nil, nil))

	told := make(chan struct{})
	ticket, err = g.Admit(t.Context(), Request{Route: "a"}, func() { close(told) })
	require.NoError(t, err)
	<-told
	<-ticket.Context().Done()
	assert.False(t, ticket.Finish(nil, nil), "it had been given up")

	ticket, err = g.Admit(t.Context(), Request{Route: "n", IdempotencyKey: "1"}, nil)
	require.NoError(t, err)
	ticket.Cancel()
	assert.False(t, ticket.Finish([]byte("did"), nil), "its caller is gone")
	ticket, err = g.Admit(t.Context(), Request{Route: "n", IdempotencyKey: "1"}, nil)
	require.NoError(t, err)
	result, repeat := ticket.Duplicate()
	assert.True(t, repeat)
	assert.Equal(t, "did", string(result))
	assert.True(t, ticket.Finish(nil, nil))
}

func BenchmarkDo(b *testing.B) {
	g := newGate(b, Options{Routes: []Route{{Name: "a"}}})
	run := func(context.Context) error { return nil }
	b.ReportAllocs()
	for b.Loop() {
		if err := g.Do(b.Context(), Request{Route: "a"}, run); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleGate_Do() {
	gate, err := New(Options{Routes: []Route{{Name: "slot-check", LatencyTarget: 300 * time.Millisecond}}})
	if err != nil {
		panic(err)
	}
	defer gate.Shutdown(context.Background())
	err = gate.Do(context.Background(), Request{Route: "slot-check"}, func(ctx context.Context) error {
		fmt.Println("running")
		return nil
	})
	var dismissed *RejectedError
	if errors.As(err, &dismissed) {
		fmt.Println("come back in", dismissed.RetryAfter)
	}
	// Output: running
}
