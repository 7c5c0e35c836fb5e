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
)

const (
	queuedKB           = 20.0
	enduredRunsPerCore = 8.0                    // runs a core; more than the six that the terms state, as on the operators' machines
	linkDelay          = 100 * time.Microsecond // between a server and its pool
	drainCheckInterval = 20 * time.Millisecond  // between looks whether a server that leaves is done
	stopMargin         = 15 * time.Millisecond  // before the stop, by which all is answered
	thawMargin         = 50 * time.Millisecond  // after standing still, until what waited is looked at
	ejectionTime       = time.Second            // that a router leaves a server alone which did not take a connection
	resendDelay        = 200 * time.Millisecond // after which what the network lost is sent again
	minRetryTime       = 5 * time.Millisecond   // left to a caller, under which no further try is made
)

// RouterOptions are those of a router.
type RouterOptions struct {
	Balancing         string  // round, least, subject, walk, random
	MaxAttempts       int     // at different servers, for one ask; 0 is without end
	RetryBudget       float64 // of further tries over first ones; 0 is none to keep to
	HeedsBackpressure bool    // the level, and the advice when to come back
	RetriesAborted    bool    // tries again what was given up on, where the type allows it
}

// Clients are those who ask.
type Clients struct {
	MaxRetries int           // how often one asks again that got nothing; below 0 without end
	Backoff    time.Duration // before that
}

// Dependency is a system that runs call.
type Dependency struct {
	Name   string
	Slots  int // calls at once; more wait
	Mean   time.Duration
	Spread float64
}

// Fleet is what a world is made of.
type Fleet struct {
	Servers       int
	Zones         int
	Machine       Machine
	Routes        []Route
	Policy        PolicyMaker
	PeerSync      bool // a server that starts asks running ones what they know
	Routers       int
	RouterOptions RouterOptions
	Clients       Clients
	Dependencies  []Dependency
	Plans         map[string]*budget.Plan // of types that are made of calls to several of them; Check must have passed each
	Delay         time.Duration           // one way
	Jitter        time.Duration           // mean of what comes on top of it
	EndpointLag   time.Duration           // until a router hears of a server that came or went
}

// Load is what comes.
type Load struct {
	Rate     float64                        // tasks a second in all
	Span     time.Duration                  // for which it comes
	Factor   func(at time.Duration) float64 // by how much it is more or less at a moment; nil for always as much
	Arrivals []Arrival                      // in the place of what is drawn
}

// Second is what became of the requests that were created in one second.
type Second struct {
	OfferedValue float64 `json:"Offered"`
	Goodput      float64 `json:"Honoured"`
	Attempts     int     `json:"Tries"` // that servers received in that second
}

// Result is what became of a load. Values are sums of Route.Value; goodput is the value served within the latency target.
// The JSON names are those of stored experiments.
type Result struct {
	Requests         int                     `json:"Requests"`
	Served           int                     `json:"Honoured"`
	Rejected         int                     `json:"Dismissed"`
	Aborted          int                     `json:"GivenUp"`
	Unanswered       int                     `json:"Left"` // past the deadline of their client
	OfferedValue     float64                 `json:"Offered"`
	Goodput          float64                 `json:"Value"`
	Attempts         int                     `json:"Tries"`
	Starts           int                     `json:"Starts"`
	DuplicateAnswers int                     `json:"Twice"`
	GoodputByRoute   []float64               `json:"ByType"`
	OfferedByRoute   []float64               `json:"OfType"`
	Seconds          []Second                `json:"Seconds"`
	Latencies        *hdrhistogram.Histogram `json:"-"` // microseconds, of served requests
	Rules            rulecheck.Report        `json:"Rules"`
	Events           uint64                  `json:"Events"`
}

// clientRequest is what one client wants.
type clientRequest struct {
	id           uint64
	route        int
	rank         float64
	work         float64
	router       *router
	sentAt       time.Duration // now, by the latest repeat
	createdAt    time.Duration
	retriesLeft  int
	triedServers []int // servers, since it was asked last
	sendSeq      uint64
	done         bool
	mayHaveRun   bool // may have had its effect
}

// World is one emulated world.
type World struct {
	engine
	fleet        Fleet
	seed         int64
	incidentRand *rand.Rand // of incidents
	servers      []*server
	routers      []*router
	dependencies map[string]*dependency
	rules        *rulecheck.Checker
	result       Result
	networkRand  *rand.Rand
	delayFactor  float64
	lossRate     float64
	endpointLag  time.Duration
	lastID       uint64
	loadFactor   float64
	clients      Clients
	span         time.Duration
}

// New makes a world whose servers have just started.
func New(fleet Fleet, seed int64) *World {
	if fleet.Policy == nil {
		fleet.Policy = QuartzpointPolicy
	}
	if fleet.Zones < 1 {
		fleet.Zones = 1
	}
	w := &World{
		fleet: fleet, seed: seed, incidentRand: source(seed, "incidents", 0), networkRand: source(seed, "network", 0), rules: rulecheck.New(0),
		dependencies: map[string]*dependency{}, delayFactor: 1, endpointLag: fleet.EndpointLag, loadFactor: 1, clients: fleet.Clients,
	}
	w.result.Latencies = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w.result.GoodputByRoute, w.result.OfferedByRoute = make([]float64, len(fleet.Routes)), make([]float64, len(fleet.Routes))
	for i, d := range fleet.Dependencies {
		w.dependencies[d.Name] = &dependency{world: w, Dependency: d, slowFactor: 1, rng: source(seed, "dependency", i), number: i}
	}
	for i := range fleet.Servers {
		s := &server{world: w, number: i, zone: i % fleet.Zones}
		w.servers = append(w.servers, s)
		s.boot()
	}
	for i := range max(fleet.Routers, 1) {
		r := &router{world: w, number: i, rng: source(seed, "router", i), options: fleet.RouterOptions}
		r.views = make([]serverView, fleet.Servers)
		for n := range fleet.Servers {
			r.endpoints = append(r.endpoints, n)
		}
		r.next = r.rng.Intn(max(fleet.Servers, 1))
		w.routers = append(w.routers, r)
	}
	return w
}

// callShare is a server's share of the calls that the dependencies survive at once.
func (w *World) callShare() float64 {
	if len(w.fleet.Plans) > 0 {
		return 1e9 // package budget keeps to what they survive
	}
	sum := 0
	for _, d := range w.fleet.Dependencies {
		sum += d.Slots
	}
	return 2 * float64(sum) / float64(max(w.fleet.Servers, 1))
}

func (w *World) dependency(name string) *dependency { return w.dependencies[name] }

// sortedByID gives tries in the order of their ids, as a map's must not decide.
func (w *World) sortedByID(tries map[*admission.Request]*attempt) []*attempt {
	all := make([]*attempt, 0, len(tries))
	for _, t := range tries {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return all
}

// Run plays a load, and goes on until all that came is over.
func (w *World) Run(load Load) Result {
	w.span = load.Span
	w.result.Seconds = make([]Second, int(load.Span/time.Second)+1)
	if load.Arrivals != nil {
		for i := range load.Arrivals {
			a := &load.Arrivals[i]
			w.at(a.At, func() { w.arrive(a) })
		}
	} else {
		w.drawArrivals(load, source(w.seed, "load", 0))
	}
	longest := time.Duration(0)
	for _, t := range w.fleet.Routes {
		longest = max(longest, t.Deadline)
	}
	for end := load.Span + 2*longest + time.Second; w.step(end); {
	}
	w.result.Rules = w.rules.Finish(w.now)
	w.result.Events = w.played
	return w.result
}

// drawArrivals draws one after the other, so that a load of any length takes no memory. Its rate may change at any moment:
// arrivals are drawn at twice the most so far wanted and thinned (Lewis and Shedler).
func (w *World) drawArrivals(load Load, chance *rand.Rand) {
	factor := func() float64 {
		f := w.loadFactor
		if load.Factor != nil {
			f *= load.Factor(w.now)
		}
		return f
	}
	var next func()
	next = func() {
		most := max(2*factor(), 0.1)
		wait := time.Duration(chance.ExpFloat64() / (load.Rate * most) * 1e9)
		w.after(max(wait, 1), func() {
			if w.now >= load.Span {
				return
			}
			if chance.Float64()*most < factor() {
				a := draw(chance, w.fleet.Routes)
				w.arrive(&a)
			}
			next()
		})
	}
	next()
}

// arrive begins a request.
func (w *World) arrive(a *Arrival) {
	w.lastID++
	t := w.fleet.Routes[a.Route]
	q := &clientRequest{
		id: w.lastID, route: a.Route, rank: min(a.Rank, 0.9999), work: max(a.Work.Seconds(), 1e-6), createdAt: w.now,
		router: w.routers[int(w.lastID)%len(w.routers)], retriesLeft: w.clients.MaxRetries,
	}
	w.result.Requests++
	w.result.OfferedValue += t.Value
	w.result.OfferedByRoute[a.Route] += t.Value
	w.result.Seconds[w.second(w.now)].OfferedValue += t.Value
	w.send(q)
}

func (w *World) second(at time.Duration) int {
	return min(int(at/time.Second), len(w.result.Seconds)-1)
}

// send has a client ask, for the first time or again.
func (w *World) send(q *clientRequest) {
	q.sentAt, q.triedServers, q.sendSeq = w.now, nil, q.sendSeq+1
	ask, outer := q.sendSeq, w.fleet.Routes[q.route].Deadline
	w.after(outer, func() {
		if !q.done && q.sendSeq == ask {
			w.recordUnserved(q, lost, 0)
		}
	})
	q.router.route(q, true)
}

// networkDelay is how long something is on its way.
func (w *World) networkDelay() time.Duration {
	d := w.fleet.Delay
	if w.fleet.Jitter > 0 {
		d += time.Duration(w.networkRand.ExpFloat64() * float64(w.fleet.Jitter))
	}
	d = time.Duration(float64(d) * w.delayFactor)
	for lost := 0; w.lossRate > 0 && lost < 5 && w.networkRand.Float64() < w.lossRate; lost++ {
		d += resendDelay << lost
	}
	return max(d, time.Microsecond)
}

// sendAnswer brings an answer to the router.
func (w *World) sendAnswer(t *attempt, v verdict, retryAfter time.Duration, nowhereElse bool) {
	level := t.server.shedLevel
	t.origin.mayHaveRun = t.origin.mayHaveRun || t.started && v != rejected
	w.after(w.networkDelay(), func() { t.origin.router.handleAnswer(t, v, level, retryAfter, nowhereElse) })
}

// recordServed ends a request with a result.
func (w *World) recordServed(q *clientRequest, part float64) {
	q.done = true
	took := w.now - q.sentAt
	t := w.fleet.Routes[q.route]
	w.result.Served++
	_ = w.result.Latencies.RecordValue(min(max(took.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
	if took <= t.LatencyTarget {
		valueShare := t.Value * part
		w.result.Goodput += valueShare
		w.result.GoodputByRoute[q.route] += valueShare
		w.result.Seconds[w.second(q.createdAt)].Goodput += valueShare
	}
}

// recordUnserved ends an ask without a result; its client may ask again.
func (w *World) recordUnserved(q *clientRequest, v verdict, retryAfter time.Duration) {
	if q.done {
		return
	}
	q.sendSeq++ // its time is of no account any more
	// What may have run is not asked for again where it must not run twice.
	again := q.retriesLeft != 0 && w.now < w.span+time.Second && !(q.mayHaveRun && w.fleet.Routes[q.route].AtMostOnce) &&
		!(v == lost && w.fleet.Routes[q.route].AtMostOnce)
	if again {
		q.retriesLeft--
		pause := w.clients.Backoff
		if q.router.options.HeedsBackpressure {
			pause = max(pause, retryAfter)
		}
		pause = time.Duration(float64(pause) * (0.75 + q.router.rng.Float64()/2))
		w.after(max(pause, time.Millisecond), func() { w.send(q) })
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
