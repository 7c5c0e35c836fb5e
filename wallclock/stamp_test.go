package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	ms  = time.Millisecond
	now = 100 * time.Hour // by the monotonic clock
)

// stepped returns the mapper of a process whose wall clock was stepped by each of steps in turn, and the resulting
// offset.
func stepped(steps ...time.Duration) (m *Mapper, wallAhead time.Duration) {
	m = &Mapper{}
	m.Observe(0)
	for _, step := range steps {
		wallAhead += step
		m.Observe(wallAhead)
	}
	return m, wallAhead
}

// The wall clock is stepped. Timestamps from before and after the step are mapped to the moment at which they were
// written.
func TestArrivalsAcrossSteps(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for name, offset := range map[string]time.Duration{"before the step": 0, "after the step": step} {
			m, _ := stepped(step)
			for _, age := range []time.Duration{0, 30 * ms, 700 * ms} {
				assert.Equal(t, now-age, m.Arrival(now+offset-age, now), "step %v, timestamp written %s, %v old", step, name, age)
			}
		}
	}
}

// The process was suspended for a while and reads timestamps late. They keep their age.
func TestAProcessThatWasStoppedReadsOldStamps(t *testing.T) {
	m, _ := stepped()
	assert.Equal(t, now-3*time.Second, m.Arrival(now-3*time.Second, now))
	m, ahead := stepped(time.Hour)
	assert.Equal(t, now-3*time.Second, m.Arrival(now+ahead-3*time.Second, now))
}

// Only the clock of the writer was stepped, or this process started after the step. The first timestamp is taken as
// written now, and later ones are mapped by its offset.
func TestOffsetsThatTheProcessDoesNotSee(t *testing.T) {
	for _, offset := range []time.Duration{2 * time.Second, time.Hour, -time.Hour} {
		m, _ := stepped()
		assert.Equal(t, now, m.Arrival(now+offset, now))
		later := now + time.Minute
		assert.Equal(t, later-40*ms, m.Arrival(later+offset-40*ms, later))
		assert.Equal(t, later-40*ms, m.Arrival(later-40*ms, later), "timestamps of the clock before its step are still mapped correctly")
	}
}

func TestTwoStepsInARow(t *testing.T) {
	m, ahead := stepped(time.Hour, -2*time.Second, time.Hour)
	for _, offset := range []time.Duration{0, time.Hour, time.Hour - 2*time.Second, ahead} {
		assert.Equal(t, now-20*ms, m.Arrival(now+offset-20*ms, now), offset)
	}
}

func TestDriftIsNoStep(t *testing.T) {
	var m Mapper
	for drift := range 1000 {
		m.Observe(time.Duration(drift) * ms)
	}
	assert.Equal(t, []time.Duration{999 * ms}, m.observed)
}

func TestRoundingIsNoStep(t *testing.T) {
	m, _ := stepped()
	assert.Equal(t, now, m.Arrival(now+3*ms, now))
	assert.Empty(t, m.learned)
}

// A client sends invented timestamps. They do not change the arrival of any other, and only a bounded number of their
// offsets is kept.
func TestInventedStampsChangeNoOther(t *testing.T) {
	m, _ := stepped(2 * time.Second)
	for i := range 100 {
		invented := time.Duration(i) * time.Minute
		for _, timestamp := range []time.Duration{now + invented, now - invented} {
			assert.LessOrEqual(t, m.Arrival(timestamp, now), now)
		}
		assert.Equal(t, now-50*ms, m.Arrival(now-50*ms, now))
		assert.Equal(t, now-50*ms, m.Arrival(now+2*time.Second-50*ms, now))
	}
	assert.LessOrEqual(t, len(m.learned), maxOffsets)
}

func TestPlausible(t *testing.T) {
	assert.True(t, Plausible(now-time.Hour, now))
	assert.True(t, Plausible(now+time.Hour, now))
	assert.False(t, Plausible(now-3*time.Hour, now))
	assert.False(t, Plausible(0, now))
}
