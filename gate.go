package quartzpoint

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
)

const (
	// defaultShutdownTimeout is the time for Shutdown under a context without a deadline.
	defaultShutdownTimeout = 2500 * time.Millisecond
	// maxIdleYields is how often the event loop yields before it sleeps: some microseconds, so that it sees the end of a short
	// run at once.
	maxIdleYields = 20
)

// Gate admits requests. Make one with New and end it with Shutdown; its methods may be called from any goroutine.
type Gate struct {
	loop         *server.Server // the event loop, which makes all decisions
	pool         *workerPool
	counters     *invariant.Counters
	store        *store.Store // nil without Options.State
	tenants      map[string]int
	overrunLimit int64
	queuedKB     float64 // memory that a queued request counts with

	executions sync.Pool     // of *execution
	lastID     atomic.Uint64 // of executions

	shutdown  sync.Once
	loopEnded chan struct{} // closed once the event loop has ended
	closed    chan struct{} // closed once the store is closed too
	storeErr  error         // of closing the store, set before closed is closed

	accepting atomic.Bool
	shedLevel atomic.Uint64 // bits of a float64
	estimates atomic.Pointer[estimate.Snapshot]

	received, served, rejected, aborted, canceled, overruns atomic.Int64
}

// New starts a gate, which runs until Shutdown. The error says which of the options is out of range, or that another process
// uses the directory of Options.State.
func New(options Options) (*Gate, error) {
	options = options.withDefaults()
	decisions, err := options.settings()
	if err != nil {
		return nil, err
	}
	g := &Gate{
		counters: invariant.New(options.Log), tenants: map[string]int{}, overrunLimit: int64(options.OverrunLimit),
		queuedKB:  options.RequestKB / runningOverQueued,
		loopEnded: make(chan struct{}), closed: make(chan struct{}),
	}
	for index, tenant := range options.Tenants {
		g.tenants[tenant.Name] = index
	}
	g.accepting.Store(true)
	g.executions.New = func() any { return newExecution(g) }
	g.loop, err = server.New(settings.FromAdmission(decisions, settings.Readings...), options.Seed, server.Limits{
		MemoryMB: options.MemoryMB, Keys: true, Tenants: true, Calls: true, SkippableCalls: true, HoldUntilRunEnds: true,
		MaxIdleYields: maxIdleYields,
	}, g.counters, options.Log)
	if err != nil {
		return nil, fmt.Errorf("quartzpoint: %w", err)
	}
	readGauges := options.Gauges
	if readGauges == nil {
		readGauges = newProcessGauges(options.Cores, uint64(options.MemoryMB)<<20).read
	}
	g.pool = newWorkerPool(g, readGauges)
	g.loop.Attach(g.pool, frontend{g})
	g.loop.ObserveRounds(options.ObserveRound)
	if options.State != nil {
		if err := g.openState(options.State, store.RandomID(), options.Log); err != nil {
			return nil, err
		}
	} else {
		g.loop.PublishEstimates(0, func(snapshot estimate.Snapshot, _ time.Duration) { g.estimates.Store(&snapshot) })
	}
	go g.run()
	return g, nil
}

// run runs the event loop until Shutdown ends it.
func (g *Gate) run() {
	defer close(g.closed)
	g.loop.Run()
	close(g.loopEnded) // before the store closes: a request that arrives now must not wait for the disk
	if g.store != nil {
		g.storeErr = g.store.Close()
	}
}

// Do runs a function as a request, and returns its error. Or it returns
//
//   - *RejectedError, ErrShutDown or ErrKeyConflict: the function did not run;
//   - ErrAborted: it may have run, or runs still;
//   - the context's error: it may have run, or runs still.
//
// The function runs in a goroutine of its own, and its context ends once the request is answered. A panic of the function is
// raised again here; one that comes after the answer is counted and logged.
func (g *Gate) Do(ctx context.Context, request Request, run func(context.Context) error) error {
	_, err := g.do(ctx, request, nil, run)
	return err
}

// DoOnce is Do for a function with a result, which a duplicate of a request with an idempotency key gets without another run.
// A run that ends with an error leaves no result: its duplicates get ErrAborted for as long as the key is known.
func (g *Gate) DoOnce(ctx context.Context, request Request, run func(context.Context) ([]byte, error)) ([]byte, error) {
	return g.do(ctx, request, run, nil)
}

// do runs the one of the two functions that is not nil.
func (g *Gate) do(
	ctx context.Context, request Request, run func(context.Context) ([]byte, error), runPlain func(context.Context) error,
) ([]byte, error) {
	e, err := g.newRequest(ctx, request)
	if err != nil {
		return nil, err
	}
	defer e.release()
	e.run, e.runPlain = run, runPlain
	g.loop.Submit(e.arrive)
	if err := e.awaitAnswer(ctx); err != nil {
		return nil, err
	}
	if panicked, ok := errors.AsType[*panicError](e.err); ok {
		panic(panicked.value)
	}
	return e.result, e.err
}

// Shutdown drains the gate: Healthy turns false, requests that arrive within Options.Grace may still run, and all that were
// received are answered before the context's deadline, or within 2.5 s without one. It returns nil once that is so and the
// state is on disk, and ErrStateNotStored where the directory fails or takes longer than a quarter of a second. Functions that
// ignore their contexts may run on. The gate receives nothing after it; a further Shutdown waits for the first.
func (g *Gate) Shutdown(ctx context.Context) error {
	timeout := defaultShutdownTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(deadline), 0)
	}
	g.shutdown.Do(func() {
		g.accepting.Store(false)
		g.loop.Drain(timeout)
	})
	// Not cut short by the context: the event loop ends at its deadline, and a request that it has answered must not pass for
	// one that never ran. The store takes a quarter of a second at most to close.
	<-g.loopEnded
	<-g.closed
	if g.storeErr != nil {
		return fmt.Errorf("%w: %w", ErrStateNotStored, g.storeErr)
	}
	return nil
}

// Healthy is whether new requests should come here: the gate is not shut down, and has fewer overruns than
// Options.OverrunLimit.
func (g *Gate) Healthy() bool { return g.accepting.Load() && g.overruns.Load() < g.overrunLimit }

// ShedLevel is the rank, from 0 to 1, under which callers should send nothing.
func (g *Gate) ShedLevel() float64 { return math.Float64frombits(g.shedLevel.Load()) }

// Estimates are what the gate has learned of its routes, for a gate that starts. They are empty in its first second.
func (g *Gate) Estimates() estimate.Snapshot {
	if snapshot := g.estimates.Load(); snapshot != nil {
		return *snapshot
	}
	return estimate.Snapshot{}
}

// Counts are the numbers of requests since the start of a gate.
type Counts struct {
	Received int64 // all that were asked for before the gate was shut down
	Served   int64 // answered with a result
	Rejected int64 // answered with a RejectedError
	Aborted  int64 // answered with ErrAborted or the error of their run
	Canceled int64 // whose caller's context ended first
	Overruns int64 // whose run goes on at this moment although they are answered
}

// Counts reads the counts.
func (g *Gate) Counts() Counts {
	return Counts{
		Received: g.received.Load(), Served: g.served.Load(), Rejected: g.rejected.Load(), Aborted: g.aborted.Load(),
		Canceled: g.canceled.Load(), Overruns: g.overruns.Load(),
	}
}
