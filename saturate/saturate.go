// Package saturate converts floating-point numbers to integers and durations with the same result on every processor.
// Go leaves the result of converting a NaN, an infinity or any other number outside the range of the integer type to the
// processor: x86-64 returns the lowest integer for all of them, arm64 returns 0 or the nearest integer.
//
// It does no I/O and reads no clock.
package saturate

import (
	"math"
	"time"
)

// MaxDuration is the maximum of converted durations; longer ones are reduced to it, in either direction. No process runs
// that long, and adding a few of them to a time does not overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// Nanoseconds returns a number of nanoseconds as a duration, truncated towards 0 and limited to MaxDuration in either
// direction. It returns 0 for a NaN.
func Nanoseconds(nanoseconds float64) time.Duration {
	if math.IsNaN(nanoseconds) {
		return 0
	}
	const limit = float64(MaxDuration)
	return time.Duration(max(min(nanoseconds, limit), -limit))
}

// Seconds returns a number of seconds as a duration, as Nanoseconds does.
func Seconds(seconds float64) time.Duration { return Nanoseconds(seconds * float64(time.Second)) }

// Int returns a number as an integer, truncated towards 0 and limited to the range of 32 bits, which every int holds. It
// returns 0 for a NaN.
func Int(number float64) int {
	if math.IsNaN(number) {
		return 0
	}
	return int(max(min(number, math.MaxInt32), math.MinInt32))
}
