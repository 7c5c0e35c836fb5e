package settings

import (
	"math"
	"strconv"
	"time"
)

// bounds is the range of values that a number may have.
type bounds int

const (
	anything bounds = iota // any finite number
	notNegative
	aboveZero
	share // from 0 to 1
)

// problem returns how a number violates the bounds, or "" if it is within them.
func (b bounds) problem(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "not a finite number"
	case b == aboveZero && v <= 0:
		return "not above 0"
	case b != anything && v < 0:
		return "below 0"
	case b == share && v > 1:
		return "above 1"
	}
	return ""
}

// MaxDuration is the bound to which longer durations are reduced. No process runs that long, and a time that far ahead
// can still be added to without overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// microseconds parses a number of microseconds in any notation of a float. whole is false if the text is not a whole
// number.
func microseconds(text string) (v float64, whole bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v == math.Trunc(v)
}

// spanOf returns a number of microseconds as a duration, limited to MaxDuration in either direction.
func spanOf(microseconds float64) time.Duration {
	most := float64(MaxDuration / time.Microsecond)
	return time.Duration(max(min(microseconds, most), -most)) * time.Microsecond
}
