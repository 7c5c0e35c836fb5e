package admission

import "time"

// Round holds all events up to one point in time, grouped by kind.
type Round struct {
	Now              time.Duration // must be above 0, as 0 means no time in many fields
	StopAt           time.Duration // when the process is stopped; set in the round of the notice to shut down
	NotifiedAt       time.Duration // when that notice was received; 0 means in this round
	WorkersStartedAt time.Duration // start of the machine's workers, which are cold from then on; set in the round that reports it
	CallsEnded       []Completion
	AwaitingCall     []*Request   // running requests that need a call to continue
	RunsEnded        []Completion // includes duplicates that were answered from their original, as Succeeded
	Canceled         []*Request   // requests whose callers no longer wait
	Arrived          []*Request
	Gauges           *Gauges       // set in the rounds that Executor.WakeAfter asked for
	GaugesAge        time.Duration // 0 if they were read in this round
}

// Reset empties the round for reuse. It keeps the memory of its lists and drops their references to requests.
func (r *Round) Reset() {
	clear(r.CallsEnded)
	clear(r.AwaitingCall)
	clear(r.RunsEnded)
	clear(r.Canceled)
	clear(r.Arrived)
	*r = Round{
		CallsEnded: r.CallsEnded[:0], AwaitingCall: r.AwaitingCall[:0], RunsEnded: r.RunsEnded[:0],
		Canceled: r.Canceled[:0], Arrived: r.Arrived[:0],
	}
}

// Gauges are readings of the machine.
type Gauges struct {
	CPU         float64 // busy fraction of the cores over the last half second
	Runnable    float64 // runs and reads of requests that currently want a core
	Memory      float64 // fraction in use
	Connections float64 // open
}

// Completion is the end of a run or of a call.
type Completion struct {
	Request *Request
	Outcome Outcome
	Took    time.Duration
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes.
const (
	Succeeded    Outcome = iota
	Failed               // it ran and ended with an error
	NotRun               // a call that certainly had no effect
	Unknown              // a call that may have taken effect
	Stopped              // a run that was stopped
	NeverStarted         // a run that did not begin and never will
)

// Executor carries out the decisions of a round in the order in which its methods are called. Its methods must not call
// the Controller.
type Executor interface {
	// Start starts a run of a queued request, or resumes one that was paused.
	Start(request *Request)
	// Pause stops the run of an answered request in the way that the Preemption of the settings allows.
	Pause(request *Request)
	// Reject answers a request that never ran. retryAfter is how long its caller is asked to wait before a retry, 0 for
	// no advice; noRetryElsewhere asks it not to try another server either.
	Reject(request *Request, retryAfter time.Duration, noRetryElsewhere bool)
	// Abort answers a request that may have run, without a result.
	Abort(request *Request)
	// AnswerFromOriginal answers a duplicate with the answer of its original as soon as that exists.
	AnswerFromOriginal(request *Request)
	// RememberKey keeps the request's idempotency key for lifetime; ForgetKey drops it.
	RememberKey(request *Request, lifetime time.Duration)
	ForgetKey(request *Request)
	// Call makes the request's call and abandons it after timeout.
	Call(request *Request, timeout time.Duration)
	// SkipCall lets the request's run continue without its call.
	SkipCall(request *Request)
	// SetHealth sets the answer to health checks from now on. If withoutWorkers is set, deep checks get this answer too,
	// without asking the workers.
	SetHealth(healthy, withoutWorkers bool)
	// SetShedLevel sets the shed level that answers carry from now on, in the format of the settings.
	SetShedLevel(level float64)
	// SetIdleTimeout sets how long a connection may be idle from now on before it is closed.
	SetIdleTimeout(timeout time.Duration)
	// WakeAfter requests a round with Gauges after wait.
	WakeAfter(wait time.Duration)
	// Log logs a message that operators may act on.
	Log(message string)
}
