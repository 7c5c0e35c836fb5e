package quartzpoint

import (
	"errors"
	"fmt"
	"time"
)

// Errors of requests, in addition to RejectedError.
var (
	// ErrAborted is returned for a request that has no result but may have run or may still be running.
	ErrAborted = errors.New("quartzpoint: aborted")
	// ErrShutDown is returned for a request that never ran because the gate is shut down.
	ErrShutDown = errors.New("quartzpoint: the gate is shut down")
	// ErrKeyConflict is returned for a request that never ran because its idempotency key was used before with a
	// different fingerprint.
	ErrKeyConflict = errors.New("quartzpoint: the idempotency key belongs to another request")
	// ErrStateNotStored is returned by Shutdown if the state was not completely written to disk: the next process may
	// lack idempotency keys that this one knew.
	ErrStateNotStored = errors.New("quartzpoint: state not stored")
	// ErrCallSkipped is returned by Call if the run should continue without the call.
	ErrCallSkipped = errors.New("quartzpoint: call skipped")
)

// errRunExited is the error of a run whose function ended its goroutine.
var errRunExited = errors.New("quartzpoint: the run ended its goroutine")

// RejectedError is returned for a request that was rejected and never ran.
type RejectedError struct {
	RetryAfter       time.Duration // how long the caller should wait before it retries; 0 if unknown
	NoRetryElsewhere bool          // another server would reject the request too
}

func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("quartzpoint: rejected, retry after %v", e.RetryAfter)
	}
	return "quartzpoint: rejected"
}

// panicError is the error of a run that panicked.
type panicError struct{ value any }

func (*panicError) Error() string { return "quartzpoint: the run panicked" }
