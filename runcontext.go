package quartzpoint

import (
	"context"
	"sync"
	"time"
)

// runContext is the context of a run. It is no part of the execution, which is used again: what a run has started may refer to
// its context long after the run.
//
// It is written here, and not made by the context package, as most runs never ask for Done: then it costs one allocation.
type runContext struct {
	caller   context.Context
	deadline time.Time // the request's; zero for none

	mu        sync.Mutex
	execution *execution // nil once the run has ended
	done      chan struct{}
	err       error       // why it ended; nil before
	detach    func() bool // from the caller's context
}

// end ends the context with its run.
func (r *runContext) end() {
	r.mu.Lock()
	r.execution = nil
	r.mu.Unlock()
	r.cancel(context.Canceled)
}

// cancel ends the context; only the first call has an effect.
func (r *runContext) cancel(why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	r.err = why
	if r.done != nil {
		close(r.done)
	}
	if r.detach != nil {
		r.detach()
	}
}

// reference returns the execution with a reference that the caller must release, or nil if the run has ended.
func (r *runContext) reference() *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.execution != nil {
		r.execution.references.Add(1)
	}
	return r.execution
}

// Deadline implements context.Context, as do the methods below it.
func (r *runContext) Deadline() (time.Time, bool) {
	deadline := earlierDeadline(r.caller, r.deadline)
	return deadline, !deadline.IsZero()
}

// Done makes the channel when it is first asked for.
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

// runContextKey is the key under which a run's context is found in those derived from it.
type runContextKey struct{}
