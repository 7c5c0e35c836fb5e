package estimate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An estimate that is old or states many samples does not outweigh a server's own measurements.
func TestWeight(t *testing.T) {
	e := estimateOf(1)
	e.Age = 0
	assert.Equal(t, maxWeight, e.Weight(CoreTime), "the weight of stated samples is limited")
	e.Age = halfLives[CoreTime]
	assert.InDelta(t, maxWeight/2, e.Weight(CoreTime), 1e-9)
	e.Age = MaxAge(CoreTime)
	assert.Zero(t, e.Weight(CoreTime))
	assert.Zero(t, Estimate{}.Weight(HintRatio))
	assert.True(t, snapshotOf(1, 1).HasFresh())
	assert.False(t, snapshotOf(1, 1).Aged(MaxAge(ReturnRatio)).HasFresh())
	assert.True(t, Snapshot{}.NeedsPeers())
	assert.False(t, snapshotOf(1, 1).NeedsPeers())
}
