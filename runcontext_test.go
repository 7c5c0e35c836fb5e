package quartzpoint

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The caller's context ends before the request is sent, while it is queued, while it runs, and after it is answered.
func TestContexts(t *testing.T) {
	g := newGate(t, Options{Cores: 1, Routes: []Route{{Name: "a", LatencyTarget: 10 * time.Second}}})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	never := func(context.Context) error { t.Error("a request ran whose caller's context had ended"); return nil }
	assert.ErrorIs(t, g.Do(ended, Request{Route: "a"}, never), context.Canceled)

	end := make(chan struct{})
	var running sync.WaitGroup
	for range 2 { // fills the capacity of one core
		running.Add(1)
		go func() {
			defer running.Done()
			assert.NoError(t, g.Do(t.Context(), Request{Route: "a"}, func(context.Context) error { <-end; return nil }))
		}()
	}
	require.Eventually(t, func() bool { return g.Counts().Received == 2 }, waitLimit, ms)
	time.Sleep(10 * ms)
	short, stop := context.WithTimeout(t.Context(), 30*ms)
	defer stop()
	err := g.Do(short, Request{Route: "a"}, never)
	assert.Error(t, err, "its context ended while it was queued")
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

// Executions are reused, so the end of a caller's context after its request must not cancel the run of a later request.
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

// Goroutines that a run started may use the run's context long after the run. The context must have ended with the run,
// and must not refer to the request that uses the execution by then.
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
		assert.ErrorIs(t, Call(ctx, func(context.Context) error { t.Error("a call was made after its run had ended"); return nil }), context.Canceled)
	}
}
