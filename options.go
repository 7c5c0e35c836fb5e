package quartzpoint

import (
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"quartzpoint/admission"
)

// The defaults of Options and Route.
const (
	defaultMemoryMB     = 1024
	defaultRequestKB    = 64
	defaultGrace        = 100 * time.Millisecond
	defaultOverrunLimit = 16

	defaultValue          = 1.0
	defaultLatencyTarget  = time.Second
	defaultDeadlineFactor = 2 // deadline as a multiple of the latency target
	defaultDedupWindow    = time.Minute
)

// Settings of the admission decisions that are fixed for the library.
const (
	spareRoutes         = 32 // number of routes that can be added when their first request arrives
	runningMemoryFactor = 16 // memory of a running request relative to that of a queued one
	keyKB               = 1  // memory of an entry in the idempotency key table in KiB
	maxRunsPerCore      = 6
	idleTimeout         = 30 * time.Second // time for which callers keep an idle connection open
	maxRetryAfter       = time.Second      // upper bound of RejectedError.RetryAfter
)

// Options configure a Gate. The zero value is valid; defaults are given in parentheses.
type Options struct {
	Routes       []Route       `toml:"Types"`
	Cores        float64       // processor cores that requests may use (GOMAXPROCS)
	MemoryMB     int           // memory of the process in MiB (GOMEMLIMIT, else the control group's limit, else 1,024)
	RequestKB    float64       `toml:"TaskKB"` // memory of a running request in KiB (64); queued and running requests together may use nine tenths of half of MemoryMB
	Grace        time.Duration // time after Shutdown in which requests that arrive may still run (100 ms)
	Seed         int64         // random seed for the jitter of retries and the phase of dependency calls among servers
	OverrunLimit int           `toml:"Stuck"` // number of runs continuing after their answer at which Healthy returns false (16)
	Log          *slog.Logger  // gets one line for each event that operators may have to act on (no log)
	Calls        CallOptions
	Tenants      []Tenant `toml:"Customers"`
	FleetServers float64  `toml:"Servers"` // number of servers in the fleet, including this one (1)
	// OverQuotaValue is the value of a tenant's requests beyond its quota relative to those within it, from 0 to 1. 0
	// means the default, 1.
	OverQuotaValue float64                  `toml:"OverShare"`
	State          *State                   // directory from which the gate loads its state and to which it writes it (none)
	Gauges         func(running int) Gauges `toml:"-"` // source of the readings for admission decisions, called with the number of runs; must not block (this process)
	ObserveRound   func(took time.Duration) `toml:"-"` // called after each round of decisions with its duration; must not block (none)
}

// Route is a kind of request. Each field but Name has a default, given in parentheses, that replaces its zero value.
type Route struct {
	Name           string        // unique and not empty
	Value          float64       `toml:"Importance"` // value of an answer relative to those of other routes (1)
	LatencyTarget  time.Duration `toml:"Contract"`   // time from arrival after which an answer has no value (1 s)
	Deadline       time.Duration `toml:"Outer"`      // time from arrival after which callers stop waiting (twice LatencyTarget)
	Idempotency    Idempotency   `toml:"Repeats"`    // whether a request may be run again (Retryable)
	DedupWindow    time.Duration `toml:"Window"`     // time from arrival for which an idempotency key is known (1 min)
	SkipValueShare float64       `toml:"SkipShare"`  // value of an answer without the dependency call, as a share of Value (0: the call can't be skipped)
}

// Idempotency states whether a request may be run again.
type Idempotency string

// Values of Idempotency, as spelled in options files.
const (
	Retryable  Idempotency = "reissuable"   // may be run again at any time
	Keyed      Idempotency = "numbered"     // carries an idempotency key, by which duplicates are recognized
	AtMostOnce Idempotency = "at-most-once" // must not be run again if it may have run
)

// CallOptions describe a dependency that runs call through Call and that other processes call too.
type CallOptions struct {
	Share  float64       // mean number of concurrent calls over Window that the dependency can take from this process (0: runs are planned without calls, which are then allowed only now and then)
	Window time.Duration `toml:"Over"` // averaging window of Share (5 s)
	Linger time.Duration // time for which an abandoned call still loads the dependency (0)
}

// Tenant is a customer that shares the fleet with others. Requests beyond its quota have the value that
// Options.OverQuotaValue states.
type Tenant struct {
	Name string
	Rate float64 // quota in requests per second over the whole fleet; above 0
}

// withDefaults returns a copy in which zero values are replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.Cores == 0 {
		o.Cores = float64(runtime.GOMAXPROCS(0))
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = defaultMemoryMB
		if limit := memoryLimit(); limit != 0 {
			o.MemoryMB = int(limit >> 20)
		}
	}
	if o.RequestKB == 0 {
		o.RequestKB = defaultRequestKB
	}
	if o.Grace == 0 {
		o.Grace = defaultGrace
	}
	if o.OverrunLimit == 0 {
		o.OverrunLimit = defaultOverrunLimit
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.FleetServers == 0 {
		o.FleetServers = 1
	}
	if o.OverQuotaValue == 0 {
		o.OverQuotaValue = 1
	}
	return o
}

// settings returns the options, with their defaults, as admission settings. The error states which options are out of
// range.
func (o Options) settings() (admission.Settings, error) {
	o = o.withDefaults()
	settings := admission.DefaultSettings()
	settings.Cores = o.Cores
	settings.MemoryKB = float64(o.MemoryMB) * 1024 / 2 // requests get half of the process's memory
	settings.RunningMemoryFactor = runningMemoryFactor
	settings.KeyKB = keyKB
	settings.ShedLevelFormat = admission.ShedLevelThreshold
	settings.MaxRunsPerCore = maxRunsPerCore
	settings.Preemption = admission.PreemptionNone
	settings.IdleTimeout = idleTimeout
	settings.RetryAfter, settings.MaxRetryAfter = true, maxRetryAfter
	settings.Grace = o.Grace
	settings.CallQuota, settings.CallLinger = o.Calls.Share, o.Calls.Linger
	if o.Calls.Window != 0 {
		settings.CallWindow = o.Calls.Window
	}
	settings.FleetServers, settings.OverQuotaValue = o.FleetServers, o.OverQuotaValue
	for _, tenant := range o.Tenants {
		if tenant.Rate <= 0 || o.FleetServers < 1 || o.OverQuotaValue < 0 || o.OverQuotaValue > 1 {
			return settings, fmt.Errorf("quartzpoint: tenant %q: want Rate > 0, FleetServers >= 1 and OverQuotaValue from 0 to 1", tenant.Name)
		}
		settings.Tenants = append(settings.Tenants, admission.Tenant{QuotaRPS: tenant.Rate})
	}
	if o.Cores <= 0 || o.MemoryMB <= 0 || o.RequestKB <= 0 || o.Grace < 0 {
		return settings, errors.New("quartzpoint: Cores, MemoryMB, RequestKB and Grace must not be negative")
	}
	if o.RequestKB > float64(o.MemoryMB<<10) {
		return settings, fmt.Errorf("quartzpoint: a request of %v KiB does not fit into %d MiB", o.RequestKB, o.MemoryMB)
	}
	var err error
	settings.Routes, err = o.routes()
	return settings, err
}

// routes returns the admission routes of the options, followed by the spare routes for names that are first seen in a
// request.
func (o Options) routes() ([]admission.Route, error) {
	var routes []admission.Route
	names := map[string]bool{}
	for i := range len(o.Routes) + spareRoutes {
		// A name that starts with a zero byte marks a spare route. The name is part of the settings digest, which
		// decides whether stored estimates may be used.
		configured := Route{Name: fmt.Sprintf("\x00%d", i-len(o.Routes))}
		if i < len(o.Routes) {
			configured = o.Routes[i]
		}
		if configured.Name == "" || names[configured.Name] {
			return nil, fmt.Errorf("quartzpoint: route %d: want a unique, non-empty name, got %q", i, configured.Name)
		}
		names[configured.Name] = true
		route, err := configured.route()
		if err != nil {
			return nil, err
		}
		route.CallsDependency = o.Calls.Share > 0
		routes = append(routes, route)
	}
	return routes, nil
}

var idempotencies = map[Idempotency]admission.Idempotency{
	Retryable: admission.Retryable, Keyed: admission.Keyed, AtMostOnce: admission.AtMostOnce,
}

// route returns the admission route, with defaults.
func (r Route) route() (admission.Route, error) {
	if r.Value == 0 {
		r.Value = defaultValue
	}
	if r.LatencyTarget == 0 {
		r.LatencyTarget = defaultLatencyTarget
	}
	if r.Deadline == 0 {
		r.Deadline = defaultDeadlineFactor * r.LatencyTarget
	}
	if r.Idempotency == "" {
		r.Idempotency = Retryable
	}
	if r.DedupWindow == 0 {
		r.DedupWindow = defaultDedupWindow
	}
	idempotency, known := idempotencies[r.Idempotency]
	if !known || r.Value < 0 || r.LatencyTarget < 0 || r.Deadline < r.LatencyTarget || r.DedupWindow < 0 ||
		r.SkipValueShare < 0 || r.SkipValueShare > 1 {
		return admission.Route{}, fmt.Errorf(
			"quartzpoint: route %q: Idempotency, Value, LatencyTarget, Deadline, DedupWindow or SkipValueShare out of range", r.Name)
	}
	return admission.Route{
		Name: r.Name, Value: r.Value, Idempotency: idempotency, SkipValueShare: r.SkipValueShare,
		LatencyTarget: r.LatencyTarget, Deadline: r.Deadline, DedupWindow: r.DedupWindow,
	}, nil
}
