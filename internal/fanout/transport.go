package fanout

import (
	"time"

	"quartzpoint/budget"
)

// Attempt is one attempt of a call, from its sending to its end.
type Attempt struct {
	Op             string
	IdempotencyKey string // the same for all attempts of a call; empty for reads
	Body           []byte
	Timeout        time.Duration

	execution   *budget.Execution
	call, index int // in the execution, as package budget counts them
	dependency  int
	cancelled   bool
	sentAt      time.Time
}

// Response is how an attempt ended. Body is set where it succeeded.
type Response struct {
	Attempt *Attempt
	Outcome budget.Outcome
	Body    []byte
}

// Transport carries calls to one dependency. Its methods are called by the decision loop and never block. Each attempt
// that was taken gets one response at the most.
type Transport interface {
	// Send takes an attempt. false means that no connection could: nothing was sent.
	Send(attempt *Attempt) bool
	// Cancel tells the dependency that the response is not awaited any more. One that comes all the same is received.
	Cancel(attempt *Attempt)
	// Receive appends the responses that were read since the last call.
	Receive(responses []Response) []Response
	// CheckConnections closes connections that owe responses and are silent for too long. To be called now and then.
	CheckConnections(now time.Time)
	// Flush writes what was sent and cancelled.
	Flush()
	// Available is the number of connections that take attempts.
	Available() int
}
