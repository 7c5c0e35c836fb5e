package estimate

import "time"

const (
	asksEach  = 10.0        // a second that one address may ask
	asksAll   = 40.0        // and all together
	bytesEach = 256e3       // a second that one address is given
	bytesAll  = 1e6         // and all together
	burst     = 1.0         // seconds' worth that may come at once
	openEach  = 4           // connections of one address
	openAll   = 16          // and in all
	maxKnown  = 1024        // addresses remembered; past it, one that has not asked for longest is forgotten
	backSoon  = time.Second // advice to one that is turned away
)

// ServeLimiter decides whom a running server answers: askers must not cost it more than a stated part of its time,
// and one that asks without end must not keep others from being answered.
type ServeLimiter struct {
	known map[string]*giver
	all   giver
}

type giver struct {
	open        int
	asks, bytes float64 // that may still be had now
	last        time.Duration
}

// NewServeLimiter begins with nobody known.
func NewServeLimiter(now time.Duration) *ServeLimiter {
	return &ServeLimiter{known: map[string]*giver{}, all: giver{asks: asksAll * burst, bytes: bytesAll * burst, last: now}}
}

func (g *giver) fill(now time.Duration, asks, bytes float64) {
	passed := max(now-g.last, 0).Seconds()
	g.last = max(now, g.last)
	g.asks = min(g.asks+passed*asks, asks*burst)
	g.bytes = min(g.bytes+passed*bytes, bytes*burst)
}

// Joined tells whether a new connection of an address may stay. One that may must be Left again.
func (g *ServeLimiter) Joined(address string, now time.Duration) bool {
	from := g.known[address]
	if g.all.open >= openAll || from != nil && from.open >= openEach {
		return false
	}
	if from == nil {
		if len(g.known) >= maxKnown {
			g.forget()
		}
		from = &giver{asks: asksEach * burst, bytes: bytesEach * burst, last: now}
		g.known[address] = from
	}
	from.open++
	g.all.open++
	return true
}

// forget drops the address that has not asked for longest, of those with nothing open: there are fewer open
// than known. Of several, the lesser address.
func (g *ServeLimiter) forget() {
	least := ""
	for address, of := range g.known { // the least of all, so the order decides nothing
		if of.open > 0 {
			continue
		}
		if least == "" || of.last < g.known[least].last || of.last == g.known[least].last && address < least {
			least = address
		}
	}
	delete(g.known, least)
}

// Left ends a connection that was let in.
func (g *ServeLimiter) Left(address string) {
	g.known[address].open--
	g.all.open--
}

// Allow tells whether an ask of an address, to be answered with so many bytes, is; else when to come again.
func (g *ServeLimiter) Allow(address string, bytes int, now time.Duration) (given bool, comeBack time.Duration) {
	from := g.known[address]
	from.fill(now, asksEach, bytesEach)
	g.all.fill(now, asksAll, bytesAll)
	size := float64(bytes)
	if from.asks < 1 || g.all.asks < 1 || from.bytes < size || g.all.bytes < size {
		return false, backSoon
	}
	from.asks, from.bytes = from.asks-1, from.bytes-size
	g.all.asks, g.all.bytes = g.all.asks-1, g.all.bytes-size
	return true, 0
}
