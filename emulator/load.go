package emulator

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
	"quartzpoint/saturate"
)

// Route is a kind of request, with the work that its requests need.
type Route struct {
	Name           string
	Value          float64
	LatencyTarget  time.Duration
	Deadline       time.Duration
	AtMostOnce     bool          // must not run twice
	Share          float64       // of all requests
	Work           time.Duration // mean, on a core of speed 1
	Spread         float64       // standard deviation of the work, divided by its mean
	Composed       bool          // the answer is composed of parts and states its share of the value; not used by the emulator, see Fleet.Plans
	Dependency     string        // called halfway through each run, empty for none; used by the emulator only
	SkipValueShare float64       // share of the value of an answer without the call
}

// BookingRoutes returns the booking mix: twelve equally rare routes whose latency targets say little about their work.
func BookingRoutes() (routes []Route) {
	for i, name := range []string{
		"slot-check", "confirm-booking", "guest-note", "floor-refresh", "waitlist", "deposit",
		"table-map", "party-split", "menu-look", "shift-plan", "call-back", "seat-walk-in",
	} {
		routes = append(routes, Route{
			Name: name, Value: []float64{1, 6, 2}[i%3], Share: 1.0 / 12, Spread: 0.6, AtMostOnce: i%3 == 1,
			LatencyTarget: []time.Duration{time.Second, 3 * time.Second}[i%2], Deadline: 5 * time.Second,
			Work: []time.Duration{30, 600, 100, 900, 40, 300}[i%6] * time.Millisecond,
		})
	}
	return routes
}

// BranchRoutes returns the branch mix: four routes with short work.
func BranchRoutes() []Route {
	return []Route{
		{Name: "slot-check", Value: 1, Share: 0.55, Spread: 0.6, LatencyTarget: 800 * time.Millisecond, Deadline: 2 * time.Second, Work: 15 * time.Millisecond},
		{Name: "confirm-booking", Value: 6, Share: 0.15, Spread: 0.4, LatencyTarget: 1500 * time.Millisecond, Deadline: 3 * time.Second, Work: 40 * time.Millisecond, AtMostOnce: true},
		{Name: "floor-refresh", Value: 1, Share: 0.1, Spread: 0.8, LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second, Work: 120 * time.Millisecond},
		{Name: "guest-note", Value: 2, Share: 0.2, Spread: 0.6, LatencyTarget: time.Second, Deadline: 2 * time.Second, Work: 25 * time.Millisecond},
	}
}

// Arrival is one request of a load.
type Arrival struct {
	At    time.Duration // since the start of the load
	Route int
	Work  time.Duration
	Rank  float64
}

// Arrivals draws an open load of rate requests per second: Poisson arrivals with log-normal work.
func Arrivals(routes []Route, rate float64, span time.Duration, seed int64) (all []Arrival) {
	rng := rand.New(rand.NewSource(seed))
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at >= span.Seconds() {
			return all
		}
		a := draw(rng, routes)
		a.At = time.Duration(at * float64(time.Second))
		all = append(all, a)
	}
}

// draw draws the rank, route and work of one request.
func draw(rng *rand.Rand, routes []Route) (a Arrival) {
	a.Rank = rng.Float64()
	for left := rng.Float64(); a.Route < len(routes)-1 && left >= routes[a.Route].Share; a.Route++ {
		left -= routes[a.Route].Share
	}
	route := routes[a.Route]
	sigma := math.Sqrt(math.Log1p(route.Spread * route.Spread))
	a.Work = saturate.Nanoseconds(float64(route.Work) * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2))
	return a
}

// Rate returns the number of requests per second whose work uses the given share of a machine's capacity.
func Rate(routes []Route, m Machine, share float64) float64 {
	mean := 0.0
	for _, route := range routes {
		mean += route.Share * route.Work.Seconds()
	}
	return share * m.Cores * m.Speed / mean
}

// Machine describes the machine of a worker pool.
type Machine struct {
	Cores       float64
	Speed       float64       // seconds of work that a core does per second
	ColdShare   float64       // fraction of Speed at the start; 0 for a warm start
	WarmUp      time.Duration // time until the full speed
	MemoryKB    float64
	Independent bool // runs share no cores: each takes the time of its work, and none can be stopped (but the emulator stops any run)
	// Each run per core over FreeRunsPerCore lengthens all runs by the fraction SwitchCost; 0 for no cost.
	FreeRunsPerCore, SwitchCost float64
	// Preemption states whether and how a run can be stopped: PreemptionSuspend, which is the default, PreemptionAbort or
	// PreemptionNone. The emulator does not use it: it stops any run, for good.
	Preemption string
}

// The values of Machine.Preemption, as in the settings.
const (
	PreemptionSuspend = "suspend" // the run is paused and keeps its memory
	PreemptionAbort   = "abort"   // the run loses its work
	PreemptionNone    = "none"    // runs cannot be stopped
)

// SpeedAt returns the speed at a time since the start of the pool.
func (m Machine) SpeedAt(since time.Duration) float64 {
	if m.ColdShare == 0 || m.WarmUp == 0 {
		return m.Speed
	}
	return m.Speed * min(1, m.ColdShare+(1-m.ColdShare)*float64(since)/float64(m.WarmUp))
}

// Share returns the share of a core that each run gets while the given number of runs are on the cores.
func (m Machine) Share(runs float64) float64 {
	if m.Independent || runs <= 0 {
		return 1
	}
	share := min(1, m.Cores/runs)
	if over := runs/m.Cores - m.FreeRunsPerCore; m.SwitchCost > 0 && over > 0 {
		share /= 1 + m.SwitchCost*over
	}
	return share
}

// RunKB is the memory of a run on the cores, in KiB.
const RunKB = 160.0

// Settings returns the admission settings of a server with these routes on this machine. callQuota is its quota of calls
// in flight.
func Settings(routes []Route, m Machine, callQuota float64) admission.Settings {
	settings := admission.DefaultSettings()
	settings.Cores = m.Cores
	settings.MemoryKB = m.MemoryKB
	settings.RunningMemoryFactor = 8
	settings.MaxRunsPerCore = 6
	settings.Cold = m.ColdShare > 0
	settings.ColdSpeed = m.ColdShare
	settings.WarmUp = m.WarmUp
	settings.Grace = shutdownGrace
	settings.IdleTimeout = 15 * time.Second
	settings.Preemption = admission.PreemptionSuspend
	settings.ShedLevelFormat = admission.ShedLevelThreshold
	settings.RetryAfter = true
	settings.MaxRetryAfter = time.Second
	settings.FleetServers = 2
	settings.CallQuota = callQuota
	for _, route := range routes {
		admissionRoute := admission.Route{
			Name: route.Name, Value: route.Value, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline,
			CallsDependency: route.Dependency != "", SkipValueShare: route.SkipValueShare,
		}
		if route.AtMostOnce {
			admissionRoute.Idempotency = admission.AtMostOnce
		}
		settings.Routes = append(settings.Routes, admissionRoute)
	}
	return settings
}
