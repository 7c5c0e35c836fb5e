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
	heldKB    = 20.0
	survives  = 8.0                    // runs a core; more than the six that the terms state, as on the operators' machines
	linkDelay = 100 * time.Microsecond // between a server and its pool
	goEach    = 20 * time.Millisecond  // between looks whether a server that leaves is done
	stopEarly = 15 * time.Millisecond  // before the stop, by which all is answered
	thawTime  = 50 * time.Millisecond  // after standing still, until what waited is looked at
	downFor   = time.Second            // that a router leaves a server alone which did not take a connection
	resend    = 200 * time.Millisecond // after which what the network lost is sent again
	leastCut  = 5 * time.Millisecond   // left to a caller, under which no further try is made
)

// Habits are those of a router.
type Habits struct {
	Pick   string  // round, least, subject, walk, random
	Tries  int     // at different servers, for one ask; 0 is without end
	Budget float64 // of further tries over first ones; 0 is none to keep to
	Heeds  bool    // the level, and the advice when to come back
	Repeat bool    // tries again what was given up on, where the type allows it
}

// Clients are those who ask.
type Clients struct {
	Repeats int           // how often one asks again that got nothing; below 0 without end
	Pause   time.Duration // before that
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
	Servers      int
	Zones        int
	Machine      Machine
	Routes       []Route
	Policy       Maker
	Peers        bool // a server that starts asks running ones what they know
	Routers      int
	Habits       Habits
	Clients      Clients
	Dependencies []Dependency
	Plans        map[string]*budget.Plan // of types that are made of calls to several of them; Check must have passed each
	Delay        time.Duration           // one way
	Jitter       time.Duration           // mean of what comes on top of it
	Lag          time.Duration           // until a router hears of a server that came or went
}

// Load is what comes.
type Load struct {
	Rate float64                        // tasks a second in all
	Span time.Duration                  // for which it comes
	Over func(at time.Duration) float64 // by how much it is more or less at a moment; nil for always as much
	All  []Arrival                      // in the place of what is drawn
}

// Second is what became of the requests that began in one second.
type Second struct {
	Offered, Honoured float64 // importance
	Tries             int     // that servers read in that second
}

// Result is what became of a load.
type Result struct {
	Requests, Honoured, Dismissed, GivenUp, Left int     // Left are those that got no answer while anybody waited
	Offered, Value                               float64 // of all, and of what was honoured within its contract time
	Tries, Starts, Twice                         int
	ByType                                       []float64 // importance honoured
	OfType                                       []float64 // and offered
	Seconds                                      []Second
	Took                                         *hdrhistogram.Histogram `json:"-"` // microseconds of what was honoured
	Rules                                        rulecheck.Report
	Events                                       uint64
}

// request is what one client wants.
type request struct {
	id      uint64
	kind    int
	rank    float64
	work    float64
	router  *router
	asked   time.Duration // now, by the latest repeat
	began   time.Duration
	repeats int
	tried   []int // servers, since it was asked last
	ask     uint64
	over    bool
	ran     bool // may have had its effect
}

// World is one emulated world.
type World struct {
	engine
	fleet        Fleet
	seed         int64
	chance       *rand.Rand // of incidents
	servers      []*server
	routers      []*router
	dependencies map[string]*dependency
	rules        *rulecheck.Checker
	result       Result
	net          *rand.Rand
	delayBy      float64
	loss         float64
	lag          time.Duration
	ids          uint64
	loadBy       float64
	clients      Clients
	span         time.Duration
}

// New makes a world whose servers have just started.
func New(fleet Fleet, seed int64) *World {
	if fleet.Policy == nil {
		fleet.Policy = Own
	}
	if fleet.Zones < 1 {
		fleet.Zones = 1
	}
	w := &World{
		fleet: fleet, seed: seed, chance: source(seed, "incidents", 0), net: source(seed, "network", 0), rules: rulecheck.New(0),
		dependencies: map[string]*dependency{}, delayBy: 1, lag: fleet.Lag, loadBy: 1, clients: fleet.Clients,
	}
	w.result.Took = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w.result.ByType, w.result.OfType = make([]float64, len(fleet.Routes)), make([]float64, len(fleet.Routes))
	for i, d := range fleet.Dependencies {
		w.dependencies[d.Name] = &dependency{world: w, Dependency: d, slow: 1, chance: source(seed, "dependency", i), number: i}
	}
	for i := range fleet.Servers {
		s := &server{world: w, number: i, zone: i % fleet.Zones}
		w.servers = append(w.servers, s)
		s.boot()
	}
	for i := range max(fleet.Routers, 1) {
		r := &router{world: w, number: i, chance: source(seed, "router", i), habits: fleet.Habits}
		r.known = make([]known, fleet.Servers)
		for n := range fleet.Servers {
			r.list = append(r.list, n)
		}
		r.next = r.chance.Intn(max(fleet.Servers, 1))
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

// ordered gives tries in the order of their ids, as a map's must not decide.
func (w *World) ordered(tries map[*admission.Request]*try) []*try {
	all := make([]*try, 0, len(tries))
	for _, t := range tries {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return all
}

// Run plays a load, and goes on until all that came is over.
func (w *World) Run(load Load) Result {
	w.span = load.Span
	w.result.Seconds = make([]Second, int(load.Span/time.Second)+1)
	if load.All != nil {
		for i := range load.All {
			a := &load.All[i]
			w.at(a.At, func() { w.arrive(a) })
		}
	} else {
		w.arrivals(load, source(w.seed, "load", 0))
	}
	longest := time.Duration(0)
	for _, t := range w.fleet.Routes {
		longest = max(longest, t.Deadline)
	}
	for end := load.Span + 2*longest + time.Second; w.step(end); {
	}
	w.result.Rules = w.rules.End(w.now)
	w.result.Events = w.played
	return w.result
}

// arrivals draws one after the other, so that a load of any length takes no memory. Its rate may change at any moment:
// arrivals are drawn at twice the most so far wanted and thinned (Lewis and Shedler).
func (w *World) arrivals(load Load, chance *rand.Rand) {
	factor := func() float64 {
		f := w.loadBy
		if load.Over != nil {
			f *= load.Over(w.now)
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
	w.ids++
	t := w.fleet.Routes[a.Type]
	q := &request{
		id: w.ids, kind: a.Type, rank: min(a.Rank, 0.9999), work: max(a.Work.Seconds(), 1e-6), began: w.now,
		router: w.routers[int(w.ids)%len(w.routers)], repeats: w.clients.Repeats,
	}
	w.result.Requests++
	w.result.Offered += t.Value
	w.result.OfType[a.Type] += t.Value
	w.result.Seconds[w.second(w.now)].Offered += t.Value
	w.ask(q)
}

func (w *World) second(at time.Duration) int {
	return min(int(at/time.Second), len(w.result.Seconds)-1)
}

// ask has a client ask, for the first time or again.
func (w *World) ask(q *request) {
	q.asked, q.tried, q.ask = w.now, nil, q.ask+1
	ask, outer := q.ask, w.fleet.Routes[q.kind].Deadline
	w.after(outer, func() {
		if !q.over && q.ask == ask {
			w.unserved(q, lost, 0)
		}
	})
	q.router.route(q, true)
}

// way is how long something is on its way.
func (w *World) way() time.Duration {
	d := w.fleet.Delay
	if w.fleet.Jitter > 0 {
		d += time.Duration(w.net.ExpFloat64() * float64(w.fleet.Jitter))
	}
	d = time.Duration(float64(d) * w.delayBy)
	for lost := 0; w.loss > 0 && lost < 5 && w.net.Float64() < w.loss; lost++ {
		d += resend << lost
	}
	return max(d, time.Microsecond)
}

// back brings an answer to the router.
func (w *World) back(t *try, v verdict, comeBack time.Duration, nowhereElse bool) {
	level := t.at.level
	t.of.ran = t.of.ran || t.started && v != dismissed
	w.after(w.way(), func() { t.of.router.answered(t, v, level, comeBack, nowhereElse) })
}

// served ends a request with a result.
func (w *World) served(q *request, part float64) {
	q.over = true
	took := w.now - q.asked
	t := w.fleet.Routes[q.kind]
	w.result.Honoured++
	_ = w.result.Took.RecordValue(min(max(took.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
	if took <= t.LatencyTarget {
		worth := t.Value * part
		w.result.Value += worth
		w.result.ByType[q.kind] += worth
		w.result.Seconds[w.second(q.began)].Honoured += worth
	}
}

// unserved ends an ask without a result; its client may ask again.
func (w *World) unserved(q *request, v verdict, comeBack time.Duration) {
	if q.over {
		return
	}
	q.ask++ // its time is of no account any more
	// What may have run is not asked for again where it must not run twice.
	again := q.repeats != 0 && w.now < w.span+time.Second && !(q.ran && w.fleet.Routes[q.kind].Once) &&
		!(v == lost && w.fleet.Routes[q.kind].Once)
	if again {
		q.repeats--
		pause := w.clients.Pause
		if q.router.habits.Heeds {
			pause = max(pause, comeBack)
		}
		pause = time.Duration(float64(pause) * (0.75 + q.router.chance.Float64()/2))
		w.after(max(pause, time.Millisecond), func() { w.ask(q) })
		return
	}
	q.over = true
	switch v {
	case dismissed:
		w.result.Dismissed++
	case givenUp:
		w.result.GivenUp++
	default:
		w.result.Left++
	}
}
