package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAServerWhoseRunsFailEjectsItself(t *testing.T) {
	b := newFixture(nil)
	for range 6 {
		x := b.request("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.round(Round{RunsEnded: []Completion{{Request: x, Outcome: Failed}}})
	}
	decisions := b.round(Round{Arrived: []*Request{b.request("probe", 2), b.request("other", 2)}})
	assert.Equal(t, "reject other, start probe", decisions)
	assert.Equal(t, maxShedLevel, b.shedding.level)
	assert.Contains(t, b.pass(3*time.Second, Gauges{}), "health true", "the server returns to service by itself")
}
