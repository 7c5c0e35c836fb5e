package admission

// One Choice decides for one app server. The program calls New with the terms it was started under and
// a seed, then Decide once a round with all that came in; decisions go into the Writer in their order.
// Round, Task, Route and Writer, the whole interface, are in task.go; ring.go measures over time.
//
// The ordinary path is the in-flight limit of docs/design.md: calibrate moves it, mayStart obeys it, the
// hold keeps the rest by due time. The other functions are the exceptions and guards that page lists.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	sweep        = 25 * time.Millisecond // between alarms; the margins below are counted in it
	period       = time.Second           // between calibrations of the limit
	backoff      = 0.75                  // what a backoff event leaves of the limit
	softMemory   = 0.75
	softCPU      = 0.90
	idleCPU      = 0.70             // the limit climbs fast below this while work is held
	degraded     = 1.5              // short average of latency over the long one
	mostPerCore  = 6.0              // ceiling of the limit, in tasks a core
	crowdShare   = 0.8              // part of the survived crowd that may be in flight
	hardMemory   = 0.9              // part of the memory, or of the calls survived, that is ever planned for
	callMost     = 0.7              // part of its share of the dependency that a server ever plans for
	callStart    = 0.4              // part of it that it starts with
	callLeast    = 0.1              // part of it that strain leaves
	few          = 4.0              // tasks or calls that are half believed
	noShare      = 1e-3             // taken where none is told: a call goes now and then
	callLost     = 8.0              // times as long as usual, after which a call is taken for lost
	callRise     = 0.05             // part of it that the room gains in a quarter of a second
	strainShare  = 0.5              // part of that room open to tasks that can do without, under strain
	customerSpan = 10 * time.Second // over which a customer's share is judged
	mostCallers  = 4096             // remembered; invented ones must not fill the memory
	fewTasks     = 10               // tasks read before connections are closed by what was seen of callers
	guess        = 6                // a type never seen is taken to need this part of its contract time
	plan         = 0.75             // part of the time a task could wait that it is planned to wait
	readCrowd    = 1.2              // runs and reads a core at which no further run starts
	median       = 0.7              // of the core time of a type's tasks, as a part of their mean
	doubt        = 2.0              // runs' worth of trust that the long average gets beside the recent one
	easy         = 0.05             // part of the work that may be dismissed before the level rises
	levelRise    = 0.05             // what the level gains in a tenth of a second when all is dismissed
	levelFall    = 0.02             // what it loses once few are dismissed or cores are free
	unreadWeight = 3.0              // push of the part of the contract time that lies unread
	faster       = 2                // times as fast as this one another server may well be
	fullLevel    = 0.06             // dismissals ask callers not to try elsewhere over this
	levelMost    = 0.95             // the most important tasks are never kept away altogether
)

// Controller decides for one server.
type Controller struct {
	Routes []*Route

	settings Settings
	busy     map[*routeStats]bool // of routes whose runs ended lately, the only ones whose latency can have moved
	tenants  tenants
	rng      *rand.Rand
	now      time.Duration
	began    time.Duration

	cores, memory, factor, numberKB float64
	coldShare, warmUp               float64 // speed at the start, and the time until all of it is there

	hold    []*Request // by due time
	active  []*Request // all others that hold something: running, at a call, echoing, answered but on
	numbers []*Request // entries of the table of numbers

	all, kept, out []*Request // room for what a round goes through

	limit      float64
	event      bool // a backoff event since the last calibration
	calibrated time.Duration
	callers    map[uint32]time.Duration // when each last came
	known      *ring                    // tasks read, and those of callers that came within the idle time before
	gauges     Gauges
	reads      float64 // what wanted a core at the last alarm beside runs
	swept      time.Duration
	ticks      int
	stopAt     time.Duration
	noticed    time.Duration

	level     float64
	said      float64
	load      *ring // work read, work dismissed for want of room
	unread    *ring // tasks read, and the part of their contract time they had lain unread
	ends      *ring // runs ended, and those that broke
	erring    bool
	paced     *ring   // core time spent and hinted work done
	called    *ring   // calls that went well, their time, calls that did not
	callShare float64 // what the server may hold on the mean of the calls that the dependency survives
	callRoom  float64 // what it plans to hold on the mean
	callSaved float64 // seconds of calls in hand that it has left unused, or is ahead by
	callGuess float64 // seconds that a call is taken to need before one is known
	callTurns float64 // turns to make a call that have passed
	callUsual trend
	strained  bool  // calls take much longer than usual or come back undone
	callsHeld bool  // a call waited for room since the last look
	inHand    *ring // calls in hand times seconds
	pace      trend

	paceSeen, callSeen               sight // to be handed out
	lentPace, lentCalls, lentReturns lent
	lentScale                        float64 // own times over those told
	borrowed                         bool    // something that is borrowed is not old yet
}

// New starts the decisions of a server that knows its settings and nothing else.
func New(settings Settings, seed int64) *Controller {
	controller := &Controller{
		settings: settings,
		rng:      rand.New(rand.NewSource(seed)),
		cores:    settings.Cores,
		memory:   settings.MemoryKB * hardMemory,
		factor:   settings.RunningMemoryFactor,
		numberKB: settings.KeyKB,
		warmUp:   float64(max(settings.WarmUp, 1)),
		load:     newRing(time.Second, 10),
		unread:   newRing(time.Second, 10),
		known:    newRing(customerSpan, 10),
		callers:  map[uint32]time.Duration{},
		busy:     map[*routeStats]bool{},
		ends:     newRing(3*time.Second, 6),
		paced:    newRing(6*time.Second, 12),
		called:   newRing(2*time.Second, 8),
		inHand:   newRing(settings.CallWindow, 20),
	}
	controller.limit, controller.coldShare = controller.cores, 1
	if settings.Cold {
		controller.coldShare = settings.ColdSpeed
	}
	controller.callShare = max(settings.CallShare, noShare)
	if settings.CallsTier {
		// Servers below that run this code guard themselves and tell no share: what may be at calls is what
		// the crowd here allows, and the room moves by what comes back, turned away or late.
		controller.callShare = crowdShare * settings.MaxRunnablePerCore * controller.cores
	}
	controller.callRoom = controller.callShare * callStart
	controller.callSaved, controller.callTurns = controller.callRoom, controller.rng.Float64()
	for _, route := range settings.Routes {
		controller.PutRoute(nil, route)
	}
	controller.tenants = newTenants(settings.Tenants)
	return controller
}

// Decide takes all that came in and writes what is to be done. A call's outcome is taken before a new call
// of the same task, and both before its end, so that a round may hold a task's whole story.
func (c *Controller) Decide(r *Round, w Executor) {
	c.now = r.Now
	if c.swept == 0 {
		c.began, c.swept, c.calibrated = r.Now, r.Now, r.Now
		w.SetHealth(true, true)
		w.WakeAfter(sweep)
	}
	c.began = max(c.began, r.WorkersStartedAt)
	if r.StopAt > 0 && c.stopAt == 0 {
		c.leave(r.StopAt, cmp.Or(r.NotifiedAt, c.now), w)
	}
	for _, e := range r.CallsEnded {
		c.returned(e, w)
	}
	for _, request := range r.AwaitingCall {
		if request.phase == running {
			c.enter(request, wantsCall)
		}
	}
	for _, e := range r.RunsEnded {
		c.ended(e)
	}
	for _, request := range r.Arrived {
		c.arrived(request, w)
	}
	for _, request := range r.Canceled { // after those that came in: a caller may leave in the moment its task is read
		c.gone(request, w)
	}
	if r.Gauges != nil {
		c.gauges = *r.Gauges
		_, on, _ := c.counts()
		c.reads = min(c.gauges.Runnable-on, c.cores) // one a core at a time
		c.measure(w)
		w.WakeAfter(sweep)
	}
	c.expire(w)
	c.shield(w)
	c.weed(w)
	c.placeCalls(w)
	for len(c.hold) > 0 && c.mayStart(c.hold[0]) {
		request := c.hold[0]
		c.hold = slices.Delete(c.hold, 0, 1)
		request.ran = true
		c.active = append(c.active, request)
		c.enter(request, running)
		w.Start(request)
	}
}

// enter books the time of the phase that ends and begins the next.
func (c *Controller) enter(request *Request, next phase) {
	spent := c.now - request.since
	request.since = c.now
	if request.phase == calling {
		c.holdsCall(spent)
	}
	if request.phase == running || request.phase == over {
		request.onCore += spent
		request.Route.runs.add(c.now, spent.Seconds())
		if request.CostHint > 0 {
			c.paced.add(c.now, spent.Seconds())
		}
	}
	request.phase = next
}

// remove takes a task that holds nothing more off the books.
func (c *Controller) remove(request *Request) {
	is := func(other *Request) bool { return other == request }
	c.hold, c.active = slices.DeleteFunc(c.hold, is), slices.DeleteFunc(c.active, is)
}

func (c *Controller) arrived(request *Request, w Executor) {
	request.since = c.now
	// One that claims to have come long ago must not pass for a backlog of many.
	c.unread.add(c.now, 1, min(1, float64(c.now-request.Arrived)/float64(request.Route.LatencyTarget)))
	request.last = request.Arrived + request.Route.Deadline
	if request.Deadline > 0 {
		request.last = request.Deadline
	}
	request.last -= 2 * sweep
	request.wanted = request.last
	if request.Route.LateValueShare == 0 {
		request.wanted = min(request.last, request.Arrived+request.Route.LatencyTarget)
	}
	again := 0.0
	last, came := c.callers[request.Router]
	if came && c.now-last < c.settings.IdleTimeout {
		again = 1
	}
	if came || len(c.callers) < mostCallers { // past that a caller known is taken for new, which closes sooner
		c.callers[request.Router] = c.now
	}
	c.known.add(c.now, 1, again)
	c.tenants.add(request.Tenant, c.now)
	if request.Rank >= c.level {
		c.load.add(c.now, c.need(request).Seconds())
	}
	if request.Duplicate {
		c.enter(request, echoing)
		c.active = append(c.active, request)
		w.AnswerFromOriginal(request)
		return
	}
	if c.stopAt > 0 {
		request.last, request.wanted = min(request.last, c.stopAt), min(request.wanted, c.stopAt)
		if request.ReceivedAt() > c.noticed+c.settings.Grace {
			c.dismiss(request, ReasonDraining, w)
			return
		}
	}
	if request.Route.Idempotency == Keyed {
		// The entry comes before any run, so that no repeat is taken for a new task; without room, no task.
		if c.used()+c.numberKB+request.HeldKB > c.memory {
			c.dismiss(request, ReasonMemory, w)
			return
		}
		request.kept = request.Arrived + request.Route.DedupWindow + sweep
		c.numbers = append(c.numbers, request)
		w.RememberKey(request, request.kept-c.now)
	}
	i, _ := slices.BinarySearchFunc(c.hold, request, func(a, b *Request) int {
		if a.last <= b.last {
			return -1
		}
		return 1
	})
	c.hold = slices.Insert(c.hold, i, request)
}

func (c *Controller) ended(e Completion) {
	request := e.Request
	if request.phase == echoing {
		c.remove(request)
		return
	}
	if c.enter(request, request.phase); request.phase == calling {
		// Its call was not reported to have ended, so it is abandoned with the run, and stays in the dependency's hands.
		c.holdsCall(c.settings.CallLinger)
	}
	if e.Outcome == Succeeded || e.Outcome == Failed {
		request.Route.runs.add(c.now, 0, 1, e.Took.Seconds())
		c.busy[request.Route.routeStats] = true
		c.ends.add(c.now, 1, float64(e.Outcome-Succeeded))
		if request.CostHint > 0 {
			c.paced.add(c.now, 0, request.CostHint.Seconds())
		}
		c.learn(request, e.Took)
	}
	if e.Outcome == NeverStarted { // what never began took no time: no sign of what others need
		request.Route.runs.add(c.now, -request.onCore.Seconds())
	}
	request.settled = true
	c.remove(request)
}

// learn takes the run of a task that ended into the long averages. One that outlived its deadline tells of trouble, which
// the sums of the last seconds show. A long average over the deadline would outlast the trouble for good: no task of
// the type would be begun any more, and so none could show that they are short again.
func (c *Controller) learn(request *Request, took time.Duration) {
	if request.settled && max(took, request.onCore) > request.Route.Deadline {
		return
	}
	request.Route.coreSeconds.take(request.onCore.Seconds(), 200)
	request.Route.latency.take(took.Seconds(), 200)
	request.Route.coreSample.take(request.onCore.Seconds()*c.speed(), c.now)
	request.Route.runSample.take(took.Seconds(), c.now)
	if request.CostHint > 0 {
		c.pace.take(request.onCore.Seconds()/request.CostHint.Seconds(), 200)
		c.paceSeen.take(request.onCore.Seconds()*c.speed()/request.CostHint.Seconds(), c.now)
	}
}

// gone frees what was kept for a task that nobody waits for. A numbered one that runs goes on: its client
// may come again with the number, and is then answered from this run.
func (c *Controller) gone(request *Request, w Executor) {
	switch {
	case request.phase == held || request.phase == echoing:
		c.forget(request, w)
		request.settled = true
		c.remove(request)
	case request.phase == running || request.phase == wantsCall || request.phase == calling:
		request.settled = true
		if request.phase == running && request.Route.Idempotency == Retryable {
			c.stop(request, w)
		}
	}
}

// forget gives the entry of a task that never ran back; one that ran stays known for its whole window.
func (c *Controller) forget(request *Request, w Executor) {
	if request.kept > 0 && !request.ran {
		request.kept = 0
		c.numbers = slices.DeleteFunc(c.numbers, func(n *Request) bool { return n == request })
		w.ForgetKey(request)
	}
}

// leave makes the server ready to go: checks fail, the level shuts, and nothing is planned past the stop.
func (c *Controller) leave(stopAt, noticed time.Duration, w Executor) {
	c.stopAt, c.noticed = stopAt-2*sweep, noticed
	w.SetHealth(false, true)
	for _, request := range slices.Concat(c.hold, c.active) {
		request.last, request.wanted = min(request.last, c.stopAt), min(request.wanted, c.stopAt)
	}
	in, _, _ := c.counts()
	w.Log(fmt.Sprintf("leaving: %d held, %.0f in flight", len(c.hold), in))
}

// say tells callers the level in the site's words: a rank below which they send nothing, or the part of
// the tasks that they do not take elsewhere, which is what a level lets in where ranks are spread evenly.
func (c *Controller) say(level float64, w Executor) {
	value := level
	switch c.settings.ShedLevelFormat {
	case ShedLevelNone:
		return
	case ShedLevelThreshold:
	case ShedLevelShare:
		value = 1 - level
	}
	if value != c.said {
		w.SetShedLevel(value)
		c.said = value
	}
}

// measure runs at each alarm: it books time, notices backoff events and moves limit and level.
func (c *Controller) measure(w Executor) {
	passed := (c.now - c.swept).Seconds()
	c.swept = c.now
	c.ticks++
	c.numbers = slices.DeleteFunc(c.numbers, func(request *Request) bool { return request.kept <= c.now })
	c.callSaved = min(c.callSaved+c.callRoom*passed, c.callRoom)
	c.callTurns += passed * c.callRoom / c.callTook()
	c.weighLent(c.now)
	for _, request := range c.active {
		if request.phase == over && c.halts() {
			w.Pause(request) // a stop has no effect while the cores stand still
		}
		c.enter(request, request.phase)
	}
	if c.gauges.CPU >= softCPU || c.gauges.Memory >= softMemory {
		c.event = true
	}
	for t := range c.busy { // what is done is the same in any order
		short := t.runs.recent(c.now, 4)
		if short[1] == 0 {
			delete(c.busy, t)
		} else if short[1] >= 5 && short[2]/short[1] > degraded*t.latency.mean {
			c.event = true
		}
	}
	if c.ticks%10 == 0 {
		c.calibrateCalls()
	}
	if c.now >= c.calibrated+period {
		c.calibrate(w)
	} else if c.gauges.CPU < idleCPU && len(c.hold) > 0 && c.ticks%4 == 0 {
		c.limit = min(c.limit+1, c.ceiling())
	}
	if c.stopAt > 0 && c.now > c.noticed+c.settings.Grace {
		c.say(1, w)
	} else if c.stopAt == 0 && c.ticks%4 == 0 {
		seen := c.load.sum(c.now)
		lain := c.unread.sum(c.now)
		// A small server reads few tasks in a second: one dismissed of two is no sign that half are too much.
		short := min(1, max(seen[1]/max(seen[0], 1e-9), unreadWeight*lain[1]/max(lain[0], 1)))
		short *= lain[0] / (lain[0] + few)
		move := levelRise * (short*short - easy*easy)
		if move < 0 || c.gauges.CPU < softCPU {
			move = -levelFall
		}
		c.level = min(max(c.level+move, 0), levelMost)
		c.say(math.Round(c.level*100)/100, w)
	}
}

// closeIdle closes connections sooner the less they are used again. Each one open takes part of the cores
// and of a table that is full at some number, and a full table turns callers away unseen; a new one costs
// work too. Where a caller comes back less than once in the time that routers keep a connection, most are
// kept for nothing; the part of tasks that did come back within it, to the fourth, is what is kept of it.
// It guards against any number of routers; it could harm where callers come in bouts with long rests.
func (c *Controller) closeIdle(w Executor) {
	idle := c.settings.IdleTimeout
	maps.DeleteFunc(c.callers, func(_ uint32, last time.Duration) bool { return last+idle <= c.now })
	seen := c.known.sum(c.now)
	if seen[0] < fewTasks && c.lentReturns.weight > 0 {
		seen[0], seen[1] = fewTasks, fewTasks*c.lentReturns.told.Mean
	}
	if seen[0] >= fewTasks && idle > 0 {
		w.CloseIdleAfter(max(10*time.Millisecond, time.Duration(math.Pow(seen[1]/seen[0], 4)*float64(idle))))
	}
}
