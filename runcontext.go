package quartzpoint

import (
	"context"
	"sync"
	"time"
)

// runContext is the context of a run. It is separate from the execution, which is reused: goroutines that a run started
// may refer to its context long after the run, and a ticket may be canceled after it is finished.
//
// It implements context.Context itself in order to create the channel only when Done is called. Most runs never call
// Done, and their context costs one allocation.
type runContext struct {
	caller   context.Context
	deadline time.Time // of the request; zero for none

	mu             sync.Mutex
	execution      *execution // nil once the run has ended
	done           chan struct{}
	err            error       // nil until the context has ended
	detach         func() bool // stops what ends the context: the caller's, or a timer after the caller has left
	observed       bool        // the work has asked for the end of the context, so it may have returned because of it
	endsWithCaller bool        // the context ends with the caller's; not changed after the start
}

// end detaches the execution and ends the context when the run ends. It returns nil if the run has ended before. stopped
// reports whether the context had ended before the run.
func (r *runContext) end() (e *execution, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, r.execution = r.execution, nil
	stopped = r.currentErr() != nil
	r.cancelLocked(context.Canceled)
	return e, stopped
}

// cancel ends the context with an error of package context; only the first call has an effect.
func (r *runContext) cancel(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelLocked(err)
}

// cancelLocked is cancel for callers that hold mu.
func (r *runContext) cancelLocked(err error) {
	if r.err != nil {
		return
	}
	r.err = err
	if r.done != nil {
		close(r.done)
	}
	if r.detach != nil {
		r.detach()
	}
}

// callerLeft ends the context if it ends with the caller's, and otherwise once the time that is left to the request has
// passed: the event loop does not abort requests whose callers have left.
func (r *runContext) callerLeft(timeLeft time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.endsWithCaller:
		r.cancelLocked(context.Canceled)
	case r.err == nil:
		r.detach = time.AfterFunc(timeLeft, func() { r.cancel(context.DeadlineExceeded) }).Stop
	}
}

// currentErr returns the error of the context, after it has ended the context if the caller's has ended. The caller must
// hold mu.
func (r *runContext) currentErr() error {
	if r.err == nil && r.endsWithCaller {
		if err := r.caller.Err(); err != nil {
			r.cancelLocked(err)
		}
	}
	return r.err
}

// reference acquires a reference to the execution, which the caller must release. It returns nil if the run has ended.
func (r *runContext) reference() *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.execution != nil {
		r.execution.references.Add(1)
	}
	return r.execution
}

// interrupted implements Ticket.Interrupted.
func (r *runContext) interrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observed && r.currentErr() != nil
}

// Deadline implements context.Context, as do the methods below.
func (r *runContext) Deadline() (time.Time, bool) {
	deadline := earlierDeadline(r.caller, r.deadline)
	if deadline.IsZero() {
		return deadline, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = true
	return deadline, true
}

// Done creates the channel on the first call.
func (r *runContext) Done() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = true
	if r.done != nil {
		return r.done
	}
	ended := r.currentErr() != nil
	r.done = make(chan struct{})
	switch {
	case ended:
		close(r.done)
	case r.endsWithCaller && r.caller.Done() != nil:
		r.detach = context.AfterFunc(r.caller, func() { r.cancel(r.caller.Err()) })
	}
	return r.done
}

func (r *runContext) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.currentErr()
	r.observed = r.observed || err != nil
	return err
}

func (r *runContext) Value(key any) any {
	if _, ok := key.(runContextKey); ok {
		return r
	}
	return r.caller.Value(key)
}

// runContextKey is the key under which contexts derived from a run's context return that context.
type runContextKey struct{}
