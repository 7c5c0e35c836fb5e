package workerapi

import (
	"time"

	"quartzpoint/admission"
)

// Call is what a run asks of the dependency.
type Call struct {
	CallID    uint64 // never that of another
	RequestID string
	Body      []byte        // not changed
	Timeout   time.Duration // it is given up on after that
}

// CallEnd is how it ended.
type CallEnd struct {
	Call
	Outcome  admission.Outcome
	Duration time.Duration
	Result   []byte
}
