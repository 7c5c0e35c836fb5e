package quartzpoint

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"quartzpoint/internal/server"
)

// execution is the state of one request, from its arrival until nothing refers to it. It is then returned to the gate's
// pool of executions and serves another request.
//
// The caller, the event loop and the run each hold a reference, and so does the goroutine of Do's function, each Call in
// progress and each function that was submitted to the event loop and has not run yet. An execution is reused only after
// all references are released. Whatever may outlive its run, such as a Ticket or a context, refers to the runContext,
// which is not reused, and gets the execution from it only until the run ends.
type execution struct {
	gate         *Gate
	id           string
	arrive       func() // handleArrival as a function value, allocated once
	cancel       func() // handleCancel as a function value, allocated once
	started      chan struct{}
	answered     chan struct{}
	callDecision chan time.Duration // timeout of the run's next call; below 0 to continue without the call

	// Set before the request is submitted.
	ctx       context.Context
	request   Request
	arrivedAt time.Duration
	run       func(context.Context) ([]byte, error)
	runPlain  func(context.Context) error // used instead of run if there is no result
	onAbort   func()

	// Set before a value is sent on answered.
	result []byte
	err    error

	references atomic.Int32
	answeredBy atomic.Int32 // notAnswered until the run or the event loop answers, or the caller leaves
	handover   handover     // of the run

	// Used by the event loop only.
	serverRequest *server.Request // nil until the event loop has received the request
	running       bool
	startedAt     time.Duration
	settled       bool // answered or canceled
	overruns      bool // the run continues after the request was answered

	runCtx    *runContext // set when the run starts
	runResult []byte      // set when the run ends, as is runEnd
	runEnd    runEnd
}

// runEnd is what the end of a run means.
type runEnd int

const (
	runSucceeded  runEnd = iota // the work is done: duplicates of the request get its result
	runFailed                   // the work failed; duplicates are aborted
	runStopped                  // the work failed after the run's context had ended, which says nothing about the work
	runPanicked                 // as runFailed
	runNeverBegan               // the work has not begun and never will: the request may be sent again
)

var _ server.DependencyCaller = (*execution)(nil)

// Values of answeredBy. The end of a run and the event loop may both try to answer, and the caller may leave. The first
// one whose compare-and-swap succeeds decides the request's one outcome, so a run can answer without waiting for the
// event loop.
const (
	notAnswered int32 = iota
	answeredByRun
	answeredByLoop
	callerLeft
)

func newExecution(g *Gate) *execution {
	e := &execution{
		gate: g, callDecision: make(chan time.Duration, 1), started: make(chan struct{}, 1), answered: make(chan struct{}, 1),
	}
	e.arrive, e.cancel = e.handleArrival, e.handleCancel
	return e
}

// newRequest counts a request and returns its execution, ready to be submitted. It returns an error if the context or
// the event loop has ended.
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
	// A new id for each use, because the event loop may still refer to the previous one.
	e.id = strconv.FormatUint(g.lastID.Add(1), 36)
	e.ctx, e.request, e.arrivedAt = ctx, request, g.loop.Now()
	e.references.Store(2) // of the caller and of the event loop
	g.received.Add(1)
	return e, nil
}

// release drops one reference. The last release resets the execution and returns it to the pool.
func (e *execution) release() {
	if e.references.Add(-1) > 0 {
		return
	}
	e.ctx, e.request, e.run, e.runPlain, e.onAbort, e.result, e.err = nil, Request{}, nil, nil, nil, nil, nil
	e.serverRequest, e.running, e.settled, e.overruns = nil, false, false, false
	e.runCtx, e.runResult, e.runEnd = nil, nil, runSucceeded
	e.answeredBy.Store(notAnswered)
	e.handover.reset()
	select {
	case <-e.started:
	default:
	}
	select {
	case <-e.answered:
	default:
	}
	select {
	case <-e.callDecision:
	default:
	}
	e.gate.executions.Put(e)
}

// handleArrival passes the request to the server. It runs on the event loop.
func (e *execution) handleArrival() {
	g := e.gate
	g.pool.executions[e.id] = e
	incoming := server.IncomingRequest{
		ID: e.id, Route: e.request.Route, QueuedKB: g.queuedKB, Rank: e.request.Rank, Router: e.request.CallerID,
		Arrived: e.arrivedAt, Key: e.request.IdempotencyKey, Fingerprint: e.request.Fingerprint, Tenant: math.MaxInt, Caller: e,
	}
	if index, known := g.tenants[e.request.Tenant]; known {
		incoming.Tenant = index
	}
	deadline := earlierDeadline(e.ctx, e.request.Deadline)
	if !deadline.IsZero() {
		incoming.Timeout = max(time.Until(deadline)+g.loop.Now()-e.arrivedAt, 1) // from arrival; 0 would mean no timeout
	}
	g.loop.AssignSpareRoute(e.request.Route)
	if received := g.loop.Receive(incoming); received != nil && !e.settled {
		e.serverRequest = received
		return
	}
	e.forget() // answered at once
}

// earlierDeadline returns the earlier of the context's deadline and the given one; the zero time means no deadline.
func earlierDeadline(ctx context.Context, deadline time.Time) time.Time {
	if ofContext, ok := ctx.Deadline(); ok && (deadline.IsZero() || ofContext.Before(deadline)) {
		return ofContext
	}
	return deadline
}

// cancelRequest records that the caller no longer waits, and reports this to the event loop. It returns false if the
// request was answered before.
func (e *execution) cancelRequest() bool {
	if !e.answeredBy.CompareAndSwap(notAnswered, callerLeft) {
		return false
	}
	e.references.Add(1)
	e.gate.loop.Submit(e.cancel)
	return true
}

// handleCancel cancels the request. It runs on the event loop.
func (e *execution) handleCancel() {
	defer e.release()
	if e.settled || e.serverRequest == nil {
		return
	}
	e.settled = true
	if e.runCtx != nil {
		e.runCtx.callerLeft(e.timeLeft())
	}
	e.gate.loop.Cancel(e.serverRequest)
	if !e.running {
		e.forget()
	}
}

// timeLeft returns the time until the request's deadline. It runs on the event loop.
func (e *execution) timeLeft() time.Duration {
	deadline := e.serverRequest.Deadline
	if deadline == 0 {
		deadline = e.serverRequest.Arrived + e.serverRequest.Route.Deadline
	}
	return deadline - e.gate.loop.Now()
}

// leave gives up the request because its caller's context has ended, and returns the context's cause. If the request
// was answered before, leave returns nil and the answer is set.
func (e *execution) leave(ctx context.Context) error {
	if !e.cancelRequest() {
		<-e.answered // sent without waiting for anything by the one that answers
		return nil
	}
	e.gate.canceled.Add(1)
	e.withdraw()
	return context.Cause(ctx)
}

// withdraw keeps the run from beginning, and reports whether it does. It returns false if the work has begun.
func (e *execution) withdraw() bool {
	before := e.handover.withdraw()
	if before == offered {
		e.endRun(nil, runNeverBegan)
	}
	return before != taken
}

// awaitAnswer waits until the request is answered and then returns nil. If the context ends first, it returns the
// context's cause. If the event loop has ended without handling the request, it returns ErrShutDown.
func (e *execution) awaitAnswer(ctx context.Context) error {
	select {
	case <-e.answered:
		return nil
	case <-ctx.Done():
		return e.leave(ctx)
	case <-e.gate.loopEnded:
		return e.errAfterShutdown()
	}
}

// errAfterShutdown returns nil if the request was answered before the event loop ended. If it was not, it never runs, and
// errAfterShutdown returns ErrShutDown.
func (e *execution) errAfterShutdown() error {
	select {
	case <-e.answered:
		return nil
	default:
		e.withdraw()
		return ErrShutDown
	}
}

// forget releases the event loop's reference.
func (e *execution) forget() {
	delete(e.gate.pool.executions, e.id)
	e.release()
}

// Answer implements server.Caller. If the end of the run has already answered, or the caller has left, the caller gets
// no second answer.
func (e *execution) Answer(_ uint32, answer server.Answer) {
	e.settled = true
	answers := e.answeredBy.CompareAndSwap(notAnswered, answeredByLoop) // before the run can notice its abort
	overruns := e.running && !e.withdraw()
	if overruns {
		e.runCtx.cancel(context.Canceled)
	}
	if answers {
		e.setAnswer(answer)
		if overruns {
			e.reportOverrun()
		}
		e.answered <- struct{}{}
	}
	if e.serverRequest != nil && !e.running {
		e.forget()
	}
}

// reportOverrun counts a run that continues after its request was aborted, and has onAbort called.
func (e *execution) reportOverrun() {
	e.overruns = true
	e.gate.overruns.Add(1)
	if e.onAbort != nil {
		go e.onAbort() // not on the event loop: onAbort may write to a slow peer
	}
}

// setAnswer sets result and err from the server's answer and updates the counts.
func (e *execution) setAnswer(answer server.Answer) {
	switch answer.Verdict {
	case server.Served: // the request is a duplicate
		e.gate.served.Add(1)
		e.result = bytes.Clone(answer.Result) // the key table keeps its copy for further duplicates
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

// ReportHealth implements server.Caller. It does nothing: health checks of a gate use Gate.Healthy.
func (e *execution) ReportHealth(uint32, bool, string) {}

// runFunc runs the request's function in a separate goroutine, so that the caller is answered in time even if the
// function blocks.
func (e *execution) runFunc() {
	defer e.release()
	if e.ctx.Err() != nil {
		e.withdraw() // nobody waits any more
	}
	if !e.handover.take() {
		return
	}
	var result []byte
	err := errRunExited // replaced unless the function panics or ends its goroutine
	defer func() {
		if value := recover(); value != nil {
			result, err = nil, &panicError{value}
		}
		_, stopped := e.runCtx.end()
		e.finish(result, err, stopped)
	}()
	if e.runPlain != nil {
		err = e.runPlain(e.runCtx)
		return
	}
	result, err = e.run(e.runCtx)
}

// finish ends the run: it answers the request unless it is already answered, and reports the end to the event loop.
// stopped states that the run's context had ended before. answers reports whether finish answered the request.
func (e *execution) finish(result []byte, err error, stopped bool) (answers bool) {
	stored := result
	if e.request.IdempotencyKey != "" {
		stored = bytes.Clone(result) // stored for duplicates; the caller may modify the original
	}
	if answers = e.answeredBy.CompareAndSwap(notAnswered, answeredByRun); answers {
		if err == nil {
			e.gate.served.Add(1)
		} else {
			e.gate.aborted.Add(1)
		}
		e.result, e.err = result, err
		e.answered <- struct{}{}
	}
	e.endRun(stored, endOf(err, stopped))
	return answers
}

// endOf returns what the end of a run that began means.
func endOf(err error, stopped bool) runEnd {
	_, panicked := errors.AsType[*panicError](err)
	switch {
	case err == nil:
		return runSucceeded
	case panicked:
		return runPanicked
	case stopped:
		return runStopped
	default:
		return runFailed
	}
}

// endRun reports the one end of the run to the event loop. The goroutine that took the run calls it, or the one that
// withdrew the offered run.
func (e *execution) endRun(result []byte, end runEnd) {
	e.runResult, e.runEnd = result, end
	e.gate.pool.reportEnd(e)
}
