package admission

import (
	"maps"
	"math"
	"time"

	"quartzpoint/saturate"
)

const (
	maxRouters           = 4096 // routers remembered; any further router counts as new each time, which shortens the idle timeout
	minRequestsJudged    = 10   // requests read before the reuse of connections is evaluated
	reuseExponent        = 4    // exponent of the return ratio in the idle timeout
	minIdleTimeout       = 10 * time.Millisecond
	reuseWindow          = 10 * time.Second
	reuseWindowParts     = 10
	reuseEstimateMeanAge = reuseWindow / 2
)

// connectionReuse measures how often routers return while they still keep a connection open.
type connectionReuse struct {
	lastSeen map[uint32]time.Duration // by router
	requests *slidingSums             // requests read, and those of routers that returned within the idle timeout

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

// forget removes the routers that have closed their idle connections by now.
func (r *connectionReuse) forget(now, idleTimeout time.Duration) {
	maps.DeleteFunc(r.lastSeen, func(_ uint32, last time.Duration) bool { return last+idleTimeout <= now })
}

// returnRatio returns the fraction of requests whose router returned within the idle timeout, and whether enough
// requests were read to tell. Until then the fraction that peers estimated is used, if any.
func (r *connectionReuse) returnRatio(now time.Duration) (ratio float64, known bool) {
	sums := r.requests.sum(now)
	read, returned := sums[0], sums[1]
	if read < minRequestsJudged && r.peerReturnRatio.weight > 0 {
		read, returned = minRequestsJudged, minRequestsJudged*r.peerReturnRatio.estimate.Mean
	}
	return returned / read, read >= minRequestsJudged
}

// tuneIdleTimeout shortens the time after which the server asks routers to close idle connections (drains them), the
// less these are reused. An open connection costs core time and takes an entry in a table of limited size. When the
// table is full, callers are refused without the server noticing.
func (c *Controller) tuneIdleTimeout(executor Executor) {
	idleTimeout := c.settings.IdleTimeout
	c.connections.forget(c.now, idleTimeout)
	ratio, known := c.connections.returnRatio(c.now)
	if known && idleTimeout > 0 {
		executor.SetIdleTimeout(max(minIdleTimeout, saturate.Nanoseconds(math.Pow(ratio, reuseExponent)*float64(idleTimeout))))
	}
}
