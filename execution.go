package quartzpoint

import (
	"bytes"
	"context"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"quartzpoint/internal/server"
)

// execution is a request from its arrival until nothing refers to it. Then it goes back to the gate's pool of executions.
//
// The caller, the event loop and the run each hold a reference, and so does what was submitted to the event loop and not
// handled yet: an execution is not used for another request before all have released it.
type execution struct {
	gate     *Gate
	id       string
	arrive   func() // handleArrival, made once
	cancel   func() // handleCancel, made once
	started  chan struct{}
	answered chan struct{}
	callTurn chan time.Duration // how long the run's call may take, below 0 to go on without it

	// Set before the request is submitted.
	ctx       context.Context
	request   Request
	arrivedAt time.Duration
	run       func(context.Context) ([]byte, error)
	runPlain  func(context.Context) error // in place of run, without a result
	onAbort   func()

	// Set before answered is sent to.
	result []byte
	err    error

	references atomic.Int32
	answeredBy atomic.Int32 // who answers is who moves it from nobody

	// Of the event loop alone.
	decided   *server.Request // nil until the decisions have received it
	running   bool
	startedAt time.Duration
	settled   bool // answered or canceled
	overruns  bool // it runs on past its answer

	runCtx    *runContext // set as the run starts
	runResult []byte      // set as it ends, with runErr
	runErr    error
}

var _ server.DependencyCaller = (*execution)(nil)

// The values of answeredBy. The end of a run and the event loop may both want to answer. The one that moves the value does, so
// that the answer of a run need not wait for the event loop.
const (
	nobody int32 = iota
	byRun
	byLoop
)

func newExecution(g *Gate) *execution {
	e := &execution{
		gate: g, callTurn: make(chan time.Duration, 1), started: make(chan struct{}, 1), answered: make(chan struct{}, 1),
	}
	e.arrive, e.cancel = e.handleArrival, e.handleCancel
	return e
}

// newRequest counts a request and returns its execution, ready to be submitted.
func (g *Gate) newRequest(ctx context.Context, request Request) (*execution, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	select {
	case <-g.loopEnded:
		return nil, ErrShutDown
	default:
	}
	e := g.executions.Get().(*execution)
	// New with each use: the event loop may still have to forget the one before.
	e.id = strconv.FormatUint(g.lastID.Add(1), 36)
	e.ctx, e.request, e.arrivedAt = ctx, request, g.loop.Now()
	e.references.Store(2) // of the caller and of the event loop
	g.received.Add(1)
	return e, nil
}

// release gives up one reference.
func (e *execution) release() {
	if e.references.Add(-1) > 0 {
		return
	}
	e.ctx, e.request, e.run, e.runPlain, e.onAbort, e.result, e.err = nil, Request{}, nil, nil, nil, nil, nil
	e.decided, e.running, e.settled, e.overruns = nil, false, false, false
	e.runCtx, e.runResult, e.runErr = nil, nil, nil
	e.answeredBy.Store(nobody)
	select {
	case <-e.started:
	default:
	}
	select {
	case <-e.answered:
	default:
	}
	select {
	case <-e.callTurn:
	default:
	}
	e.gate.executions.Put(e)
}

// handleArrival hands the request to the decisions, in the event loop.
func (e *execution) handleArrival() {
	g := e.gate
	g.pool.executions[e.id] = e
	incoming := server.Incoming{
		ID: e.id, Route: e.request.Route, HeldKB: g.queuedKB, Rank: e.request.Rank, Router: e.request.CallerID,
		Arrived: e.arrivedAt, Key: e.request.IdempotencyKey, Fingerprint: e.request.Fingerprint, Tenant: math.MaxInt, Caller: e,
	}
	if index, known := g.tenants[e.request.Tenant]; known {
		incoming.Tenant = index
	}
	deadline := earlierDeadline(e.ctx, e.request.Deadline)
	if !deadline.IsZero() {
		incoming.Timeout = max(time.Until(deadline)+g.loop.Now()-e.arrivedAt, 1)
	}
	g.loop.AdoptRoute(e.request.Route)
	if decided := g.loop.Receive(incoming); decided != nil && !e.settled {
		e.decided = decided
		return
	}
	e.forget() // answered at once
}

// earlierDeadline is the earlier of a context's deadline and another; zero is none.
func earlierDeadline(ctx context.Context, deadline time.Time) time.Time {
	if ofContext, ok := ctx.Deadline(); ok && (deadline.IsZero() || ofContext.Before(deadline)) {
		return ofContext
	}
	return deadline
}

// submitCancel reports to the event loop that the caller is gone.
func (e *execution) submitCancel() {
	e.answeredBy.CompareAndSwap(nobody, byLoop) // nobody is left to answer
	e.references.Add(1)
	e.gate.loop.Submit(e.cancel)
}

// handleCancel cancels the request, in the event loop.
func (e *execution) handleCancel() {
	defer e.release()
	if e.settled || e.decided == nil {
		return
	}
	e.settled = true
	if e.runCtx != nil {
		e.runCtx.cancel(context.Canceled)
	}
	e.gate.loop.Cancel(e.decided)
	if !e.running {
		e.forget()
	}
}

// cancelFor cancels a request whose caller's context has ended, and returns the caller's error.
func (e *execution) cancelFor(ctx context.Context) error {
	e.gate.canceled.Add(1)
	e.submitCancel()
	return context.Cause(ctx)
}

// awaitAnswer waits until the request is answered, and returns nil then. It returns the caller's error where the context ends
// first, and ErrShutDown where the event loop ended and had not come to the request.
func (e *execution) awaitAnswer(ctx context.Context) error {
	select {
	case <-e.answered:
		return nil
	case <-ctx.Done():
		return e.cancelFor(ctx)
	case <-e.gate.loopEnded:
		return e.errAfterShutdown()
	}
}

// errAfterShutdown is nil for a request that the event loop had answered as it ended, and ErrShutDown for one that it did not
// come to.
func (e *execution) errAfterShutdown() error {
	select {
	case <-e.answered:
		return nil
	default:
		return ErrShutDown
	}
}

// forget releases the event loop's reference.
func (e *execution) forget() {
	delete(e.gate.pool.executions, e.id)
	e.release()
}

// Answer implements server.Caller. The answer of a run that has ended was given by its end.
func (e *execution) Answer(_ uint32, answer server.Answer) {
	e.settled = true
	if e.answeredBy.CompareAndSwap(nobody, byLoop) {
		e.setAnswer(answer)
		if e.running {
			e.overruns = true
			e.gate.overruns.Add(1)
			e.runCtx.cancel(ErrAborted)
			if e.onAbort != nil {
				go e.onAbort() // not in the event loop: it may write to a slow peer
			}
		}
		e.answered <- struct{}{}
	}
	if e.decided != nil && !e.running {
		e.forget()
	}
}

// setAnswer sets result, err and the counts by the decisions' answer.
func (e *execution) setAnswer(answer server.Answer) {
	switch answer.Verdict {
	case server.Served: // a duplicate
		e.gate.served.Add(1)
		e.result = bytes.Clone(answer.Result) // the table of keys keeps its own for further duplicates
	case server.Rejected:
		e.gate.rejected.Add(1)
		e.err = &RejectedError{RetryAfter: answer.RetryAfter, NoRetryElsewhere: answer.NoRetryElsewhere}
	case server.KeyConflict:
		e.err = ErrKeyConflict
	default:
		e.gate.aborted.Add(1)
		e.err = ErrAborted
	}
}

// ReportHealth implements server.Caller. Health checks of a gate come by Gate.Healthy.
func (e *execution) ReportHealth(uint32, bool, string) {}

// runFunc runs the request's function in a goroutine of its own, so that the caller is answered in time whatever it does.
func (e *execution) runFunc() {
	defer func() {
		if value := recover(); value != nil {
			e.finish(nil, &panicError{value})
		}
	}()
	if e.runPlain != nil {
		e.finish(nil, e.runPlain(e.runCtx))
		return
	}
	result, err := e.run(e.runCtx)
	e.finish(result, err)
}

// finish answers with the end of the run, unless the request was answered before, and reports the end to the event loop.
func (e *execution) finish(result []byte, err error) (answers bool) {
	e.runCtx.end()
	if e.runResult, e.runErr = result, err; e.request.IdempotencyKey != "" {
		e.runResult = bytes.Clone(result) // for duplicates: the caller may change its own as soon as it has it
	}
	if answers = e.answeredBy.CompareAndSwap(nobody, byRun); answers {
		if err == nil {
			e.gate.served.Add(1)
		} else {
			e.gate.aborted.Add(1)
		}
		e.result, e.err = result, err
		e.answered <- struct{}{}
	}
	e.gate.pool.reportEnd(e)
	return answers
}
