// Package server is one server's tasks, rounds and timers. It gathers what fronts and the worker pool tell
// into rounds of the decisions, and carries out what these write. It knows no protocol.
package server

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"quartzpoint/admission"
	"quartzpoint/estimate"
	"quartzpoint/internal/events"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/workerapi"
	"quartzpoint/reconcile"
	"quartzpoint/wallclock"
)

const (
	gaugeWait            = 5 * time.Millisecond   // that an alarm's round waits for the pool's gauges
	verifyWait           = time.Second            // until a deep check without an answer is a bad one
	maxPasses            = 4                      // over what came in before a round
	maxAlarms            = 8                      // set at once
	maxChecks            = 8                      // deep checks in the pool's hands
	lastOrders           = 400 * time.Millisecond // before the stop, when no further connection is taken
	lastMoment           = 40 * time.Millisecond  // before the stop, by which the process ends
	noticeDelay          = 15 * time.Millisecond  // by which the notice may have been read late
	requestKB            = 12                     // what one task may take of the program's own memory
	requestMemoryDivisor = 4                      // part of that memory, as a divisor, that tasks may take
	entryBytes           = 512                    // what an entry of the table of numbers may take of it, its result aside
	entryShare           = 8                      // part of that memory, as a divisor, that these may take
	shareEvery           = time.Second            // between the views that are left for others
	enterEach            = 20 * time.Millisecond  // between looks whether the ledger has what waits for it
	unbounded            = 1e9                    // calls at once
	maxStampMS           = 1 << 43                // of a stamp in Unix milliseconds, some centuries: as a span it has to fit its type
)

// Limits are those of the program itself, and of what its fronts can carry.
type Limits struct {
	MemoryMB, Sockets int
	Keys              bool // tasks come with their numbers
	Tenants           bool // and with their customers
	Calls             bool // runs say when they are at a call, and there is a dependency for it
	SkippableCalls    bool // they can go on without
	MaxIdleYields     int  // looks for more before the owner rests; its waking costs more than a few of them
	DynamicTables     bool // routes and tenants come and go in service
	HoldUntilRunEnds  bool // a run holds its place until it ends, however long ago it was answered
	EarlyKill         bool // the process may be killed sooner after the notice than that says: see earliestKill
}

// Server turns events into rounds. Its methods are for its one owner, the goroutine that is in Run, but for
// Post, Nudge, Leave, Now and Customer.
type Server struct {
	controller *admission.Controller
	settings   *settings.Settings
	routes     map[string]*admission.Route
	link       WorkerLink
	parts      Composer // of tasks that are made of calls

	dependency Dependency      // of the pool's runs, nil without one
	blocking   CallReplier     // the pool, where they stand at calls of it
	calls      uint64          // made so far
	unserved   map[string]bool // types that call, where there is no dependency

	tables tableQueue

	fronts      []Frontend
	counts      *invariant.Counters
	log         *slog.Logger
	events      *events.Log
	began       time.Time
	epoch       time.Duration        // of began, since 1970
	wallAhead   func() time.Duration // by how much the system's Unix clock, which may step, is ahead of the clock of rounds
	stamps      wallclock.Mapper
	limits      Limits
	maxRequests int // tasks

	mu     sync.Mutex
	posted []func()
	woken  chan struct{}

	requests        map[string]*Request
	owner           map[*admission.Request]*Request
	round           admission.Round
	touched         bool
	mayHaveRun      map[string]time.Duration // calls of at-most-once tasks that may have run, until when they are known
	mayHaveRunOrder []string                 // the same, oldest first
	tenants         map[string]int
	keys            map[string]*keyEntry
	resultBytes     int // bytes of the results that they hold
	maxResultBytes  int
	maxKeys         int
	ledger          Ledger               // of the numbers, nil without one
	entering        []*Request           // whose numbers it does not have yet
	echoed          []*admission.Request // answered from the first in this round
	atCall          []*admission.Request // started in this round, and made of calls
	unbegun         []*Request           // whose calls the composer did not take
	gauges          admission.Gauges
	fresh           bool // gauges came for the alarm in hand
	notices         []workerapi.Notice

	alarms    []time.Duration
	asked     uint64        // nonce of the alarm's poll, 0 without one
	askedLate time.Duration // when its round comes all the same
	polled    uint64        // nonce of the last poll answered
	doubts    []*Request    // paused, to be sent again once the poll behind that is answered
	settled   uint64        // nonce of that poll
	tidied    time.Duration
	turned    time.Duration // the last turn of the owner
	// unreadUntil is the moment before which requests may be unread that came while the process stood still.
	unreadUntil time.Duration
	doubtful    int // runs of the pool that may be over, as counted last
	reviewer    reconcile.Reviewer
	observer    observer

	publish     func(snapshot estimate.Snapshot, at time.Duration) // nil where nobody is to know
	schema      estimate.Schema
	publishedAt time.Duration

	timed func(took time.Duration) // nil where nobody wants to know

	good, fromStore bool
	level           string
	standing        float64 // the same as a number
	adopted         int     // types given to strangers
	checks          []deepCheck
	checkNonce      uint64

	noticed time.Duration // the notice to leave, 0 before it
	retire  time.Duration
	stop    time.Duration
	retired bool
}

// New makes the server for its settings. Settings that ask for what it can't do are an error: a task must not be
// found unservable only once it has been read.
func New(stated *settings.Settings, seed int64, limits Limits, counts *invariant.Counters, log *slog.Logger) (*Server, error) {
	s := &Server{
		settings: stated, counts: counts, log: log, events: events.New(log), began: time.Now(), limits: limits,
		mayHaveRun: map[string]time.Duration{}, tenants: map[string]int{},
		keys: map[string]*keyEntry{}, maxResultBytes: limits.MemoryMB << 20 / resultMemoryDivisor,
		// What the site's own memory holds of numbers, the decisions bound; that is stated with the settings, as any figure.
		maxKeys:     max(64, limits.MemoryMB<<20/entryShare/entryBytes),
		routes:      map[string]*admission.Route{},
		maxRequests: max(64, limits.MemoryMB*1024/requestKB/requestMemoryDivisor),
		woken:       make(chan struct{}, 1), parts: nothing{},
		unserved: map[string]bool{},
		requests: map[string]*Request{}, owner: map[*admission.Request]*Request{},
		good: true,
	}
	for _, route := range stated.Admission.Routes {
		if route.Name == "" {
			break
		}
		s.routes[route.Name] = nil
		if route.Idempotency == admission.Keyed && !limits.Keys {
			return nil, fmt.Errorf("traffic type %s is numbered, which this program can't serve yet", route.Name)
		}
		if route.CallsDependency && !limits.Calls {
			s.unserved[route.Name] = true
		}
	}
	s.epoch = time.Duration(s.began.UnixNano())
	s.wallAhead = func() time.Duration {
		now := time.Now() // one reading of both clocks
		return time.Duration(now.UnixNano()) - s.epoch - now.Sub(s.began)
	}
	s.stamps.Observe(s.wallAhead())
	if len(s.routes) == 0 {
		return nil, fmt.Errorf("the settings name no traffic type")
	}
	if len(stated.Admission.Tenants) > 0 && !limits.Tenants {
		return nil, fmt.Errorf("the settings name customers, whom this program can't tell apart yet")
	}
	for i, tenant := range stated.Admission.Tenants { // one without a name leaves the others theirs
		if tenant.Name != "" {
			s.tenants[tenant.Name] = i
		}
	}
	s.controller = admission.New(s.admissionSettings(), seed)
	if len(s.controller.Routes) != len(s.routes) {
		return nil, fmt.Errorf("%d traffic types stated, %d of them named", len(s.controller.Routes), len(s.routes))
	}
	for _, route := range s.controller.Routes {
		s.routes[route.Name] = route
	}
	return s, nil
}

// admissionSettings are the settings as they hold for what this program and its fronts can carry.
func (s *Server) admissionSettings() admission.Settings {
	adapted := s.settings.Admission
	if !s.limits.Calls {
		adapted.CallShare = unbounded // the composer keeps to what its dependencies survive
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

// Attach gives the server its link and its fronts, before Run.
func (s *Server) Attach(link WorkerLink, fronts ...Frontend) { s.link, s.fronts = link, fronts }

// SetDependency gives the server what makes the calls of the pool's runs, and the pool that tells of them, before Run and
// where its Limits say Calls.
func (s *Server) SetDependency(on Dependency, blocking CallReplier) {
	s.dependency, s.blocking = on, blocking
}

// UnservedRoutes are the types whose tasks are turned away, as they call a dependency and there is none.
func (s *Server) UnservedRoutes() []string { return slices.Sorted(maps.Keys(s.unserved)) }

// SetComposer has tasks of some types made of calls, before Run. What the dependencies of those calls survive is
// the composer's to keep to, so the decisions let their calls go without a room of their own.
func (s *Server) SetComposer(c Composer) {
	s.parts = c
	for name, t := range s.routes { // each by itself
		if c.Composes(name) {
			t.CallWait = c.Waits(name)
			delete(s.unserved, name)
		}
	}
}

// RouteTimeouts are the names of the traffic types, with the time that a task of each has in all: what is answered later
// than that earns nothing.
func (s *Server) RouteTimeouts() map[string]time.Duration {
	all := map[string]time.Duration{}
	for name, t := range s.routes {
		all[name] = t.Deadline
		if t.LateValueShare == 0 {
			all[name] = min(t.LatencyTarget, t.Deadline)
		}
	}
	return all
}

// TenantIndex is the place of a customer in the settings. One they do not name is nobody's: it has no share, and takes of none.
func (s *Server) TenantIndex(name string) int {
	if place, known := s.tenants[name]; known {
		return place
	}
	return math.MaxInt
}

// RoutersReportCancel is whether routers say when nobody waits for a task any longer.
func (s *Server) RoutersReportCancel() bool {
	return s.settings.RoutersReportCancel
}

// AdoptRoute gives a name that the settings do not state one of the types that they state for strangers, whose names begin
// with a NUL byte; where all are given away, tasks of the name are dismissed.
func (s *Server) AdoptRoute(name string) {
	if s.routes[name] != nil {
		return
	}
	spare := fmt.Sprintf("\x00%d", s.adopted)
	if t := s.routes[spare]; t != nil {
		s.adopted++
		s.routes[name] = t
	}
}

// ObserveRounds has put told how long each round took that decided something, from what came in to the writing of what was
// decided. It is called in the owner's turn, so put must not wait; and before Run.
func (s *Server) ObserveRounds(put func(took time.Duration)) { s.timed = put }

// ShedLevel is the level as last stated.
func (s *Server) ShedLevel() float64 { return s.standing }

// PublishEstimates has what the server learned left with put, once a second at the most and in the owner's turn, so put must
// not wait. It is called before Run. The frame says which views the server can Borrow.
func (s *Server) PublishEstimates(origin uint64, put func(snapshot estimate.Snapshot, at time.Duration)) estimate.Schema {
	s.schema, s.publish = s.controller.EstimateSchema(origin, s.settings.Digest(s.limits.DynamicTables, s.limits.SkippableCalls), s.limits.DynamicTables), put
	return s.schema
}

// UsePeerEstimates has the owner take in what other servers learned; the view must fit the frame.
func (s *Server) UsePeerEstimates(snapshot estimate.Snapshot) {
	told := s.Now()
	s.Submit(func() { s.controller.UsePeerEstimates(s.Now(), snapshot.Aged(s.Now()-told)) })
}

// Now is the time since the Unix epoch by a clock that never steps back.
func (s *Server) Now() time.Duration {
	return s.epoch + time.Since(s.began)
}

// at maps a moment of the system's Unix clock, which may step, to the clock of rounds. What is stated as
// later than now is taken as now.
func (s *Server) at(unixMS int64, now time.Duration) time.Duration {
	return s.stamps.Arrival(time.Duration(unixMS)*time.Millisecond, now)
}

// PlausibleStamp tells whether a request's stamp, in Unix milliseconds, is one that a clock may have written which was
// stepped.
func (s *Server) PlausibleStamp(unixMS int64) bool {
	return unixMS >= 0 && unixMS < maxStampMS && wallclock.Plausible(time.Duration(unixMS)*time.Millisecond, s.Now()+s.wallAhead())
}

// Wake has the owner look for what came in.
func (s *Server) Wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// Submit has the owner call f in its turn. What waits is bounded by its callers: a connection has one callback
// of netpoll in hand at a time, beside those of its beginning and its end.
func (s *Server) Submit(f func()) {
	s.mu.Lock()
	s.posted = append(s.posted, f)
	s.mu.Unlock()
	s.Wake()
}

// Run goes from round to round until the server has left.
func (s *Server) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	var rings time.Duration // when the timer does
	s.decide(s.Now())       // the first round is empty and lets the module state its health and set its alarm
	for {
		// What comes while this is taken in belongs to the same moment, up to a point: a flood must not keep
		// the round, and with it the answers that are due, from coming at all.
		began := s.Now()
		s.stalled(began)
		s.stamps.Observe(s.wallAhead())
		for pass, again := 0, true; again && pass < maxPasses; pass++ {
			s.mu.Lock()
			batch, s.posted = s.posted, batch[:0]
			s.mu.Unlock()
			for _, f := range batch {
				f()
			}
			s.parts.Turn(s.Now())
			s.entered()
			s.notices = s.parts.AppendNotices(s.link.AppendNotices(s.notices[:0]))
			for i := range s.notices {
				s.onNotice(&s.notices[i])
			}
			again = len(batch) > 0
			clear(batch)
		}
		s.changeTables()
		now := s.Now()
		s.alarm(now)
		s.observe(now)
		s.dueChecks(now)
		s.tidy(now)
		// A process that stood still across its stop has had no round in which the decisions could answer what is left.
		decides := s.touched || s.noticed > 0 && now >= s.stop
		if decides {
			s.decide(now)
		}
		written := true
		for _, f := range s.fronts {
			written = f.Flush() && written // answers leave before commands: what is stopped has been answered
		}
		s.link.Flush()
		s.parts.Flush()
		if decides && s.timed != nil {
			s.timed(s.Now() - began)
		}
		if s.leaving(now, written) {
			return
		}
		// Setting the timer costs as much as a quiet round; one that rings too soon finds nothing to do.
		now = s.Now()
		if next := s.next(now); next < rings || rings <= now {
			rings = next
			timer.Reset(max(next-now, 0))
		}
		for looks := s.limits.MaxIdleYields; looks > 0 && len(s.woken) == 0; looks-- {
			runtime.Gosched()
		}
		select {
		case <-s.woken:
		case <-timer.C:
			rings = 0
		}
	}
}

// next is the moment of the earliest timer.
func (s *Server) next(now time.Duration) time.Duration {
	if s.touched { // by what the round itself came to
		return 0
	}
	first := min(now+time.Second, s.parts.Due())
	for _, at := range s.alarms {
		first = min(first, at)
	}
	if s.asked > 0 {
		first = min(first, s.askedLate)
	}
	for _, c := range s.checks {
		first = min(first, c.until)
	}
	if s.noticed > 0 {
		first = min(first, now+gaugeWait)
	}
	if len(s.entering) > 0 { // a ledger that stalls nudges nobody
		first = min(first, now+enterEach)
	}
	return first
}

// alarm brings the gauges that a due alarm asks for. The round of the alarm waits for the pool a little and
// then comes with the readings that were last told: answers that are due must not hang on the pool.
func (s *Server) alarm(now time.Duration) {
	left := s.alarms[:0]
	rang := false
	for _, at := range s.alarms {
		if at <= now {
			rang = true
		} else {
			left = append(left, at)
		}
	}
	s.alarms = left
	if rang && s.asked == 0 {
		if nonce, sent := s.link.Poll(); sent {
			s.asked, s.askedLate = nonce, now+gaugeWait
		} else {
			s.fresh = true
		}
	}
	if s.asked > 0 && now >= s.askedLate {
		s.counts.Count("gauges late, round on the last ones")
		s.fresh = true
	}
	if s.fresh {
		s.asked, s.fresh = 0, false
		s.round.Gauges = &s.gauges
		s.touched = true
	}
}

// decide hands the round to the module.
func (s *Server) decide(now time.Duration) {
	s.round.Now = now
	s.controller.Decide(&s.round, s)
	for _, e := range s.round.RunsEnded {
		s.settle(s.owner[e.Request])
	}
	for _, decided := range s.round.Canceled {
		s.settle(s.owner[decided])
	}
	s.round.Reset()
	s.touched = false
	for len(s.atCall) > 0 { // what was started and is made of calls is at its calls in the same moment
		s.round.Now, s.round.AwaitingCall, s.atCall = now, append(s.round.AwaitingCall, s.atCall...), s.atCall[:0]
		s.controller.Decide(&s.round, s)
		s.round.Reset()
	}
	for _, decided := range s.echoed {
		s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: decided, Outcome: admission.Succeeded})
		s.touched = true
	}
	s.echoed = s.echoed[:0]
	for _, request := range s.unbegun {
		s.end(request, admission.NeverStarted, 0, nil)
	}
	s.unbegun = s.unbegun[:0]
	if s.publish != nil && now >= s.publishedAt+shareEvery {
		s.publishedAt = now
		s.publish(s.controller.Estimates(now, s.schema), now)
	}
}
