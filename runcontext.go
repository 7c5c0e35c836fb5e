package quartzpoint

import (
	"context"
	"sync"
	"time"
)

// runContext is the context of a run. It is separate from the execution, which is reused: goroutines that a run started
// may refer to its context long after the run.
//
// It implements context.Context itself in order to create the channel only when Done is called. Most runs never call
// Done, and their context costs one allocation.
type runContext struct {
	caller   context.Context
	deadline time.Time // of the request; zero for none

	mu        sync.Mutex
	execution *execution // nil once the run has ended
	done      chan struct{}
	err       error       // cause of the end; nil before
	detach    func() bool // stops the propagation of the caller's cancellation
}

// end detaches the execution and cancels the context when the run ends.
func (r *runContext) end() {
	r.mu.Lock()
	r.execution = nil
	r.mu.Unlock()
	r.cancel(context.Canceled)
}

// cancel ends the context with the given cause; only the first call has an effect.
func (r *runContext) cancel(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	r.err = cause
	if r.done != nil {
		close(r.done)
	}
	if r.detach != nil {
		r.detach()
	}
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

// Deadline implements context.Context, as do the methods below.
func (r *runContext) Deadline() (time.Time, bool) {
	deadline := earlierDeadline(r.caller, r.deadline)
	return deadline, !deadline.IsZero()
}

// Done creates the channel on the first call.
func (r *runContext) Done() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done == nil {
		r.done = make(chan struct{})
		if r.err != nil {
			close(r.done)
		} else if r.caller.Done() != nil {
			r.detach = context.AfterFunc(r.caller, func() { r.cancel(context.Cause(r.caller)) })
		}
	}
	return r.done
}

func (r *runContext) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return context.Canceled
	}
	return r.caller.Err()
}

func (r *runContext) Value(key any) any {
	if _, ok := key.(runContextKey); ok {
		return r
	}
	return r.caller.Value(key)
}

// runContextKey is the key under which contexts derived from a run's context return that context.
type runContextKey struct{}
