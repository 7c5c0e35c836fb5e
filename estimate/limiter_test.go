package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client that sends requests without pause, or asks for more bytes than its rate, is limited to its rates, and others
// are still answered.
func TestServeLimiter(t *testing.T) {
	limiter := NewServeLimiter(0)
	for range maxConnsPerAddress {
		assert.True(t, limiter.Connect("a", 0))
	}
	assert.False(t, limiter.Connect("a", 0), "connections of one address are limited")
	for i := range maxConns - maxConnsPerAddress {
		assert.True(t, limiter.Connect(string(rune('b'+i)), 0))
	}
	assert.False(t, limiter.Connect("z", 0), "all connections together are limited")
	limiter.Disconnect("a")
	assert.True(t, limiter.Connect("z", 0))

	allowed := 0
	for range 1000 {
		if ok, retryAfter := limiter.Allow("a", 100, 0); ok {
			allowed++
		} else {
			assert.Positive(t, retryAfter)
		}
	}
	assert.Equal(t, int(requestsPerAddress*burstSeconds), allowed)
	ok, _ := limiter.Allow("b", 100, 0)
	assert.True(t, ok, "a client at its limit does not block others")
	ok, _ = limiter.Allow("a", 100, time.Second/time.Duration(requestsPerAddress))
	assert.True(t, ok)
	ok, _ = limiter.Allow("c", bytesPerAddress*2, 0)
	assert.False(t, ok, "more bytes than the burst of one address")

	limiter = NewServeLimiter(0)
	for i := range 10 * maxAddresses {
		name := string(rune('A' + i))
		require.True(t, limiter.Connect(name, time.Duration(i)))
		limiter.Disconnect(name)
	}
	assert.LessOrEqual(t, len(limiter.addresses), maxAddresses)
}

// A thousand servers send requests in turn. If the limiter evicted the address of one of them meanwhile, that server
// would get its whole burst again each time.
func TestServeLimiterRemembersALargeFleet(t *testing.T) {
	limiter := NewServeLimiter(0)
	name := func(i int) string { return "10.0." + string(rune('A'+i)) }
	now := time.Duration(0)
	for i := range 1024 {
		now += time.Second // the total buckets refill
		require.True(t, limiter.Connect(name(i), now))
		for range int(requestsPerAddress * burstSeconds) {
			allowed, _ := limiter.Allow(name(i), 1, now)
			require.True(t, allowed)
		}
		limiter.Disconnect(name(i))
	}
	for i := range 1024 { // no time has passed
		buckets := limiter.addresses[name(i)]
		require.NotNil(t, buckets, "address %d was evicted and would get a full burst again", i)
		assert.Less(t, buckets.requests, 1.0)
	}
}
