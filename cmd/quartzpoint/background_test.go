package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The process must wait at its end for its background tasks. It used to close the configuration store while the
// configuration watch could still write to it.
func TestTaskIsWaitedFor(t *testing.T) {
	written := false
	task := startTask(t.Context(), func(ctx context.Context) {
		<-ctx.Done()
		time.Sleep(10 * time.Millisecond) // a write in progress
		written = true
	})
	assert.False(t, task.wait(time.Millisecond), "the task is still running")
	task.stop()
	assert.True(t, task.wait(10*time.Second))
	assert.True(t, written)

	var none *backgroundTask
	none.stop()
	assert.True(t, none.wait(0), "a nil task has ended")
}
