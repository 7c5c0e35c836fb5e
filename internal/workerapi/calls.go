package workerapi

import (
	"time"

	"quartzpoint/admission"
)

// Call is a call to the dependency for which a run waits.
type Call struct {
	CallID    uint64 // unique among all calls
	RequestID string
	Body      []byte // must not be modified
	Timeout   time.Duration
}

// CallEnd reports the end of a call.
type CallEnd struct {
	Call
	Outcome  admission.Outcome
	Duration time.Duration
	Result   []byte
}
