package admission

import "time"

// Request is one attempt of a client's request. The controller tracks it from its reading until its run, its call and
// the entry of its idempotency key have ended. The program sets the exported fields before the request arrives in a
// Round, and does not change them afterwards.
type Request struct {
	Route      *Route
	QueuedKB   float64       // memory while it is queued, in KiB
	CostHint   time.Duration // work expected by the caller, on a standard core; 0 if not stated
	Arrived    time.Duration // when its first byte reached the machine, before it was read
	LastByteAt time.Duration // when its last byte arrived, if it arrived in pieces; 0 if with the first one
	Deadline   time.Duration // when its caller stops waiting; 0 if unknown
	Rank       float64       // from 0 to below 1; routers hold back requests whose rank is below the shed level
	Tenant     int           // index in the tenant table; an index past its end means no tenant
	Router     uint32        // ID of the router that sent it
	Duplicate  bool          // its idempotency key is already known: it is answered from the original request

	phase       phase
	chargedAt   time.Duration // when its phase was last charged; while it is queued, when it was read
	started     bool          // a run of it has been started
	answered    bool          // it has its final answer, or its caller no longer waits
	key         *keyEntry     // the entry of its idempotency key; nil without one
	answerBy    time.Duration // latest time of its answer, whatever happens
	usefulUntil time.Duration // time after which an answer earns no value
	coreTime    time.Duration // time on the cores so far
	queueExcess time.Duration // time by which the queue ahead was too long when the request was shed
	onTrial     bool          // the plan keeps it for a trial, see trial
	plannedLate bool          // the last plan has it end past its latency target
	reason      RejectReason
	shedBasis   ShedBasis

	callFailures  int           // attempts of its call that did not succeed
	callNotBefore time.Duration // earliest time of the next attempt of its call
	calledAt      time.Duration // when its call in progress was made
}

// keyEntry is the entry of an idempotency key. It outlives its request by the rest of the dedup window, so it must not
// refer to the request, which has a body and a caller.
type keyEntry struct{ expiresAt time.Duration }

// ReceivedAt returns when the request was received completely. Whether it is within the grace of a shutdown depends on
// this time.
func (r *Request) ReceivedAt() time.Duration { return max(r.Arrived, r.LastByteAt) }

// phase is the state of a request in the controller.
type phase int

const (
	queued           phase = iota
	running                // on the cores
	awaitingCall           // its run waits until its call may be made
	calling                // its call is in progress
	awaitingOriginal       // a duplicate that waits for the answer of its original
	stopping               // answered, and its run is being stopped
)

// inFlight reports whether the request is in flight: it has a run on the cores, at a call or waiting for one.
func (p phase) inFlight() bool { return p != queued && p != awaitingOriginal }

// onCores reports whether a run of the request is on the cores.
func (p phase) onCores() bool { return p == running || p == stopping }

// RejectReason is the reason why a request was answered without a result. It is for logs: no decision depends on it.
type RejectReason int

// The reasons for an answer without a result.
const (
	ReasonNone        RejectReason = iota
	ReasonNoTime                   // it could not be served in time after the requests ahead of it
	ReasonExpired                  // its time ended while it was queued or in flight
	ReasonMemory                   // there is no memory for it
	ReasonDraining                 // it arrived after the grace of the shutdown, or the stop is near
	ReasonRunsFail                 // most runs of this server fail
	ReasonCallUnclear              // its call may have taken effect, and must not be made again
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

// String returns the reason as it is logged.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// RejectReason returns why the request was answered without a result; ReasonNone before that.
func (r *Request) RejectReason() RejectReason { return r.reason }

// ShedBasis holds the predictions by which a request could not be served in time. It is for logs.
type ShedBasis struct {
	TimeLeft     time.Duration // time until an answer earns no value
	Wait         time.Duration // predicted time until the start of the request that would start too late
	Work         time.Duration // predicted core time
	RunsEnded    int           // recently ended runs of the route, on which the prediction is based
	SinceLastEnd time.Duration // time since a run of the route last ended; 0 if none has
}

// ShedBasis returns the predictions by which the request was shed. They are set for requests rejected with
// ReasonNoTime.
func (r *Request) ShedBasis() ShedBasis { return r.shedBasis }
