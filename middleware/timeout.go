package middleware

import (
	"math"
	"strconv"
	"time"
)

// maxTimeout is the longest timeout that counts as stated.
const maxTimeout = 24 * time.Hour

// timeoutUnits are the units of grpc-timeout.
var timeoutUnits = map[byte]time.Duration{
	'n': time.Nanosecond, 'u': time.Microsecond, 'm': time.Millisecond, 'S': time.Second, 'M': time.Minute, 'H': time.Hour,
}

// ParseTimeout reads the time that a caller still waits: "250m" or "2S" as in grpc-timeout (units n, u, m, S, M, H), a Go
// duration ("250ms"), or a moment (RFC 3339, or @ and Unix milliseconds). A time that is over is one nanosecond, so that the
// request is rejected and not run without a deadline.
//
// ok is false for what can't be read, and for more than a day: a header must not make a request wait longer than its route.
func ParseTimeout(text string, now time.Time) (timeout time.Duration, ok bool) {
	timeout, ok = parseTimeout(text, now)
	if !ok || timeout > maxTimeout {
		return 0, false
	}
	return max(timeout, time.Nanosecond), true
}

// parseTimeout reads a timeout of any length, which may be over.
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
