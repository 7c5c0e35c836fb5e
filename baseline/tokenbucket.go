package baseline

import (
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

// tokenBucket admits as many requests per second as the cores have capacity for, in bursts of up to one second's worth.
// It knows the mean work of requests, unlike a real token bucket.
type tokenBucket struct {
	fixed
	rate, tokens float64
	refilledAt   time.Duration
}

func newTokenBucket(m emulator.Machine, routes []emulator.Route, _ *rand.Rand) limiter {
	rate := emulator.Rate(routes, m, 1)
	return &tokenBucket{fixed: fixed{runs: fixedRuns * m.Cores}, rate: rate, tokens: rate}
}

func (b *tokenBucket) admit(now time.Duration) bool {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
