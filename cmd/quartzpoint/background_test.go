package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The store of the configuration was closed at the end of the process while the watch might still write to it.
func TestTaskIsWaitedFor(t *testing.T) {
	written := false
	task := startTask(t.Context(), func(ctx context.Context) {
		<-ctx.Done()
		time.Sleep(10 * time.Millisecond) // a write that was under way
		written = true
	})
	assert.False(t, task.wait(time.Millisecond), "it runs")
	task.stop()
	assert.True(t, task.wait(10*time.Second))
	assert.True(t, written)

	var none *backgroundTask
	none.stop()
	assert.True(t, none.wait(0), "there is none")
}
