// Package soak runs real processes of the daemon on loopback under faults drawn from a seed, with worker pools and
// clients of its own, and checks the recorded history against the four rules that package rulecheck lists.
package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/emulator"
	"quartzpoint/internal/testkit/harness"
)

// Idempotency states whether a request may run more than once.
type Idempotency string

// The kinds of idempotency, as spelled in the platform's settings.
const (
	Retryable  Idempotency = "retryable" // may run again at any time
	Keyed      Idempotency = "dedup"     // repeats carry the same key, and must not run twice on a server within the dedup window
	AtMostOnce Idempotency = "fragile"   // must not run twice
)

// Route is a kind of request.
type Route struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration
	DedupWindow time.Duration // of the keys of a keyed route
	Value       float64
	Work        time.Duration // mean work of a run, on a core of speed 1
	Calls       bool          // runs call the dependency halfway
}

// Dependency describes the dependency that the runs of all servers call.
type Dependency struct {
	MaxCalls    float64 // maximum mean of calls in flight over Window that it survives; each server's quota is an equal part of it
	Window      time.Duration
	Slots       float64
	ServiceTime time.Duration // of a call while slots are free
	Linger      time.Duration // time for which an abandoned call stays in flight
}

// FaultKind names a kind of fault, as Fault.String prints it.
type FaultKind string

// The kinds of faults. Kill, GracefulRestart, SignalSeries and Burst end by themselves, IdleConnections after
// idleConnectionsTime; StallLink lasts for a quarter of Fault.Duration, the others for all of it.
const (
	Hang              FaultKind = "hang"        // the cores of the pool stop; polls are answered
	Slow              FaultKind = "slow"        // the cores of the pool are slower by the factor Size
	CutLink           FaultKind = "cut link"    // the link to the pool is cut repeatedly
	StallLink         FaultKind = "stall link"  // commands to the pool stall, and are lost when the link is cut
	PauseServer       FaultKind = "stop server" // SIGSTOP of the process, then SIGCONT
	Kill              FaultKind = "kill"        // SIGKILL of the process and end of its pool, then a new start
	GracefulRestart   FaultKind = "roll"        // SIGTERM, SIGKILL at the earliest time allowed, then a new start
	Reload            FaultKind = "reload"      // repeated SIGHUP
	IdleConnections   FaultKind = "crowd"       // Size connections that send nothing
	Garbage           FaultKind = "garbage"     // clients that send invalid data or half a request, and close
	SlowCalls         FaultKind = "slow calls"  // the service time of the dependency is longer by the factor Size
	UnresponsiveCalls FaultKind = "shut calls"  // the dependency reads calls and answers none
	SignalSeries      FaultKind = "signals"     // a graceful restart with SIGHUP before it, and SIGHUP and SIGTERM in turn until the process ends
	Burst             FaultKind = "burst"       // Size connections send burstRequests requests each at once
)

const (
	burstRequests    = 24 // on a connection; the protocol allows 32
	minBurst         = 8  // connections
	maxBurst         = 64
	signalPlansShare = 0.5 // share of plans that have a SignalSeries
	burstPlansShare  = 0.4 // share of plans that have a Burst
	// extraFaultsSeed gives SignalSeries and Burst a random source of their own. They were added later, and the plan of
	// a seed had to keep its other faults.
	extraFaultsSeed = 0x5eed
)

// faultKinds are drawn with equal probability.
var faultKinds = []FaultKind{Hang, Slow, CutLink, StallLink, PauseServer, Kill, GracefulRestart, Reload, IdleConnections, Garbage}

// callFaults are drawn too if any route calls the dependency. Each is listed twice, which doubles its probability.
var callFaults = []FaultKind{SlowCalls, UnresponsiveCalls, SlowCalls, UnresponsiveCalls}

// Fault is one fault of a soak run.
type Fault struct {
	Kind     FaultKind
	Server   int
	At       time.Duration // since the start of the load
	Duration time.Duration
	Size     float64 // slowdown factor or number of connections, by kind
}

func (f Fault) String() string {
	return fmt.Sprintf("%s of server %d at %v for %v, size %.0f", f.Kind, f.Server, f.At, f.Duration, f.Size)
}

// Plan describes one soak run. The same seed and span always give the same plan.
type Plan struct {
	Seed       int64
	Span       time.Duration
	Servers    int
	Routes     []Route
	Machine    harness.Machine
	LoadLimit  harness.LoadLimit
	Grace      time.Duration // time after the notice to shut down in which requests that arrive may still run
	Sockets    int           // limit of each server process
	MemoryMB   int           // limit of each server process
	Load       float64       // offered load, as a share of the capacity of the machines
	Senders    int           // for each server
	Dependency Dependency
	Faults     []Fault
}

// HasCalls reports whether any route calls the dependency.
func (p *Plan) HasCalls() bool {
	return slices.ContainsFunc(p.Routes, func(route Route) bool { return route.Calls })
}

const (
	maxDeadline     = 3 * time.Second            // upper limit of the deadline that KillAfter is computed from
	killMargin      = 700 * time.Millisecond     // from that deadline to the SIGKILL
	requestKB       = emulator.RunKB / runFactor // memory of a request while queued
	runFactor       = 8.0                        // ratio of a request's memory while running to that while queued
	minFaults       = 3
	maxFaults       = 7
	faultFreeBefore = 300 * time.Millisecond // no fault begins earlier
)

// Draw draws a plan from a seed. Its faults begin within the first three quarters of span.
func Draw(seed int64, span time.Duration) Plan {
	rng := rand.New(rand.NewSource(seed))
	p := Plan{
		Seed: seed, Span: span, Servers: 2 + rng.Intn(3), Sockets: 128 << rng.Intn(3), MemoryMB: 48 + 16*rng.Intn(4),
		Load: 0.4 + 0.9*rng.Float64(), Senders: 2 + rng.Intn(4), Grace: between(rng, 200*time.Millisecond, 2500*time.Millisecond),
		LoadLimit: harness.LoadLimit{RunsPerCore: 4 + 4*rng.Float64(), Window: between(rng, 700*time.Millisecond, 2*time.Second)},
	}
	p.Machine = harness.Machine{
		Cores: float64(1 + rng.Intn(4)), Speed: 0.7 + 0.8*rng.Float64(), FreeRunsPerCore: 2, SwitchCost: 0.1 * rng.Float64(),
		Preemption: []string{emulator.PreemptionSuspend, emulator.PreemptionAbort, emulator.PreemptionNone}[rng.Intn(3)],
	}
	if rng.Intn(2) == 0 {
		p.Machine.ColdShare, p.Machine.WarmUp = 0.2+0.3*rng.Float64(), between(rng, 2*time.Second, 10*time.Second)
	}
	p.Machine.MemoryKB = emulator.RunKB * p.Machine.Cores * (5 + 12*rng.Float64())
	for i := range 2 + rng.Intn(5) {
		p.Routes = append(p.Routes, Route{
			Name: fmt.Sprintf("class-%d", i), Idempotency: []Idempotency{Retryable, Keyed, AtMostOnce}[rng.Intn(3)],
			Deadline: between(rng, 250*time.Millisecond, 1800*time.Millisecond), DedupWindow: between(rng, 500*time.Millisecond, 3*time.Second),
			Value: float64(1 + rng.Intn(5)), Work: between(rng, 8*time.Millisecond, 60*time.Millisecond),
		})
	}
	p.drawDependency(rng)
	for range minFaults + rng.Intn(maxFaults-minFaults+1) {
		p.Faults = append(p.Faults, p.drawFault(rng))
	}
	p.Faults = append(p.Faults, p.drawExtraFaults(rand.New(rand.NewSource(seed^extraFaultsSeed)))...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawDependency draws the dependency, and in half of the plans which routes call it.
func (p *Plan) drawDependency(rng *rand.Rand) {
	share := 0.3 + 5*rng.Float64()
	p.Dependency = Dependency{
		MaxCalls: share * float64(p.Servers), Window: between(rng, time.Second, 4*time.Second), ServiceTime: between(rng, 5*time.Millisecond, 60*time.Millisecond),
		Slots: max(1, share*float64(p.Servers)/(2+3*rng.Float64())), Linger: between(rng, 20*time.Millisecond, 200*time.Millisecond),
	}
	if rng.Intn(2) == 0 {
		return
	}
	for i := range p.Routes {
		p.Routes[i].Calls = rng.Intn(2) == 0 && p.Routes[i].Idempotency != Keyed // not if keyed: repeats of a key have the same body, which then cannot state a deadline
	}
}

// drawFault draws a fault of faultKinds or callFaults.
func (p *Plan) drawFault(rng *rand.Rand) Fault {
	kinds := faultKinds
	if p.HasCalls() {
		kinds = slices.Concat(faultKinds, callFaults)
	}
	f := Fault{
		Kind: kinds[rng.Intn(len(kinds))], Server: rng.Intn(p.Servers),
		At: between(rng, faultFreeBefore, p.Span*3/4), Duration: between(rng, 100*time.Millisecond, p.Span/2),
	}
	switch f.Kind {
	case Slow, SlowCalls:
		f.Size = 3 + 60*rng.Float64()
	case PauseServer:
		f.Duration = between(rng, 30*time.Millisecond, 700*time.Millisecond)
	case CutLink, StallLink, Reload:
		f.Duration = between(rng, 100*time.Millisecond, 1500*time.Millisecond)
	case IdleConnections:
		f.Size = float64(p.Sockets) * (0.3 + 0.9*rng.Float64())
	case Hang, Kill, GracefulRestart, Garbage, UnresponsiveCalls: // no size, and the duration drawn above
	case SignalSeries, Burst: // drawn by drawExtraFaults
	}
	return f
}

// drawExtraFaults draws at most one SignalSeries and at most one Burst.
func (p *Plan) drawExtraFaults(rng *rand.Rand) (faults []Fault) {
	add := func(kind FaultKind, size float64) {
		faults = append(faults, Fault{Kind: kind, Server: rng.Intn(p.Servers), At: between(rng, faultFreeBefore, p.Span*3/4), Size: size})
	}
	if rng.Float64() < signalPlansShare {
		add(SignalSeries, 0)
	}
	if rng.Float64() < burstPlansShare {
		add(Burst, float64(minBurst+rng.Intn(maxBurst-minBurst)))
	}
	return faults
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// LongestDeadline returns the longest deadline of the routes. A client waits up to a second longer than that for
// the last answers on a connection.
func (p *Plan) LongestDeadline() (longest time.Duration) {
	for _, route := range p.Routes {
		longest = max(longest, route.Deadline)
	}
	return longest
}

// KillAfter returns the earliest time after SIGTERM at which the platform sends SIGKILL.
func (p *Plan) KillAfter() time.Duration { return min(p.LongestDeadline(), maxDeadline) + killMargin }

// meanWork returns the mean work of a request, on a core of speed 1.
func (p *Plan) meanWork() (mean time.Duration) {
	for _, route := range p.Routes {
		mean += route.Work
	}
	return mean / time.Duration(len(p.Routes))
}

// maxRate is the maximum load of a server in requests per second. It is limited because all processes of a soak run
// share one machine.
const maxRate = 150.0

// Rate returns the load of each server in requests per second.
func (p *Plan) Rate() float64 {
	return min(maxRate, p.Load*p.Machine.Cores*p.Machine.Speed/p.meanWork().Seconds())
}
