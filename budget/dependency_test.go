package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A dependency is slow for a while, which lowers the limit, and then fails all calls, which opens the breaker.
// Successful probes close the breaker, and the limit restarts from a lower value than before.
func TestLimitAndBreaker(t *testing.T) {
	d := NewDependency(testOptions(8), 1)
	now := time.Duration(0)
	call := func(outcome Outcome, took time.Duration) (sent bool) {
		admitted, _ := d.Admit(now)
		if admitted {
			d.CallEnded(outcome, took, true, now+took)
		}
		return admitted
	}
	for range 40 {
		require.True(t, call(Succeeded, 10*ms))
		now += 25 * ms
	}
	assert.Equal(t, 4.0, d.limit, "no call found the limit reached")
	d.limitReached = true
	now += limitInterval
	d.Tick(now)
	assert.Equal(t, 5.0, d.limit)
	for range 10 { // slower, but without failures
		call(Succeeded, 60*ms)
		now += 25 * ms
	}
	now += limitInterval - 250*ms
	d.Tick(now)
	assert.InDelta(t, 3.75, d.limit, 1e-9, "a backoff event")
	assert.False(t, d.TakeRetryToken(now), "no token while degraded")

	now += 5 * time.Second
	sent := 0
	for range 100 {
		if call(Failed, ms) {
			sent++
		}
		now += 10 * ms
	}
	assert.Less(t, sent, 20, "the breaker stops calls")
	assert.Positive(t, d.BreakerOpened)
	now += maxOpenDuration * 2
	admitted, breakerOpen := d.Admit(now)
	assert.True(t, admitted && !breakerOpen, "a probe")
	_, breakerOpen = d.Admit(now)
	assert.True(t, breakerOpen, "one probe at a time")
	d.CallEnded(Succeeded, 5*ms, true, now)
	assert.Equal(t, HalfOpen, d.breaker)
	call(Succeeded, 5*ms)
	assert.Equal(t, Closed, d.breaker)
	assert.Less(t, d.limit, 3.0, "slow start")
}

// A dependency still works on cancelled calls. They keep their slots until they have ended or their timeout has passed,
// so that it never has more calls than its limit.
func TestCancelledCallsHoldSlots(t *testing.T) {
	executor := newRecorder()
	scheduler, d := newTestScheduler(executor, 2)
	plan := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: 10 * ms}}}
	require.NoError(t, plan.Validate(1, time.Minute))
	for range 2 {
		scheduler.Cancel(scheduler.Start(plan, 0, time.Second, nil), ms)
	}
	executor.takeLog()
	scheduler.Start(plan, 2*ms, 300*ms, nil)
	assert.Empty(t, executor.takeLog(), "both slots are still taken")
	scheduler.CancelledCallEnded(0, 10*ms)
	assert.Equal(t, []string{"send a/0"}, executor.takeLog())
	scheduler.Advance(1100 * ms)
	assert.LessOrEqual(t, d.slotsInUse(), 2)
	assert.Equal(t, 1, d.LateResponses)
}

// A dependency fails for a long time. Retries and hedged requests are limited to the tokens earned before, one for
// every ten successful first attempts: they do not multiply the load.
func TestRetryBudget(t *testing.T) {
	executor := newRecorder()
	scheduler, d := newTestScheduler(executor, 100)
	plan := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: ms, Retry: true, Hedge: true}}}
	require.NoError(t, plan.Validate(1, time.Minute))
	now := time.Duration(0)
	next := 0
	runOnce := func(outcome Outcome) {
		scheduler.Start(plan, now, now+time.Second, nil)
		for ; next < len(executor.sent); next++ {
			s := executor.sent[next]
			scheduler.CallEnded(s.execution, s.call, s.attempt, outcome, now+ms)
		}
		now += 5 * ms
		scheduler.Advance(now)
	}
	for range 400 {
		runOnce(Succeeded)
	}
	assert.Equal(t, maxRetryTokens, d.retryTokens)
	for range 2000 {
		runOnce(Failed)
	}
	assert.LessOrEqual(t, float64(d.ExtraAttempts), maxRetryTokens)
	assert.Less(t, len(executor.sent), 600, "the breaker limits first attempts, too")
}

// Dependencies with large limits allocate no memory for queues before they are used.
func TestLargeLimitsAllocateNothing(t *testing.T) {
	d := NewDependency(Options{MaxInFlight: 1000, QueueLimit: 4096}, 1)
	assert.Zero(t, cap(d.queue)+cap(d.cancelledUntil))
}
