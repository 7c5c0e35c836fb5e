package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// One peer answers and the other is down. The first is not polled again. The second is polled with a growing backoff,
// and not before the delay that it asks for, until the server needs no estimates or the time for polling is over.
func TestPollSchedule(t *testing.T) {
	schedule := NewPollSchedule(2, 0, 1)
	assert.Equal(t, []int{0, 1}, schedule.Due(0, true))
	assert.Empty(t, schedule.Due(time.Second, true), "one poll of each is in progress")
	schedule.Finished(0, time.Millisecond, true, 0)
	last := time.Millisecond
	backoffs := []time.Duration{}
	for range 6 {
		schedule.Finished(1, last, false, 0)
		next := schedule.Next()
		assert.Empty(t, schedule.Due(next-1, true))
		assert.Equal(t, []int{1}, schedule.Due(next, true), "the failed peer is polled again")
		backoffs = append(backoffs, next-last)
		last = next
	}
	assert.Less(t, backoffs[0], 2*time.Second)
	assert.Greater(t, backoffs[5], 5*time.Second, "the backoff grows")
	assert.LessOrEqual(t, backoffs[5], 2*maxBackoff)
	schedule.Finished(1, last, false, maxBackoff)
	assert.GreaterOrEqual(t, schedule.Next(), last+maxBackoff, "the peer asked for this delay")
	assert.Empty(t, schedule.Due(schedule.Next(), false), "no estimates are needed")
	assert.True(t, schedule.Done(last, false))
	assert.False(t, schedule.Done(last, true))
	assert.True(t, schedule.Done(pollDuration+1, true))
	assert.Empty(t, schedule.Due(pollDuration+1, true))
}

// A server with hundreds of peers polls a few of them, and others in place of those that are down.
func TestPollScheduleOfALargeFleet(t *testing.T) {
	schedule := NewPollSchedule(500, 0, 3)
	polled := map[int]bool{}
	due := schedule.Due(0, true)
	assert.Len(t, due, maxPeers)
	for _, peer := range due {
		polled[peer] = true
		schedule.Finished(peer, time.Millisecond, peer%2 == 0, 0)
	}
	for now := 2 * time.Millisecond; !schedule.Done(now, true); now += time.Millisecond {
		due := schedule.Due(now, true)
		require.NotEmpty(t, due, "other peers are polled at once")
		for _, peer := range due {
			polled[peer] = true
			schedule.Finished(peer, now, true, 0)
		}
	}
	assert.Less(t, len(polled), 3*maxPeers)
	assert.Empty(t, schedule.Due(time.Hour, true))
}
