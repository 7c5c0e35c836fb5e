// Package wallclock maps stamps of a wall clock, which may be stepped, to a clock that never is.
//
// A stamp was written by the machine's wall clock, before or behind a step of it, or by one that this process does not
// see. The offsets between the two clocks that were seen lately explain it, or it explains itself: of the moments that
// they give, the latest that is not in the future is taken. A process that was merely stopped reads old stamps too, and
// those are old: its clocks still have the same offset.
//
// It decides only: no I/O and no clock.
package wallclock

import (
	"slices"
	"time"
)

const (
	maxAge     = 10 * time.Minute       // of a stamp when it is read; more is another offset
	rounding   = 5 * time.Millisecond   // by which a stamp may lie ahead of the clock
	minStep    = 100 * time.Millisecond // of the wall clock; less is drift, which its offset follows
	maxOffsets = 8                      // remembered of each kind
	// maxStep is the most that a wall clock is stepped by: an hour, and as much again.
	maxStep = 2 * time.Hour
)

// Mapper maps stamps. The zero value is ready for use.
type Mapper struct {
	observed []time.Duration // offsets of this process's wall clock, the newest last
	learned  []time.Duration // offsets of stamps that no other explained, the newest last
}

// Observe takes by how much this process's wall clock is ahead of the clock that never steps.
func (m *Mapper) Observe(offset time.Duration) {
	if last := len(m.observed) - 1; last >= 0 && (offset-m.observed[last]).Abs() < minStep {
		m.observed[last] = offset
		return
	}
	m.observed = remember(m.observed, offset)
}

// Plausible tells whether a stamp is one that a stepped clock may have written, at a moment of this process's wall clock.
func Plausible(stamp, wall time.Duration) bool { return (wall - stamp).Abs() <= maxStep }

// Arrival is the moment of a stamp by the clock that never steps; it is not after now.
func (m *Mapper) Arrival(stamp, now time.Duration) time.Duration {
	latest, found := time.Duration(0), false
	for _, offsets := range [][]time.Duration{m.observed, m.learned} {
		for _, offset := range offsets {
			moment := stamp - offset
			if moment > now+rounding || moment < now-maxAge || found && moment <= latest {
				continue
			}
			latest, found = moment, true
		}
	}
	if !found { // taken as just come: a clock that is wrong must not make it hopeless
		m.learned = remember(m.learned, stamp-now)
		return now
	}
	return min(latest, now)
}

// remember puts the newest offset behind the others, and lets go of the oldest where there are too many.
func remember(offsets []time.Duration, newest time.Duration) []time.Duration {
	offsets = slices.DeleteFunc(offsets, func(o time.Duration) bool { return o == newest })
	if len(offsets) >= maxOffsets {
		offsets = slices.Delete(offsets, 0, 1)
	}
	return append(offsets, newest)
}
