package harness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/emulator"
)

func TestPeakLoadOfRuns(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, MemoryKB: 1e6}
	g := newLoadTracker(LoadLimit{RunsPerCore: 5, Window: time.Second})
	g.advance(2*time.Second, 5, m) // half of the ten runs that the pool survives
	assert.InDelta(t, 0.5, g.peak.Runs, 1e-9)
	g.advance(2500*time.Millisecond, 25, m) // for half of the window
	assert.InDelta(t, 1.5, g.peak.Runs, 1e-9)
	assert.Equal(t, 2500*time.Millisecond, g.peak.RunsAt)
	g.advance(10*time.Second, 0, m)
	assert.InDelta(t, 1.5, g.peak.Runs, 1e-9, "the highest load is kept")
}

func TestPeakLoadOfColdPool(t *testing.T) {
	m := Machine{Cores: 2, Speed: 0.1, MemoryKB: 1e6, ColdShare: 0.25, WarmUp: 100 * time.Second}
	g := newLoadTracker(LoadLimit{RunsPerCore: 5, Window: time.Second})
	assert.InDelta(t, 4, g.survivableRuns(0, m), 1e-9)
	assert.InDelta(t, 10, g.survivableRuns(100*time.Second, m), 1e-9, "a slow machine survives as many runs as a fast one")
}

func TestPeakLoadOfMemory(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, MemoryKB: 4 * emulator.RunKB}
	g := newLoadTracker(LoadLimit{})
	g.recordMemory(time.Second, 5, m)
	g.recordMemory(2*time.Second, 3, m)
	assert.InDelta(t, 1.25, g.peak.Memory, 1e-9)
	assert.Equal(t, time.Second, g.peak.MemoryAt)
}
