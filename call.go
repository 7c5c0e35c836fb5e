package quartzpoint

import (
	"context"
	"time"

	"quartzpoint/admission"
)

// Call makes a call to the dependency that Options.Calls describes. ctx must be the context of a run or derived from
// it. Call waits until the dependency has capacity for the call. If the call fails and the route allows it, Call
// retries with backoff.
//
// It returns nil once a call succeeds, ErrCallSkipped if the run should continue without the call, or the context's
// error. Outside a run it calls the function once, without a limit or retries.
func Call(ctx context.Context, call func(context.Context) error) error {
	runCtx, ok := ctx.Value(runContextKey{}).(*runContext)
	if !ok {
		return call(ctx)
	}
	e := runCtx.reference()
	if e == nil {
		return context.Canceled // the run has ended
	}
	defer e.release()
	loop := e.gate.loop
	e.submit(func() { loop.AwaitCall(e.serverRequest) })
	for {
		var timeout time.Duration
		select {
		case timeout = <-e.callDecision:
		case <-ctx.Done():
			e.submit(func() { loop.RecordCallEnd(e.serverRequest, admission.NotRun, 0) })
			return ctx.Err()
		}
		if timeout < 0 {
			return ErrCallSkipped
		}
		outcome, took := attempt(ctx, timeout, call)
		e.submit(func() { loop.RecordCallEnd(e.serverRequest, outcome, took) })
		if outcome == admission.Succeeded {
			return nil
		}
	}
}

// attempt makes the call once, with the given timeout, and returns its outcome and duration. The outcome is unknown if
// the call failed after its context had ended.
func attempt(ctx context.Context, timeout time.Duration, call func(context.Context) error) (admission.Outcome, time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(ctx)
	took := time.Since(began)
	switch {
	case err == nil:
		return admission.Succeeded, took
	case ctx.Err() != nil:
		return admission.Unknown, took
	default:
		return admission.Failed, took
	}
}

// submit runs report on the event loop, unless the run has ended by then.
func (e *execution) submit(report func()) {
	e.references.Add(1)
	e.gate.loop.Submit(func() {
		defer e.release()
		if e.running {
			report()
		}
	})
}

// AllowCall implements server.DependencyCaller.
func (e *execution) AllowCall(timeout time.Duration) { e.sendCallDecision(timeout) }

// SkipCall implements server.DependencyCaller.
func (e *execution) SkipCall() { e.sendCallDecision(-1) }

func (e *execution) sendCallDecision(timeout time.Duration) {
	select {
	case e.callDecision <- timeout:
	default: // the previous decision was not received, because the context of its call had ended
	}
}
