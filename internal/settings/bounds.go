package settings

import (
	"math"
	"strconv"
	"time"
)

// bounds is what a number may be.
type bounds int

const (
	anything bounds = iota // that is finite
	notNegative
	aboveZero
	share // from 0 to 1
)

// problem says what is wrong with a number, "" where it is within the bounds.
func (b bounds) problem(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "no finite number"
	case b == aboveZero && v <= 0:
		return "not above 0"
	case b != anything && v < 0:
		return "below 0"
	case b == share && v > 1:
		return "above 1"
	}
	return ""
}

// MaxDuration is what longer durations are taken for: no process lives that long, and moments that far ahead still have
// room for what is added to them.
const MaxDuration = 10 * 365 * 24 * time.Hour

// microseconds reads a whole number of them, in whichever way it is written.
func microseconds(text string) (v float64, whole bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v == math.Trunc(v)
}

// spanOf is a duration of microseconds, within MaxDuration either way.
func spanOf(microseconds float64) time.Duration {
	most := float64(MaxDuration / time.Microsecond)
	return time.Duration(max(min(microseconds, most), -most)) * time.Microsecond
}
