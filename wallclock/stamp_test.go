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

// stepped is a mapper of a process that saw its wall clock step, in turn, by steps.
func stepped(steps ...time.Duration) (m *Mapper, wallAhead time.Duration) {
	m = &Mapper{}
	m.Observe(0)
	for _, step := range steps {
		wallAhead += step
		m.Observe(wallAhead)
	}
	return m, wallAhead
}

// The wall clock steps. Timestamps from before and from after the step are mapped to the moment at which they were written.
func TestArrivalsAcrossSteps(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for name, stamped := range map[string]time.Duration{"before the step": 0, "after it": step} {
			m, _ := stepped(step)
			for _, age := range []time.Duration{0, 30 * ms, 700 * ms} {
				assert.Equal(t, now-age, m.Arrival(now+stamped-age, now), "%v, stamped %s, %v old", step, name, age)
			}
		}
	}
}

// The process was stopped for a while and reads timestamps late. They keep their age.
func TestAProcessThatWasStoppedReadsOldStamps(t *testing.T) {
	m, _ := stepped()
	assert.Equal(t, now-3*time.Second, m.Arrival(now-3*time.Second, now))
	m, ahead := stepped(time.Hour)
	assert.Equal(t, now-3*time.Second, m.Arrival(now+ahead-3*time.Second, now))
}

// Only the writers' clock stepped, or this process started after the step. The first timestamp is taken as of now, and the
// others by its offset.
func TestOffsetsThatTheProcessDoesNotSee(t *testing.T) {
	for _, offset := range []time.Duration{2 * time.Second, time.Hour, -time.Hour} {
		m, _ := stepped()
		assert.Equal(t, now, m.Arrival(now+offset, now))
		later := now + time.Minute
		assert.Equal(t, later-40*ms, m.Arrival(later+offset-40*ms, later))
		assert.Equal(t, later-40*ms, m.Arrival(later-40*ms, later), "stamps of the old clock are still read right")
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

// A client invents timestamps. They do not move the arrival of any other, and are remembered up to a bound.
func TestInventedStampsHarmNobody(t *testing.T) {
	m, _ := stepped(2 * time.Second)
	for i := range 100 {
		invented := time.Duration(i) * time.Minute
		for _, stamp := range []time.Duration{now + invented, now - invented} {
			assert.LessOrEqual(t, m.Arrival(stamp, now), now)
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
