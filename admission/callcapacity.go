package admission

import (
	"cmp"
	"math"
	"time"
)

// How many calls to the shared dependency this server may have in progress. Its share of what the dependency survives is a
// mean over a window and may be less than one call, and hundreds of servers with one call each would be more than the
// dependency survives. So the capacity is a mean as well: calls in progress use up credit in call-seconds, and the next call
// waits until the credit is made good.

const (
	minCallQuota       = 1e-3 // calls; taken where no share is stated, so that a call goes now and then
	maxCallShare       = 0.7  // part of the share that the capacity ever takes
	initialCallShare   = 0.4  // part of it at the start
	minCallShare       = 0.1  // part of it that strain leaves
	callIncrease       = 0.05 // part of it by which the capacity grows in a calibration
	strainedSkipShare  = 0.5  // part of the capacity open to requests that can skip their call, under strain
	callMeanSamples    = 500  // calls that the long mean of their time looks back over
	callOutcomeWindow  = 2 * time.Second
	callOutcomeParts   = 8
	recentCallParts    = 4 // parts of it that a calibration looks at: one second
	callOutcomeMeanAge = callOutcomeWindow / 2
	callProgressParts  = 20
	minCallSlots       = 1 // calls in progress that any capacity allows
)

// callCapacity is the capacity for calls and what moves it.
type callCapacity struct {
	quota    float64 // calls in progress, on the mean, that the dependency survives of this server
	capacity float64 // calls in progress, on the mean, that this server plans for
	credit   float64 // call-seconds that it has left unused, or below 0 is ahead by
	turns    float64 // turns to make a call that have passed since the start, from a random phase on

	outcomes   *slidingSums // see callTotals
	inProgress *slidingSums // call-seconds
	seconds    movingMean   // of a call
	sample     sampleStats  // the same, for other servers
	assumed    float64      // seconds that a call is taken to need before one is known

	strained bool // calls take much longer than usual, or are rejected
	delayed  bool // a call had to wait for capacity since the last calibration

	peerSeconds peerEstimate
	window      time.Duration // over which share counts
}

func newCallCapacity(settings Settings) callCapacity {
	c := callCapacity{
		quota:      max(settings.CallQuota, minCallQuota),
		outcomes:   newSlidingSums(callOutcomeWindow, callOutcomeParts),
		inProgress: newSlidingSums(settings.CallWindow, callProgressParts),
		window:     settings.CallWindow,
	}
	if settings.CallsTier {
		// The servers below protect themselves and state no share: what this server's own concurrency allows bounds the calls.
		c.quota = concurrencyShare * settings.MaxRunnablePerCore * settings.Cores
	}
	c.capacity = c.quota * initialCallShare
	c.credit = c.capacity
	return c
}

// assumeAtLeast raises what a call is taken to need before one is known.
func (c *callCapacity) assumeAtLeast(seconds float64) { c.assumed = max(c.assumed, seconds) }

// refill adds the credit and the turns of a time in seconds.
func (c *callCapacity) refill(passed float64) {
	c.credit = min(c.credit+c.capacity*passed, c.capacity)
	c.turns += passed * c.capacity / c.expectedSeconds()
}

// charge takes a time for which a call was the dependency's load off the credit.
func (c *callCapacity) charge(now, spent time.Duration) {
	c.inProgress.add(now, spent.Seconds())
	c.credit -= spent.Seconds()
}

// expectedSeconds is how long a call is expected to take.
func (c *callCapacity) expectedSeconds() float64 {
	return cmp.Or(c.seconds.mean, c.peerCallSeconds(), c.assumed)
}

// peerCallSeconds is how long calls take at peers, until the first call of this server has returned; 0 where that is not
// known. It only ever has a server wait longer, or skip a call sooner.
func (c *callCapacity) peerCallSeconds() float64 {
	if c.seconds.count > 0 || c.peerSeconds.weight == 0 {
		return 0
	}
	return c.peerSeconds.estimate.Mean
}

// hasTurn spreads calls that take more than the share bears over a fleet: hundreds of servers that make one each in the same
// moment, after a release or in a burst, pass what the dependency survives. A turn comes for each call that the capacity
// allows, from the server's own phase on, and lasts for what the share leaves beside the capacity.
func (c *callCapacity) hasTurn() bool {
	window := max(c.window, tickInterval).Seconds()
	spare := (c.quota*plannedShare - c.capacity) * window
	return c.quota <= minCallQuota || math.Mod(c.turns, 1) < spare/c.expectedSeconds()
}

// callTotals are the sums of callCapacity.outcomes.
type callTotals struct {
	returned float64 // calls that succeeded, or that were abandoned
	seconds  float64 // that those took
	rejected float64 // calls that failed
}

func callTotalsOf(sums [maxSums]float64) callTotals { return callTotals{sums[0], sums[1], sums[2]} }

// recentCalls sums up the latest calls. A small server has one call in progress at a time, so one that is late counts before
// its end.
func (c *Controller) recentCalls(parts int) callTotals {
	totals := callTotalsOf(c.calls.outcomes.recent(c.now, parts))
	for _, request := range c.active {
		if took := (c.now - request.calledAt).Seconds(); request.phase == calling && took > latencyBackoffRatio*c.calls.seconds.mean {
			totals.returned++
			totals.seconds += took
		}
	}
	return totals
}

// callTime is the mean time of the latest calls.
func (c *Controller) callTime() time.Duration {
	recent := c.recentCalls(callOutcomeParts)
	return time.Duration(max(recent.seconds/max(recent.returned, 1), c.calls.peerCallSeconds()) * float64(time.Second))
}

// calibrateCalls moves the capacity as the in-flight limit is moved: up while calls wait and return as usual, down by
// backoffFactor when calls are rejected or take much longer than usual.
func (c *Controller) calibrateCalls() {
	calls := &c.calls
	recent := c.recentCalls(recentCallParts)
	// The mean of a few calls varies widely.
	slow := latencyBackoffRatio * (1 + smallSample/max(recent.returned, 1)) * calls.seconds.mean
	calls.strained = recent.rejected > 0 || calls.seconds.count > 0 && recent.returned > 0 && recent.seconds/recent.returned > slow
	switch {
	case calls.strained:
		calls.capacity = max(calls.quota*minCallShare, calls.capacity*backoffFactor)
	case calls.delayed:
		calls.capacity = min(calls.capacity+calls.quota*callIncrease, calls.quota*maxCallShare)
	}
	calls.delayed = false
}

// strainedCallWait is how long a request that calls the dependency waits off the cores while that is strained: a call's time
// and the turns of the requests that wait already. At ease it is 0.
func (c *Controller) strainedCallWait(waiting float64) time.Duration {
	if !c.calls.strained {
		return 0
	}
	turn := c.callTime()
	return turn + time.Duration(waiting/max(minCallSlots, c.calls.capacity)*float64(turn))
}
