package quartzpoint

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Concurrent calls of runs must stay within the dependency's quota. A failed call is retried, or skipped if the route
// allows it.
func TestCalls(t *testing.T) {
	g := newGate(t, Options{Cores: 4, Calls: CallOptions{Share: 4}, Routes: []Route{
		{Name: "needs", LatencyTarget: 5 * time.Second}, {Name: "can do without", LatencyTarget: 5 * time.Second, SkipValueShare: 0.5},
		{Name: "once", LatencyTarget: 5 * time.Second, Idempotency: AtMostOnce},
	}})
	var running, peak, attempts atomic.Int32
	var all sync.WaitGroup
	for range 12 {
		all.Add(1)
		go func() {
			defer all.Done()
			assert.NoError(t, g.Do(t.Context(), Request{Route: "needs"}, func(ctx context.Context) error {
				return Call(ctx, func(context.Context) error {
					for n := running.Add(1); n > peak.Load(); {
						peak.Store(n)
					}
					time.Sleep(5 * ms)
					running.Add(-1)
					return nil
				})
			}))
		}()
	}
	all.Wait()
	assert.LessOrEqual(t, peak.Load(), int32(4))
	fails := errors.New("fails")
	require.NoError(t, g.Do(t.Context(), Request{Route: "needs"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error {
			if attempts.Add(1) == 1 {
				return fails
			}
			return nil
		})
	}))
	assert.Equal(t, int32(2), attempts.Load())
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "can do without"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error { return fails })
	}), ErrCallSkipped)
	attempts.Store(0)
	assert.ErrorIs(t, g.Do(t.Context(), Request{Route: "once"}, func(ctx context.Context) error {
		return Call(ctx, func(context.Context) error { attempts.Add(1); return fails })
	}), ErrAborted)
	assert.Equal(t, int32(1), attempts.Load(), "a call of an at-most-once route was retried")
	assert.NoError(t, Call(t.Context(), func(context.Context) error { return nil }), "outside a run")
}
