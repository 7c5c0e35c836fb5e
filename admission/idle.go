package admission

import (
	"maps"
	"math"
	"time"
)

const (
	maxRouters           = 4096 // remembered; beyond that a known router passes for a new one, which closes connections sooner
	minRequestsJudged    = 10   // requests read before the reuse of connections is judged
	reuseExponent        = 4    // power of the share of reuse that is kept of the idle timeout
	minIdleTimeout       = 10 * time.Millisecond
	reuseWindow          = 10 * time.Second
	reuseWindowParts     = 10
	reuseEstimateMeanAge = reuseWindow / 2
)

// connectionReuse is how often routers come back while they keep a connection open.
type connectionReuse struct {
	lastSeen map[uint32]time.Duration // by router
	requests *slidingSums             // read, and those of routers that had come within the idle timeout

	peerReturnRatio peerEstimate
}

func newConnectionReuse() connectionReuse {
	return connectionReuse{lastSeen: map[uint32]time.Duration{}, requests: newSlidingSums(reuseWindow, reuseWindowParts)}
}

// add counts a request of a router.
func (r *connectionReuse) add(now time.Duration, router uint32, idleTimeout time.Duration) {
	returned := 0.0
	last, known := r.lastSeen[router]
	if known && now-last < idleTimeout {
		returned = 1
	}
	if known || len(r.lastSeen) < maxRouters {
		r.lastSeen[router] = now
	}
	r.requests.add(now, 1, returned)
}

// forget drops routers that have closed their idle connections by now.
func (r *connectionReuse) forget(now, idleTimeout time.Duration) {
	maps.DeleteFunc(r.lastSeen, func(_ uint32, last time.Duration) bool { return last+idleTimeout <= now })
}

// share is the share of requests whose router had come within the idle timeout, and whether enough were read to tell. Before
// that the share that peers estimated stands in.
func (r *connectionReuse) share(now time.Duration) (share float64, known bool) {
	sums := r.requests.sum(now)
	read, returned := sums[0], sums[1]
	if read < minRequestsJudged && r.peerReturnRatio.weight > 0 {
		read, returned = minRequestsJudged, minRequestsJudged*r.peerReturnRatio.estimate.Mean
	}
	return returned / read, read >= minRequestsJudged
}

// tuneIdleTimeout closes connections the sooner the less they are used again. An open connection takes part of the cores and
// of a table that is full at some number, and a full table turns callers away unseen.
func (c *Controller) tuneIdleTimeout(w Executor) {
	idleTimeout := c.settings.IdleTimeout
	c.connections.forget(c.now, idleTimeout)
	share, known := c.connections.share(c.now)
	if known && idleTimeout > 0 {
		w.CloseIdleAfter(max(minIdleTimeout, time.Duration(math.Pow(share, reuseExponent)*float64(idleTimeout))))
	}
}
