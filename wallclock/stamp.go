// Package wallclock maps timestamps of a wall clock, which may be stepped, to a monotonic clock.
//
// A timestamp was written by this machine's wall clock, before or after a step, or by one whose steps this process does not
// see. Each offset between the two clocks that was seen lately explains it as some moment; of those, the latest that is
// not in the future is taken. Where no offset explains it, it is taken as written now, and its offset is remembered. A
// process that was merely stopped reads old timestamps too: its offset has not changed, so they stay old.
//
// It decides only: no I/O and no clock. All moments are durations since any fixed origin.
package wallclock

import (
	"slices"
	"time"
)

const (
	maxAge     = 10 * time.Minute       // of a timestamp when it is read; an older one was written at another offset
	rounding   = 5 * time.Millisecond   // by which a timestamp may be ahead of the clock
	minStep    = 100 * time.Millisecond // of the wall clock; less is drift, which its offset follows
	maxStep    = 2 * time.Hour          // of the wall clock: a change of the hour, twice
	maxOffsets = 8                      // remembered of each kind
)

// Mapper maps timestamps. The zero value is ready for use.
type Mapper struct {
	observed []time.Duration // offsets of this process's wall clock, newest last
	learned  []time.Duration // offsets of timestamps that no other explained, newest last
}

// Observe takes the offset by which this process's wall clock is ahead of the monotonic clock. To be called now and then.
func (m *Mapper) Observe(offset time.Duration) {
	if last := len(m.observed) - 1; last >= 0 && (offset-m.observed[last]).Abs() < minStep {
		m.observed[last] = offset
		return
	}
	m.observed = remember(m.observed, offset)
}

// Plausible reports whether a stepped clock may have written a timestamp, when this process's wall clock shows wall.
func Plausible(timestamp, wall time.Duration) bool { return (wall - timestamp).Abs() <= maxStep }

// Arrival is the moment of a timestamp by the monotonic clock; it is not after now.
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
	if !found { // as of now: a wrong clock must not let its request miss its deadline at once
		m.learned = remember(m.learned, timestamp-now)
		return now
	}
	return min(latest, now)
}

// remember appends the newest offset, and drops the oldest where there are too many.
func remember(offsets []time.Duration, newest time.Duration) []time.Duration {
	offsets = slices.DeleteFunc(offsets, func(o time.Duration) bool { return o == newest })
	if len(offsets) >= maxOffsets {
		offsets = slices.Delete(offsets, 0, 1)
	}
	return append(offsets, newest)
}
