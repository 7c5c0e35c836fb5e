package admission

import (
	"time"

	"quartzpoint/saturate"
)

const (
	// plannedWaitShare is the maximum planned wait of a request, as a fraction of the time for which it could wait.
	plannedWaitShare = 0.75
	// medianToMean is the assumed ratio of the median to the mean of a route's core times. A few long runs dominate the
	// mean, so whether a request has time for its run is decided by the median.
	medianToMean = 0.7
	// minRemainingDivisor determines the least work assumed to remain while a run is on the cores: its expected work
	// divided by this.
	minRemainingDivisor = 2
)

// shedUnmeetable rejects the queued requests that can't be served in time, those with the least value per second of
// work first. It plans the queued requests one after the other on the cores, in the order of starts.
func (c *Controller) shedUnmeetable(executor Executor) {
	p := c.newQueuePlan() // by value: a round must not allocate
	for _, request := range c.queue {
		p.add(request)
	}
	p.shedForMemory()
	for _, request := range p.shed {
		if request.Rank >= c.shedding.level {
			c.shedding.addShed(c.now, c.expectedWork(request))
		}
		c.answerRejected(request, request.reason, executor)
	}
	if len(p.shed) > 0 {
		c.removeAnswered()
	}
	c.scratch.ranking, c.scratch.shed = p.ranking, p.shed
}

// queuePlan schedules queued requests on the cores.
type queuePlan struct {
	controller   *Controller
	workAhead    time.Duration // core time of all work planned so far
	cores        float64       // cores among which the work is divided
	callWait     time.Duration // wait off the cores of a request that calls the dependency
	planned      int           // requests planned so far from the head of the queue, including shed ones
	hasTrial     bool          // a request is kept for a trial
	useUsualWork bool          // plan by usual work, because a trial is to show whether the usual work is still right
	ranked       bool          // ranking holds the planned requests
	ranking      valueRanking
	shed         []*Request
}

// newQueuePlan returns a plan that contains the remaining work of the running requests.
func (c *Controller) newQueuePlan() queuePlan {
	p := queuePlan{controller: c, useUsualWork: c.trial.usesUsualWork(), ranking: c.scratch.ranking[:0], shed: c.scratch.shed[:0]}
	for _, request := range c.active {
		if request.phase == running {
			p.workAhead += remainingOf(c.plannedWork(request, p.work(request)), request.coreTime, minRemainingDivisor)
		}
	}
	count := c.inFlight()
	p.cores = max(c.settings.Cores, count.onCores)
	p.callWait = c.strainedCallWait(count.awaitingCall)
	return p
}

// work returns the core time that the plan assumes for a request.
func (p *queuePlan) work(request *Request) time.Duration {
	if p.useUsualWork {
		return p.controller.usualWork(request)
	}
	return p.controller.expectedWork(request)
}

// add plans a request after those planned so far. If it would start too late, planned requests of less value density
// are shed until it starts in time; if there are none, it is shed itself.
func (p *queuePlan) add(request *Request) {
	c := p.controller
	work := p.work(request)
	request.onTrial = false
	for {
		start, latest := p.schedule(request, work)
		if start <= latest || !p.hasCores() {
			break
		}
		if p.keepForTrial(request) {
			work = p.work(request)
			break
		}
		p.rank()
		own := rankedRequest{request, c.valueDensity(request), p.planned}
		if len(p.ranking) == 0 || !p.ranking[0].shedBefore(own) {
			p.planned++
			p.shedForTime(request, start, latest)
			return
		}
		least := p.ranking.removeLeast()
		p.shedForTime(least, start, latest)
		p.workAhead -= c.plannedWork(least, p.work(least))
	}
	p.workAhead += c.plannedWork(request, work)
	if p.ranked {
		p.ranking.add(rankedRequest{request, c.valueDensity(request), p.planned})
	}
	p.planned++
}

// keepForTrial reports whether a request that has no time for its expected work is kept for a trial. Unless the last
// trial took long, the requests after it are planned by their usual work until the trial shows that runs take longer.
func (p *queuePlan) keepForTrial(request *Request) bool {
	if p.useUsualWork || p.hasTrial || !p.controller.mayStartTrial(request) {
		return false
	}
	request.onTrial, p.hasTrial = true, true
	p.useUsualWork = !p.controller.trial.lastTookLong
	return true
}

// hasCores reports whether there are cores to plan on. Without any the plan can't tell when a request would start, so
// none is shed for want of time; requests wait until their deadline.
func (p *queuePlan) hasCores() bool { return p.cores > 0 }

// schedule returns when the next request to be planned would start, and when it has to start at the latest. It also
// sets the request's plannedLate.
func (p *queuePlan) schedule(request *Request, work time.Duration) (start, latest time.Duration) {
	c := p.controller
	start = c.now
	if p.hasCores() {
		start += saturate.Nanoseconds(float64(p.workAhead) / p.cores)
	}
	wait, run := request.Route.CallWait, time.Duration(medianToMean*float64(work))
	if request.Route.CallsDependency {
		wait = max(wait, p.callWait)
	}
	latest = request.usefulUntil - wait - run
	latest = min(latest, request.Arrived+time.Duration(plannedWaitShare*float64(latest-request.Arrived)))
	request.plannedLate = start+run > request.Arrived+request.Route.LatencyTarget
	return start, latest
}

// rank ranks the requests that were planned before the first one was shed. Most rounds shed nothing and need no
// ranking.
func (p *queuePlan) rank() {
	if p.ranked {
		return
	}
	p.ranked = true
	for position, request := range p.controller.queue[:p.planned] {
		p.ranking.add(rankedRequest{request, p.controller.valueDensity(request), position})
	}
}

// shedForTime sheds a request because the request being planned, this one or a later one, would start after its latest
// start.
func (p *queuePlan) shedForTime(request *Request, start, latest time.Duration) {
	c := p.controller
	request.shedBasis = ShedBasis{
		TimeLeft: request.usefulUntil - c.now, Wait: start - c.now, Work: c.expectedWork(request),
		RunsEnded: int(runTotalsOf(request.Route.recentRuns.sum(c.now)).ended),
	}
	if last := request.Route.lastEndedAt; last > 0 {
		request.shedBasis.SinceLastEnd = c.now - last
	}
	p.shedRequest(request, start-latest, ReasonNoTime)
}

// shedRequest sheds a request and records why.
func (p *queuePlan) shedRequest(request *Request, excess time.Duration, reason RejectReason) {
	request.queueExcess, request.reason = excess, reason
	p.shed = append(p.shed, request)
}

// shedForMemory sheds queued requests, those with the least value density first, while the memory in use exceeds the
// bound. It can exceed it because requests are read before anything is decided on them.
func (p *queuePlan) shedForMemory() {
	c := p.controller
	excessKB := c.memoryUsedKB() - c.memoryKB()
	for _, request := range p.shed {
		excessKB -= request.QueuedKB
	}
	if excessKB <= 0 {
		return
	}
	p.rank()
	for excessKB > 0 && len(p.ranking) > 0 {
		request := p.ranking.removeLeast()
		p.shedRequest(request, 0, ReasonMemory)
		excessKB -= request.QueuedKB
	}
}

// valueDensity returns the value that a second of work on the request earns. It is not known which requests of a tenant
// are beyond its quota. So while the tenant exceeds the quota, each of its requests counts with the mean value of its
// requests within and beyond the quota.
func (c *Controller) valueDensity(request *Request) float64 {
	value := request.Route.Value
	if request.plannedLate {
		value *= request.Route.LateValueShare
	}
	quota := c.tenants.quota(request.Tenant) / c.settings.FleetServers
	if rate := c.tenants.rate(request.Tenant, c.now); rate > quota {
		value *= 1 - (1-quota/rate)*(1-c.settings.OverQuotaValue)
	}
	if c.settings.ValueByWork {
		return value
	}
	return value / c.expectedWork(request).Seconds()
}
