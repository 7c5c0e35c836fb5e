package emulator

import (
	"math/rand"
	"slices"
	"time"
)

// serverView is a router's view of a server: what it learned from answers, and whether the connection is cut.
type serverView struct {
	open              int // requests sent to it whose attempts have not ended
	shedLevel         float64
	shedLevelAt       time.Duration // when the shed level was received
	ejectedUntil      time.Duration // until when it gets no requests
	disconnectedUntil time.Duration // until when the connection to it is cut
}

// shedLevelTTL is the time for which a router heeds a shed level after receiving it.
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
	retriesSpent  float64 // of the retry budget
}

// pick chooses an eligible server that the request has not tried yet, and reports whether there is one.
func (r *router) pick(q *clientRequest) (number int, found bool) {
	now := r.world.now
	eligible := func(n int) bool {
		view := &r.views[n]
		if slices.Contains(q.triedServers, n) || now < view.ejectedUntil {
			return false
		}
		return !r.options.HeedsBackpressure || now > view.shedLevelAt+shedLevelTTL || q.rank >= view.shedLevel
	}
	switch r.options.Balancing {
	case BalancingLeastOpen:
		best := -1
		for i := range min(len(r.endpoints), maxSample) { // a random sample of a longer list
			n := r.endpoints[i]
			if len(r.endpoints) > maxSample {
				n = r.endpoints[r.rng.Intn(len(r.endpoints))]
			}
			if eligible(n) && (best < 0 || r.views[n].open < r.views[best].open) {
				best = n
			}
		}
		return best, best >= 0
	case BalancingHash, BalancingRandom:
		if len(r.endpoints) == 0 {
			return 0, false
		}
		start := int(q.id*hashMultiplier>>33) % len(r.endpoints)
		if r.options.Balancing == BalancingRandom {
			start = r.rng.Intn(len(r.endpoints))
		}
		for i := range r.endpoints {
			if n := r.endpoints[(start+i)%len(r.endpoints)]; eligible(n) {
				return n, true
			}
		}
	case BalancingFirst:
		for _, n := range r.endpoints {
			if eligible(n) {
				return n, true
			}
		}
	default: // BalancingRoundRobin
		for range r.endpoints {
			r.next++
			if n := r.endpoints[r.next%len(r.endpoints)]; eligible(n) {
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
	n, found := r.pick(q)
	if !found && first && len(r.endpoints) > 0 && !r.options.HeedsBackpressure { // all are ejected, but one may be up again
		n, found = r.endpoints[r.rng.Intn(len(r.endpoints))], true
	}
	if !found {
		w.after(time.Millisecond, func() { w.recordUnserved(q, rejected, 100*time.Millisecond) })
		return
	}
	q.triedServers = append(q.triedServers, n)
	w.lastID++
	work, afterCall, callPending := q.work, 0.0, w.fleet.Routes[q.route].Dependency != ""
	if callPending {
		work, afterCall = q.work/2, q.work/2
	}
	a := &attempt{id: w.lastID, origin: q, afterCall: afterCall, callPending: callPending, valueShare: 1, composed: w.fleet.Plans[w.fleet.Routes[q.route].Name] != nil}
	a.run = run{attempt: a, remaining: work, heapIndex: -1}
	r.views[n].open++
	s, sentAt, sendSeq := w.servers[n], w.now, q.sendSeq
	a.server = s
	patience := q.sentAt + w.fleet.Routes[q.route].Deadline - w.now
	w.after(w.networkDelay(), func() {
		if q.sendSeq != sendSeq || q.done { // its client has timed out
			r.views[n].open--
			return
		}
		if !s.alive || w.now < r.views[n].disconnectedUntil {
			w.sendAnswer(a, lost, 0, false)
			return
		}
		w.result.Attempts++
		w.result.Seconds[w.secondIndex(w.now)].Attempts++
		s.whenRunning(s.incarnation, func() { s.receive(a, sentAt, patience) })
	})
}

// handleAnswer handles the end of an attempt: it answers the client, or retries the request.
func (r *router) handleAnswer(a *attempt, v verdict, level float64, retryAfter time.Duration, noRetryElsewhere bool) {
	w, q := r.world, a.origin
	view := &r.views[a.server.number]
	view.open--
	if v == lost {
		view.ejectedUntil = w.now + ejectionTime
	} else {
		view.shedLevel, view.shedLevelAt = level, w.now
		if r.options.HeedsBackpressure && v == rejected && retryAfter > 0 {
			view.ejectedUntil = max(view.ejectedUntil, w.now+retryAfter/4) // other servers are used meanwhile
		}
	}
	if q.done || len(q.triedServers) == 0 || q.triedServers[len(q.triedServers)-1] != a.server.number {
		return // its client has timed out or sent it again
	}
	if v == served {
		w.recordServed(q, a.valueShare)
		return
	}
	atMostOnce := w.fleet.Routes[q.route].AtMostOnce
	// After a refused connection the request cannot have run; after a broken one it may have.
	retryable := v == rejected || v == lost && (!atMostOnce || !a.reached) || r.options.RetriesAborted && !atMostOnce
	timeLeft := q.sentAt + w.fleet.Routes[q.route].Deadline - w.now
	retryAllowed := r.options.MaxAttempts == 0 || len(q.triedServers) < r.options.MaxAttempts || v == lost && len(q.triedServers) < r.options.MaxAttempts+2
	if r.options.HeedsBackpressure && noRetryElsewhere {
		retryAllowed = false
	}
	if retryAllowed && r.options.RetryBudget > 0 && v != lost {
		if retryAllowed = r.retriesSpent+1 <= 10+r.options.RetryBudget*r.firstAttempts; retryAllowed {
			r.retriesSpent++
		}
	}
	if retryable && r.options.MaxAttempts == 0 && timeLeft > minRetryTime { // without a limit, the router goes through the endpoint list again and again
		if len(q.triedServers) >= len(r.endpoints) {
			q.triedServers = nil
		}
		sendSeq := q.sendSeq
		w.after(unlimitedRetryDelay, func() { r.retry(q, sendSeq) })
		return
	}
	if retryable && retryAllowed && timeLeft > minRetryTime && len(q.triedServers) < len(r.endpoints) {
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
func (r *router) retry(q *clientRequest, sendSeq uint64) {
	if !q.done && q.sendSeq == sendSeq {
		r.route(q, false)
	}
}

// updateEndpoints adds a server to the endpoint list of every router or removes it, after the endpoint lag.
func (w *World) updateEndpoints(number int, present bool) {
	for _, r := range w.routers {
		w.after(w.endpointLag, func() {
			at := slices.Index(r.endpoints, number)
			switch {
			case present && at < 0:
				r.endpoints = append(r.endpoints, number)
				slices.Sort(r.endpoints)
				r.views[number].ejectedUntil = 0
			case !present && at >= 0:
				r.endpoints = slices.Delete(r.endpoints, at, at+1)
			}
		})
	}
}
