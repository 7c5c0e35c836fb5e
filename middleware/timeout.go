package middleware

import (
	"math"
	"strconv"
	"time"
)

// maxTimeout is the longest timeout that ParseTimeout accepts.
const maxTimeout = 24 * time.Hour

// timeoutUnits are the units of the grpc-timeout header.
var timeoutUnits = map[byte]time.Duration{
	'n': time.Nanosecond, 'u': time.Microsecond, 'm': time.Millisecond, 'S': time.Second, 'M': time.Minute, 'H': time.Hour,
}

// ParseTimeout parses the time for which a caller still waits. text is "250m" or "2S" as in grpc-timeout (units n, u,
// m, S, M, H), a Go duration ("250ms"), or a point in time (RFC 3339, or @ and Unix milliseconds). For a time that has
// passed it returns one nanosecond, so that the request is rejected instead of running without a deadline.
//
// ok is false if text can't be parsed or the timeout exceeds one day: a header must not make a request wait longer than
// its route allows.
func ParseTimeout(text string, now time.Time) (timeout time.Duration, ok bool) {
	timeout, ok = parseTimeout(text, now)
	if !ok || timeout > maxTimeout {
		return 0, false
	}
	return max(timeout, time.Nanosecond), true
}

// parseTimeout parses a timeout without limits; the result may be negative.
func parseTimeout(text string, now time.Time) (timeout time.Duration, ok bool) {
	if text == "" {
		return 0, false
	}
	if text[0] == '@' {
		ms, err := strconv.ParseInt(text[1:], 10, 64)
		if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
			return 0, false
		}
		return time.UnixMilli(ms).Sub(now), true
	}
	last := len(text) - 1
	if count, err := strconv.ParseInt(text[:last], 10, 32); err == nil && timeoutUnits[text[last]] > 0 && count >= 0 {
		return time.Duration(count) * timeoutUnits[text[last]], true
	}
	if timeout, err := time.ParseDuration(text); err == nil {
		return timeout, true
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at.Sub(now), true
	}
	return 0, false
}
