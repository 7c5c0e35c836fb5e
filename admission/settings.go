package admission

import (
	"math"
	"time"
)

// Settings configure the decisions of one server. The caller has validated them; a field that is not configured has the
// value that DefaultSettings gives it.
type Settings struct {
	Cores               float64 // processor cores that runs share
	MemoryKB            float64 // memory for queued and running requests in KiB; +Inf means unlimited
	RunningMemoryFactor float64 // ratio of a request's memory while running to that while queued
	KeyKB               float64 // memory of an idempotency key's entry in KiB

	// MaxRunsPerCore is the number of runs per core, on the cores or at calls, that a warm server survives.
	MaxRunsPerCore float64
	Cold           bool          // the server starts cold and warms up over WarmUp
	ColdSpeed      float64       // speed right after a cold start, as a fraction of the warm speed
	WarmUp         time.Duration // time from a cold start to full speed

	Grace       time.Duration // time after the notice to shut down in which requests that arrive still run
	IdleTimeout time.Duration // time for which routers keep an idle connection open; 0 if unknown

	Preemption      Preemption
	ShedLevelFormat ShedLevelFormat
	RetryAfter      bool          // rejections carry Retry-After advice
	MaxRetryAfter   time.Duration // longest advice that callers follow

	CallQuota  float64       // mean number of calls in progress over CallWindow that the dependency survives from this server
	CallWindow time.Duration // averaging window of CallQuota
	CallLinger time.Duration // time for which an abandoned call still loads the dependency
	// CallsTier is set if the dependency is a tier of servers that run this code: they protect themselves, and
	// CallQuota is not configured.
	CallsTier bool

	FleetServers   float64 // servers of the fleet, including this one, that share a tenant's quota
	OverQuotaValue float64 // value of a tenant's requests beyond its quota, as a fraction of the value within it
	ValueByWork    bool    // a route's value is per second of work; otherwise per request

	// EstimatesOnly plans queued requests by their expected work even while that is a mere assumption (see
	// Controller.workKnown), and disables trials. Releases of 2026-12-03 and before did so, and their recordings are
	// replayed with it.
	EstimatesOnly bool

	Routes  []Route // settings only, without measurements
	Tenants []Tenant
}

// Tenant is a customer of the platform with its quota.
type Tenant struct {
	Name     string
	QuotaRPS float64 // quota in requests per second over the whole fleet
}

// DefaultSettings returns the settings of a server with nothing configured.
func DefaultSettings() Settings {
	return Settings{
		Cores:               1,
		MemoryKB:            math.Inf(1),
		RunningMemoryFactor: 1,
		MaxRunsPerCore:      2,
		WarmUp:              time.Second,
		CallWindow:          5 * time.Second,
		FleetServers:        1,
		OverQuotaValue:      1,
	}
}

// DefaultRoute returns the settings of a route with nothing configured.
func DefaultRoute() Route {
	return Route{Value: 1, LatencyTarget: time.Second, Deadline: time.Second}
}

// DefaultTenant returns a tenant with nothing configured: its quota is unlimited.
func DefaultTenant() Tenant { return Tenant{QuotaRPS: math.Inf(1)} }

// Preemption states how a run may be stopped after its request has its final answer.
type Preemption int

// The kinds of preemption. With PreemptionUnspecified, runs are stopped, but a stopped run is not assumed to be
// resumable.
const (
	PreemptionUnspecified Preemption = iota
	PreemptionNone                   // a run always continues to its end
	PreemptionAbort                  // a run may be ended
	PreemptionSuspend                // a run may be suspended and resumed
)

// Allowed reports whether a run may be stopped before its end.
func (p Preemption) Allowed() bool { return p != PreemptionNone }

// Resumable reports whether a stopped run can be resumed.
func (p Preemption) Resumable() bool { return p == PreemptionSuspend }

// ShedLevelFormat is the format in which answers carry the shed level to routers.
type ShedLevelFormat int

// The formats of the shed level.
const (
	ShedLevelNone      ShedLevelFormat = iota // answers carry no shed level
	ShedLevelThreshold                        // the rank below which routers send no requests
	ShedLevelShare                            // the fraction of requests that routers still send to this server
)

// Reconfigure sets the settings that may change while the server runs. They apply from the next round on.
func (c *Controller) Reconfigure(preemption Preemption, format ShedLevelFormat) {
	c.settings.Preemption, c.settings.ShedLevelFormat = preemption, format
}
