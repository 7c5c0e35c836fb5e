package admission

import (
	"cmp"
	"math"
	"time"

	"quartzpoint/saturate"
)

// The capacity for calls limits how many calls to the shared dependency this server may have in progress. The server's
// quota of what the dependency survives is a mean over a window and may be less than one call; hundreds of servers with
// one call each would be more than the dependency survives. So the capacity is a mean as well: calls in progress use up
// credit in call-seconds, and the next call waits until the credit is positive again.

const (
	minCallQuota       = 1e-3 // calls; used if no quota is configured, so that a call is made now and then
	maxCallShare       = 0.7  // maximum capacity, as a fraction of the quota
	initialCallShare   = 0.4  // initial capacity, as a fraction of the quota
	minCallShare       = 0.1  // minimum capacity under strain, as a fraction of the quota
	callIncrease       = 0.05 // growth of the capacity in a calibration, as a fraction of the quota
	strainedSkipShare  = 0.5  // fraction of the capacity open to requests that can skip their call, under strain
	callMeanSamples    = 500  // calls that the long-term mean of their time averages over
	callOutcomeWindow  = 2 * time.Second
	callOutcomeParts   = 8
	recentCallParts    = 4 // newest parts of outcomes that a calibration looks at: one second
	callOutcomeMeanAge = callOutcomeWindow / 2
	callProgressParts  = 20
	minCallSlots       = 1 // calls in progress that any capacity allows
)

// callCapacity is the capacity for calls and the measurements that move it.
type callCapacity struct {
	quota        float64 // mean number of calls in progress that the dependency survives from this server
	capacity     float64 // mean number of calls in progress that this server plans for
	credit       float64 // unused call-seconds; below 0 if calls used more than the capacity
	pacingCycles float64 // cycles elapsed since the start, plus a random phase; see pacingAllows

	outcomes       *slidingSums // see callTotals
	inProgress     *slidingSums // call-seconds, over the window of the quota
	seconds        movingMean   // seconds of a call
	sample         sampleStats  // seconds of a call; published to other servers
	assumedSeconds float64      // seconds that a call is assumed to take before any is measured

	strained bool // calls take much longer than usual, or are rejected
	delayed  bool // a call had to wait for capacity since the last calibration

	peerSeconds peerEstimate
	window      time.Duration // averaging window of quota
}

func newCallCapacity(settings Settings) callCapacity {
	c := callCapacity{
		quota:      max(settings.CallQuota, minCallQuota),
		outcomes:   newSlidingSums(callOutcomeWindow, callOutcomeParts),
		inProgress: newSlidingSums(settings.CallWindow, callProgressParts),
		window:     settings.CallWindow,
	}
	if settings.CallsTier {
		// The servers of the tier protect themselves and state no quota: the calls are bounded by this server's own
		// concurrency.
		c.quota = concurrencyShare * settings.MaxRunsPerCore * settings.Cores
	}
	c.capacity = c.quota * initialCallShare
	c.credit = c.capacity
	return c
}

// assumeAtLeast raises the assumed time of a call to seconds, if it is less. The assumed time is used only while no call
// time is known from this server's calls or from peers.
func (c *callCapacity) assumeAtLeast(seconds float64) {
	c.assumedSeconds = max(c.assumedSeconds, seconds)
}

// refill adds the credit and the pacing cycles that accrue in a number of seconds. Unused credit accumulates up to that
// of one second.
func (c *callCapacity) refill(passed float64) {
	c.credit = min(c.credit+c.capacity*passed, c.capacity)
	c.pacingCycles += passed * c.capacity / c.expectedSeconds()
}

// charge deducts the time for which a call loaded the dependency from the credit.
func (c *callCapacity) charge(now, spent time.Duration) {
	c.inProgress.add(now, spent.Seconds())
	c.credit -= spent.Seconds()
}

// expectedSeconds returns how long a call is expected to take.
func (c *callCapacity) expectedSeconds() float64 {
	return cmp.Or(c.seconds.mean, c.peerCallSeconds(), c.assumedSeconds)
}

// peerCallSeconds returns how long calls take at peers. It returns 0 if that is unknown, or once a call of this server
// has succeeded. In the pacing it replaces the assumed time of a call; elsewhere it can only make the server wait
// longer or skip a call sooner.
func (c *callCapacity) peerCallSeconds() float64 {
	if c.seconds.count > 0 || c.peerSeconds.weight == 0 {
		return 0
	}
	return c.peerSeconds.estimate.Mean
}

// pacingAllows reports whether the pacing of calls allows a call now.
//
// Hundreds of servers that make one call each at the same time, after a release or in a burst, exceed what the
// dependency survives. Pacing spreads the calls of the fleet over time.
//
// A pacing cycle is the time in which the capacity allows one call. The cycles of each server have a random phase. A
// call may be made only in the first part of a cycle. As a fraction of the cycle, that part is the spare call-seconds
// divided by the expected seconds of a call. The spare call-seconds are those by which plannedShare of the quota exceeds
// the capacity in one window. So calls are held back only if they are expected to take longer than that.
//
// Calls are not paced if the quota is minCallQuota, which is used if none is configured.
func (c *callCapacity) pacingAllows() bool {
	window := max(c.window, tickInterval).Seconds()
	spare := (c.quota*plannedShare - c.capacity) * window
	return c.quota <= minCallQuota || math.Mod(c.pacingCycles, 1) < spare/c.expectedSeconds()
}

// callTotals are the sums of callCapacity.outcomes.
type callTotals struct {
	returned float64 // calls that succeeded or were abandoned
	seconds  float64 // time of the returned calls
	rejected float64 // calls that failed
}

func callTotalsOf(sums [maxSums]float64) callTotals { return callTotals{sums[0], sums[1], sums[2]} }

// recentCalls sums up the latest calls. A small server may have only one call in progress at a time, so a call that
// takes much longer than the mean counts before its end.
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

// callTime returns the mean time of the latest calls, at least peerCallSeconds.
func (c *Controller) callTime() time.Duration {
	recent := c.recentCalls(callOutcomeParts)
	return saturate.Seconds(max(recent.seconds/max(recent.returned, 1), c.calls.peerCallSeconds()))
}

// calibrateCalls moves the capacity like the in-flight limit. While calls wait for capacity and return as usual, it grows
// by callIncrease of the quota, up to maxCallShare of it. When calls are rejected or take much longer than usual, it is
// multiplied by backoffFactor, down to minCallShare of the quota.
func (c *Controller) calibrateCalls() {
	calls := &c.calls
	recent := c.recentCalls(recentCallParts)
	// The mean of a few calls varies widely, so the fewer the calls, the higher the threshold.
	slow := latencyBackoffRatio * (1 + halfWeightSamples/max(recent.returned, 1)) * calls.seconds.mean
	calls.strained = recent.rejected > 0 || calls.seconds.count > 0 && recent.returned > 0 && recent.seconds/recent.returned > slow
	switch {
	case calls.strained:
		calls.capacity = max(calls.quota*minCallShare, calls.capacity*backoffFactor)
	case calls.delayed:
		calls.capacity = min(calls.capacity+calls.quota*callIncrease, calls.quota*maxCallShare)
	}
	calls.delayed = false
}

// strainedCallWait returns how long a request that calls the dependency waits off the cores while the dependency is
// strained: the time of its call and of the calls of requests that already wait. Without strain it returns 0.
func (c *Controller) strainedCallWait(waiting float64) time.Duration {
	if !c.calls.strained {
		return 0
	}
	callTime := c.callTime()
	return callTime + saturate.Nanoseconds(waiting/max(minCallSlots, c.calls.capacity)*float64(callTime))
}
