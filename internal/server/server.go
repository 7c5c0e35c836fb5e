// Package server is the event loop of one server. It gathers what front ends, timers and the worker pool report into rounds,
// has the admission controller decide each round, and carries out what that decides. It knows no protocol.
//
// All state belongs to one goroutine, the one in Run. Other goroutines hand it functions with Submit, or have it look for
// input with Wake.
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
	maxRequestKB         = 12  // KB of the program's own memory that one request may take
	requestMemoryDivisor = 4   // requests take at most this part of that memory
	maxKeyEntryBytes     = 512 // of that memory for an entry of the key table, its result aside
	keyMemoryDivisor     = 8   // entries of the key table take at most this part of that memory
	resultMemoryDivisor  = 16  // results stored for duplicates take at most this part of that memory
	minTableEntries      = 64  // entries that any memory is enough for
	unlimitedCalls       = 1e9 // calls in flight at once
)

// Limits are what the program itself may use, and what its front ends and workers support.
type Limits struct {
	MemoryMB         int  // of the program itself
	Sockets          int  // descriptors for connections
	Keys             bool // requests carry idempotency keys
	Tenants          bool // requests carry their tenant
	Calls            bool // runs report that they wait for a call, and there is a dependency for it
	SkippableCalls   bool // runs can go on without their call
	MaxIdleYields    int  // yields to other goroutines before the loop blocks; waking it costs more than a few of them
	DynamicTables    bool // routes and tenants change in service
	HoldUntilRunEnds bool // a run holds its place until it ends, however long ago it was answered
	EarlyKill        bool // the process may be killed before the stop that Drain states: see earliestKill
}

// Server is the event loop. Its methods are for its own goroutine, but for Submit, Wake, Drain, ChangeTables, HandleCallEnd,
// UsePeerEstimates, Now and Events.
type Server struct {
	controller *admission.Controller
	settings   *settings.Settings
	limits     Limits
	counters   *invariant.Counters
	log        *slog.Logger
	events     *events.Log

	link         WorkerLink
	composer     Composer // of requests that consist of calls only
	frontends    []Frontend
	dependency   Dependency  // of the workers' runs, nil without one
	callReplier  CallReplier // the worker pool, where its runs wait for calls
	lastCallID   uint64
	observeRound func(took time.Duration) // nil without an observer
	notices      []workerapi.Notice       // reused by each pass

	clock     clock
	inbox     inbox
	round     round
	polls     polls
	requests  requestTable
	executed  executedTable
	keys      keyTable
	tables    tables
	recovery  linkRecovery
	overdue   overdueRuns
	health    health
	shedLevel shedLevel
	drain     drain
	estimates estimates
	observer  observer
}

// requestTable holds the requests that the server has read and not forgotten.
type requestTable struct {
	byID       map[string]*Request
	byDecision map[*admission.Request]*Request
	max        int
}

// shedLevel is the level under which callers are asked to send nothing.
type shedLevel struct {
	value float64
	text  string // the same, as answers carry it; empty before the first
}

// New makes the server for its settings. Settings that ask for what limits do not support are an error: a request must not
// be found unservable only once it was read.
func New(stated *settings.Settings, seed int64, limits Limits, counters *invariant.Counters, log *slog.Logger) (*Server, error) {
	memory := limits.MemoryMB << 20
	s := &Server{
		settings: stated, limits: limits, counters: counters, log: log, events: events.New(log),
		composer: noComposer{},
		clock:    newClock(),
		inbox:    inbox{wake: make(chan struct{}, 1)},
		requests: requestTable{
			byID: map[string]*Request{}, byDecision: map[*admission.Request]*Request{},
			max: max(minTableEntries, memory/1024/maxRequestKB/requestMemoryDivisor),
		},
		executed: executedTable{until: map[string]time.Duration{}},
		keys: keyTable{
			entries: map[string]*keyEntry{}, maxResultBytes: memory / resultMemoryDivisor,
			// Keys in the worker's memory are bounded by the controller, by a setting.
			maxEntries: max(minTableEntries, memory/keyMemoryDivisor/maxKeyEntryBytes),
		},
		tables: tables{routes: map[string]*admission.Route{}, tenants: map[string]int{}, unserved: map[string]bool{}},
		health: health{healthy: true},
	}
	if err := s.initTables(); err != nil {
		return nil, err
	}
	s.controller = admission.New(s.admissionSettings(), seed)
	if len(s.controller.Routes) != len(s.tables.routes) {
		return nil, fmt.Errorf("%d routes in the settings, %d of them named", len(s.controller.Routes), len(s.tables.routes))
	}
	for _, route := range s.controller.Routes {
		s.tables.routes[route.Name] = route
	}
	return s, nil
}

// initTables fills the tables with the names of the settings' routes and tenants, and sees that limits support them.
func (s *Server) initTables() error {
	stated := &s.settings.Admission
	for _, route := range stated.Routes {
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
	if len(stated.Tenants) > 0 && !s.limits.Tenants {
		return errors.New("the settings name tenants, which this program does not support")
	}
	for i, tenant := range stated.Tenants { // one without a name leaves the others their index
		if tenant.Name != "" {
			s.tables.tenants[tenant.Name] = i
		}
	}
	return nil
}

// admissionSettings are the settings as they hold for what limits support.
func (s *Server) admissionSettings() admission.Settings {
	adapted := s.settings.Admission
	if !s.limits.Calls {
		adapted.CallQuota = unlimitedCalls // the composer limits calls by itself
	}
	if !s.limits.SkippableCalls { // each call is waited for, whatever an answer without it would earn
		adapted.Routes = slices.Clone(adapted.Routes)
		for i := range adapted.Routes {
			adapted.Routes[i].SkipValueShare = 0
		}
	}
	return adapted
}

// Events is the log of what becomes of requests, runs and connections.
func (s *Server) Events() *events.Log { return s.events }

// Attach gives the server its workers and its front ends, before Run.
func (s *Server) Attach(link WorkerLink, frontends ...Frontend) {
	s.link, s.frontends = link, frontends
}

// SetDependency gives the server what makes the calls of the workers' runs, and the worker pool that reports them. It is for
// before Run, and for Limits with Calls.
func (s *Server) SetDependency(dependency Dependency, replier CallReplier) {
	s.dependency, s.callReplier = dependency, replier
}

// SetComposer gives the server what runs requests that consist of calls, before Run. The composer limits those calls by
// itself, so the controller lets them go without a limit of its own.
func (s *Server) SetComposer(c Composer) {
	s.composer = c
	for name, route := range s.tables.routes { // the order does not matter
		if c.Handles(name) {
			route.CallWait = c.ExpectedWait(name)
			delete(s.tables.unserved, name)
		}
	}
}

// ObserveRounds has observe called with the duration of each round that decided something, from reading the input to
// writing the output. observe runs on the event loop and must not block. It is for before Run.
func (s *Server) ObserveRounds(observe func(took time.Duration)) { s.observeRound = observe }

// ShedLevel is the shed level as last set, from 0 to 1.
func (s *Server) ShedLevel() float64 { return s.shedLevel.value }

// RoutersReportCancel is whether routers report that nobody waits for a request any longer.
func (s *Server) RoutersReportCancel() bool { return s.settings.RoutersReportCancel }

// TenantIndex is the index of a tenant in the settings. A tenant that they do not name has none, no quota, and counts
// against nobody's.
func (s *Server) TenantIndex(name string) int {
	if index, known := s.tables.tenants[name]; known {
		return index
	}
	return math.MaxInt
}
