package harness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/emulator"
)

func TestStrainOfCrowd(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, MemoryKB: 1e6}
	g := newStrainGauge(LoadLimit{RunsPerCore: 5, Window: time.Second})
	g.advance(2*time.Second, 5, m) // half of the ten that it survives
	assert.InDelta(t, 0.5, g.max.Runs, 1e-9)
	g.advance(2500*time.Millisecond, 25, m) // for half of the span
	assert.InDelta(t, 1.5, g.max.Runs, 1e-9)
	assert.Equal(t, 2500*time.Millisecond, g.max.RunsAt)
	g.advance(10*time.Second, 0, m)
	assert.InDelta(t, 1.5, g.max.Runs, 1e-9, "the most stays")
}

func TestStrainOfAColdPool(t *testing.T) {
	m := Machine{Cores: 2, Speed: 0.1, MemoryKB: 1e6, ColdShare: 0.25, WarmUp: 100 * time.Second}
	g := newStrainGauge(LoadLimit{RunsPerCore: 5, Window: time.Second})
	assert.InDelta(t, 4, g.survivableRuns(0, m), 1e-9)
	assert.InDelta(t, 10, g.survivableRuns(100*time.Second, m), 1e-9, "a slow machine survives as many")
}

func TestStrainOfMemory(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, MemoryKB: 4 * emulator.RunKB}
	g := newStrainGauge(LoadLimit{})
	g.recordMemory(time.Second, 5, m)
	g.recordMemory(2*time.Second, 3, m)
	assert.InDelta(t, 1.25, g.max.Memory, 1e-9)
	assert.Equal(t, time.Second, g.max.MemoryAt)
}
