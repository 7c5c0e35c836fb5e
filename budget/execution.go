package budget

import "time"

// maxAttempts of a call: the first, and one retry or hedged request.
const maxAttempts = 2

// Verdict is how a request is answered.
type Verdict int

// The verdicts.
const (
	Complete Verdict = iota // all parts are there and fresh
	Partial                 // all required parts are there; others are missing or replaced by fallbacks
	Aborted                 // a required part is missing
)

// PartStatus is why a call's part is there or missing.
type PartStatus int

// The statuses. With Fresh and UsedFallback the part is there.
const (
	Fresh PartStatus = iota
	UsedFallback
	DeadlineTooClose // not started, or skipped: too little time was left
	OverLimit        // no slot came free in time, or the queue was full
	BreakerOpen
	CallFailed
	TimedOut
	EffectUnknown // an at-most-once call that may or may not have taken effect
)

// String is the name that answers carry.
func (p PartStatus) String() string {
	return [...]string{"fresh", "fell back", "no time", "no room", "breaker open", "failed", "late", "unclear"}[p]
}

// phase is where a call stands.
type phase int

const (
	phasePending      phase = iota // waits for the calls it depends on
	phaseQueued                    // waits for a slot
	phaseInFlight                  // has attempts in flight
	phaseRetryBackoff              // waits before its retry
	phaseSettled                   // its part is there, or will not come
)

// callState is what became of one call so far.
type callState struct {
	phase          phase
	available      bool // its part is there; only once settled
	status         PartStatus
	attempts       int
	inFlight       [maxAttempts]bool
	startedAt      [maxAttempts]time.Duration
	deadline       time.Duration // of the attempts in flight, or of waiting in the queue
	retryOrHedgeAt time.Duration // 0 without one due
}

// Execution is one request in progress.
type Execution struct {
	Ref      any // of the Executor; not touched here
	plan     *Plan
	deadline time.Duration // of the last part: the request's own less the plan's reserve
	calls    [MaxCalls]callState
	finished bool
}

// Plan is the plan that the request follows.
func (e *Execution) Plan() *Plan { return e.plan }

// PartStatus is what became of a call; available tells whether its part is there.
func (e *Execution) PartStatus(call int) (available bool, status PartStatus) {
	return e.calls[call].available, e.calls[call].status
}

// Value is the summed value of the available parts over that of all parts, from 0 to 1.
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

// verdict follows from the calls once all that will come is there.
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

// ready reports whether all that a call depends on is settled.
func (e *Execution) ready(call int) bool {
	for i := range e.plan.Calls {
		if e.plan.dependsOn[call][i] && e.calls[i].phase != phaseSettled {
			return false
		}
	}
	return true
}
