package admission

import "time"

// Idempotency states whether a request may be run again.
type Idempotency int

// The kinds of idempotency.
const (
	Retryable  Idempotency = iota // may be run again at any time
	Keyed                         // carries an idempotency key that identifies duplicates
	AtMostOnce                    // must not be run again once it may have run
)

// Route is a kind of request: its configured targets and value, and the measurements of its runs.
type Route struct {
	Name            string
	Value           float64       // value of an answer within the latency target
	LateValueShare  float64       // value of a later answer, as a fraction of Value
	LatencyTarget   time.Duration // from arrival
	Deadline        time.Duration // from arrival; no caller waits longer
	DedupWindow     time.Duration // time from arrival for which an idempotency key is known
	Idempotency     Idempotency
	CallsDependency bool
	SkipValueShare  float64       // value of an answer without the call, as a fraction of Value; 0 if the call can't be skipped
	CallWait        time.Duration // expected time off the cores for the calls that a request is composed of; its run has to start earlier by as much

	index int // in Controller.Routes
	*routeStats
}

// routeStats holds the measurements of a route. They are kept when its settings change.
type routeStats struct {
	recentRuns  *slidingSums  // see runTotals
	coreSeconds movingMean    // core seconds of a run
	latency     movingMean    // seconds from a run's start to its end
	lastEndedAt time.Duration // when a run last ended; 0 before the first
	longestRun  time.Duration // longest core time of a run, ended or not

	coreSample, runSample sampleStats // core time and latency, published to other servers
	peerCoreSeconds       peerEstimate
}

const (
	recentRunsWindow = 6 * time.Second
	recentRunsParts  = 12
	// unknownWorkDivisor determines the assumed work of a request while its route is unmeasured: the route's latency
	// target divided by this.
	unknownWorkDivisor = 6
	// coldCallDivisor determines the assumed time of a call while the whole fleet may be as cold as this server: the
	// route's latency target divided by this.
	coldCallDivisor = 2
)

// runTotals are the sums of routeStats.recentRuns.
type runTotals struct {
	coreSeconds float64 // on the cores, including unfinished runs
	ended       float64 // runs
	latency     float64 // seconds from start to end of the ended runs
}

func runTotalsOf(sums [maxSums]float64) runTotals { return runTotals{sums[0], sums[1], sums[2]} }

// Settings returns the route as configured, without its measurements.
func (r *Route) Settings() Route {
	configured := *r
	configured.index, configured.routeStats = 0, nil
	return configured
}

// PutRoute adds a route, or changes the settings of previous if that is not nil. Requests that arrived earlier keep the
// settings under which they arrived, and the measurements of the route are kept. It returns the route for new requests.
func (c *Controller) PutRoute(previous *Route, configured Route) *Route {
	route := &configured
	if previous != nil {
		route.index, route.routeStats = previous.index, previous.routeStats
		c.Routes[route.index] = route
	} else {
		route.index, route.routeStats = len(c.Routes), &routeStats{recentRuns: newSlidingSums(recentRunsWindow, recentRunsParts)}
		c.Routes = append(c.Routes, route)
	}
	c.calls.assumeAtLeast(route.LatencyTarget.Seconds() / unknownWorkDivisor)
	if c.slowStart.startSpeed < 1 {
		c.calls.assumeAtLeast(route.LatencyTarget.Seconds() / coldCallDivisor)
	}
	return route
}

// RemoveRoute removes a route. Requests that arrived earlier keep it until their end.
func (c *Controller) RemoveRoute(route *Route) {
	last := c.Routes[len(c.Routes)-1]
	last.index = route.index
	c.Routes[route.index] = last
	c.Routes[len(c.Routes)-1] = nil
	c.Routes = c.Routes[:len(c.Routes)-1]
	delete(c.limit.busyRoutes, route.routeStats)
}
