package fanout

import (
	"time"

	"quartzpoint/budget"
)

// Attempt is one attempt of a call, from its sending to its end.
type Attempt struct {
	Op             string
	IdempotencyKey string // same for all attempts of a call; empty for reads
	Body           []byte
	Timeout        time.Duration

	execution   *budget.Execution
	call, index int // indexes of the call and of the attempt, as in budget.Executor
	dependency  int
	cancelled   bool
	sentAt      time.Time
}

// Response is the end of an attempt. Body is set if the attempt succeeded.
type Response struct {
	Attempt *Attempt
	Outcome budget.Outcome
	Body    []byte
}

// Transport sends calls to one dependency and receives their responses. Its methods are called on the event loop and
// never block. Each attempt that Send accepted gets at most one response.
type Transport interface {
	// Send queues an attempt. It returns false if no connection could accept it; nothing is sent then.
	Send(attempt *Attempt) bool
	// Cancel informs the dependency that the response is no longer awaited. A response that still arrives is received.
	Cancel(attempt *Attempt)
	// Receive appends the responses that were read since the last call.
	Receive(responses []Response) []Response
	// CheckConnections closes connections that await a response and have read nothing for too long. It must be called
	// regularly.
	CheckConnections(now time.Time)
	// Flush writes the attempts and cancellations that are queued.
	Flush()
	// Available returns the number of connections that can accept attempts.
	Available() int
}
