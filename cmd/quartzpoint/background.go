package main

import (
	"context"
	"time"
)

// watchStopTimeout is how long the end of the process waits for the configuration watch to end. The watch is told to end as
// the drain starts, so only a write that stalls takes it.
const watchStopTimeout = 20 * time.Millisecond

// backgroundTask is a function that runs beside the event loop until it is told to end. A nil one has ended.
type backgroundTask struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// startTask runs a function in a goroutine. It must return soon after its context has ended.
func startTask(ctx context.Context, run func(context.Context)) *backgroundTask {
	ctx, cancel := context.WithCancel(ctx)
	task := &backgroundTask{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(task.ended)
		run(ctx)
	}()
	return task
}

// stop tells the task to end, and does not wait for it.
func (t *backgroundTask) stop() {
	if t != nil {
		t.cancel()
	}
}

// wait waits until the task has ended, and reports whether it has within the timeout.
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
