package server

import (
	"time"

	"quartzpoint/internal/workerapi"
)

// Workers are what runs tasks. All is called by the owner of decisions, and nothing of it may wait: what was
// asked leaves with Flush, and what is told comes with Take. Each run that was started is told to have ended at
// most once, by a notice of the kind Finished whose outcome is
//
//   - success, with the result;
//   - failure, where the run itself went wrong; that tells of this server's health;
//   - interrupted, where it was stopped, or ended for a reason that does not lie here;
//   - nothing, where it never began.
type Workers interface {
	// Start begins a run, or tells that it was not asked for: it has then not begun, and may be started again.
	Start(r workerapi.Run) (asked bool)
	// Pause stops a run, for good or until Resume.
	Pause(id string) (asked bool)
	Resume(id string) (asked bool)
	// Take gives what was told since the last call, behind into.
	AppendNotices(into []workerapi.Notice) []workerapi.Notice
	Flush()
}

// WorkerLink is the machine's own workers, whose gauges the decisions go by.
type WorkerLink interface {
	Workers
	// Poll asks for the gauges; the answer carries the nonce. sent is false while nobody would answer.
	Poll() (nonce uint64, sent bool)
	// Next is the nonce of the next poll. Once that is answered, all that was asked before has been read.
	NextPollNonce() uint64
	// Verify asks for the work of a deep check.
	Verify(nonce uint64) (asked bool)
}

// CallReplier is a Pool that tells where its runs stand at a call.
type CallReplier interface {
	// Supply has such a run go on with the reply.
	ReplyToCall(id string, reply []byte) (asked bool)
}

// Dependency makes the calls that the pool's runs stand at. All is called by the owner of decisions, and nothing of it
// may wait: how each call ended comes by HandleCallEnd, once.
type Dependency interface {
	Call(c workerapi.Call)
	// Abandon ends a call whose reply is of no use any more.
	Abandon(number uint64)
}

// Composer runs tasks that are made of calls to dependencies. They take no core while they wait, so the
// decisions hear of them as being at a call: they begin once the decisions let that go, and must end by Until.
type Composer interface {
	Workers
	// Composes tells whether tasks of a type are made of calls.
	Composes(kind string) bool
	// Waits is how long the calls that such a task can't do without are expected to take.
	Waits(kind string) time.Duration
	// Turn does what is due at a moment, and Due is when the next is.
	Turn(now time.Duration)
	Due() time.Duration
}

// nothing stands where nothing is composed.
type nothing struct{}

func (nothing) Start(workerapi.Run) bool                                 { return false }
func (nothing) Pause(string) bool                                        { return false }
func (nothing) Resume(string) bool                                       { return false }
func (nothing) AppendNotices(into []workerapi.Notice) []workerapi.Notice { return into }
func (nothing) Flush()                                                   {}
func (nothing) Composes(string) bool                                     { return false }
func (nothing) Waits(string) time.Duration                               { return 0 }
func (nothing) Turn(time.Duration)                                       {}
func (nothing) Due() time.Duration                                       { return 1<<63 - 1 }
