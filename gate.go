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
	// defaultShutdownTimeout is the timeout of Shutdown if its context has no deadline.
	defaultShutdownTimeout = 2500 * time.Millisecond
	// maxIdleYields is the number of times that the event loop yields before it blocks. The yields take a few
	// microseconds, so the loop notices the end of a short run without being woken.
	maxIdleYields = 20
)

// Gate admits, queues and rejects requests. Create one with New and end it with Shutdown. Its methods are safe for
// concurrent use.
type Gate struct {
	loop         *server.Server // the event loop, which makes all decisions
	pool         *workerPool
	counters     *invariant.Counters
	store        *store.Store // nil without Options.State
	tenants      map[string]int
	overrunLimit int64
	queuedKB     float64 // memory in KiB that a queued request is counted with

	executions sync.Pool     // of *execution
	lastID     atomic.Uint64 // id of the latest execution

	shutdown  sync.Once
	loopEnded chan struct{} // closed once the event loop has ended
	closed    chan struct{} // closed once the store is closed, after loopEnded
	storeErr  error         // error of closing the store; set before closed is closed

	accepting atomic.Bool
	shedLevel atomic.Uint64 // math.Float64bits of the shed level
	estimates atomic.Pointer[estimate.Snapshot]

	received, served, rejected, aborted, canceled, overruns atomic.Int64
}

// New starts a gate, which runs until Shutdown. It returns an error if an option is out of range or if another process
// uses the directory of Options.State.
func New(options Options) (*Gate, error) {
	options = options.withDefaults()
	admissionSettings, err := options.settings()
	if err != nil {
		return nil, err
	}
	g := &Gate{
		counters: invariant.New(options.Log), tenants: map[string]int{}, overrunLimit: int64(options.OverrunLimit),
		queuedKB:  options.RequestKB / runningMemoryFactor,
		loopEnded: make(chan struct{}), closed: make(chan struct{}),
	}
	for index, tenant := range options.Tenants {
		g.tenants[tenant.Name] = index
	}
	g.accepting.Store(true)
	g.executions.New = func() any { return newExecution(g) }
	g.loop, err = server.New(settings.FromAdmission(admissionSettings, settings.ReadingNames...), options.Seed, server.Limits{
		MemoryMB: options.MemoryMB, Keys: true, Tenants: true, Calls: true, SkippableCalls: true, RunsEndOnlyByReport: true,
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
	g.pool.cancelRuns()
	close(g.loopEnded) // before the store is closed, so that a request that arrives now does not wait for the disk
	if g.store != nil {
		g.storeErr = g.store.Close()
	}
}

// Do runs a function as a request and returns the function's error, or one of these:
//
//   - *RejectedError, ErrShutDown or ErrKeyConflict: the function did not run;
//   - ErrAborted: the function may have run or may still be running;
//   - the cause of the context's end: the function may have run or may still be running.
//
// The function runs in a separate goroutine. Its context ends once the request is answered. If the function panics
// before the request is answered, Do panics with the same value; a later panic is counted and logged.
func (g *Gate) Do(ctx context.Context, request Request, run func(context.Context) error) error {
	_, err := g.do(ctx, request, nil, run)
	return err
}

// DoOnce is Do for a function with a result. A duplicate of a request with an idempotency key gets that result without
// another run. A run that ends with an error stores no result: duplicates get ErrAborted for as long as the key is
// known.
func (g *Gate) DoOnce(ctx context.Context, request Request, run func(context.Context) ([]byte, error)) ([]byte, error) {
	return g.do(ctx, request, run, nil)
}

// do runs whichever of the two functions is not nil.
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

// Shutdown drains the gate. Healthy returns false from then on, requests that arrive within Options.Grace may still
// run, and all received requests are answered before the context's deadline, or within 2.5 s if it has none.
//
// Shutdown returns nil once all requests are answered and the state is on disk. It returns ErrStateNotStored if writing
// the state fails or takes longer than a quarter of a second. Functions that ignore their contexts may still be
// running. The gate receives no requests afterwards; further calls of Shutdown wait for the first one.
func (g *Gate) Shutdown(ctx context.Context) error {
	timeout := defaultShutdownTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(deadline), 0)
	}
	g.shutdown.Do(func() {
		g.accepting.Store(false)
		g.loop.Drain(timeout)
	})
	// These waits don't end with the context: the event loop ends by its deadline, and a request that the loop has
	// answered must not be reported as one that never ran. The store closes within a quarter of a second.
	<-g.loopEnded
	<-g.closed
	if g.storeErr != nil {
		return fmt.Errorf("%w: %w", ErrStateNotStored, g.storeErr)
	}
	return nil
}

// Healthy reports whether the gate should receive new requests: it is not shut down, and fewer than
// Options.OverrunLimit runs continue after their answer.
func (g *Gate) Healthy() bool { return g.accepting.Load() && g.overruns.Load() < g.overrunLimit }

// ShedLevel returns the rank, from 0 to 1, below which callers should send no requests.
func (g *Gate) ShedLevel() float64 { return math.Float64frombits(g.shedLevel.Load()) }

// Estimates returns what the gate has learned about its routes. The snapshot is empty in the gate's first second.
func (g *Gate) Estimates() estimate.Snapshot {
	if snapshot := g.estimates.Load(); snapshot != nil {
		return *snapshot
	}
	return estimate.Snapshot{}
}

// Counts are the numbers of requests since the gate was started.
type Counts struct {
	Received int64 // requests received before the gate was shut down
	Served   int64 // answered with a result
	Rejected int64 // answered with a RejectedError
	Aborted  int64 // answered with ErrAborted or the error of their run
	Canceled int64 // requests whose caller's context ended before the answer; Ticket.Cancel is not counted
	Overruns int64 // answered requests whose run has not ended yet
}

// Counts returns the current counts.
func (g *Gate) Counts() Counts {
	return Counts{
		Received: g.received.Load(), Served: g.served.Load(), Rejected: g.rejected.Load(), Aborted: g.aborted.Load(),
		Canceled: g.canceled.Load(), Overruns: g.overruns.Load(),
	}
}
