package server

import (
	"time"

	"quartzpoint/internal/workerapi"
)

// Workers run requests. The event loop calls their methods, and none may block: commands are written by Flush, and
// AppendNotices returns the notices. The end of each run that was started is reported at most once, by a notice of kind
// RunFinished.
type Workers interface {
	// Start starts a run. If sent is false the workers do not know of the run, and it may be started again.
	Start(r workerapi.Run) (sent bool)
	// Pause stops a run, for good or until Resume.
	Pause(id string) (sent bool)
	Resume(id string) (sent bool)
	// AppendNotices appends the notices received since the last call.
	AppendNotices(notices []workerapi.Notice) []workerapi.Notice
	Flush()
}

// WorkerLink is the link to the worker pool of this machine, which reports the gauges that the controller's decisions
// use.
type WorkerLink interface {
	Workers
	// Poll requests the gauges; the answer carries the nonce. sent is false if no link can carry commands.
	Poll() (nonce uint64, sent bool)
	// NextPollNonce returns the nonce of the next poll. Once that poll is answered, all commands sent before it have
	// been read.
	NextPollNonce() uint64
	// Verify requests a deep health check of the workers. Its answer is a notice of kind Verified with the nonce.
	Verify(nonce uint64) (sent bool)
}

// CallReplier is a worker pool whose runs report that they wait for a call.
type CallReplier interface {
	// ReplyToCall resumes a run that waits for a call, with the reply to the call.
	ReplyToCall(id string, reply []byte) (sent bool)
}

// Dependency makes the calls that the workers' runs wait for. The event loop calls its methods, and none may block. The
// end of each call is reported once, by Server.HandleCallEnd.
type Dependency interface {
	Call(c workerapi.Call)
	// Cancel cancels a call whose reply is no longer needed.
	Cancel(callID uint64)
}

// Composer runs requests that consist of calls to dependencies. Such requests take no core while they wait, so the
// controller counts them as waiting for a call. They begin once it allows that call, and must end by their Deadline.
type Composer interface {
	Workers
	// Handles reports whether requests of a route consist of calls.
	Handles(route string) bool
	// ExpectedWait returns the expected duration of the calls that a request of the route can't do without.
	ExpectedWait(route string) time.Duration
	// Advance does the work that is due at now. NextTimer returns when the next work is due.
	Advance(now time.Duration)
	NextTimer() time.Duration
}

// noComposer is the Composer of a server that has none set.
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
