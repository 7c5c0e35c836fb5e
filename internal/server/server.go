// Package server is the event loop of one app server. Each round, it collects what front ends, timers and the worker
// pool report, lets the admission controller decide on it, and carries out the decisions. It knows no wire protocol.
//
// All state belongs to the goroutine that runs Run. Other goroutines pass it functions with Submit, or make it check
// for input with Wake.
package server

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/workerapi"
)

const (
	maxRequestKB         = 12  // KB of this process's own memory that one request may take
	requestMemoryDivisor = 4   // requests take at most that memory divided by this
	keyMemoryDivisor     = 8   // entries of the key table take at most that memory divided by this, without their results
	resultMemoryDivisor  = 16  // results stored for duplicates take at most that memory divided by this
	minTableEntries      = 64  // lower bound of the table sizes, however little memory there is
	unlimitedCalls       = 1e9 // call quota that is never reached, in calls in progress
)

// Limits states what this process may use, and which features its front ends and workers support.
type Limits struct {
	MemoryMB            int  // of this process
	Sockets             int  // file descriptors for connections
	Keys                bool // requests carry idempotency keys
	Tenants             bool // requests carry their tenant
	Calls               bool // runs report that they wait for a call, and a dependency to call is configured
	SkippableCalls      bool // runs can continue without their call
	MaxIdleYields       int  // yields to other goroutines before the loop blocks, as waking it costs more than a few yields
	DynamicTables       bool // routes and tenants may change while the server runs
	RunsEndOnlyByReport bool // a run counts as in flight until its end is reported; gauges never prove that it has ended
	EarlyKill           bool // the process may be killed before the stop that Drain is called with: see earliestKill
}

// Server is the event loop. Once Run is called, its methods must be called on Run's goroutine, except for Submit, Wake,
// Drain, ChangeTables, HandleCallEnd, UsePeerEstimates, Now, Ended and Events.
type Server struct {
	controller *admission.Controller
	settings   *settings.Settings
	limits     Limits
	counters   *invariant.Counters
	log        *slog.Logger
	events     *events.Log

	link         WorkerLink
	composer     Composer // runs requests that consist of calls only
	frontends    []Frontend
	dependency   Dependency  // makes the calls of the workers' runs; nil if none is configured
	callReplier  CallReplier // worker pool whose runs wait for calls
	lastCallID   uint64
	observeRound func(took time.Duration) // nil without an observer
	notices      []workerapi.Notice       // reused by each input pass

	ended            chan struct{} // closed when Run returns
	clock            clock
	inbox            inbox
	round            round
	polls            polls
	requests         requestTable
	executed         executedTable
	keys             keyTable
	tables           tables
	recovery         linkRecovery
	overdue          overdueRuns
	health           health
	shedLevel        shedLevel
	drain            drain
	estimates        estimates
	occupancyMonitor occupancyMonitor
}

// requestTable holds the requests that the server has read and not yet forgotten.
type requestTable struct {
	byID       map[string]*Request
	byDecision map[*admission.Request]*Request // by the part that the controller decides on
	max        int                             // maximum number of requests
}

// shedLevel is the advertised shed level: callers are asked not to send requests that rank below it.
type shedLevel struct {
	value float64
	text  string // the level as answers carry it; empty until it is first set
}

// New returns a server for its settings. It returns an error if no route has a name, or a route has none of its own. It
// also returns one if the settings require idempotency keys or tenants and limits does not support them, because the
// server could reject requests with a key or a tenant only after reading them. The requests of routes that call a
// dependency are rejected if limits.Calls is not set.
func New(configured *settings.Settings, seed int64, limits Limits, counters *invariant.Counters, log *slog.Logger) (*Server, error) {
	memory := limits.MemoryMB << 20
	s := &Server{
		settings: configured, limits: limits, counters: counters, log: log, events: events.New(log),
		composer: noComposer{},
		ended:    make(chan struct{}),
		clock:    newClock(),
		inbox:    inbox{wake: make(chan struct{}, 1)},
		requests: requestTable{
			byID: map[string]*Request{}, byDecision: map[*admission.Request]*Request{},
			max: max(minTableEntries, memory/1024/maxRequestKB/requestMemoryDivisor),
		},
		executed: executedTable{until: map[string]time.Duration{}},
		keys: keyTable{
			entries: map[string]*keyEntry{}, maxResultBytes: memory / resultMemoryDivisor,
			// The controller limits the keys in the workers' memory, by a setting.
			maxBytes: max(minTableEntries*keyEntryBytes, memory/keyMemoryDivisor),
		},
		tables: tables{routes: map[string]*admission.Route{}, tenants: map[string]int{}, unserved: map[string]bool{}},
		health: health{healthy: true},
	}
	if err := s.initTables(); err != nil {
		return nil, err
	}
	s.controller = admission.New(s.admissionSettings(), seed)
	if len(s.controller.Routes) != len(s.tables.routes) {
		return nil, fmt.Errorf("the settings list %d routes, but %d usable names: each route needs its own name",
			len(s.controller.Routes), len(s.tables.routes))
	}
	for _, route := range s.controller.Routes {
		s.tables.routes[route.Name] = route
	}
	return s, nil
}

// initTables fills the tables with the names of the settings' routes and tenants. It returns an error if the settings
// name no route, or if they require idempotency keys or tenants that limits does not support.
func (s *Server) initTables() error {
	configured := &s.settings.Admission
	for _, route := range configured.Routes {
		if route.Name == "" {
			break
		}
		s.tables.routes[route.Name] = nil
		if route.Idempotency == admission.Keyed && !s.limits.Keys {
			return fmt.Errorf("route %s needs idempotency keys, which this program does not support", route.Name)
		}
		if route.CallsDependency && !s.limits.Calls {
			s.tables.unserved[route.Name] = true
		}
	}
	if len(s.tables.routes) == 0 {
		return errors.New("the settings name no route")
	}
	if len(configured.Tenants) > 0 && !s.limits.Tenants {
		return errors.New("the settings name tenants, which this program does not support")
	}
	for i, tenant := range configured.Tenants { // a tenant without a name is skipped; the others keep their index
		if tenant.Name != "" {
			s.tables.tenants[tenant.Name] = i
		}
	}
	return nil
}

// admissionSettings returns the settings of the controller, adapted to what limits supports.
func (s *Server) admissionSettings() admission.Settings {
	adapted := s.settings.Admission
	if !s.limits.Calls {
		adapted.CallQuota = unlimitedCalls // the composer limits its calls itself
	}
	if !s.limits.SkippableCalls { // the controller then waits for each call, whatever the value of an answer without it
		adapted.Routes = slices.Clone(adapted.Routes)
		for i := range adapted.Routes {
			adapted.Routes[i].SkipValueShare = 0
		}
	}
	return adapted
}

// Events returns the event log of requests, runs and connections.
func (s *Server) Events() *events.Log { return s.events }

// Attach sets the worker pool and the front ends. It must be called before Run.
func (s *Server) Attach(link WorkerLink, frontends ...Frontend) {
	s.link, s.frontends = link, frontends
}

// SetDependency sets the dependency that makes the calls of the workers' runs, and the worker pool that reports those
// calls. It must be called before Run, and only if Limits.Calls is set.
func (s *Server) SetDependency(dependency Dependency, replier CallReplier) {
	s.dependency, s.callReplier = dependency, replier
}

// SetComposer sets the composer that runs requests consisting of calls. It must be called before Run. The composer
// limits these calls itself, so the controller starts them without a limit of its own.
func (s *Server) SetComposer(c Composer) {
	s.composer = c
	for name, route := range s.tables.routes { // the order does not matter
		if c.Handles(name) {
			route.CallWait = c.ExpectedWait(name)
			delete(s.tables.unserved, name)
		}
	}
}

// ObserveRounds sets a function that is called with the duration of each round that decided something, from reading the
// input to writing the output. observe runs on the event loop and must not block. ObserveRounds must be called before
// Run.
func (s *Server) ObserveRounds(observe func(took time.Duration)) { s.observeRound = observe }

// ShedLevel returns the shed level last set, from 0 to 1.
func (s *Server) ShedLevel() float64 { return s.shedLevel.value }

// RoutersReportCancel reports whether routers send a cancellation once nobody waits for a request any longer.
func (s *Server) RoutersReportCancel() bool { return s.settings.RoutersReportCancel }

// TenantIndex returns the index of a tenant in the controller's table, or math.MaxInt for an unknown one. An unknown
// tenant has no quota and counts against no other tenant's.
func (s *Server) TenantIndex(name string) int {
	if index, known := s.tables.tenants[name]; known {
		return index
	}
	return math.MaxInt
}
