package admission

import (
	"math"
	"time"
)

// Settings are what a server's decisions are made under. They come checked; a field that is not stated has the
// value that DefaultSettings gives it.
type Settings struct {
	Cores               float64 // processor cores that runs share
	MemoryKB            float64 // memory for queued and running requests in KiB; +Inf is without bound
	RunningMemoryFactor float64 // memory of a running request over that of the same request queued
	KeyKB               float64 // memory of an idempotency key's entry in KiB

	// MaxRunnablePerCore is how many runs per core, on the cores or at calls, a warm server survives.
	MaxRunnablePerCore float64
	Cold               bool          // the server starts cold, and warms up over WarmUp
	ColdSpeed          float64       // speed right after a cold start, as a share of the warm speed
	WarmUp             time.Duration // from a cold start to full speed

	Grace       time.Duration // after the notice to shut down, in which requests that arrive still run
	IdleTimeout time.Duration // for which routers keep an idle connection open; 0 where that is not known

	Preemption      Preemption
	ShedLevelFormat ShedLevelFormat
	RetryAfter      bool          // rejects carry how long the caller should stay away
	MaxRetryAfter   time.Duration // the longest time that callers heed

	CallQuota  float64       // calls in progress, on the mean over CallWindow, that the dependency survives of this server
	CallWindow time.Duration // over which that mean counts
	CallLinger time.Duration // for which an abandoned call still loads the dependency
	// CallsTier is set where the dependency is a tier of servers that run this code: they protect themselves, and
	// CallQuota is not stated.
	CallsTier bool

	FleetServers   float64 // servers of the fleet, this one included, over which a tenant's quota is spread
	OverQuotaValue float64 // value of what a tenant asks beyond its quota, as a share of the value within it
	ValueByWork    bool    // a route's value is for each second of work; otherwise for each request

	// EstimatesOnly has queued requests shed by estimates alone, whatever those rest on, as releases of 2026-12-03 and before
	// did. Their recordings are replayed with it.
	EstimatesOnly bool

	Routes  []Route // of each the settings only
	Tenants []Tenant
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name     string
	QuotaRPS float64 // quota in requests per second over the whole fleet
}

// DefaultSettings are those of a server of which nothing is stated.
func DefaultSettings() Settings {
	return Settings{
		Cores:               1,
		MemoryKB:            math.Inf(1),
		RunningMemoryFactor: 1,
		MaxRunnablePerCore:  2,
		WarmUp:              time.Second,
		CallWindow:          5 * time.Second,
		FleetServers:        1,
		OverQuotaValue:      1,
	}
}

// DefaultRoute is a route of which nothing is stated.
func DefaultRoute() Route {
	return Route{Value: 1, LatencyTarget: time.Second, Deadline: time.Second}
}

// DefaultTenant is a tenant of which nothing is stated: its quota has no bound.
func DefaultTenant() Tenant { return Tenant{QuotaRPS: math.Inf(1)} }

// Preemption says what may be done with a run whose request has its final answer.
type Preemption int

// The kinds of preemption. Under PreemptionUnspecified runs are stopped, but a stopped run is never relied on to resume.
const (
	PreemptionUnspecified Preemption = iota
	PreemptionNone                   // a run always goes on to its end
	PreemptionAbort                  // a run may be ended
	PreemptionSuspend                // a run may be suspended and resumed
)

// Allowed is whether a run may be stopped before its end.
func (p Preemption) Allowed() bool { return p != PreemptionNone }

// Resumable is whether a stopped run can be resumed.
func (p Preemption) Resumable() bool { return p == PreemptionSuspend }

// ShedLevelFormat is how routers read the shed level that answers carry.
type ShedLevelFormat int

// The formats of the shed level.
const (
	ShedLevelNone      ShedLevelFormat = iota // answers carry none
	ShedLevelThreshold                        // the rank below which routers send nothing
	ShedLevelShare                            // the share of requests that routers do not send elsewhere
)

// Reconfigure takes the settings that may change while the server runs. They hold from the next round on.
func (c *Controller) Reconfigure(preemption Preemption, format ShedLevelFormat) {
	c.settings.Preemption, c.settings.ShedLevelFormat = preemption, format
}
