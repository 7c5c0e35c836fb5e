package harness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/emulator"
)

func TestStrainOfCrowd(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, KB: 1e6}
	g := newStrainGauge(Endurance{RunsPerCore: 5, Over: time.Second})
	g.pass(2*time.Second, 5, m) // half of the ten that it survives
	assert.InDelta(t, 0.5, g.worst.Crowd, 1e-9)
	g.pass(2500*time.Millisecond, 25, m) // for half of the span
	assert.InDelta(t, 1.5, g.worst.Crowd, 1e-9)
	assert.Equal(t, 2500*time.Millisecond, g.worst.CrowdAt)
	g.pass(10*time.Second, 0, m)
	assert.InDelta(t, 1.5, g.worst.Crowd, 1e-9, "the most stays")
}

func TestStrainOfAColdPool(t *testing.T) {
	m := Machine{Cores: 2, Speed: 0.1, KB: 1e6, ColdShare: 0.25, WarmUp: 100 * time.Second}
	g := newStrainGauge(Endurance{RunsPerCore: 5, Over: time.Second})
	assert.InDelta(t, 4, g.survived(0, m), 1e-9)
	assert.InDelta(t, 10, g.survived(100*time.Second, m), 1e-9, "a slow machine survives as many")
}

func TestStrainOfMemory(t *testing.T) {
	m := Machine{Cores: 2, Speed: 1, KB: 4 * emulator.RunKB}
	g := newStrainGauge(Endurance{})
	g.memory(time.Second, 5, m)
	g.memory(2*time.Second, 3, m)
	assert.InDelta(t, 1.25, g.worst.Memory, 1e-9)
	assert.Equal(t, time.Second, g.worst.MemoryAt)
}
