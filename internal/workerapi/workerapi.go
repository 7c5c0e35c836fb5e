// Package workerapi holds the messages between the event loop of a server and what runs its requests.
package workerapi

import "time"

// Run is a request to be run.
type Run struct {
	ID       string // unique among requests
	Route    string
	Body     []byte        // as it came; kept by whoever runs it, and never changed
	Deadline time.Duration // by the clock of rounds, when its end is of no use any more; 0 where that is not known
}

// NoticeKind says what a notice reports, and which of its fields are set.
type NoticeKind int

// The kinds of notices.
const (
	LinkDown      NoticeKind = iota // the link was lost: what was sent last may not have been read
	LinkBound                       // the workers took the link; Duration is for how long they have been up
	LinkSynced                      // all notices from before the link was bound have come
	RunFinished                     // RequestID, Outcome, Duration, Result
	RunBlocked                      // the run waits for a call: RequestID, and the call's body as Result
	CommandFailed                   // a command was not carried out: RequestID, Command
	Polled                          // Nonce of the poll, Readings
	Verified                        // Nonce of the deep health check, Healthy
)

// How a run ended, as RunFinished reports it.
const (
	OutcomeSucceeded    = "success"     // with a result
	OutcomeFailed       = "failure"     // the run itself went wrong, which counts against this server's health
	OutcomeStopped      = "interrupted" // it was stopped, or ended for a reason that does not lie here
	OutcomeNeverStarted = "nothing"
)

// Command is what the workers were told to do with a run.
type Command int

// The commands that a failure is told apart by.
const (
	OtherCommand Command = iota
	StartCommand
)

// Notice reports one thing about a run or about the link. Kind says which fields are set.
type Notice struct {
	Kind      NoticeKind
	RequestID string
	Outcome   string
	Command   Command
	Healthy   bool
	Duration  time.Duration
	Result    []byte
	Nonce     uint64
	Readings  []float64
}
