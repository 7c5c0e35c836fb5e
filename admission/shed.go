package admission

import "time"

const (
	// plannedWaitShare is the part of the time for which a request could wait that it is ever planned to wait.
	plannedWaitShare = 0.75
	// medianToMean is the ratio of the median of a route's core times to their mean: a few long runs make up the mean.
	medianToMean = 0.7
	// minRemainingDivisor is the part of its expected work, as a divisor, that a run on the cores is taken to need at least.
	minRemainingDivisor = 2
)

// shedUnmeetable rejects the queued requests that can't be served in time, those of the least value for their work first. It
// lays the queue, in the order of starts, one request behind the other on the cores.
func (c *Controller) shedUnmeetable(w Executor) {
	p := c.newQueuePlan() // by value: a round must not allocate
	for _, request := range c.queue {
		p.add(request)
	}
	p.shedForMemory()
	for _, request := range p.shed {
		if request.Rank >= c.shedding.level {
			c.shedding.addShed(c.now, c.expectedWork(request))
		}
		c.answerRejected(request, request.reason, w)
	}
	if len(p.shed) > 0 {
		c.removeAnswered()
	}
	c.scratch.ranking, c.scratch.shed = p.ranking, p.shed
}

// queuePlan lays queued requests on the cores.
type queuePlan struct {
	controller *Controller
	ahead      time.Duration // core time of all that is planned so far
	width      float64       // cores that it is spread over
	callWait   time.Duration // of a request that calls the dependency
	planned    int           // requests, from the head of the queue on, those that were shed included
	trying     bool          // a request is kept for a trial
	usual      bool          // by the usual work, for a trial is to show whether that holds
	ranked     bool          // ranking holds the planned requests
	ranking    valueRanking
	shed       []*Request
}

// newQueuePlan begins with what runs.
func (c *Controller) newQueuePlan() queuePlan {
	p := queuePlan{controller: c, usual: c.trial.open(), ranking: c.scratch.ranking[:0], shed: c.scratch.shed[:0]}
	for _, request := range c.active {
		if request.phase == running {
			p.ahead += remainingOf(c.plannedWork(request, p.work(request)), request.coreTime, minRemainingDivisor)
		}
	}
	count := c.inFlight()
	p.width = max(c.settings.Cores, count.onCores)
	p.callWait = c.strainedCallWait(count.awaitingCall)
	return p
}

// work is the core time that the plan takes a request to need.
func (p *queuePlan) work(request *Request) time.Duration {
	if p.usual {
		return p.controller.usualWork(request)
	}
	return p.controller.expectedWork(request)
}

// add plans a request behind the others. Where it would start too late, requests planned so far are shed until it does not,
// or is shed itself.
func (p *queuePlan) add(request *Request) {
	c := p.controller
	work := p.work(request)
	request.onTrial = false
	for {
		start, latest := p.schedule(request, work)
		if start <= latest {
			break
		}
		if p.keepForTrial(request) {
			work = p.work(request)
			break
		}
		p.rank()
		own := rankedRequest{request, c.valueDensity(request), p.planned}
		if len(p.ranking) == 0 || !p.ranking[0].before(own) {
			p.planned++
			p.shedForTime(request, start, latest)
			return
		}
		least := p.ranking.removeLeast()
		p.shedForTime(least, start, latest)
		p.ahead -= c.plannedWork(least, p.work(least))
	}
	p.ahead += c.plannedWork(request, work)
	if p.ranked {
		p.ranking.add(rankedRequest{request, c.valueDensity(request), p.planned})
	}
	p.planned++
}

// keepForTrial keeps a request that there is no time for by its expected work, where it may be tried. Those behind it are planned
// by their usual work until the trial shows that this does not hold.
func (p *queuePlan) keepForTrial(request *Request) bool {
	if p.usual || p.trying || !p.controller.mayTry(request) {
		return false
	}
	request.onTrial, p.trying = true, true
	p.usual = !p.controller.trial.lastLong
	return true
}

// schedule is when the request, the next one to be planned, would start, and when it has to start at the latest.
func (p *queuePlan) schedule(request *Request, work time.Duration) (start, latest time.Duration) {
	c := p.controller
	start = c.now + time.Duration(float64(p.ahead)/p.width)
	wait, run := request.Route.CallWait, time.Duration(medianToMean*float64(work))
	if request.Route.CallsDependency {
		wait = max(wait, p.callWait)
	}
	latest = request.usefulUntil - wait - run
	latest = min(latest, request.Arrived+time.Duration(plannedWaitShare*float64(latest-request.Arrived)))
	request.plannedLate = start+run > request.Arrived+request.Route.LatencyTarget
	return start, latest
}

// rank ranks the requests that were planned before the first one was shed. Most rounds shed nothing and need no ranking.
func (p *queuePlan) rank() {
	if p.ranked {
		return
	}
	p.ranked = true
	for position, request := range p.controller.queue[:p.planned] {
		p.ranking.add(rankedRequest{request, p.controller.valueDensity(request), position})
	}
}

// shedForTime takes a request out of the plan, as one would start later than it has to.
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

// shedRequest takes a request out of the plan.
func (p *queuePlan) shedRequest(request *Request, excess time.Duration, reason RejectReason) {
	request.queueExcess, request.reason = excess, reason
	p.shed = append(p.shed, request)
}

// shedForMemory sheds while queued requests take memory that there is not: they are read before anything is decided on them.
func (p *queuePlan) shedForMemory() {
	c := p.controller
	excessKB := c.memoryUsedKB() - c.memoryKB()
	for _, request := range p.shed {
		excessKB -= request.HeldKB
	}
	if excessKB <= 0 {
		return
	}
	p.rank()
	for excessKB > 0 && len(p.ranking) > 0 {
		request := p.ranking.removeLeast()
		p.shedRequest(request, 0, ReasonMemory)
		excessKB -= request.HeldKB
	}
}

// valueDensity is the value that a second of work on the request earns. What a tenant asks beyond its quota carries no mark,
// so each of its requests counts for the mix of both.
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
