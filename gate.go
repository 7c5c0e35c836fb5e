// Package quartzpoint takes, runs and turns away work inside the process that imports it, by the same decisions as
// the daemon of the same name: tasks in flight stay under a limit that adapts, the rest is held by due time, and
// what can't be done in time is answered at once.
//
// The rules it keeps: every task taken gets one answer before its due time; a numbered task runs once within its
// window, whoever repeats it; after Leave nothing that comes past the grace runs, and all that was taken is answered
// before the stop; what is in flight and held stays within bounds. A handler can't be stopped from outside: one that
// ignores its context keeps its place until it returns, while its caller is answered in time.
package quartzpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"

	"quartzpoint/admission"
	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
)

// Idempotency says whether a task may be run again.
type Idempotency string

// The three kinds. A numbered task carries a Number by which a repeat is known.
const (
	Retryable  Idempotency = "reissuable"
	Keyed      Idempotency = "numbered"
	AtMostOnce Idempotency = "at-most-once"
)

// Route is a traffic type. The zero value of each field but Name has a default.
type Route struct {
	Name           string
	Value          float64       `toml:"Importance"` // over that of other types (1)
	LatencyTarget  time.Duration `toml:"Contract"`   // after which an answer earns nothing (1 s)
	Deadline       time.Duration `toml:"Outer"`      // after which nobody waits (twice Contract)
	Idempotency    Idempotency   `toml:"Repeats"`    // (Reissuable)
	DedupWindow    time.Duration `toml:"Window"`     // for which a number is known (a minute)
	SkipValueShare float64       `toml:"SkipShare"`  // part of its importance that a task is worth which went on without its call (0: it can't)
}

// CallOptions is the dependency that runs call through Call, where other processes call it too.
type CallOptions struct {
	Share  float64       // calls at once that it survives of this process (none)
	Window time.Duration `toml:"Over"` // over which their mean counts (5 s)
	Linger time.Duration // for which an abandoned call is still its load
}

// Tenant is one of those who share the fleet. What one asks beyond its share of Rate is worth less.
type Tenant struct {
	Name string
	Rate float64 // tasks a second that the fleet owes it
}

// Options are what a gate is made from. The zero value works.
type Options struct {
	Routes         []Route       `toml:"Types"`
	Cores          float64       // that tasks may fill (GOMAXPROCS)
	MemoryMB       int           // of the process (GOMEMLIMIT, else the control group's, else 1,024)
	RequestKB      float64       `toml:"TaskKB"` // that a running task takes (64)
	Grace          time.Duration // after Leave, in which tasks that come may still run (100 ms)
	Seed           int64
	OverrunLimit   int          `toml:"Stuck"` // runs past their answer from which Health is bad (16)
	Log            *slog.Logger // one line an event that operators act on (none)
	Calls          CallOptions
	Tenants        []Tenant                 `toml:"Customers"`
	FleetServers   float64                  `toml:"Servers"`   // of the fleet, this one included (1)
	OverQuotaValue float64                  `toml:"OverShare"` // worth of what a customer asks beyond its share (1: as much)
	State          *State                   // what the gate after this one goes on from (nothing)
	Gauges         func(running int) Gauges `toml:"-"` // what the decisions go by (the process's own)
	ObserveRound   func(took time.Duration) `toml:"-"` // told how long each round of decisions took; must not wait (nobody)
}

// Gauges are readings of what tasks run on. running, as given, is the number of runs at that moment.
type Gauges struct {
	CPU      float64 // busy share of the cores over the half second before
	Runnable float64 // all that wants a core now; what waits for something else is not in it
	Memory   float64 // share in use
}

const (
	strangers  = 32 // types made on first sight
	heldShare  = 16 // part of what a running task takes that a held one does, as a divisor
	mostCrowd  = 6  // runs a core at which a server still gets on
	idleSpan   = 30 * time.Second
	adviceMost = time.Second
	spins      = 20 // some microseconds, in which the end of a short run is seen
)

// RejectedError is the error of a task that never ran.
type RejectedError struct {
	RetryAfter       time.Duration // how long its caller should stay away; 0 where that is not known
	NoRetryElsewhere bool          // trying elsewhere would not help
}

func (d *RejectedError) Error() string {
	if d.RetryAfter > 0 {
		return fmt.Sprintf("quartzpoint: dismissed, come back in %v", d.RetryAfter)
	}
	return "quartzpoint: dismissed"
}

// The other errors of a task. One that was given up on may have run, or runs still.
var (
	ErrAborted     = errors.New("quartzpoint: given up")
	ErrShutDown    = errors.New("quartzpoint: the gate has left") // nothing ran
	ErrKeyConflict = errors.New("quartzpoint: number of another task")
	// ErrCallSkipped is Call's: the task is to go on without it.
	ErrCallSkipped = errors.New("quartzpoint: go on without the call")
)

// Request is what a caller asks.
type Request struct {
	Route          string
	Deadline       time.Time // when its caller stops waiting; also from the context's deadline, the earlier holds
	IdempotencyKey string    // of a numbered task
	Fingerprint    uint64    // of what is asked under the number: a repeat with another is refused with ErrKeyConflict
	Tenant         string    // one of the terms', or nobody's
	Rank           float64   // from 0 to under 1: its importance to those who heed the level
	CallerID       uint32
}

// Gate lets tasks run. Make one with New; its methods may be called by any goroutine.
type Gate struct {
	owner  *server.Server
	runs   *handlers
	counts *invariant.Counters
	over   chan struct{} // the owner has ended
	closed chan struct{} // and what it kept is written
	calls  sync.Pool
	leave  sync.Once
	ids    atomic.Uint64 // of calls
	stuck  int64
	shares map[string]int // places of customers
	view   atomic.Pointer[estimate.Snapshot]
	state  *store.Store // nil without one
	good   atomic.Bool
	level  atomic.Uint64 // bits

	taken, honoured, dismissed, givenUp, gone, late atomic.Int64
}

// New starts a gate. It lives until Leave.
func New(t Options) (*Gate, error) {
	if t.Cores == 0 {
		t.Cores = float64(runtime.GOMAXPROCS(0))
	}
	memory := memoryLimit()
	if t.MemoryMB == 0 {
		if t.MemoryMB = int(memory >> 20); memory == 0 {
			t.MemoryMB = 1024
		}
	}
	if t.RequestKB == 0 {
		t.RequestKB = 64
	}
	if t.Grace == 0 {
		t.Grace = 100 * time.Millisecond
	}
	if t.OverrunLimit == 0 {
		t.OverrunLimit = 16
	}
	if t.Log == nil {
		t.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	decisions, err := t.settings()
	if err != nil {
		return nil, err
	}
	g := &Gate{counts: invariant.New(t.Log), over: make(chan struct{}), closed: make(chan struct{}), stuck: int64(t.OverrunLimit), shares: map[string]int{}}
	for i, c := range t.Tenants {
		g.shares[c.Name] = i
	}
	g.good.Store(true)
	g.owner, err = server.New(settings.FromAdmission(decisions, settings.Readings...), t.Seed, server.Limits{
		MemoryMB: t.MemoryMB, Keys: true, Tenants: true, Calls: true, SkippableCalls: true, HoldUntilRunEnds: true, MaxIdleYields: spins,
	}, g.counts, t.Log)
	if err != nil {
		return nil, fmt.Errorf("quartzpoint: %w", err)
	}
	g.runs = newHandlers(g, t.Cores, uint64(t.MemoryMB)<<20, t.Gauges)
	g.calls.New = func() any { return newCall(g) }
	g.owner.Attach(g.runs, g)
	g.owner.ObserveRounds(t.ObserveRound)
	if t.State != nil {
		if err := g.openState(t.State, store.RandomID(), g.counts, t.Log); err != nil {
			return nil, err
		}
	} else {
		g.owner.PublishEstimates(0, func(snapshot estimate.Snapshot, _ time.Duration) { g.view.Store(&snapshot) })
	}
	go func() {
		defer close(g.closed)
		g.owner.Run()
		close(g.over) // who comes now is told so at once, and not when the disk is done
		if g.state != nil {
			g.state.Close()
		}
	}()
	return g, nil
}

// settings are the terms as the decisions know them, with their defaults.
func (t Options) settings() (admission.Settings, error) {
	settings := admission.DefaultSettings()
	settings.Cores = t.Cores
	settings.MemoryKB = float64(t.MemoryMB) * 1024 / 2
	settings.RunningMemoryFactor = heldShare
	settings.KeyKB = 1
	settings.ShedLevelFormat = admission.ShedLevelThreshold
	settings.MaxRunnablePerCore = mostCrowd
	settings.Preemption = admission.PreemptionNone
	settings.IdleTimeout = idleSpan
	settings.RetryAfter, settings.MaxRetryAfter = true, adviceMost
	settings.Grace = t.Grace
	settings.CallShare, settings.CallLinger = t.Calls.Share, t.Calls.Linger
	if t.Calls.Window != 0 {
		settings.CallWindow = t.Calls.Window
	}
	if t.FleetServers == 0 {
		t.FleetServers = 1
	}
	if t.OverQuotaValue == 0 {
		t.OverQuotaValue = 1
	}
	settings.FleetServers, settings.OverQuotaValue = t.FleetServers, t.OverQuotaValue
	for _, c := range t.Tenants {
		if c.Rate <= 0 || t.FleetServers < 1 || t.OverQuotaValue < 0 || t.OverQuotaValue > 1 {
			return settings, fmt.Errorf("quartzpoint: customer %q: Rate, Servers or OverShare out of range", c.Name)
		}
		settings.Tenants = append(settings.Tenants, admission.Tenant{Rate: c.Rate})
	}
	if t.Cores <= 0 || t.MemoryMB <= 0 || t.RequestKB <= 0 || t.Grace < 0 {
		return settings, errors.New("quartzpoint: Cores, MemoryMB, TaskKB and Grace must not be below 0")
	}
	names := map[string]bool{}
	for i := range len(t.Routes) + strangers {
		kind := Route{Name: fmt.Sprintf("\x00%d", i-len(t.Routes))}
		if i < len(t.Routes) {
			kind = t.Routes[i]
		}
		if kind.Name == "" || names[kind.Name] {
			return settings, fmt.Errorf("quartzpoint: type %d: a name of its own is needed, not %q", i, kind.Name)
		}
		names[kind.Name] = true
		route, err := kind.route()
		if err != nil {
			return settings, err
		}
		route.CallsDependency = t.Calls.Share > 0
		settings.Routes = append(settings.Routes, route)
	}
	return settings, nil
}

// idempotencies are the library's words for it.
var idempotencies = map[Idempotency]admission.Idempotency{
	Retryable: admission.Retryable, Keyed: admission.Keyed, AtMostOnce: admission.AtMostOnce,
}

// route is the type as the decisions know it, with its defaults.
func (t Route) route() (admission.Route, error) {
	if t.Value == 0 {
		t.Value = 1
	}
	if t.LatencyTarget == 0 {
		t.LatencyTarget = time.Second
	}
	if t.Deadline == 0 {
		t.Deadline = 2 * t.LatencyTarget
	}
	if t.Idempotency == "" {
		t.Idempotency = Retryable
	}
	if t.DedupWindow == 0 {
		t.DedupWindow = time.Minute
	}
	idempotency, known := idempotencies[t.Idempotency]
	if !known || t.Value < 0 || t.LatencyTarget < 0 || t.Deadline < t.LatencyTarget || t.DedupWindow < 0 ||
		t.SkipValueShare < 0 || t.SkipValueShare > 1 {
		return admission.Route{}, fmt.Errorf("quartzpoint: type %q: Repeats, Importance, Contract, Outer, Window or SkipShare out of range", t.Name)
	}
	return admission.Route{
		Name: t.Name, Value: t.Value, Idempotency: idempotency, SkipValueShare: t.SkipValueShare,
		LatencyTarget: t.LatencyTarget, Deadline: t.Deadline, DedupWindow: t.DedupWindow,
	}, nil
}

// ReadOptions reads terms from a TOML file with the names of the fields; times as "300ms". Unknown keys are errors.
func ReadOptions(path string) (t Options, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, fmt.Errorf("quartzpoint: terms: %w", err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return t, fmt.Errorf("quartzpoint: terms %s: %w", path, err)
	}
	if err := spans(tree); err != nil {
		return t, fmt.Errorf("quartzpoint: terms %s: %w", path, err)
	}
	if raw, err = toml.Marshal(tree); err != nil {
		return t, fmt.Errorf("quartzpoint: terms %s: %w", path, err)
	}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&t); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			var keys []string
			for _, e := range strict.Errors {
				keys = append(keys, strings.Join(e.Key(), "."))
			}
			return t, fmt.Errorf("quartzpoint: terms %s: unknown keys: %s", path, strings.Join(keys, ", "))
		}
		return t, fmt.Errorf("quartzpoint: terms %s: %w", path, err)
	}
	return t, nil
}

// spans makes whole nanoseconds of the times in a tree, which go-toml knows no text form of.
func spans(node any) error {
	switch v := node.(type) {
	case []any:
		for _, item := range v {
			if err := spans(item); err != nil {
				return err
			}
		}
	case map[string]any:
		for key, below := range v { // each by itself
			text, is := below.(string)
			switch key {
			case "Contract", "Outer", "Window", "Grace", "Over", "Linger", "Commit":
				span, err := time.ParseDuration(text)
				if !is || err != nil {
					return fmt.Errorf("%s = %v: a time as \"300ms\" is allowed", key, below)
				}
				v[key] = int64(span)
			default:
				if err := spans(below); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// Do runs a function as a task. It returns its error; or *Dismissed, ErrShutDown or ErrKeyConflict, and the function never ran;
// or ErrAborted, and it may run still; or the context's error, and it may have run. A panic of the function is
// raised again here; one that comes past the answer is counted and logged.
func (g *Gate) Do(ctx context.Context, t Request, run func(context.Context) error) error {
	_, err := g.do(ctx, t, nil, run)
	return err
}

// DoOnce does the same with a result, which a repeat of a numbered task gets without running again. An error of the
// run is no result: repeats of it get ErrAborted for as long as the number is known.
func (g *Gate) DoOnce(ctx context.Context, t Request, run func(context.Context) ([]byte, error)) ([]byte, error) {
	return g.do(ctx, t, run, nil)
}

func (g *Gate) do(
	ctx context.Context, t Request, run func(context.Context) ([]byte, error), plain func(context.Context) error,
) ([]byte, error) {
	c, err := g.enter(ctx, t)
	if err != nil {
		return nil, err
	}
	defer c.release()
	c.run, c.plain = run, plain
	g.owner.Submit(c.arrive)
	select {
	case <-c.answered:
	case <-ctx.Done():
		return nil, g.abandon(c, ctx)
	case <-g.over:
		return nil, c.afterLeave()
	}
	if p, panicked := c.err.(*panicError); panicked {
		panic(p.with)
	}
	return c.result, c.err
}

// Ticket is a task that may run. Settle must be called once its work is over.
type Ticket struct {
	call   *call
	result []byte
	repeat bool
}

// Admit waits until a task may run in the caller's own goroutine, and gives its ticket, or an error as Do does.
// givenUp is called if the task is answered while it runs, from a goroutine of its own and once at the most: the
// caller is to be answered then, and the work to end.
func (g *Gate) Admit(ctx context.Context, t Request, givenUp func()) (*Ticket, error) {
	c, err := g.enter(ctx, t)
	if err != nil {
		return nil, err
	}
	c.givenUp = givenUp
	g.owner.Submit(c.arrive)
	select {
	case <-c.started:
		return &Ticket{call: c}, nil
	case <-c.answered:
		defer c.release()
		if c.err != nil {
			return nil, c.err
		}
		return &Ticket{repeat: true, result: c.result}, nil
	case <-ctx.Done():
		defer c.release()
		return nil, g.abandon(c, ctx)
	case <-g.over:
		defer c.release()
		return nil, c.afterLeave()
	}
}

// Duplicate tells whether the task is a repeat that is answered from the first, and its result; it must not run.
func (t *Ticket) Duplicate() (result []byte, is bool) { return t.result, t.repeat }

// Context is for the work: it ends when the task is given up or its caller is gone.
func (t *Ticket) Context() context.Context { return t.call.inside }

// Cancel tells that nobody waits for the task any more. Its work may go on, to Settle.
func (t *Ticket) Cancel() {
	if !t.repeat {
		t.call.posted()
	}
}

// Finish ends a task with its result, or the error that makes it a broken run. It tells whether the result is the
// answer: false where the task had been given up on before.
func (t *Ticket) Finish(result []byte, err error) (answers bool) {
	if t.repeat {
		return true
	}
	defer t.call.release()
	return t.call.ended(result, err)
}

// abandon tells that a caller is gone.
func (g *Gate) abandon(c *call, ctx context.Context) error {
	g.gone.Add(1)
	c.posted()
	return context.Cause(ctx)
}

// Shutdown begins the drain: Health is bad, tasks that come within the grace may still run, and all that was taken is
// answered before the context's deadline, or within 2.5 s without one. It returns once that is so; handlers that
// ignore their contexts may run on. The gate takes nothing after it.
func (g *Gate) Shutdown(ctx context.Context) error {
	within := 2500 * time.Millisecond
	if deadline, stated := ctx.Deadline(); stated {
		within = max(time.Until(deadline), 0)
	}
	g.leave.Do(func() {
		g.good.Store(false)
		g.owner.Drain(within)
	})
	select {
	case <-g.over:
	case <-ctx.Done():
		<-g.over // the owner ends at the same moment, and what it has answered must be known to be answered
	}
	<-g.closed // a quarter of a second at the most
	return nil
}

// Healthy tells whether new tasks should come here.
func (g *Gate) Healthy() bool { return g.good.Load() && g.late.Load() < g.stuck }

// ShedLevel is the rank under which callers should stay away, from 0 to 1.
func (g *Gate) ShedLevel() float64 { return math.Float64frombits(g.level.Load()) }

// Estimates is what the gate has learned, for a newcomer; empty in its first second.
func (g *Gate) Estimates() estimate.Snapshot {
	if v := g.view.Load(); v != nil {
		return *v
	}
	return estimate.Snapshot{}
}

// Counts is what became of tasks so far. Late are runs that go on past their answer.
type Counts struct{ Received, Served, Rejected, Aborted, Canceled, Overruns int64 }

// Counts tells them.
func (g *Gate) Counts() Counts {
	return Counts{g.taken.Load(), g.honoured.Load(), g.dismissed.Load(), g.givenUp.Load(), g.gone.Load(), g.late.Load()}
}

// CloseIdle does nothing: a gate has no connections. Like the methods below it, it is for the owner of decisions, whose
// front the gate is.
func (g *Gate) CloseIdle(time.Duration) {}

// Flush is called behind each round.
func (g *Gate) Flush() bool {
	g.level.Store(math.Float64bits(g.owner.ShedLevel()))
	return true
}

// StopAccepting is called when no more tasks are wanted.
func (g *Gate) StopAccepting() {}

// Quiet is true: calls come as they are made.
func (g *Gate) Quiet() bool { return true }

// Open is the number of connections, of which there are none.
func (g *Gate) Open() int { return 0 }

// memoryLimit is what the process may take, 0 where nothing says.
func memoryLimit() uint64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return uint64(limit)
	}
	return groupMemory()
}
