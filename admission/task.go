// Package admission decides, for one app server, what becomes of each task that reaches it.
package admission

import "time"

// Idempotency says whether a task may be run again.
type Idempotency int

// The three kinds. A numbered task carries a mark by which a repeat is known.
const (
	Retryable Idempotency = iota
	Keyed
	AtMostOnce
)

// Route is what a kind of task is owed and worth, as stated at the start, and what was seen of it.
type Route struct {
	Name            string
	Value           float64
	LateValueShare  float64
	LatencyTarget   time.Duration
	Deadline        time.Duration
	DedupWindow     time.Duration
	Idempotency     Idempotency
	CallsDependency bool
	SkipValueShare  float64
	CallWait        time.Duration // that its runs wait for calls whatever the cores do; they begin as much sooner

	index int // in the table
	*routeStats
}

// routeStats is what was seen of a route; it outlasts what is stated of it.
type routeStats struct {
	runs        *ring
	coreSeconds trend // core seconds of a run
	latency     trend // seconds from start to end

	coreSample, runSample sight // of both, to be handed out
	peerCore              lent  // core seconds of a run that other servers told
}

// Request is one try of a client's work, from its reading to the end of all that it left behind.
type Request struct {
	Route      *Route
	HeldKB     float64
	CostHint   time.Duration // expected work on a standard core; 0 where none was given
	Arrived    time.Duration // when it reached the machine, before it was read
	LastByteAt time.Duration // when its last byte came, where it came in pieces; 0 for with Arrived
	Deadline   time.Duration // when its caller stops waiting; 0 where that is not told
	Rank       float64       // its place from 0 to under 1, by which routers heed the level
	Tenant     int
	Router     uint32 // the router it came from
	Duplicate  bool   // a repeat of a numbered task known here

	phase     phase
	ran       bool
	settled   bool
	kept      time.Duration // end of its entry in the table of numbers; 0 without one
	last      time.Duration // the moment by which it is answered whatever happens
	wanted    time.Duration // the moment after which its answer earns nothing
	since     time.Duration // start of the present phase
	onCore    time.Duration // time on the cores so far
	excess    time.Duration // by how much the hold was too long when it was left out
	late      bool          // planned, when last weeded, to end after its contract time
	refusals  int           // calls of it that did not go well
	notBefore time.Duration // when its call may be tried again
	calledAt  time.Duration // when its call was made
	reason    Reason        // why it was answered without a result
}

// ReceivedAt is when the task had come whole, by which it is within the grace of a notice or past it.
func (r *Request) ReceivedAt() time.Duration { return max(r.Arrived, r.LastByteAt) }

type phase int

const (
	held phase = iota
	running
	wantsCall
	calling
	echoing
	over // answered, and to be stopped on its core
)

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes. NotRun proves that nothing happened; Unclear leaves it open.
const (
	Succeeded Outcome = iota
	Failed
	NotRun
	Unknown
	Stopped
	NeverStarted
)

// Gauges are the server's own readings.
type Gauges struct {
	CPU         float64 // busy share of the cores over the half second before
	Runnable    float64 // all that wants a core now
	Memory      float64 // share in use
	Connections float64 // open connections
}

// Completion is the end of a run or of a call.
type Completion struct {
	Request *Request
	Outcome Outcome
	Took    time.Duration
}

// Round is all that came in at one moment, grouped by what it means to the server.
type Round struct {
	Now              time.Duration
	StopAt           time.Duration // set in the round of the notice to leave: when the process is stopped
	NotifiedAt       time.Duration // with it, when the notice came; 0 for in this round
	WorkersStartedAt time.Duration // when the machine's workers started, in the round that hears of it: they are cold from then on
	CallsEnded       []Completion  // calls that ended
	AwaitingCall     []*Request    // running tasks that need a call to go on
	RunsEnded        []Completion  // runs that ended
	Canceled         []*Request    // tasks nobody waits for any longer
	Arrived          []*Request    // tasks read
	Gauges           *Gauges       // set when an alarm rang
}

// Reset empties a round for the next one and keeps its memory, but nothing that its tasks hold.
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

// Executor takes the decisions of a round, in order.
type Executor interface {
	Start(request *Request)
	Pause(request *Request)
	Reject(request *Request, comeBack time.Duration, nowhereElse bool)
	Abort(request *Request)
	AnswerFromOriginal(request *Request)
	RememberKey(request *Request, span time.Duration)
	ForgetKey(request *Request)
	Call(request *Request, patience time.Duration)
	SkipCall(request *Request)
	SetHealth(good, fromStore bool)
	SetShedLevel(level float64)
	CloseIdleAfter(span time.Duration)
	WakeAfter(in time.Duration)
	Log(words string)
}
