package admission

import "time"

// Request is one attempt of a caller's request, from its reading to the end of all that it left behind. The exported fields
// are the program's to set before the request arrives in a Round; it does not change them afterwards.
type Request struct {
	Route      *Route
	HeldKB     float64       // memory while it is queued, in KiB
	CostHint   time.Duration // work that its caller expects, on a standard core; 0 where none is stated
	Arrived    time.Duration // when its first byte reached the machine, before it was read
	LastByteAt time.Duration // when its last byte came, where it came in pieces; 0 for with Arrived
	Deadline   time.Duration // when its caller stops waiting; 0 where that is not known
	Rank       float64       // from 0 to under 1; routers hold back the requests whose rank is under the shed level
	Tenant     int           // index in the table of tenants; past its end for nobody's
	Router     uint32        // the router that sent it
	Duplicate  bool          // its idempotency key is known: it is answered from the original request

	phase        phase
	phaseSince   time.Duration
	started      bool          // a run of it was started at some time
	answered     bool          // it has its final answer, or its caller is gone
	keyExpiresAt time.Duration // end of its key's entry; 0 without one
	answerBy     time.Duration // the moment by which it is answered whatever happens
	usefulUntil  time.Duration // the moment after which an answer earns nothing
	coreTime     time.Duration // on the cores so far
	queueExcess  time.Duration // by how much the queue ahead of it was too long when it was shed
	onTrial      bool          // see trial
	plannedLate  bool          // last planned to end past its latency target
	reason       RejectReason
	shedBasis    ShedBasis

	callFailures  int           // calls of it that did not succeed
	callNotBefore time.Duration // earliest moment of the next attempt of its call
	calledAt      time.Duration // when its call in progress was made
}

// ReceivedAt is when the request had been received completely, by which it is within the grace of a shutdown or past it.
func (r *Request) ReceivedAt() time.Duration { return max(r.Arrived, r.LastByteAt) }

// phase is where a request stands.
type phase int

const (
	queued           phase = iota
	running                // on the cores
	awaitingCall           // its run waits until its call may be made
	calling                // its call is in progress
	awaitingOriginal       // a duplicate that waits for the answer of its original
	stopping               // answered, and its run is being stopped
)

// holdsRun is whether a run of the request takes part of the machine.
func (p phase) holdsRun() bool { return p != queued && p != awaitingOriginal }

// onCores is whether a run of the request is on the cores.
func (p phase) onCores() bool { return p == running || p == stopping }

// RejectReason is why a request was answered without a result. It is for logs: no decision depends on it.
type RejectReason int

// The reasons.
const (
	ReasonNone        RejectReason = iota
	ReasonNoTime                   // it could not be done in time behind what is ahead of it
	ReasonExpired                  // its time was over while it was queued or ran
	ReasonMemory                   // there is no memory for it
	ReasonDraining                 // it came after the grace of the shutdown, or the stop is near
	ReasonRunsFail                 // most runs of this server fail
	ReasonCallUnclear              // its call may have had its effect, and must not be made again
)

var rejectReasonTexts = map[RejectReason]string{
	ReasonNone:        "not stated",
	ReasonNoTime:      "no time left behind what is ahead",
	ReasonExpired:     "time is over",
	ReasonMemory:      "no memory left",
	ReasonDraining:    "draining",
	ReasonRunsFail:    "most runs fail here",
	ReasonCallUnclear: "call of unknown outcome",
}

// String is the reason as logs have it.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// RejectReason is why the request was answered without a result, once it was.
func (r *Request) RejectReason() RejectReason { return r.reason }

// ShedBasis is what it was decided from that a request can't be done in time. It is for logs.
type ShedBasis struct {
	TimeLeft     time.Duration // until an answer earns nothing
	Wait         time.Duration // predicted until the start, of the request for which there was no time
	Work         time.Duration // predicted on the cores
	RunsEnded    int           // of the route in the last seconds, on which the prediction rests
	SinceLastEnd time.Duration // since the last of all its runs ended; 0 where none has
}

// ShedBasis is what the request was shed by. It is for requests rejected with ReasonNoTime.
func (r *Request) ShedBasis() ShedBasis { return r.shedBasis }
