package estimate

import "time"

const (
	requestsPerAddress = 10.0  // a second
	requestsTotal      = 40.0  // a second
	bytesPerAddress    = 256e3 // a second
	bytesTotal         = 1e6   // a second
	burstSeconds       = 1.0   // of each rate that may be used at once
	maxConnsPerAddress = 4
	maxConns           = 16
	maxAddresses       = 1024 // remembered; more than there can be with a connection
	retryAfter         = time.Second
)

// ServeLimiter decides which requests of peers a running server answers, by token buckets for each address and for all
// together: peers must cost it no more than these rates, and one that asks without end must not keep others from being
// answered. It is not safe for concurrent use.
type ServeLimiter struct {
	addresses map[string]*tokenBuckets
	total     tokenBuckets
}

// tokenBuckets is what may still be used, and the connections that are open.
type tokenBuckets struct {
	conns           int
	requests, bytes float64
	filledAt        time.Duration
}

// NewServeLimiter returns a limiter that has not seen any address.
func NewServeLimiter(now time.Duration) *ServeLimiter {
	return &ServeLimiter{
		addresses: map[string]*tokenBuckets{},
		total:     tokenBuckets{requests: requestsTotal * burstSeconds, bytes: bytesTotal * burstSeconds, filledAt: now},
	}
}

// fill adds what came free since the last call, at rates a second.
func (b *tokenBuckets) fill(now time.Duration, requestRate, byteRate float64) {
	passed := max(now-b.filledAt, 0).Seconds()
	b.filledAt = max(now, b.filledAt)
	b.requests = min(b.requests+passed*requestRate, requestRate*burstSeconds)
	b.bytes = min(b.bytes+passed*byteRate, byteRate*burstSeconds)
}

// Connect reports whether an address may open one more connection. Where it may, Disconnect must follow.
func (l *ServeLimiter) Connect(address string, now time.Duration) bool {
	buckets := l.addresses[address]
	if l.total.conns >= maxConns || buckets != nil && buckets.conns >= maxConnsPerAddress {
		return false
	}
	if buckets == nil {
		if len(l.addresses) >= maxAddresses {
			l.evictOldest()
		}
		buckets = &tokenBuckets{
			requests: requestsPerAddress * burstSeconds, bytes: bytesPerAddress * burstSeconds, filledAt: now,
		}
		l.addresses[address] = buckets
	}
	buckets.conns++
	l.total.conns++
	return true
}

// evictOldest forgets the address without connections whose last request is the longest ago, and of several the smallest.
// There is one, as there are fewer connections than addresses.
func (l *ServeLimiter) evictOldest() {
	oldest := ""
	for address, buckets := range l.addresses { // the order of the map does not change the result
		if buckets.conns > 0 {
			continue
		}
		if oldest == "" || buckets.filledAt < l.addresses[oldest].filledAt ||
			buckets.filledAt == l.addresses[oldest].filledAt && address < oldest {
			oldest = address
		}
	}
	delete(l.addresses, oldest)
}

// Disconnect ends a connection that Connect allowed.
func (l *ServeLimiter) Disconnect(address string) {
	l.addresses[address].conns--
	l.total.conns--
}

// Allow reports whether a request of a connected address is to be answered, with as many bytes, and else after how long it
// may be repeated.
func (l *ServeLimiter) Allow(address string, bytes int, now time.Duration) (allowed bool, after time.Duration) {
	buckets := l.addresses[address]
	buckets.fill(now, requestsPerAddress, bytesPerAddress)
	l.total.fill(now, requestsTotal, bytesTotal)
	size := float64(bytes)
	if buckets.requests < 1 || l.total.requests < 1 || buckets.bytes < size || l.total.bytes < size {
		return false, retryAfter
	}
	buckets.requests, buckets.bytes = buckets.requests-1, buckets.bytes-size
	l.total.requests, l.total.bytes = l.total.requests-1, l.total.bytes-size
	return true, 0
}
