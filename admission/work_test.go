package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Requests with forged properties must not change the estimates: a false arrival time, many router IDs, and runs that
// the pool does not know.
func TestForgedRequestsDoNotChangeEstimates(t *testing.T) {
	b := newFixture(func(s *Settings) { s.IdleTimeout = 30 * time.Second })
	before := b.expectedWork(b.request("real", 0))
	for i := range 2 * maxRouters {
		forged := b.request("forged", 0)
		forged.Arrived, forged.Router = b.at-10*time.Minute, uint32(i)
		b.round(Round{Arrived: []*Request{forged}})
	}
	assert.LessOrEqual(t, len(b.connections.lastSeen), maxRouters)
	unread := b.shedding.unread.sum(b.at)
	assert.LessOrEqual(t, unread[1], unread[0], "a request counts at most one latency target as unread")
	for range 100 {
		unknown := b.request("unknown", 0)
		b.round(Round{Arrived: []*Request{unknown}})
		b.at += 10 * ms
		b.round(Round{RunsEnded: []Completion{{Request: unknown, Outcome: NeverStarted}}})
	}
	assert.InDelta(t, float64(before), float64(b.expectedWork(b.request("real", 0))), float64(ms))
	assert.False(t, b.health.failing)
}
