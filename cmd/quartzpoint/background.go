package main

import (
	"context"
	"time"
)

// watchStopTimeout is how long the process waits at its end for the configuration watch to end. The watch is canceled
// when the drain starts, so only a stalled write can take that long.
const watchStopTimeout = 20 * time.Millisecond

// backgroundTask is a function that runs concurrently with the event loop until it is canceled. A nil task counts as
// ended.
type backgroundTask struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// startTask runs a function in a goroutine. The function must return soon after its context is canceled.
func startTask(ctx context.Context, run func(context.Context)) *backgroundTask {
	ctx, cancel := context.WithCancel(ctx)
	task := &backgroundTask{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(task.ended)
		run(ctx)
	}()
	return task
}

// stop cancels the task without waiting for its end.
func (t *backgroundTask) stop() {
	if t != nil {
		t.cancel()
	}
}

// wait waits for the task to end, and reports whether it ended within the timeout.
func (t *backgroundTask) wait(timeout time.Duration) bool {
	if t == nil {
		return true
	}
	select {
	case <-t.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
