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
	defaultDeadlineFactor = 2 // the deadline over the latency target
	defaultDedupWindow    = time.Minute
)

// Settings of the decisions that programs can't change.
const (
	adoptedRoutes      = 32 // routes that are taken in when their first request arrives
	runningOverQueued  = 16 // memory of a running request over that of the same request queued
	keyKB              = 1  // memory of an entry in the table of idempotency keys
	maxRunnablePerCore = 6
	idleTimeout        = 30 * time.Second
	maxRetryAfter      = time.Second
)

// Options are what a Gate is made from. The zero value works; defaults stand in parentheses.
type Options struct {
	Routes       []Route       `toml:"Types"`
	Cores        float64       // processor cores that requests may fill (GOMAXPROCS)
	MemoryMB     int           // memory of the process in MiB (GOMEMLIMIT, else the control group's limit, else 1,024)
	RequestKB    float64       `toml:"TaskKB"` // memory of a running request in KiB (64); so many run at once that nine tenths of MemoryMB hold them
	Grace        time.Duration // after Shutdown, in which requests that arrive may still run (100 ms)
	Seed         int64         // of the jitter of retries and of the turn among servers
	OverrunLimit int           `toml:"Stuck"` // runs past their answer at which Healthy turns false (16)
	Log          *slog.Logger  // one line for each event that operators act on (none)
	Calls        CallOptions
	Tenants      []Tenant `toml:"Customers"`
	FleetServers float64  `toml:"Servers"` // servers of the fleet, this one included (1)
	// OverQuotaValue is the value of what a tenant asks beyond its quota, as a share of the value within it, from 0 to 1.
	// 0 stands for 1.
	OverQuotaValue float64                  `toml:"OverShare"`
	State          *State                   // directory that the gate starts from and stores to (none)
	Gauges         func(running int) Gauges `toml:"-"` // readings that the decisions use (those of this process)
	ObserveRound   func(took time.Duration) `toml:"-"` // called with the duration of each round of decisions; must not block (none)
}

// Route is a kind of request. The zero value of each field but Name stands for its default.
type Route struct {
	Name           string        // unique, and not empty
	Value          float64       `toml:"Importance"` // of an answer, against that of other routes (1)
	LatencyTarget  time.Duration `toml:"Contract"`   // from arrival; a later answer has no value (1 s)
	Deadline       time.Duration `toml:"Outer"`      // from arrival; nobody waits longer (twice LatencyTarget)
	Idempotency    Idempotency   `toml:"Repeats"`    // (Retryable)
	DedupWindow    time.Duration `toml:"Window"`     // from arrival, for which an idempotency key is known (1 min)
	SkipValueShare float64       `toml:"SkipShare"`  // value of an answer without the call, as a share of Value (0: the call can't be skipped)
}

// Idempotency says whether a request may be run again.
type Idempotency string

// The kinds of idempotency, as options files spell them.
const (
	Retryable  Idempotency = "reissuable"   // may be run again at any time
	Keyed      Idempotency = "numbered"     // carries an idempotency key by which a duplicate is known
	AtMostOnce Idempotency = "at-most-once" // must not be run again once it may have run
)

// CallOptions describe the dependency that runs call through Call and that other processes call too.
type CallOptions struct {
	Share  float64       // calls in progress, on the mean over Window, that the dependency survives of this process (no calls)
	Window time.Duration `toml:"Over"` // (5 s)
	Linger time.Duration // for which an abandoned call still loads the dependency (0)
}

// Tenant is one of those who share the fleet. What it asks beyond its quota has the value of Options.OverQuotaValue.
type Tenant struct {
	Name string
	Rate float64 // quota in requests per second over the whole fleet, above 0
}

// withDefaults returns a copy whose zero values are replaced by the defaults.
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

// settings are the options, with their defaults, as the decisions take them.
func (o Options) settings() (admission.Settings, error) {
	o = o.withDefaults()
	settings := admission.DefaultSettings()
	settings.Cores = o.Cores
	settings.MemoryKB = float64(o.MemoryMB) * 1024 / 2
	settings.RunningMemoryFactor = runningOverQueued
	settings.KeyKB = keyKB
	settings.ShedLevelFormat = admission.ShedLevelThreshold
	settings.MaxRunnablePerCore = maxRunnablePerCore
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
			return settings, fmt.Errorf("quartzpoint: tenant %q: Rate, FleetServers or OverQuotaValue out of range", tenant.Name)
		}
		settings.Tenants = append(settings.Tenants, admission.Tenant{QuotaRPS: tenant.Rate})
	}
	if o.Cores <= 0 || o.MemoryMB <= 0 || o.RequestKB <= 0 || o.Grace < 0 {
		return settings, errors.New("quartzpoint: Cores, MemoryMB, RequestKB and Grace must not be below 0")
	}
	if o.RequestKB > float64(o.MemoryMB<<10) {
		return settings, fmt.Errorf("quartzpoint: a request of %v KiB does not fit into %d MiB", o.RequestKB, o.MemoryMB)
	}
	var err error
	settings.Routes, err = o.routes()
	return settings, err
}

// routes are the routes as the decisions take them, and behind them the free ones that are taken in later.
func (o Options) routes() ([]admission.Route, error) {
	var routes []admission.Route
	names := map[string]bool{}
	for i := range len(o.Routes) + adoptedRoutes {
		// A name that starts with a zero byte marks a free route. It is part of the settings' digest, by which stored
		// estimates are recognized.
		stated := Route{Name: fmt.Sprintf("\x00%d", i-len(o.Routes))}
		if i < len(o.Routes) {
			stated = o.Routes[i]
		}
		if stated.Name == "" || names[stated.Name] {
			return nil, fmt.Errorf("quartzpoint: route %d: a unique name is needed, not %q", i, stated.Name)
		}
		names[stated.Name] = true
		route, err := stated.route()
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

// route is the route, with its defaults, as the decisions take it.
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
