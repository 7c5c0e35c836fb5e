package emulator

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
)

// Route is a traffic type with the work of its tasks.
type Route struct {
	Name           string
	Value          float64
	LatencyTarget  time.Duration
	Deadline       time.Duration
	AtMostOnce     bool          // at-most-once
	Share          float64       // of all tasks
	Work           time.Duration // mean, on a core of speed 1
	Spread         float64       // standard deviation of the work over its mean
	Composed       bool          // answers are made of parts, and tell their worth
	Dependency     string        // dependency that its runs call half way; empty for none. Emulated only
	SkipValueShare float64       // what a task is worth that went on without its call
}

// BookingRoutes are those of a branch: a dozen, each rare, with work that a part of their contract time tells little of.
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

// BranchRoutes are four types of short work, as most sites have: looks, bookings, long refreshes and notes.
func BranchRoutes() []Route {
	return []Route{
		{Name: "slot-check", Value: 1, Share: 0.55, Spread: 0.6, LatencyTarget: 800 * time.Millisecond, Deadline: 2 * time.Second, Work: 15 * time.Millisecond},
		{Name: "confirm-booking", Value: 6, Share: 0.15, Spread: 0.4, LatencyTarget: 1500 * time.Millisecond, Deadline: 3 * time.Second, Work: 40 * time.Millisecond, AtMostOnce: true},
		{Name: "floor-refresh", Value: 1, Share: 0.1, Spread: 0.8, LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second, Work: 120 * time.Millisecond},
		{Name: "guest-note", Value: 2, Share: 0.2, Spread: 0.6, LatencyTarget: time.Second, Deadline: 2 * time.Second, Work: 25 * time.Millisecond},
	}
}

// Arrival is one task of a load.
type Arrival struct {
	At    time.Duration // from the beginning of the load
	Route int
	Work  time.Duration
	Rank  float64
}

// Arrivals draws a load: Poisson, so that it comes whether or not answers do, with log-normal work.
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

// draw draws the rank, type and work of one task.
func draw(rng *rand.Rand, routes []Route) (a Arrival) {
	a.Rank = rng.Float64()
	for left := rng.Float64(); a.Route < len(routes)-1 && left >= routes[a.Route].Share; a.Route++ {
		left -= routes[a.Route].Share
	}
	t := routes[a.Route]
	sigma := math.Sqrt(math.Log1p(t.Spread * t.Spread))
	a.Work = time.Duration(float64(t.Work) * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2))
	return a
}

// Rate is that of a load which asks for a share of what a machine can do, in tasks a second.
func Rate(routes []Route, m Machine, share float64) float64 {
	mean := 0.0
	for _, t := range routes {
		mean += t.Share * t.Work.Seconds()
	}
	return share * m.Cores * m.Speed / mean
}

// Machine is what a worker pool runs on.
type Machine struct {
	Cores       float64
	Speed       float64       // work done in a second of one core
	ColdShare   float64       // part of the speed at the start; 0 where it starts warm
	WarmUp      time.Duration // until it has its whole speed
	MemoryKB    float64       // memory
	Independent bool          // as handlers: runs share no cores, each takes its work's time, and none can be stopped
	// Crowd is the number of runs a core from which on the whole gets slower, by Loss for each further run a core;
	// without Loss it never does.
	FreeRunsPerCore, SwitchCost float64
	// Halt is how a run can be stopped, in the settings' word: HaltSuspend, also where it is empty, HaltAbort or HaltNone.
	Halt string
}

// The ways in which runs can be stopped.
const (
	HaltSuspend = "suspend" // it stands still and keeps its memory
	HaltAbort   = "abort"   // its work is lost
	HaltNone    = "none"    // it can't
)

// SpeedAt is the speed so long after the start.
func (m Machine) SpeedAt(since time.Duration) float64 {
	if m.ColdShare == 0 || m.WarmUp == 0 {
		return m.Speed
	}
	return m.Speed * min(1, m.ColdShare+(1-m.ColdShare)*float64(since)/float64(m.WarmUp))
}

// Share is the part of a core that each of so many runs gets.
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

// RunKB is what a run on the cores takes of the memory.
const RunKB = 160.0

// Settings are those that a server of a fleet decides under.
func Settings(routes []Route, m Machine, calls float64) admission.Settings {
	settings := admission.DefaultSettings()
	settings.Cores = m.Cores
	settings.MemoryKB = m.MemoryKB
	settings.RunningMemoryFactor = 8
	settings.MaxRunnablePerCore = 6
	settings.Cold = m.ColdShare > 0
	settings.ColdSpeed = m.ColdShare
	settings.WarmUp = m.WarmUp
	settings.Grace = grace
	settings.IdleTimeout = 15 * time.Second
	settings.Preemption = admission.PreemptionSuspend
	settings.ShedLevelFormat = admission.ShedLevelThreshold
	settings.RetryAfter = true
	settings.MaxRetryAfter = time.Second
	settings.FleetServers = 2
	settings.CallShare = calls
	for _, route := range routes {
		stated := admission.Route{
			Name: route.Name, Value: route.Value, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline,
			CallsDependency: route.Dependency != "", SkipValueShare: route.SkipValueShare,
		}
		if route.AtMostOnce {
			stated.Idempotency = admission.AtMostOnce
		}
		settings.Routes = append(settings.Routes, stated)
	}
	return settings
}
