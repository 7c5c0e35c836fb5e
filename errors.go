package quartzpoint

import (
	"errors"
	"fmt"
	"time"
)

// The errors of requests, beside RejectedError.
var (
	// ErrAborted is the error of a request that may have run, or runs still, and has no result.
	ErrAborted = errors.New("quartzpoint: aborted")
	// ErrShutDown is the error of a request that never ran, as the gate is shut down.
	ErrShutDown = errors.New("quartzpoint: the gate is shut down")
	// ErrKeyConflict is the error of a request that never ran, as its idempotency key came before with another fingerprint.
	ErrKeyConflict = errors.New("quartzpoint: the idempotency key belongs to another request")
	// ErrStateNotStored is the error of a Shutdown whose state is not on disk completely: the next process may lack
	// idempotency keys that this one knew.
	ErrStateNotStored = errors.New("quartzpoint: state not stored")
	// ErrCallSkipped is the error of Call where the run is to go on without the call.
	ErrCallSkipped = errors.New("quartzpoint: go on without the call")
)

// RejectedError is the error of a request that was rejected and never ran.
type RejectedError struct {
	RetryAfter       time.Duration // how long the caller should stay away; 0 where that is not known
	NoRetryElsewhere bool          // an attempt at another server would be rejected too
}

func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("quartzpoint: rejected, retry after %v", e.RetryAfter)
	}
	return "quartzpoint: rejected"
}

// panicError is the end of a run that panicked.
type panicError struct{ value any }

func (*panicError) Error() string { return "quartzpoint: the run panicked" }
