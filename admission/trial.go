package admission

import (
	"math"
	"time"
)

// doubtfulRatio is how many times the usual work the expected work has to be, so that it is put to a trial.
const doubtfulRatio = 8

// trial is how the server finds out that a fault is over. Where the recent runs alone say that a request takes too long, and a
// core is free for it, nothing else would run that could show otherwise: one such request is started, if it has time by
// the usual work of its route. When its run turns out to be usual, what the recent runs left is forgotten.
type trial struct {
	request  *Request      // that is on trial, nil without one
	longest  time.Duration // core time up to which its run counts as usual
	lastLong bool          // the last trial took longer than that
}

// open is whether queued requests are planned by their usual work, as a trial is on that may show it to hold. Behind one that
// took long they are shed as before it, until one turns out usual.
func (t *trial) open() bool {
	return t.request != nil && !t.lastLong && t.request.coreTime <= t.longest
}

// holds is whether queued requests wait for the trial: it is on the cores, and soon shows what they need.
func (t *trial) holds() bool { return t.open() && t.request.phase == running }

// doubtful is whether the expected work of a request is many times its usual work.
func (c *Controller) doubtful(request *Request) bool {
	return c.expectedWork(request) >= doubtfulRatio*c.usualWork(request)
}

// mayTry is whether a request for which there is no time by its expected work is started all the same.
func (c *Controller) mayTry(request *Request) bool {
	if c.settings.EstimatesOnly || c.trial.request != nil || c.inFlight().onCores >= c.settings.Cores {
		return false
	}
	usual := time.Duration(medianToMean * float64(c.usualWork(request)))
	return c.now+usual <= request.usefulUntil && c.doubtful(request)
}

// beginTrial notes the start of a request that is on trial. Its run counts as usual up to the middle, by factors, between
// the usual and the expected work.
func (c *Controller) beginTrial(request *Request) {
	expected, usual := c.expectedWork(request), c.usualWork(request)
	c.trial.request = request
	c.trial.longest = time.Duration(math.Sqrt(float64(expected) * float64(usual)))
}

// endTrial takes the end of a run.
func (c *Controller) endTrial(end Completion) {
	if end.Request != c.trial.request {
		return
	}
	c.trial.request = nil
	switch {
	case end.Request.coreTime > c.trial.longest:
		c.trial.lastLong = true
	case end.Outcome == Succeeded:
		c.trial.lastLong = false
		c.forgetRecentRuns()
	}
}

// forgetRecentRuns drops what the recent runs say of the machine. The long means stay.
func (c *Controller) forgetRecentRuns() {
	for _, route := range c.Routes {
		route.recentRuns.reset()
	}
	c.work.hinted.reset()
}
