// Package wallclock maps timestamps of a wall clock, which may be stepped, to a monotonic clock.
//
// A timestamp was written by this machine's wall clock, before or after a step, or by a clock whose steps this process
// does not see. Each recently seen offset between the two clocks maps it to a moment; of these moments, the latest that
// is neither in the future nor too old is used. If there is none, the timestamp is taken as written now, and its offset
// is kept. A process that was only suspended reads old timestamps, too: its offset has not changed, so they keep their
// age.
//
// It does no I/O and reads no clock. All moments are durations since any fixed origin.
package wallclock

import (
	"slices"
	"time"
)

const (
	maxAge     = 10 * time.Minute       // maximum age of a timestamp when it is read; an older one is taken as written at another offset
	rounding   = 5 * time.Millisecond   // maximum by which a timestamp may be ahead of the clock
	minStep    = 100 * time.Millisecond // minimum step of the wall clock; a smaller change is drift and updates the latest offset
	maxStep    = 2 * time.Hour          // maximum step of the wall clock: two daylight saving changes
	maxOffsets = 8                      // maximum number of offsets kept of each kind
)

// Mapper maps timestamps to the monotonic clock. The zero value is ready for use.
type Mapper struct {
	observed []time.Duration // offsets of this process's wall clock, newest last
	learned  []time.Duration // offsets of timestamps to which no known offset applied, newest last
}

// Observe records the offset by which this process's wall clock is ahead of the monotonic clock. It must be called
// regularly.
func (m *Mapper) Observe(offset time.Duration) {
	if last := len(m.observed) - 1; last >= 0 && (offset-m.observed[last]).Abs() < minStep {
		m.observed[last] = offset
		return
	}
	m.observed = appendOffset(m.observed, offset)
}

// Plausible reports whether a timestamp may come from a stepped clock, given that this process's wall clock reads wall.
func Plausible(timestamp, wall time.Duration) bool { return (wall - timestamp).Abs() <= maxStep }

// Arrival returns the moment of a timestamp by the monotonic clock. It is never after now.
func (m *Mapper) Arrival(timestamp, now time.Duration) time.Duration {
	latest, found := time.Duration(0), false
	for _, offsets := range [][]time.Duration{m.observed, m.learned} {
		for _, offset := range offsets {
			moment := timestamp - offset
			if moment > now+rounding || moment < now-maxAge || found && moment <= latest {
				continue
			}
			latest, found = moment, true
		}
	}
	if !found { // taken as written now: a wrong clock must not make its request miss its deadline at once
		m.learned = appendOffset(m.learned, timestamp-now)
		return now
	}
	return min(latest, now)
}

// appendOffset appends the newest offset, and removes the oldest if there are too many.
func appendOffset(offsets []time.Duration, newest time.Duration) []time.Duration {
	offsets = slices.DeleteFunc(offsets, func(o time.Duration) bool { return o == newest })
	if len(offsets) >= maxOffsets {
		offsets = slices.Delete(offsets, 0, 1)
	}
	return append(offsets, newest)
}
