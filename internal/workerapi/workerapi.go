// Package workerapi defines the messages between a server's event loop and the workers that run its requests.
package workerapi

import "time"

// Run describes a request to be run.
type Run struct {
	ID       string // unique among all requests
	Route    string
	Body     []byte        // body of the request as received; the workers keep it, so it must not be modified
	Deadline time.Duration // time on the event loop's clock after which the result has no use; 0 if unknown
}

// NoticeKind states what a notice reports and which of its fields are set.
type NoticeKind int

// Kinds of notices, with the fields that are set.
const (
	LinkDown      NoticeKind = iota // the link was lost; the last commands may not have been read
	LinkBound                       // the workers accepted the link; Duration is their uptime
	LinkSynced                      // all notices from before LinkBound have been received
	RunFinished                     // the run has ended: RequestID, Outcome, Duration, Result
	RunBlocked                      // the run waits for a call: RequestID, the call's body in Result
	CommandFailed                   // the workers did not carry out a command: RequestID, Command
	Polled                          // the gauges were read: Nonce of the poll, Readings
	Verified                        // the deep health check has ended: its Nonce, Healthy
)

// Outcomes of runs in RunFinished.
const (
	OutcomeSucceeded    = "success"     // ended with a result
	OutcomeFailed       = "failure"     // failed by itself, which counts against this server's health
	OutcomeStopped      = "interrupted" // was stopped, or ended for a reason outside this server
	OutcomeNeverStarted = "nothing"
)

// Command is the kind of a command to the workers.
type Command int

// Kinds of commands that a CommandFailed notice distinguishes.
const (
	OtherCommand Command = iota
	StartCommand
)

// Notice reports one event of a run or of the link. Kind states which fields are set.
type Notice struct {
	Kind      NoticeKind
	RequestID string
	Outcome   string
	Command   Command
	Healthy   bool
	Duration  time.Duration
	Result    []byte
	Nonce     uint64
	Readings  []float64 // in the order that the settings state
}
