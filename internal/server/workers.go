package server

import (
	"time"

	"quartzpoint/internal/workerapi"
)

// Workers run requests. The event loop makes all calls, and none may block: commands leave with Flush, and notices come with
// AppendNotices. Each run that was started is reported to have ended at most once, by a notice of the kind RunFinished.
type Workers interface {
	// Start begins a run. With sent false the workers do not know of it, and it may be started again.
	Start(r workerapi.Run) (sent bool)
	// Pause stops a run, for good or until Resume.
	Pause(id string) (sent bool)
	Resume(id string) (sent bool)
	// AppendNotices appends what was reported since the last call.
	AppendNotices(notices []workerapi.Notice) []workerapi.Notice
	Flush()
}

// WorkerLink is the worker pool of this machine, whose gauges the controller decides by.
type WorkerLink interface {
	Workers
	// Poll asks for the gauges; the answer carries the nonce. sent is false while nobody would answer.
	Poll() (nonce uint64, sent bool)
	// NextPollNonce is the nonce of the next poll. Once that is answered, all commands sent before have been read.
	NextPollNonce() uint64
	// Verify asks for the work of a deep health check.
	Verify(nonce uint64) (sent bool)
}

// CallReplier is a worker pool whose runs report that they wait for a call.
type CallReplier interface {
	// ReplyToCall has such a run go on with the reply.
	ReplyToCall(id string, reply []byte) (sent bool)
}

// Dependency makes the calls that the workers' runs wait for. The event loop makes all calls, and none may block: how each
// ended is reported once, by HandleCallEnd.
type Dependency interface {
	Call(c workerapi.Call)
	// Cancel ends a call whose reply is of no use any more.
	Cancel(callID uint64)
}

// Composer runs requests that consist of calls to dependencies. They take no core while they wait, so the controller counts
// them as waiting for a call: they begin once it lets that call go, and must end by their Deadline.
type Composer interface {
	Workers
	// Handles is whether requests of a route consist of calls.
	Handles(route string) bool
	// ExpectedWait is how long the calls that such a request can't do without are expected to take.
	ExpectedWait(route string) time.Duration
	// Advance does what is due at a moment, and NextTimer is when the next is.
	Advance(now time.Duration)
	NextTimer() time.Duration
}

// noComposer is the Composer of a server without one.
type noComposer struct{}

func (noComposer) Start(workerapi.Run) bool                                    { return false }
func (noComposer) Pause(string) bool                                           { return false }
func (noComposer) Resume(string) bool                                          { return false }
func (noComposer) AppendNotices(notices []workerapi.Notice) []workerapi.Notice { return notices }
func (noComposer) Flush()                                                      {}
func (noComposer) Handles(string) bool                                         { return false }
func (noComposer) ExpectedWait(string) time.Duration                           { return 0 }
func (noComposer) Advance(time.Duration)                                       {}
func (noComposer) NextTimer() time.Duration                                    { return 1<<63 - 1 }
