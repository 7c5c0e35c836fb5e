package emulator

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzpoint/admission"
	"quartzpoint/budget"
	"quartzpoint/rulecheck"
	"quartzpoint/saturate"
)

const (
	queuedKB            = 20.0                   // memory of a queued request, in KiB
	survivedRunsPerCore = 8.0                    // runs per core, above the 6 that Settings sets as MaxRunsPerCore; more violate rule 4 of package rulecheck
	linkDelay           = 100 * time.Microsecond // between a server and its worker pool
	drainCheckInterval  = 20 * time.Millisecond  // between checks whether a server that shuts down has answered everything
	stopMargin          = 15 * time.Millisecond  // before the end of a shutdown; everything must be answered by then
	unfreezeMargin      = 50 * time.Millisecond  // after a freeze, for handling the deferred events
	ejectionTime        = time.Second            // of a server after a failed connection
	resendDelay         = 200 * time.Millisecond // of a message that the network lost; doubles with each loss
	minRetryTime        = 5 * time.Millisecond   // minimum time left for another attempt
)

// The ways in which a router chooses among the eligible servers.
const (
	BalancingRoundRobin = "round"
	BalancingLeastOpen  = "least"   // the fewest open requests
	BalancingHash       = "subject" // by a hash of the request id
	BalancingFirst      = "walk"    // the first of the endpoint list
	BalancingRandom     = "random"
)

// RouterOptions are the options of a router.
type RouterOptions struct {
	Balancing string // one of the Balancing constants
	// MaxAttempts is the number of attempts, at different servers, each time that a client sends the request; 0 for no
	// limit. After a failed connection up to two more are made.
	MaxAttempts int
	// RetryBudget is the number of retries per first attempt, in addition to 10 per router; 0 for no limit. Retries after
	// a failed connection are not counted. It has no effect without a limit of attempts.
	RetryBudget       float64
	HeedsBackpressure bool // uses the shed level and Retry-After of answers
	RetriesAborted    bool // also retries aborted requests, unless they are at-most-once
}

// ClientOptions are the options of clients.
type ClientOptions struct {
	MaxRetries int           // of a request that was not served; negative for no limit
	Backoff    time.Duration // mean wait before a retry
}

// Dependency describes a service that is called by runs.
type Dependency struct {
	Name   string
	Slots  int           // concurrent calls; further calls are queued
	Mean   time.Duration // mean time that a call occupies a slot
	Spread float64       // standard deviation of that time, divided by its mean
}

// Fleet describes the servers, routers, clients, dependencies and network of a World.
type Fleet struct {
	Servers       int
	Zones         int
	Machine       Machine
	Routes        []Route
	Policy        PolicyMaker
	PeerSync      bool // a server that starts uses the estimates of running ones
	Routers       int
	RouterOptions RouterOptions
	ClientOptions ClientOptions
	Dependencies  []Dependency
	Plans         map[string]*budget.Plan // of composed routes, by route name; valid by budget.Plan.Validate
	Delay         time.Duration           // one-way network delay
	Jitter        time.Duration           // mean of an exponentially distributed addition to Delay
	EndpointLag   time.Duration           // delay of endpoint updates at routers
}

// Load describes the requests of a run.
type Load struct {
	Rate     float64                        // total requests per second
	Span     time.Duration                  // time during which requests arrive
	Factor   func(at time.Duration) float64 // of Rate at a moment; nil for a constant rate
	Arrivals []Arrival                      // replace drawn arrivals if not nil
}

// Second contains the results of the requests that were created in one second.
type Second struct {
	OfferedValue float64 `json:"Offered"`
	Goodput      float64 `json:"Honoured"`
	Attempts     int     `json:"Tries"` // received by servers in that second
}

// Result contains the results of a load. Values are sums of Route.Value; goodput is the value served within the latency
// target. The JSON names are those of stored experiments.
type Result struct {
	Requests         int                     `json:"Requests"`
	Served           int                     `json:"Honoured"`
	Rejected         int                     `json:"Dismissed"`
	Aborted          int                     `json:"GivenUp"`
	Unanswered       int                     `json:"Left"` // by the deadline of the client
	OfferedValue     float64                 `json:"Offered"`
	Goodput          float64                 `json:"Value"`
	Attempts         int                     `json:"Tries"`
	Starts           int                     `json:"Starts"`
	DuplicateAnswers int                     `json:"Twice"`
	GoodputByRoute   []float64               `json:"ByType"`
	OfferedByRoute   []float64               `json:"OfType"`
	Seconds          []Second                `json:"Seconds"`
	Latencies        *hdrhistogram.Histogram `json:"-"` // of served requests, in microseconds
	Rules            rulecheck.Report        `json:"Rules"`
	Events           uint64                  `json:"Events"`
}

// clientRequest is a request of a client, including its retries.
type clientRequest struct {
	id           uint64
	route        int
	rank         float64
	work         float64 // seconds
	router       *router
	sentAt       time.Duration // last time that its client sent it
	createdAt    time.Duration
	retriesLeft  int
	triedServers []int  // tried since sentAt
	sendSeq      uint64 // incremented at each sending and at its end; events with an older one have no effect
	done         bool
	mayHaveRun   bool // and so may have had its effect
}

// World is an emulated fleet with its clients. It must be used from one goroutine.
type World struct {
	engine
	fleet         Fleet
	seed          int64
	incidentRand  *rand.Rand // draws of RandomServers and usePeerEstimates
	servers       []*server
	routers       []*router
	dependencies  map[string]*dependency
	rules         *rulecheck.Checker
	result        Result
	networkRand   *rand.Rand
	delayFactor   float64
	lossRate      float64
	endpointLag   time.Duration
	lastID        uint64
	loadFactor    float64
	clientOptions ClientOptions
	span          time.Duration // of the load
}

// New returns a world whose servers have just started.
func New(fleet Fleet, seed int64) *World {
	if fleet.Policy == nil {
		fleet.Policy = QuartzpointPolicy
	}
	if fleet.Zones < 1 {
		fleet.Zones = 1
	}
	w := &World{
		fleet: fleet, seed: seed, incidentRand: randomSource(seed, "incidents", 0), networkRand: randomSource(seed, "network", 0), rules: rulecheck.New(0),
		dependencies: map[string]*dependency{}, delayFactor: 1, endpointLag: fleet.EndpointLag, loadFactor: 1, clientOptions: fleet.ClientOptions,
	}
	w.result.Latencies = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w.result.GoodputByRoute, w.result.OfferedByRoute = make([]float64, len(fleet.Routes)), make([]float64, len(fleet.Routes))
	for i, d := range fleet.Dependencies {
		w.dependencies[d.Name] = &dependency{world: w, Dependency: d, slowFactor: 1, rng: randomSource(seed, "dependency", i), number: i}
	}
	for i := range fleet.Servers {
		s := &server{world: w, number: i, zone: i % fleet.Zones}
		w.servers = append(w.servers, s)
		s.boot()
	}
	for i := range max(fleet.Routers, 1) {
		r := &router{world: w, number: i, rng: randomSource(seed, "router", i), options: fleet.RouterOptions}
		r.views = make([]serverView, fleet.Servers)
		for n := range fleet.Servers {
			r.endpoints = append(r.endpoints, n)
		}
		r.next = r.rng.Intn(max(fleet.Servers, 1))
		w.routers = append(w.routers, r)
	}
	return w
}

// callQuota returns a server's quota of calls in flight.
func (w *World) callQuota() float64 {
	if len(w.fleet.Plans) > 0 {
		return 1e9 // package budget limits them
	}
	sum := 0
	for _, d := range w.fleet.Dependencies {
		sum += d.Slots
	}
	return 2 * float64(sum) / float64(max(w.fleet.Servers, 1))
}

func (w *World) dependency(name string) *dependency { return w.dependencies[name] }

// sortedByID returns attempts sorted by id, so that the iteration order of a map does not affect a run.
func (w *World) sortedByID(attempts map[*admission.Request]*attempt) []*attempt {
	all := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return all
}

// Run runs a load and returns the results. The run goes on after the load's span for twice the longest deadline and a
// second more, in which the open requests end. It must be called at most once.
func (w *World) Run(load Load) Result {
	w.span = load.Span
	w.result.Seconds = make([]Second, int(load.Span/time.Second)+1)
	if load.Arrivals != nil {
		for i := range load.Arrivals {
			a := &load.Arrivals[i]
			w.at(a.At, func() { w.arrive(a) })
		}
	} else {
		w.drawArrivals(load, randomSource(w.seed, "load", 0))
	}
	maxDeadline := time.Duration(0)
	for _, route := range w.fleet.Routes {
		maxDeadline = max(maxDeadline, route.Deadline)
	}
	for end := load.Span + 2*maxDeadline + time.Second; w.step(end); {
	}
	w.result.Rules = w.rules.Finish(w.now)
	w.result.Events = w.executed
	return w.result
}

// drawArrivals schedules one arrival at a time, so that memory does not grow with the length of the load. As the rate
// may change, arrivals are drawn at twice the current rate and thinned (Lewis and Shedler).
func (w *World) drawArrivals(load Load, rng *rand.Rand) {
	factor := func() float64 {
		f := w.loadFactor
		if load.Factor != nil {
			f *= load.Factor(w.now)
		}
		return f
	}
	var next func()
	next = func() {
		maxFactor := max(2*factor(), 0.1)
		wait := saturate.Seconds(rng.ExpFloat64() / (load.Rate * maxFactor))
		w.after(max(wait, 1), func() {
			if w.now >= load.Span {
				return
			}
			if rng.Float64()*maxFactor < factor() {
				a := draw(rng, w.fleet.Routes)
				w.arrive(&a)
			}
			next()
		})
	}
	next()
}

// arrive creates a request and makes its client send it.
func (w *World) arrive(a *Arrival) {
	w.lastID++
	route := w.fleet.Routes[a.Route]
	q := &clientRequest{
		id: w.lastID, route: a.Route, rank: min(a.Rank, 0.9999), work: max(a.Work.Seconds(), 1e-6), createdAt: w.now,
		router: w.routers[int(w.lastID)%len(w.routers)], retriesLeft: w.clientOptions.MaxRetries,
	}
	w.result.Requests++
	w.result.OfferedValue += route.Value
	w.result.OfferedByRoute[a.Route] += route.Value
	w.result.Seconds[w.secondIndex(w.now)].OfferedValue += route.Value
	w.send(q)
}

func (w *World) secondIndex(at time.Duration) int {
	return min(int(at/time.Second), len(w.result.Seconds)-1)
}

// send makes a client send its request, for the first time or again, and sets the client's timeout.
func (w *World) send(q *clientRequest) {
	q.sentAt, q.triedServers, q.sendSeq = w.now, nil, q.sendSeq+1
	sendSeq, deadline := q.sendSeq, w.fleet.Routes[q.route].Deadline
	w.after(deadline, func() {
		if !q.done && q.sendSeq == sendSeq {
			w.recordUnserved(q, lost, 0)
		}
	})
	q.router.route(q, true)
}

// networkDelay draws the delay of a message, including resends after losses.
func (w *World) networkDelay() time.Duration {
	d := w.fleet.Delay
	if w.fleet.Jitter > 0 {
		d += time.Duration(w.networkRand.ExpFloat64() * float64(w.fleet.Jitter))
	}
	d = saturate.Nanoseconds(float64(d) * w.delayFactor)
	for losses := 0; w.lossRate > 0 && losses < 5 && w.networkRand.Float64() < w.lossRate; losses++ {
		d += resendDelay << losses
	}
	return max(d, time.Microsecond)
}

// sendAnswer sends the end of an attempt to the router. With the verdict lost, the router sees a failed connection.
func (w *World) sendAnswer(a *attempt, v verdict, retryAfter time.Duration, noRetryElsewhere bool) {
	level := a.server.shedLevel
	a.origin.mayHaveRun = a.origin.mayHaveRun || a.started && v != rejected
	w.after(w.networkDelay(), func() { a.origin.router.handleAnswer(a, v, level, retryAfter, noRetryElsewhere) })
}

// recordServed ends a request that was served with a share of its value.
func (w *World) recordServed(q *clientRequest, valueShare float64) {
	q.done = true
	took := w.now - q.sentAt
	route := w.fleet.Routes[q.route]
	w.result.Served++
	_ = w.result.Latencies.RecordValue(min(max(took.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
	if took <= route.LatencyTarget {
		value := route.Value * valueShare
		w.result.Goodput += value
		w.result.GoodputByRoute[q.route] += value
		w.result.Seconds[w.secondIndex(q.createdAt)].Goodput += value
	}
}

// recordUnserved makes the client retry a request that was not served, or ends the request.
func (w *World) recordUnserved(q *clientRequest, v verdict, retryAfter time.Duration) {
	if q.done {
		return
	}
	q.sendSeq++ // disables the client's timeout
	// An at-most-once request that may have run is not sent again.
	retryable := !w.fleet.Routes[q.route].AtMostOnce || !q.mayHaveRun && v != lost
	if retryable && q.retriesLeft != 0 && w.now < w.span+time.Second { // no later retries, so that all requests end within the run
		q.retriesLeft--
		backoff := w.clientOptions.Backoff
		if q.router.options.HeedsBackpressure {
			backoff = max(backoff, retryAfter)
		}
		backoff = time.Duration(float64(backoff) * (0.75 + q.router.rng.Float64()/2))
		w.after(max(backoff, time.Millisecond), func() { w.send(q) })
		return
	}
	q.done = true
	switch v {
	case rejected:
		w.result.Rejected++
	case aborted:
		w.result.Aborted++
	default:
		w.result.Unanswered++
	}
}
