package admission

import (
	"math/rand"
	"slices"
	"time"
)

// tickInterval is the time between rounds with gauges. Margins that must cover one round are multiples of it.
const tickInterval = 25 * time.Millisecond

// Numbers of ticks after which a rule is applied again.
const (
	ticksPerLevelMove       = 4
	ticksPerCallCalibration = 10
)

// Controller makes the decisions of one server. Its methods must not be called concurrently.
//
// A request that takes any resource is in exactly one of queue and active. The entry of its idempotency key is in keys
// until it expires or is released.
type Controller struct {
	// Routes holds the routes by index. Programs may read it; PutRoute and RemoveRoute change it.
	Routes []*Route

	settings Settings
	random   *rand.Rand
	now      time.Duration // time of the current round
	gauges   Gauges        // latest readings
	tickedAt time.Duration // time of the last tick; 0 before the first round
	ticks    int

	queue  []*Request  // ordered by answerBy
	active []*Request  // in flight, including answered requests, or awaiting an original
	keys   []*keyEntry // in the table of idempotency keys

	limit       inFlightLimit
	slowStart   slowStart
	shedding    shedLevel
	calls       callCapacity
	work        workEstimate
	trial       trial
	peers       peerScale
	connections connectionReuse
	health      runHealth
	drain       drain
	tenants     tenantTable

	runnableReads float64 // reads of requests that wanted a core at the last tick: all runnable work but the runs

	scratch scratch
}

// scratch holds buffers that the rounds reuse.
type scratch struct {
	active, shed []*Request
	ranking      valueRanking
}

// New returns the controller of a server without measurements. The seed determines the jitter of retries and the phase
// of the server's call pacing within a fleet.
func New(settings Settings, seed int64) *Controller {
	controller := &Controller{
		settings:    settings,
		random:      rand.New(rand.NewSource(seed)),
		limit:       newInFlightLimit(settings.Cores),
		slowStart:   newSlowStart(settings),
		shedding:    newShedLevel(),
		calls:       newCallCapacity(settings),
		work:        newWorkEstimate(),
		connections: newConnectionReuse(),
		health:      newRunHealth(),
		tenants:     newTenantTable(settings.Tenants),
	}
	controller.calls.pacingCycles = controller.random.Float64()
	for _, route := range settings.Routes {
		controller.PutRoute(nil, route)
	}
	return controller
}

// Decide processes a round and passes the decisions to the executor. The end of a call is processed before a new call
// of the same request, and both are processed before the end of its run. So one round may hold several successive
// events of a request.
func (c *Controller) Decide(r *Round, executor Executor) {
	c.now = r.Now
	c.begin(executor)
	c.slowStart.recordWorkersStart(r.WorkersStartedAt)
	c.beginDrain(r, executor)
	c.applyEvents(r, executor)
	if r.Gauges != nil {
		c.tick(*r.Gauges, r.GaugesAge, executor)
	}
	c.expireRequests(executor)
	c.ejectWhileFailing(executor)
	c.shedUnmeetable(executor)
	c.placeCalls(executor)
	c.startQueued(executor)
}

// begin initializes the times and the health in the first round.
func (c *Controller) begin(executor Executor) {
	if c.tickedAt != 0 {
		return
	}
	c.slowStart.since, c.tickedAt, c.limit.calibratedAt = c.now, c.now, c.now
	executor.SetHealth(true, true)
	executor.WakeAfter(tickInterval)
}

// applyEvents applies the events of the round to the requests, one kind of event after the other: see Decide
// for the order of calls and runs.
func (c *Controller) applyEvents(r *Round, executor Executor) {
	for _, end := range r.CallsEnded {
		c.endCall(end, executor)
	}
	for _, request := range r.AwaitingCall {
		if request.phase == running {
			c.enterPhase(request, awaitingCall)
		}
	}
	for _, end := range r.RunsEnded {
		c.endRun(end)
	}
	for _, request := range r.Arrived {
		c.arrive(request, executor)
	}
	for _, request := range r.Canceled { // after the arrivals: a caller may leave in the round in which its request is read
		c.cancel(request, executor)
	}
}

// tick does the periodic work: it charges time, calibrates the limits and moves the shed level.
func (c *Controller) tick(gauges Gauges, age time.Duration, executor Executor) {
	c.gauges = gauges
	c.limit.gaugesOutdated = age > maxGaugesAge
	c.runnableReads = min(gauges.Runnable-c.inFlight().onCores, c.settings.Cores) // at most one request per core is read at a time
	passed := (c.now - c.tickedAt).Seconds()
	c.tickedAt = c.now
	c.ticks++
	c.expireKeys()
	c.calls.refill(passed)
	c.agePeerEstimates(c.now)
	c.chargeActive(executor)
	c.limit.recordGauges(gauges)
	c.limit.recordLatencies(c.now)
	if c.ticks%ticksPerCallCalibration == 0 {
		c.calibrateCalls()
	}
	c.calibrateLimit(executor)
	c.moveShedLevel(executor)
	executor.WakeAfter(tickInterval)
}

// chargeActive charges the time since the last charge to the phases of active requests, and repeats the stop of runs
// that have not ended yet.
func (c *Controller) chargeActive(executor Executor) {
	for _, request := range c.active {
		if request.phase == stopping && c.settings.Preemption.Allowed() {
			executor.Pause(request) // repeated, as a stop has no effect while the cores are stalled
		}
		c.chargePhase(request)
	}
}

// startQueued starts requests from the head of the queue while they may start.
func (c *Controller) startQueued(executor Executor) {
	for len(c.queue) > 0 && c.mayStart(c.queue[0]) {
		request := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		request.started = true
		c.active = append(c.active, request)
		c.enterPhase(request, running)
		if request.onTrial {
			c.beginTrial(request)
		}
		executor.Start(request)
	}
}

// enterPhase charges the time spent in the current phase and enters the next one.
func (c *Controller) enterPhase(request *Request, next phase) {
	c.chargePhase(request)
	request.phase = next
}

// chargePhase charges the time since the last charge to the request's phase: a call uses credit of the capacity for
// calls, and a run on the cores adds to the core time of the request and of its route.
func (c *Controller) chargePhase(request *Request) {
	spent := c.now - request.chargedAt
	request.chargedAt = c.now
	if request.phase == calling {
		c.calls.charge(c.now, spent)
	}
	if request.phase.onCores() {
		request.coreTime += spent
		request.Route.longestRun = max(request.Route.longestRun, request.coreTime)
		request.Route.recentRuns.add(c.now, spent.Seconds())
		if request.CostHint > 0 {
			c.work.hinted.add(c.now, spent.Seconds())
		}
	}
}

// endRun processes the end of a run, or of a duplicate that was answered from its original.
func (c *Controller) endRun(end Completion) {
	request := end.Request
	if request.phase == awaitingOriginal {
		c.release(request)
		return
	}
	c.chargePhase(request)
	defer c.endTrial(end)
	if request.phase == calling {
		// The end of its call was not reported: the call is abandoned with the run, and still loads the dependency.
		c.calls.charge(c.now, c.settings.CallLinger)
	}
	switch end.Outcome {
	case Succeeded, Failed:
		request.Route.recentRuns.add(c.now, 0, 1, end.Took.Seconds())
		request.Route.lastEndedAt = c.now
		c.limit.busyRoutes[request.Route.routeStats] = true
		c.health.add(c.now, end.Outcome)
		if request.CostHint > 0 {
			c.work.hinted.add(c.now, 0, request.CostHint.Seconds())
		}
		c.recordRun(request, end.Took)
	case NeverStarted: // it used no core time: what was charged is taken back, as it shows nothing about the work of requests
		request.Route.recentRuns.add(c.now, -request.coreTime.Seconds())
	case NotRun, Unknown, Stopped:
	}
	request.answered = true
	c.release(request)
}

// release removes a request that takes no more resources from the queue and from active.
func (c *Controller) release(request *Request) {
	isRequest := func(other *Request) bool { return other == request }
	c.queue, c.active = slices.DeleteFunc(c.queue, isRequest), slices.DeleteFunc(c.active, isRequest)
}

// Occupancy is the use of the machine as the controller accounts for it.
type Occupancy struct {
	Queued         int     // queued requests
	OnCores        int     // runs on the cores, including runs whose requests are already answered
	InFlight       int     // runs on the cores, at a call or waiting to make one
	Answered       int     // requests in flight that are already answered
	Limit          float64 // in-flight limit
	MaxConcurrency float64 // upper bound on the runs on the cores and at calls
	UsedKB         float64 // memory of requests queued and in flight and of idempotency keys, in KiB
	MaxKB          float64 // upper bound on planned memory, in KiB
}

// Occupancy returns the occupancy at time now, which is on the same clock as Round.Now.
func (c *Controller) Occupancy(now time.Duration) Occupancy {
	c.now = max(c.now, now)
	count := c.inFlight()
	occupancy := Occupancy{
		Queued: len(c.queue), OnCores: int(count.onCores), InFlight: int(count.total), Limit: c.limit.value,
		MaxConcurrency: c.maxConcurrency(), UsedKB: c.memoryUsedKB(), MaxKB: c.memoryKB(),
	}
	for _, request := range c.active {
		if request.answered && request.phase.inFlight() {
			occupancy.Answered++
		}
	}
	return occupancy
}
