package settings

import (
	"math"
	"strconv"
	"time"

	"quartzpoint/saturate"
)

// bounds is the range of values that a number may have.
type bounds int

const (
	anyFinite bounds = iota
	nonNegative
	positive
	fraction // from 0 to 1
)

// problem returns how a number violates the bounds, or "" if it is within them.
func (b bounds) problem(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "not a finite number"
	case b == positive && v <= 0:
		return "not above 0"
	case b != anyFinite && v < 0:
		return "below 0"
	case b == fraction && v > 1:
		return "above 1"
	}
	return ""
}

// MaxDuration is the maximum of durations in settings; longer ones are reduced to it.
const MaxDuration = saturate.MaxDuration

// parseMicroseconds parses a number of microseconds in any notation of a float. whole is false if the text is not a
// whole number.
func parseMicroseconds(text string) (v float64, whole bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v == math.Trunc(v)
}

// boundedDuration returns a number of microseconds as a duration, limited to MaxDuration in either direction.
func boundedDuration(microseconds float64) time.Duration {
	limit := float64(MaxDuration / time.Microsecond)
	return time.Duration(max(min(microseconds, limit), -limit)) * time.Microsecond
}
