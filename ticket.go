package quartzpoint

import "context"

// Ticket is a request that was admitted and runs in its caller's own goroutine. Finish must be called once its work is over.
type Ticket struct {
	execution *execution
	result    []byte
	duplicate bool
}

// Admit waits until a request may run in the caller's own goroutine and returns its ticket, or an error as Do does.
//
// onAbort, which may be nil, is called at most once, from a goroutine of its own, if the request is answered while it runs:
// the caller is to be answered then, and the work to end.
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

// answeredTicket is the ticket of a request that was answered without a run of its own, or its error.
func (e *execution) answeredTicket() (*Ticket, error) {
	if e.err != nil {
		return nil, e.err
	}
	return &Ticket{duplicate: true, result: e.result}, nil
}

// Duplicate is whether the request is a duplicate that is answered with the result of its original. It must not run then.
func (t *Ticket) Duplicate() (result []byte, duplicate bool) { return t.result, t.duplicate }

// Context is the context of the work: it ends when the request is aborted or canceled. It must not be called for a duplicate.
func (t *Ticket) Context() context.Context { return t.execution.runCtx }

// Cancel reports that nobody waits for the request any more. Its work may go on, up to Finish.
func (t *Ticket) Cancel() {
	if !t.duplicate {
		t.execution.submitCancel()
	}
}

// Finish ends the request with its result, or the error of its work. It returns whether that is the answer: false where the
// request was aborted or canceled before. The ticket must not be used after it.
func (t *Ticket) Finish(result []byte, err error) (answers bool) {
	if t.duplicate {
		return true
	}
	defer t.execution.release()
	return t.execution.finish(result, err)
}
