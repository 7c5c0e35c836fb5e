package admission

import (
	"slices"
	"time"
)

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
		c.reject(request, request.reason, w)
	}
	c.scratch.kept, c.scratch.shed = p.kept, p.shed
}

// queuePlan lays queued requests on the cores.
type queuePlan struct {
	controller *Controller
	ahead      time.Duration // core time of all that is planned so far
	width      float64       // cores that it is spread over
	callWait   time.Duration // of a request that calls the dependency
	kept       []*Request
	shed       []*Request
}

// newQueuePlan begins with what runs.
func (c *Controller) newQueuePlan() queuePlan {
	p := queuePlan{controller: c, kept: c.scratch.kept[:0], shed: c.scratch.shed[:0]}
	for _, request := range c.active {
		if request.phase == running {
			p.ahead += c.remainingWork(request, minRemainingDivisor)
		}
	}
	count := c.inFlight()
	p.width = max(c.settings.Cores, count.onCores)
	p.callWait = c.strainedCallWait(count.awaitingCall)
	return p
}

// add plans a request behind the others. Where it would start too late, requests planned so far are shed until it does not,
// or is shed itself.
func (p *queuePlan) add(request *Request) {
	c := p.controller
	p.kept = append(p.kept, request)
	p.ahead += c.expectedWork(request)
	for len(p.kept) > 0 {
		start, latest := p.schedule(request)
		if start <= latest || p.shedLeastValuable(start-latest, ReasonNoTime) == request {
			return
		}
	}
}

// schedule is when the request, the last one planned, would start, and when it has to start at the latest.
func (p *queuePlan) schedule(request *Request) (start, latest time.Duration) {
	c := p.controller
	work := c.expectedWork(request)
	start = c.now + time.Duration(float64(p.ahead-work)/p.width)
	wait, run := request.Route.CallWait, time.Duration(medianToMean*float64(work))
	if request.Route.CallsDependency {
		wait = max(wait, p.callWait)
	}
	latest = request.usefulUntil - wait - run
	latest = min(latest, request.Arrived+time.Duration(plannedWaitShare*float64(latest-request.Arrived)))
	request.plannedLate = start+run > request.Arrived+request.Route.LatencyTarget
	return start, latest
}

// shedLeastValuable takes the request of the least value for its work out of the plan; of equals the last one.
func (p *queuePlan) shedLeastValuable(excess time.Duration, reason RejectReason) *Request {
	c := p.controller
	least := 0
	for i := range p.kept {
		if c.valueDensity(p.kept[i]) <= c.valueDensity(p.kept[least]) {
			least = i
		}
	}
	request := p.kept[least]
	request.queueExcess, request.reason = excess, reason
	p.kept = slices.Delete(p.kept, least, least+1)
	p.shed = append(p.shed, request)
	p.ahead -= c.expectedWork(request)
	return request
}

// shedForMemory sheds while queued requests take memory that there is not: they are read before anything is decided on them.
func (p *queuePlan) shedForMemory() {
	c := p.controller
	excessKB := c.memoryUsedKB() - c.memoryKB()
	for _, request := range p.shed {
		excessKB -= request.HeldKB
	}
	for excessKB > 0 && len(p.kept) > 0 {
		excessKB -= p.shedLeastValuable(0, ReasonMemory).HeldKB
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
