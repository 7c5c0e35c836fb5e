package admission

import (
	"math"
	"time"

	"quartzpoint/saturate"
)

// doubtfulRatio is the ratio of the expected to the usual work from which the expected work is checked by a trial.
const doubtfulRatio = 8

// trial detects that a fault has ended. While the recent runs predict that requests take too long, none is started, so no
// run would show that the prediction no longer holds. Therefore one request is started on trial if a core is free and
// the request has time by the usual work of its route. If its run takes no longer than usual, the recent runs are
// forgotten.
type trial struct {
	request      *Request      // request on trial; nil without one
	maxUsualWork time.Duration // core time up to which its run counts as usual
	lastTookLong bool          // the run of the last trial exceeded maxUsualWork
}

// usesUsualWork reports whether queued requests are planned by their usual work, because a trial in progress may
// confirm it. After a trial that took long they are shed by their expected work again, until a trial takes no longer
// than usual.
func (t *trial) usesUsualWork() bool {
	return t.request != nil && !t.lastTookLong && t.request.coreTime <= t.maxUsualWork
}

// blocksQueue reports whether queued requests wait for the trial: its run is on the cores, and soon shows how long they
// take.
func (t *trial) blocksQueue() bool { return t.usesUsualWork() && t.request.phase == running }

// doubtful reports whether the expected work of a request is many times its usual work.
func (c *Controller) doubtful(request *Request) bool {
	return c.expectedWork(request) >= doubtfulRatio*c.usualWork(request)
}

// mayStartTrial reports whether a request that has no time for its expected work may be started as a trial.
func (c *Controller) mayStartTrial(request *Request) bool {
	if c.settings.EstimatesOnly || c.trial.request != nil || c.inFlight().onCores >= c.settings.Cores {
		return false
	}
	usual := time.Duration(medianToMean * float64(c.usualWork(request)))
	return c.now+usual <= request.usefulUntil && c.doubtful(request)
}

// beginTrial records the start of the request on trial. Its run counts as usual up to the geometric mean of the usual
// and the expected work.
func (c *Controller) beginTrial(request *Request) {
	expected, usual := c.expectedWork(request), c.usualWork(request)
	c.trial.request = request
	c.trial.maxUsualWork = saturate.Nanoseconds(math.Sqrt(float64(expected) * float64(usual)))
}

// endTrial evaluates the trial, if the run that ended is its run.
func (c *Controller) endTrial(end Completion) {
	if end.Request != c.trial.request {
		return
	}
	c.trial.request = nil
	switch {
	case end.Request.coreTime > c.trial.maxUsualWork:
		c.trial.lastTookLong = true
	case end.Outcome == Succeeded:
		c.trial.lastTookLong = false
		c.forgetRecentRuns()
	}
}

// forgetRecentRuns clears the measurements of recent runs. The long-term means stay.
func (c *Controller) forgetRecentRuns() {
	for _, route := range c.Routes {
		route.recentRuns.reset()
	}
	c.work.hinted.reset()
}
