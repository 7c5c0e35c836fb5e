package quartzpoint

import "context"

// Ticket is an admitted request that runs in its caller's goroutine. The caller must call Finish when the work is done.
type Ticket struct {
	execution *execution
	result    []byte
	duplicate bool
}

// Admit waits until the request may run in the caller's goroutine and returns its ticket. Its errors are those of Do.
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
	select {
	case <-e.started:
		return &Ticket{execution: e}, nil
	case <-e.answered:
		defer e.release()
		return e.answeredTicket()
	case <-ctx.Done():
		defer e.release()
		return nil, e.cancelFor(ctx)
	case <-g.loopEnded:
		defer e.release()
		if err := e.errAfterShutdown(); err != nil {
			return nil, err
		}
		return e.answeredTicket()
	}
}

// answeredTicket returns the ticket or the error of a request that was answered without a run of its own.
func (e *execution) answeredTicket() (*Ticket, error) {
	if e.err != nil {
		return nil, e.err
	}
	return &Ticket{duplicate: true, result: e.result}, nil
}

// Duplicate reports whether the request is a duplicate, and returns the result of the original. A duplicate must not be
// run.
func (t *Ticket) Duplicate() (result []byte, duplicate bool) { return t.result, t.duplicate }

// Context returns the context of the run, which ends when the request is aborted or canceled. It must not be called for
// a duplicate.
func (t *Ticket) Context() context.Context { return t.execution.runCtx }

// Cancel reports that the caller no longer waits for the answer. The work may continue until Finish.
func (t *Ticket) Cancel() {
	if !t.duplicate {
		t.execution.submitCancel()
	}
}

// Finish ends the request with its result, or with the error of the work. answers is false if the request was aborted
// or canceled before. The ticket must not be used afterwards.
func (t *Ticket) Finish(result []byte, err error) (answers bool) {
	if t.duplicate {
		return true
	}
	defer t.execution.release()
	return t.execution.finish(result, err)
}
