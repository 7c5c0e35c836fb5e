package server

import "time"

// Verdict is the outcome of a request, as stated in its answer.
type Verdict int

// The verdicts.
const (
	Served      Verdict = iota
	Rejected            // the request never ran
	Aborted             // the request may have run, and has no result
	KeyConflict         // its idempotency key belongs to a request with another body; it did not run
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict          Verdict
	ShedLevel        string        // as last set; empty if it was never set
	RetryAfter       time.Duration // for Rejected: how long the caller should send nothing; 0 if it need not wait
	NoRetryElsewhere bool          // for Rejected: the caller should not try another server
	Result           []byte
}

// Caller is the origin of requests and health checks. The event loop calls its methods.
type Caller interface {
	Answer(stream uint32, a Answer)
	ReportHealth(stream uint32, healthy bool, shedLevel string)
}

// DependencyCaller is a Caller whose runs call a dependency themselves, and report this with AwaitCall and
// RecordCallEnd.
type DependencyCaller interface {
	Caller
	// AllowCall allows the call to begin; it may take no longer than timeout.
	AllowCall(timeout time.Duration)
	// SkipCall makes the request continue without its call.
	SkipCall()
}

// Frontend reads requests from connections. The event loop calls its methods.
type Frontend interface {
	// SetIdleTimeout sets how long a connection may be idle before its peer is asked to close it.
	SetIdleTimeout(timeout time.Duration)
	// Flush writes answers; written reports whether all could be written. They can't while a peer does not read.
	Flush() (written bool)
	// StopAccepting stops accepting connections, and asks peers to send no more requests on the open ones.
	StopAccepting()
	// OpenConnections returns the number of open connections.
	OpenConnections() int
	// InputDrained reports whether no input is left to accept or read.
	InputDrained() bool
}
