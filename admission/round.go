package admission

import "time"

// Round is all that happened up to one moment, grouped by what it means to the server.
type Round struct {
	Now              time.Duration // above 0, as 0 stands for no moment in many fields
	StopAt           time.Duration // set in the round of the notice to shut down: when the process is stopped
	NotifiedAt       time.Duration // with it, when the notice came; 0 for in this round
	WorkersStartedAt time.Duration // when the machine's workers started, in the round that learns of it: they are cold from then on
	CallsEnded       []Completion
	AwaitingCall     []*Request   // running requests that need a call to go on
	RunsEnded        []Completion // and duplicates that were answered from their original, as Succeeded
	Canceled         []*Request   // nobody waits for them any more
	Arrived          []*Request
	Gauges           *Gauges       // set in the rounds that Executor.WakeAfter asked for
	GaugesAge        time.Duration // of the gauges; 0 for read in this round
}

// Reset empties a round for the next one. It keeps the memory of its lists, and lets go of their requests.
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
	CPU         float64 // busy share of the cores over the last half second
	Runnable    float64 // all that wants a core now: runs, and reads of requests
	Memory      float64 // share in use
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
	Failed               // it ran, and ended with an error
	NotRun               // a call that certainly had no effect
	Unknown              // a call that may have had its effect
	Stopped              // a run that was stopped
	NeverStarted         // a run that did not begin and will not
)

// Executor carries out the decisions of a round, in their order. Its methods must not call the Controller.
type Executor interface {
	// Start starts a run of a queued request, or resumes one that was paused.
	Start(request *Request)
	// Pause stops the run of an answered request, in the way that the settings' Preemption names.
	Pause(request *Request)
	// Reject answers a request that never ran. retryAfter is how long its caller is asked to stay away, 0 for not at all;
	// noRetryElsewhere asks it not to try another server either.
	Reject(request *Request, retryAfter time.Duration, noRetryElsewhere bool)
	// Abort answers a request that may have run, without a result.
	Abort(request *Request)
	// AnswerFromOriginal answers a duplicate with the answer of its original, once that is there.
	AnswerFromOriginal(request *Request)
	// RememberKey keeps the request's idempotency key for a time, ForgetKey gives it back.
	RememberKey(request *Request, lifetime time.Duration)
	ForgetKey(request *Request)
	// Call makes the request's call, which is abandoned after the timeout.
	Call(request *Request, timeout time.Duration)
	// SkipCall has the request's run go on without its call.
	SkipCall(request *Request)
	// SetHealth is how health checks are answered from here on; fromStore says that a deep check is answered so too, without asking the
	// workers.
	SetHealth(healthy, fromStore bool)
	// SetShedLevel is what each answer carries from here on, in the format of the settings.
	SetShedLevel(level float64)
	// CloseIdleAfter closes connections that have carried nothing for so long.
	CloseIdleAfter(idle time.Duration)
	// WakeAfter asks for a round with Gauges after a time.
	WakeAfter(wait time.Duration)
	// Log logs what operators may act on.
	Log(message string)
}
