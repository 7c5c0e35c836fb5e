package quartzpoint

import "context"

// Ticket is an admitted request that runs in its caller's goroutine.
//
// The life of a request is the same with Do, with Admit and with the middleware:
//
//   - Its run begins at most once: when Admit returns its ticket, or when Do's function is called. If the caller leaves or
//     the request is aborted before that, the run never begins, and the request may be sent again.
//   - From then on the run belongs to the goroutine that executes it. It is in flight until that goroutine ends it, by
//     Finish or by returning from Do's function, and neither an abort nor a caller that leaves ends it. They end the run's
//     context: an abort always, a caller that leaves only if the route is Retryable, because a duplicate of another
//     request is answered from its run. That run's context ends with the request's deadline or the shutdown.
//   - The request has one outcome: the first of the run's end, an abort, and the caller's leaving.
//   - A run that ends without an error has done its work. Its result is that of the request, and duplicates get it even if
//     the request itself was aborted or its caller has left. A run that ends with an error may have had an effect and
//     has no result: duplicates are aborted.
//
// The ticket is the only way to the run, and refers to no other request after Finish.
type Ticket struct {
	run       *runContext
	result    []byte
	duplicate bool
}

// Admit waits until the request may run in the caller's goroutine and returns its ticket. The caller must then call
// Finish when the work is done. If Admit returns an error, there is nothing to finish; its errors are those of Do.
//
// onAbort, which may be nil, is called at most once, in a separate goroutine, if the request is aborted while it runs.
// It should answer the caller and end the work.
func (g *Gate) Admit(ctx context.Context, request Request, onAbort func()) (*Ticket, error) {
	e, err := g.newRequest(ctx, request)
	if err != nil {
		return nil, err
	}
	e.onAbort = onAbort
	g.loop.Submit(e.arrive)
	began, err := e.awaitRun(ctx)
	if began {
		return &Ticket{run: e.runCtx}, nil // holds the caller's reference until Finish
	}
	defer e.release()
	switch {
	case err != nil:
		return nil, err
	case e.err != nil:
		return nil, e.err
	default:
		return &Ticket{duplicate: true, result: e.result}, nil
	}
}

// awaitRun waits until the run begins or the request is answered without one. Its error is that of awaitAnswer.
func (e *execution) awaitRun(ctx context.Context) (began bool, err error) {
	select {
	case <-e.started:
		if ctx.Err() != nil {
			return false, e.leave(ctx)
		}
		if e.handover.take() {
			return true, nil
		}
		<-e.answered // the event loop has aborted the request meanwhile
		return false, nil
	case <-e.answered:
		return false, nil
	case <-ctx.Done():
		return false, e.leave(ctx)
	case <-e.gate.loopEnded:
		return false, e.errAfterShutdown()
	}
}

// Duplicate reports whether the request is a duplicate, and returns the result of the original. A duplicate must not be
// run.
func (t *Ticket) Duplicate() (result []byte, duplicate bool) { return t.result, t.duplicate }

// Context returns the context of the run, which ends when the request is aborted, when the caller of a Retryable request
// leaves, or with the run. It must not be called for a duplicate.
func (t *Ticket) Context() context.Context { return t.run }

// Interrupted reports whether the work may have returned without being done: the run's context has ended, and the work
// has asked for its end. Work that can't report an error should then be finished with one. Interrupted must be called
// before Finish, and not for a duplicate.
func (t *Ticket) Interrupted() bool { return t.run.interrupted() }

// Cancel reports that the caller no longer waits for the answer. The work may continue until Finish; after Finish, Cancel
// has no effect. Any goroutine may call it.
func (t *Ticket) Cancel() {
	if t.duplicate {
		return
	}
	if e := t.run.reference(); e != nil {
		defer e.release()
		e.cancelRequest()
	}
}

// Finish ends the run with its result, or with the error of the work. answers is false if the request was aborted or
// canceled before, or the run was finished before.
func (t *Ticket) Finish(result []byte, err error) (answers bool) {
	if t.duplicate {
		return true
	}
	e, stopped := t.run.end()
	if e == nil {
		return false
	}
	defer e.release()
	return e.finish(result, err, stopped)
}
