package workerapi

import (
	"time"

	"quartzpoint/admission"
)

// Call is a call to the dependency that a run waits for.
type Call struct {
	CallID    uint64 // unique
	RequestID string
	Body      []byte // never changed
	Timeout   time.Duration
}

// CallEnd is how a call ended.
type CallEnd struct {
	Call
	Outcome  admission.Outcome
	Duration time.Duration
	Result   []byte
}
