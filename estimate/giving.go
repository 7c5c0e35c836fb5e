package estimate

import "time"

const (
	requestsPerAddress = 10.0        // a second that one address may ask
	requestsTotal      = 40.0        // and all together
	bytesPerAddress    = 256e3       // a second that one address is given
	bytesTotal         = 1e6         // and all together
	burstSeconds       = 1.0         // seconds' worth that may come at once
	maxConnsPerAddress = 4           // connections of one address
	maxConns           = 16          // and in all
	maxAddresses       = 1024        // addresses remembered; past it, one that has not asked for longest is forgotten
	retryAfter         = time.Second // advice to one that is turned away
)

// ServeLimiter decides whom a running server answers: askers must not cost it more than a stated part of its time,
// and one that asks without end must not keep others from being answered.
type ServeLimiter struct {
	addresses map[string]*tokenBuckets
	total     tokenBuckets
}

type tokenBuckets struct {
	conns           int
	requests, bytes float64 // that may still be had now
	filledAt        time.Duration
}

// NewServeLimiter begins with nobody known.
func NewServeLimiter(now time.Duration) *ServeLimiter {
	return &ServeLimiter{addresses: map[string]*tokenBuckets{}, total: tokenBuckets{requests: requestsTotal * burstSeconds, bytes: bytesTotal * burstSeconds, filledAt: now}}
}

func (b *tokenBuckets) fill(now time.Duration, asks, bytes float64) {
	passed := max(now-b.filledAt, 0).Seconds()
	b.filledAt = max(now, b.filledAt)
	b.requests = min(b.requests+passed*asks, asks*burstSeconds)
	b.bytes = min(b.bytes+passed*bytes, bytes*burstSeconds)
}

// Connect tells whether a new connection of an address may stay. One that may must be Left again.
func (l *ServeLimiter) Connect(address string, now time.Duration) bool {
	from := l.addresses[address]
	if l.total.conns >= maxConns || from != nil && from.conns >= maxConnsPerAddress {
		return false
	}
	if from == nil {
		if len(l.addresses) >= maxAddresses {
			l.evictOldest()
		}
		from = &tokenBuckets{requests: requestsPerAddress * burstSeconds, bytes: bytesPerAddress * burstSeconds, filledAt: now}
		l.addresses[address] = from
	}
	from.conns++
	l.total.conns++
	return true
}

// evictOldest drops the address that has not asked for longest, of those with nothing open: there are fewer open
// than known. Of several, the lesser address.
func (l *ServeLimiter) evictOldest() {
	least := ""
	for address, of := range l.addresses { // the least of all, so the order decides nothing
		if of.conns > 0 {
			continue
		}
		if least == "" || of.filledAt < l.addresses[least].filledAt || of.filledAt == l.addresses[least].filledAt && address < least {
			least = address
		}
	}
	delete(l.addresses, least)
}

// Disconnect ends a connection that was let in.
func (l *ServeLimiter) Disconnect(address string) {
	l.addresses[address].conns--
	l.total.conns--
}

// Allow tells whether an ask of an address, to be answered with so many bytes, is; else when to come again.
func (l *ServeLimiter) Allow(address string, bytes int, now time.Duration) (given bool, comeBack time.Duration) {
	from := l.addresses[address]
	from.fill(now, requestsPerAddress, bytesPerAddress)
	l.total.fill(now, requestsTotal, bytesTotal)
	size := float64(bytes)
	if from.requests < 1 || l.total.requests < 1 || from.bytes < size || l.total.bytes < size {
		return false, retryAfter
	}
	from.requests, from.bytes = from.requests-1, from.bytes-size
	l.total.requests, l.total.bytes = l.total.requests-1, l.total.bytes-size
	return true, 0
}
