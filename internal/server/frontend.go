package server

import "time"

// Verdict is what an answer says became of a request.
type Verdict int

// The verdicts.
const (
	Served      Verdict = iota
	Rejected            // it never ran
	Aborted             // it may have run, and has no result
	KeyConflict         // its idempotency key belongs to a request with another body; it did not run
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict          Verdict
	ShedLevel        string        // as last set, empty where it never was
	RetryAfter       time.Duration // with Rejected: how long the caller should send nothing, 0 where it need not wait
	NoRetryElsewhere bool          // with Rejected: no other server should be tried
	Result           []byte
}

// Caller is where requests and health checks come from. The event loop makes all calls.
type Caller interface {
	Answer(stream uint32, a Answer)
	ReportHealth(stream uint32, healthy bool, shedLevel string)
}

// DependencyCaller is a Caller whose runs call a dependency by themselves, and report that by AwaitCall and RecordCallEnd.
type DependencyCaller interface {
	Caller
	// AllowCall lets the call begin; it may take no longer than timeout.
	AllowCall(timeout time.Duration)
	// SkipCall has the request go on without its call.
	SkipCall()
}

// Frontend is where requests come in. The event loop makes all calls.
type Frontend interface {
	// CloseIdle sets for how long a connection may carry nothing.
	CloseIdle(timeout time.Duration)
	// Flush writes all answers; written is false while peers have yet to read some.
	Flush() (written bool)
	// StopAccepting takes no more connections, and asks for no more requests on the open ones.
	StopAccepting()
	// Open is the number of connections.
	Open() int
	// Quiet is whether nothing waits to be accepted or read.
	Quiet() bool
}
