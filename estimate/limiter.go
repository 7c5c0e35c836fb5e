package estimate

import "time"

const (
	requestsPerAddress = 10.0  // per second
	requestsTotal      = 40.0  // per second
	bytesPerAddress    = 256e3 // per second
	bytesTotal         = 1e6   // per second
	burstSeconds       = 1.0   // size of a burst, in seconds of each rate
	maxConnsPerAddress = 4
	maxConns           = 16
	maxAddresses       = 1024        // addresses with buckets; more than maxConns
	retryAfter         = time.Second // delay that a peer is asked for if its request is not answered
)

// ServeLimiter decides which requests of peers a server answers. Token buckets for each address and for all addresses
// together bound what peers cost the server, and keep a peer that sends requests without pause from starving the
// others. It is not safe for concurrent use.
type ServeLimiter struct {
	addresses map[string]*tokenBuckets
	total     tokenBuckets
}

// tokenBuckets holds the remaining tokens and the number of open connections of one address, or of all addresses.
type tokenBuckets struct {
	conns           int
	requests, bytes float64
	filledAt        time.Duration
}

// NewServeLimiter returns a limiter with full buckets and without connections.
func NewServeLimiter(now time.Duration) *ServeLimiter {
	return &ServeLimiter{
		addresses: map[string]*tokenBuckets{},
		total:     tokenBuckets{requests: requestsTotal * burstSeconds, bytes: bytesTotal * burstSeconds, filledAt: now},
	}
}

// fill adds the tokens earned since the last call, up to a full burst. The rates are per second.
func (b *tokenBuckets) fill(now time.Duration, requestRate, byteRate float64) {
	passed := max(now-b.filledAt, 0).Seconds()
	b.filledAt = max(now, b.filledAt)
	b.requests = min(b.requests+passed*requestRate, requestRate*burstSeconds)
	b.bytes = min(b.bytes+passed*byteRate, byteRate*burstSeconds)
}

// Connect reports whether an address may open one more connection. Each connection that it allows must be ended with
// Disconnect.
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

// evictOldest removes the address without open connections whose buckets were filled least recently. If several were
// filled at that time, it removes the one that sorts first. An address without open connections always exists, because
// maxConns is less than maxAddresses.
func (l *ServeLimiter) evictOldest() {
	oldest := ""
	for address, buckets := range l.addresses { // the iteration order of the map does not change the result
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

// Allow reports whether a request from a connected address may be answered with that many bytes. If so, it takes their
// tokens; if not, after is the time after which the peer may repeat the request.
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
