package admission

import (
	"time"

	"quartzpoint/saturate"
)

const (
	priorRuns         = 2.0   // weight of the long-term mean when it is averaged with the recent runs, as a number of runs
	runMeanSamples    = 200.0 // runs that the long-term means average over
	hintedWindow      = 6 * time.Second
	hintedWindowParts = 12
)

// workEstimate measures the work of requests whose callers stated a hint.
type workEstimate struct {
	hinted        *slidingSums // core seconds spent on requests with a hint, and hinted seconds of the requests that ended
	hintRatio     movingMean   // core seconds per hinted second
	hintSample    sampleStats  // core seconds per hinted second on a warm server; published to other servers
	peerHintRatio peerEstimate
}

func newWorkEstimate() workEstimate {
	return workEstimate{hinted: newSlidingSums(hintedWindow, hintedWindowParts)}
}

// recordRun adds an ended run to the long-term means.
//
// A run that outlived its deadline shows a fault and is left out of them; only the sums of the recent runs include it.
// It would raise the long-term means even after the fault has ended: no request of the route would then be started, so
// none could show that runs are short again.
func (c *Controller) recordRun(request *Request, took time.Duration) {
	if request.answered && max(took, request.coreTime) > request.Route.Deadline {
		return
	}
	request.Route.coreSeconds.add(request.coreTime.Seconds(), runMeanSamples)
	request.Route.latency.add(took.Seconds(), runMeanSamples)
	request.Route.coreSample.add(request.coreTime.Seconds()*c.speed(), c.now)
	request.Route.runSample.add(took.Seconds(), c.now)
	if request.CostHint > 0 {
		c.work.hintRatio.add(request.coreTime.Seconds()/request.CostHint.Seconds(), runMeanSamples)
		c.work.hintSample.add(request.coreTime.Seconds()*c.speed()/request.CostHint.Seconds(), c.now)
	}
}

// usualWork returns the core time that a request takes in the long run, regardless of recent runs.
func (c *Controller) usualWork(request *Request) time.Duration {
	if request.CostHint > 0 && (c.work.hintRatio.count > 0 || c.work.peerHintRatio.weight > 0) {
		ratio, _ := c.prior(c.work.hintRatio, &c.work.peerHintRatio)
		return saturate.Nanoseconds(ratio * float64(request.CostHint))
	}
	mean, _ := c.priorWork(request.Route)
	return saturate.Seconds(mean)
}

// priorWork returns the core time in seconds that runs of a route are expected to take before recent runs are
// considered, and the number of runs that it counts for.
func (c *Controller) priorWork(route *Route) (mean, runs float64) {
	own := route.coreSeconds
	if own.count == 0 {
		own.mean = route.LatencyTarget.Seconds() / unknownWorkDivisor
	}
	if c.peers.present {
		return c.prior(own, &route.peerCoreSeconds)
	}
	return own.mean, priorRuns
}

// expectedWork returns the core time that a request is expected to take here, from the recent runs and a prior. The
// core time of unfinished runs is attributed to the runs that ended, so that a machine that has slowed down shows
// before the first run ends.
func (c *Controller) expectedWork(request *Request) time.Duration {
	if request.CostHint > 0 && (c.work.hintRatio.count > 0 || c.work.peerHintRatio.weight > 0) {
		return c.expectedHintedWork(request.CostHint)
	}
	mean, runs := c.priorWork(request.Route)
	recent := runTotalsOf(request.Route.recentRuns.sum(c.now))
	return saturate.Seconds((max(recent.coreSeconds, 0) + runs*mean) / (recent.ended + runs))
}

// expectedHintedWork returns the core time that work with a hint is expected to take.
func (c *Controller) expectedHintedWork(hint time.Duration) time.Duration {
	sums := c.work.hinted.sum(c.now)
	spent, hinted := sums[0], sums[1]
	ratio, prior := c.prior(c.work.hintRatio, &c.work.peerHintRatio)
	prior *= hint.Seconds()
	return saturate.Nanoseconds((spent + prior*ratio) / (hinted + prior) * float64(hint))
}

// workKnown reports whether expectedWork is based on runs that have ended, here or at other servers.
func (c *Controller) workKnown(request *Request) bool {
	route := request.Route
	return route.coreSeconds.count > 0 || c.peers.present && route.peerCoreSeconds.weight > 0 ||
		request.CostHint > 0 && (c.work.hintRatio.count > 0 || c.work.peerHintRatio.weight > 0) ||
		runTotalsOf(route.recentRuns.sum(c.now)).ended > 0
}

// plannedWork returns the core time by which a request is planned to delay the requests after it. While workKnown is
// false, the expected work is a mere assumption, which must not delay other requests. The longest core time of the
// route's runs so far is then used instead.
func (c *Controller) plannedWork(request *Request, expected time.Duration) time.Duration {
	if !c.settings.EstimatesOnly && !c.workKnown(request) {
		return request.Route.longestRun
	}
	return expected
}

// remainingWork returns the core time that an unfinished request is expected to still need, at least its expected work
// divided by minimumDivisor.
func (c *Controller) remainingWork(request *Request, minimumDivisor int) time.Duration {
	return remainingOf(c.expectedWork(request), request.coreTime, minimumDivisor)
}

// remainingOf returns the expected work less the work done, at least expected divided by minimumDivisor.
func remainingOf(expected, done time.Duration, minimumDivisor int) time.Duration {
	return max(expected-done, expected/time.Duration(minimumDivisor))
}
