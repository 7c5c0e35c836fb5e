package quartzpoint

import (
	"context"
	"errors"
	"fmt"
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
	waitLimit = 20 * time.Second
	ms        = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newGate(t testing.TB, options Options) *Gate {
	g, err := New(options)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
		defer cancel()
		assert.NoError(t, g.Shutdown(ctx))
	})
	return g
}

// A gate with zero Options and requests without settings: Do returns the function's error and propagates its panic.
func TestZeroOptions(t *testing.T) {
	g := newGate(t, Options{})
	ran := false
	require.NoError(t, g.Do(t.Context(), Request{Route: "anything"}, func(context.Context) error { ran = true; return nil }))
	assert.True(t, ran)
	broken := errors.New("broken")
	assert.ErrorIs(t, g.Do(t.Context(), Request{}, func(context.Context) error { return broken }), broken)
	assert.PanicsWithValue(t, "oh", func() {
		_ = g.Do(t.Context(), Request{Route: "anything"}, func(context.Context) error { panic("oh") })
	})
	for i := range spareRoutes + 5 { // the number of assigned spare routes is bounded
		err := g.Do(t.Context(), Request{Route: fmt.Sprint(i)}, func(context.Context) error { return nil })
		var rejected *RejectedError
		assert.Equal(t, i >= spareRoutes-2, errors.As(err, &rejected), i)
	}
	assert.Equal(t, int64(spareRoutes+5+3), g.Counts().Received)
}

// A function ignores its context and runs past the deadline. Its caller must still be answered in time. The run stays
// in flight and counts as an overrun until it returns, and the gate is unhealthy meanwhile.
func TestIgnoresDeadline(t *testing.T) {
	g := newGate(t, Options{Cores: 1, OverrunLimit: 1, Routes: []Route{{Name: "slow", LatencyTarget: 200 * ms}}})
	end := make(chan struct{})
	var canceled atomic.Bool
	began := time.Now()
	err := g.Do(t.Context(), Request{Route: "slow"}, func(ctx context.Context) error {
		<-ctx.Done()
		canceled.Store(true)
		<-end
		return nil
	})
	assert.ErrorIs(t, err, ErrAborted)
	assert.Less(t, time.Since(began), 200*ms+waitLimit/100)
	require.Eventually(t, canceled.Load, waitLimit, ms)
	assert.Equal(t, int64(1), g.Counts().Overruns)
	assert.False(t, g.Healthy(), "healthy in spite of an overrun")
	close(end)
	require.Eventually(t, func() bool { return g.Counts().Overruns == 0 }, waitLimit, ms)
	assert.True(t, g.Healthy())
}

// A hundred goroutines send the same idempotency key at once. The request must run once, and all must get its result.
func TestKeyed(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "confirm-booking", Idempotency: Keyed, LatencyTarget: 5 * time.Second}}})
	var ran atomic.Int32
	request := Request{Route: "confirm-booking", IdempotencyKey: "n1", Fingerprint: 1}
	run := func(context.Context) ([]byte, error) { //nolint:unparam // the signature is that of DoOnce
		time.Sleep(20 * ms)
		return fmt.Appendf(nil, "run %d", ran.Add(1)), nil
	}
	var all sync.WaitGroup
	for range 100 {
		all.Add(1)
		go func() {
			defer all.Done()
			got, err := g.DoOnce(t.Context(), request, run)
			assert.NoError(t, err)
			assert.Equal(t, "run 1", string(got))
		}()
	}
	all.Wait()
	got, err := g.DoOnce(t.Context(), request, run)
	require.NoError(t, err)
	assert.Equal(t, "run 1", string(got), "a later duplicate within the dedup window")
	conflicting := request
	conflicting.Fingerprint = 2
	_, err = g.DoOnce(t.Context(), conflicting, run)
	assert.ErrorIs(t, err, ErrKeyConflict)
	assert.Equal(t, int32(1), ran.Load())

	// A request whose run failed is not run again; one without a key is rejected.
	request.IdempotencyKey = "n2"
	broken := errors.New("broken")
	_, err = g.DoOnce(t.Context(), request, func(context.Context) ([]byte, error) { ran.Add(1); return nil, broken })
	assert.ErrorIs(t, err, broken)
	_, err = g.DoOnce(t.Context(), request, run)
	assert.ErrorIs(t, err, ErrAborted)
	request.IdempotencyKey = ""
	var rejected *RejectedError
	_, err = g.DoOnce(t.Context(), request, run)
	assert.ErrorAs(t, err, &rejected)
	assert.Equal(t, int32(2), ran.Load())
}

// The context of the caller of a keyed request ends during the run. The run continues, and a duplicate gets its result.
func TestKeyedCallerGone(t *testing.T) {
	g := newGate(t, Options{Routes: []Route{{Name: "pay", Idempotency: Keyed, LatencyTarget: 5 * time.Second}}})
	ctx, cancel := context.WithCancel(t.Context())
	began, end := make(chan struct{}), make(chan struct{})
	request := Request{Route: "pay", IdempotencyKey: "x"}
	callerErr := make(chan error, 1)
	go func() {
		_, err := g.DoOnce(ctx, request, func(context.Context) ([]byte, error) {
			close(began)
			<-end
			return []byte("paid"), nil
		})
		callerErr <- err
	}()
	<-began
	cancel()
	assert.ErrorIs(t, <-callerErr, context.Canceled)
	close(end)
	got, err := g.DoOnce(t.Context(), request, func(context.Context) ([]byte, error) { return []byte("twice"), nil })
	require.NoError(t, err)
	assert.Equal(t, "paid", string(got))
	assert.Equal(t, int64(1), g.Counts().Served, "the canceled request must not be counted")
}

// A tenant sends far more than its quota. Its requests beyond the quota must be shed before those of another tenant.
func TestTenants(t *testing.T) {
	g := newGate(t, Options{Cores: 1, OverQuotaValue: 0.1, Tenants: []Tenant{{"greedy", 1}, {"modest", 50}},
		Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}})
	var served [2]atomic.Int32
	var all sync.WaitGroup
	for i := range 160 {
		all.Add(1)
		go func() {
			defer all.Done()
			tenant := i % 4 / 3 // every fourth request is the modest tenant's
			if g.Do(t.Context(), Request{Route: "a", Tenant: []string{"greedy", "modest"}[tenant]}, func(context.Context) error {
				time.Sleep(80 * ms)
				return nil
			}) == nil {
				served[tenant].Add(1)
			}
		}()
		time.Sleep(5 * ms)
	}
	all.Wait()
	assert.Greater(t, float64(served[1].Load())/40, 1.3*float64(served[0].Load())/120)
}

// Ten thousand requests arrive at once. Most must be rejected, memory must stay bounded, and each must get one answer.
func TestTenThousand(t *testing.T) {
	g := newGate(t, Options{Cores: 2, MemoryMB: 64, Routes: []Route{{Name: "a", LatencyTarget: 300 * ms}}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var served, rejected, others, peak, running atomic.Int32
	var all sync.WaitGroup
	for range 10000 {
		all.Add(1)
		go func() {
			defer all.Done()
			err := g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error {
				for n := running.Add(1); n > peak.Load(); {
					peak.Store(n)
				}
				time.Sleep(5 * ms)
				running.Add(-1)
				return nil
			})
			var rejection *RejectedError
			switch {
			case err == nil:
				served.Add(1)
			case errors.As(err, &rejection):
				rejected.Add(1)
			default:
				others.Add(1)
			}
		}()
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	assert.Equal(t, int32(10000), served.Load()+rejected.Load()+others.Load())
	assert.Positive(t, served.Load())
	assert.Greater(t, rejected.Load(), int32(5000))
	assert.LessOrEqual(t, peak.Load(), int32(12), "runs in flight on two cores")
	assert.Less(t, after.HeapAlloc, before.HeapAlloc+64<<20)
}

// Guards against a RequestKB that is validated but not used: large requests then filled all cores although only a few
// fit into the memory.
func TestLargeRequestsAreBoundedByMemory(t *testing.T) {
	const fit = 7 // requests of 8 MiB that fit into nine tenths of 64 MiB
	g := newGate(t, Options{Cores: 16, MemoryMB: 64, RequestKB: 8 << 10, Routes: []Route{{Name: "a", LatencyTarget: 5 * time.Second}}})
	var running, peak, served atomic.Int32
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			err := g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error {
				for n := running.Add(1); ; {
					if before := peak.Load(); n <= before || peak.CompareAndSwap(before, n) {
						break
					}
				}
				time.Sleep(5 * ms)
				running.Add(-1)
				served.Add(1)
				return nil
			})
			if err != nil { // queued requests take memory too, so some of the 40 may be rejected
				var rejected *RejectedError
				assert.ErrorAs(t, err, &rejected)
			}
		})
	}
	all.Wait()
	assert.LessOrEqual(t, peak.Load(), int32(fit))
	assert.GreaterOrEqual(t, served.Load(), int32(fit))
	_, err := New(Options{MemoryMB: 64, RequestKB: 65 << 10})
	assert.ErrorContains(t, err, "does not fit")
}

// The gate is shut down while functions run that don't return. Their callers must be answered before the shutdown
// deadline.
func TestShutdown(t *testing.T) {
	g, err := New(Options{Cores: 1, Grace: 50 * ms, Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	require.NoError(t, err)
	end := make(chan struct{})
	answers := make(chan error, 3)
	for range 3 { // some run and some are queued; none returns by itself
		go func() {
			answers <- g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { <-end; return nil })
		}()
	}
	require.Eventually(t, func() bool { return g.Counts().Received == 3 }, waitLimit, ms)
	time.Sleep(10 * ms)
	ctx, cancel := context.WithTimeout(t.Context(), 600*ms)
	defer cancel()
	began := time.Now()
	require.NoError(t, g.Shutdown(ctx))
	assert.Less(t, time.Since(began), time.Second)
	for range 3 {
		assert.Error(t, <-answers, "an unfinished request must be answered with an error")
	}
	assert.False(t, g.Healthy())
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { return nil }), ErrShutDown)
	close(end)
	require.NoError(t, g.Shutdown(t.Context()), "second call of Shutdown")
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

// A request is answered just as the event loop ends, so that its caller sees both events at once. Guards against
// answering half of these requests with ErrShutDown, which promises that nothing ran.
func TestAnswerAtTheEndOfTheEventLoop(t *testing.T) {
	g := &Gate{loopEnded: make(chan struct{})}
	close(g.loopEnded)
	e := &execution{gate: g, answered: make(chan struct{}, 1)}
	for range 200 {
		e.answered <- struct{}{}
		require.NoError(t, e.awaitAnswer(t.Context()))
	}
	assert.ErrorIs(t, e.awaitAnswer(t.Context()), ErrShutDown, "the request has no answer")
}
