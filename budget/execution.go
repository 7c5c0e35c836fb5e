package budget

import "time"

// maxAttempts is the maximum number of attempts of a call: the first, and one retry or hedged request.
const maxAttempts = 2

// Verdict states how a request is answered.
type Verdict int

// The verdicts.
const (
	Complete Verdict = iota // all parts are available and fresh
	Partial                 // all required parts are available; some part is missing or a fallback
	Aborted                 // a required part is missing
)

// PartStatus states why a call's part is available or missing.
type PartStatus int

// The statuses. The part is available with Fresh and UsedFallback, and missing with the others.
const (
	Fresh            PartStatus = iota // the result of the call itself
	UsedFallback                       // a stored result or a constant
	DeadlineTooClose                   // not started, or skipped: too little time was left
	OverLimit                          // no slot became free in time, or the queue was full
	BreakerOpen
	CallFailed
	TimedOut
	EffectUnknown // an at-most-once call that may or may not have taken effect
)

// String returns the name that answers carry.
func (p PartStatus) String() string {
	return [...]string{"fresh", "fell back", "no time", "no room", "breaker open", "failed", "late", "unclear"}[p]
}

// phase is the progress of a call.
type phase int

const (
	phasePending      phase = iota // waits for the calls it depends on
	phaseQueued                    // waits for a slot
	phaseInFlight                  // has attempts in flight
	phaseRetryBackoff              // waits before its retry
	phaseSettled                   // its part is available, or will stay missing
)

// callState is the state of one call of an execution.
type callState struct {
	phase          phase
	available      bool // whether its part is available; valid once settled
	status         PartStatus
	attempts       int
	inFlight       [maxAttempts]bool
	startedAt      [maxAttempts]time.Duration
	deadline       time.Duration // of the attempts in flight, or of waiting in the queue
	retryOrHedgeAt time.Duration // 0 if none is due
}

// Execution is one request in progress.
type Execution struct {
	Ref      any // the Executor's own value, cleared when the execution is recycled
	plan     *Plan
	deadline time.Duration // of the last part: the request's deadline minus the plan's reserve
	calls    [MaxCalls]callState
	finished bool
}

// Plan returns the plan that the request follows.
func (e *Execution) Plan() *Plan { return e.plan }

// PartStatus returns the status of a call's part, and whether the part is available.
func (e *Execution) PartStatus(call int) (available bool, status PartStatus) {
	return e.calls[call].available, e.calls[call].status
}

// Value returns the total value of the available parts divided by that of all parts, from 0 to 1. It is 1 if no part
// has a value.
func (e *Execution) Value() float64 {
	available, total := 0.0, 0.0
	for i, c := range e.plan.Calls {
		total += c.Value
		if e.calls[i].available {
			available += c.Value
		}
	}
	if total == 0 {
		return 1
	}
	return available / total
}

// verdict returns the verdict on the available parts, once no more are awaited.
func (e *Execution) verdict() Verdict {
	verdict := Complete
	for i, c := range e.plan.Calls {
		state := &e.calls[i]
		if !state.available && c.Required {
			return Aborted
		}
		if !state.available || state.status != Fresh {
			verdict = Partial
		}
	}
	return verdict
}

// ready reports whether all calls that a call depends on are settled.
func (e *Execution) ready(call int) bool {
	for i := range e.plan.Calls {
		if e.plan.dependsOn[call][i] && e.calls[i].phase != phaseSettled {
			return false
		}
	}
	return true
}
