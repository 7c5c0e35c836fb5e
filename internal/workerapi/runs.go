// Package workerapi holds what a server and whatever runs its tasks tell each other.
package workerapi

import "time"

// Run is a task to be run.
type Run struct {
	ID       string // the same at no other task
	Route    string
	Body     []byte        // as it came; not changed, and kept by whoever runs it
	Deadline time.Duration // by the clock of rounds, when its end is of no use any more; 0 where that is not told
}

// NoticeKind says what a notice tells.
type NoticeKind int

// The kinds of notices. Synced says that all the pool had to tell from before the link was bound has been
// read, so that what is still unknown then never came to it.
const (
	LinkDown NoticeKind = iota
	LinkSynced
	RunFinished
	Polled
	Verified
	CommandFailed
	RunBlocked // a run stands at a call, whose body is the result
	LinkBound  // the pool took the link; Took is for how long it has been up
)

// Notice is one thing that is told of runs, or of the state of a link.
type Notice struct {
	Kind      NoticeKind
	RequestID string
	Outcome   string // how a run or a check ended, or the command that was not carried out
	Duration  time.Duration
	Result    []byte
	Nonce     uint64
	Readings  []float64
}
