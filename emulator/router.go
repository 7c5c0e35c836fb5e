package emulator

import (
	"math/rand"
	"slices"
	"time"
)

// serverView is a router's view of a server: what it learned from answers, and whether the connection is cut.
type serverView struct {
	open              int
	shedLevel         float64
	shedLevelAt       time.Duration // when it was received
	ejectedUntil      time.Duration // until when it gets no requests
	disconnectedUntil time.Duration // until when the connection to it is cut
}

// shedLevelTTL is the time for which a router uses a received shed level.
const shedLevelTTL = time.Second

// router forwards requests to servers.
type router struct {
	world         *World
	number        int
	rng           *rand.Rand
	options       RouterOptions
	endpoints     []int // sorted server numbers, as of the last update
	views         []serverView
	next          int
	firstAttempts float64 // these earn the retry budget
	retriesSpent  float64
}

// pick chooses an eligible server that the request has not tried yet, and reports whether there is one.
func (r *router) pick(q *clientRequest) (number int, some bool) {
	now := r.world.now
	fits := func(n int) bool {
		k := &r.views[n]
		if slices.Contains(q.triedServers, n) || now < k.ejectedUntil {
			return false
		}
		return !r.options.HeedsBackpressure || now > k.shedLevelAt+shedLevelTTL || q.rank >= k.shedLevel
	}
	switch r.options.Balancing {
	case BalancingLeastOpen:
		best := -1
		for i := range min(len(r.endpoints), maxSample) { // a random sample of a longer list
			n := r.endpoints[i]
			if len(r.endpoints) > maxSample {
				n = r.endpoints[r.rng.Intn(len(r.endpoints))]
			}
			if fits(n) && (best < 0 || r.views[n].open < r.views[best].open) {
				best = n
			}
		}
		return best, best >= 0
	case BalancingHash, BalancingRandom:
		if len(r.endpoints) == 0 {
			return 0, false
		}
		at := int(q.id*hashMultiplier>>33) % len(r.endpoints)
		if r.options.Balancing == BalancingRandom {
			at = r.rng.Intn(len(r.endpoints))
		}
		for i := range r.endpoints {
			if n := r.endpoints[(at+i)%len(r.endpoints)]; fits(n) {
				return n, true
			}
		}
	case BalancingFirst:
		for _, n := range r.endpoints {
			if fits(n) {
				return n, true
			}
		}
	default: // BalancingRoundRobin
		for range r.endpoints {
			r.next++
			if n := r.endpoints[r.next%len(r.endpoints)]; fits(n) {
				return n, true
			}
		}
	}
	return 0, false
}

// route sends a request to a server, or rejects it if no server is eligible.
func (r *router) route(q *clientRequest, first bool) {
	w := r.world
	if first {
		r.firstAttempts++
	}
	n, some := r.pick(q)
	if !some && first && len(r.endpoints) > 0 && !r.options.HeedsBackpressure { // all are ejected, but one may be up again
		n, some = r.endpoints[r.rng.Intn(len(r.endpoints))], true
	}
	if !some {
		w.after(time.Millisecond, func() { w.recordUnserved(q, rejected, 100*time.Millisecond) })
		return
	}
	q.triedServers = append(q.triedServers, n)
	w.lastID++
	work, after, calls := q.work, 0.0, w.fleet.Routes[q.route].Dependency != ""
	if calls {
		work, after = q.work/2, q.work/2
	}
	t := &attempt{id: w.lastID, origin: q, afterCall: after, callPending: calls, valueShare: 1, composed: w.fleet.Plans[w.fleet.Routes[q.route].Name] != nil}
	t.run = run{attempt: t, remaining: work, heapIndex: -1}
	r.views[n].open++
	s, sent, ask := w.servers[n], w.now, q.sendSeq
	t.server = s
	waits := q.sentAt + w.fleet.Routes[q.route].Deadline - w.now
	w.after(w.networkDelay(), func() {
		if q.sendSeq != ask || q.done { // its client has timed out
			r.views[n].open--
			return
		}
		if !s.alive || w.now < r.views[n].disconnectedUntil {
			w.sendAnswer(t, lost, 0, false)
			return
		}
		w.result.Attempts++
		w.result.Seconds[w.second(w.now)].Attempts++
		s.whenRunning(s.incarnation, func() { s.receive(t, sent, waits) })
	})
}

// handleAnswer handles the end of an attempt: it ends the request, retries it, or leaves it to the client.
func (r *router) handleAnswer(t *attempt, v verdict, level float64, retryAfter time.Duration, nowhereElse bool) {
	w, q := r.world, t.origin
	k := &r.views[t.server.number]
	k.open--
	if v == lost {
		k.ejectedUntil = w.now + ejectionTime
	} else {
		k.shedLevel, k.shedLevelAt = level, w.now
		if r.options.HeedsBackpressure && v == rejected && retryAfter > 0 {
			k.ejectedUntil = max(k.ejectedUntil, w.now+retryAfter/4) // other servers are used meanwhile
		}
	}
	if q.done || len(q.triedServers) == 0 || q.triedServers[len(q.triedServers)-1] != t.server.number {
		return // its client has timed out or sent it again
	}
	if v == served {
		w.recordServed(q, t.valueShare)
		return
	}
	once := w.fleet.Routes[q.route].AtMostOnce
	// After a refused connection the request cannot have run; after a broken one it may have.
	may := v == rejected || v == lost && (!once || !t.reached) || r.options.RetriesAborted && !once
	left := q.sentAt + w.fleet.Routes[q.route].Deadline - w.now
	more := r.options.MaxAttempts == 0 || len(q.triedServers) < r.options.MaxAttempts || v == lost && len(q.triedServers) < r.options.MaxAttempts+2
	if r.options.HeedsBackpressure && nowhereElse {
		more = false
	}
	if more && r.options.RetryBudget > 0 && v != lost {
		if more = r.retriesSpent+1 <= 10+r.options.RetryBudget*r.firstAttempts; more {
			r.retriesSpent++
		}
	}
	if may && r.options.MaxAttempts == 0 && left > minRetryTime { // without a limit of attempts: keeps cycling through the list
		if len(q.triedServers) >= len(r.endpoints) {
			q.triedServers = nil
		}
		ask := q.sendSeq
		w.after(unlimitedRetryDelay, func() { r.retry(q, ask) })
		return
	}
	if may && more && left > minRetryTime && len(q.triedServers) < len(r.endpoints) {
		r.route(q, false)
		return
	}
	w.recordUnserved(q, v, retryAfter)
}

// hashMultiplier spreads consecutive request ids (Fibonacci hashing).
const hashMultiplier = 0x9e3779b97f4a7c15

// maxSample is the maximum number of endpoints that BalancingLeastOpen compares.
const maxSample = 64

// unlimitedRetryDelay is the time between two attempts of a router without a limit of attempts.
const unlimitedRetryDelay = 20 * time.Millisecond

// retry makes another attempt, unless the client has timed out.
func (r *router) retry(q *clientRequest, ask uint64) {
	if !q.done && q.sendSeq == ask {
		r.route(q, false)
	}
}

// updateEndpoints adds a server to the endpoint list of every router or removes it, after the endpoint lag.
func (w *World) updateEndpoints(number int, here bool) {
	for _, r := range w.routers {
		w.after(w.endpointLag, func() {
			at := slices.Index(r.endpoints, number)
			switch {
			case here && at < 0:
				r.endpoints = append(r.endpoints, number)
				slices.Sort(r.endpoints)
				r.views[number].ejectedUntil = 0
			case !here && at >= 0:
				r.endpoints = slices.Delete(r.endpoints, at, at+1)
			}
		})
	}
}
