package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// A server under load is killed; the one after it goes on from the folder. A third finds it in use, and once that one has
// left, damaged.
func TestStateAcrossKill(t *testing.T) {
	types := []harness.Route{{
		Name: "slot-check", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 1, Work: 20 * time.Millisecond,
	}}
	folder := t.TempDir()
	state := filepath.Join(folder, "state")
	own := fmt.Sprintf("[state]\ndir = %q\nsite = \"s\"\nnumbers = true\n", state)
	start := func(name string) (*harness.Daemon, error) {
		return harness.Start(builds["debug"], folder, name, types, harness.Machine{Cores: 2, Speed: 1, KB: 60000}, own)
	}
	first, err := start("first")
	require.NoError(t, err)
	done, err := harness.Run(first.Address, types, harness.Arrivals(types, 60, 2500*time.Millisecond, 1), 1)
	require.NoError(t, err)
	assert.Zero(t, done.Unanswered)
	// The view is written once a second at the most, by the store's own turn: on a busy machine the run can end
	// before it is. So the kill waits for the file itself, the event the rest of the test is about.
	require.Eventually(t, func() bool {
		views, err := filepath.Glob(filepath.Join(state, "view-*"))
		return err == nil && len(views) > 0
	}, time.Minute, 10*time.Millisecond, "no view written before the kill")
	require.NoError(t, first.Kill())

	out, code := ask(t, nil, "state", "show", state)
	assert.Zero(t, code, out)
	assert.Contains(t, out, `"slot-check" core s`)
	second, err := start("second")
	require.NoError(t, err)
	assert.Contains(t, second.Log(), "view=view-")
	out, code = ask(t, nil, "state", "verify", state)
	assert.Zero(t, code, out)
	out, code = ask(t, nil, "state", "compact", state)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "in use by another process")
	third, err := start("third")
	if err == nil {
		_ = third.Stop()
	}
	assert.ErrorContains(t, err, "in use by another process")
	require.NoError(t, second.Stop())

	views, err := filepath.Glob(filepath.Join(state, "view-*"))
	require.NoError(t, err)
	for _, path := range views {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		raw[len(raw)/2] ^= 1
		require.NoError(t, os.WriteFile(path, raw, 0o600))
	}
	out, code = ask(t, nil, "state", "verify", state)
	assert.Equal(t, 1, code, out)
	assert.Contains(t, out, "not whole")
	fourth, err := start("fourth")
	require.NoError(t, err)
	assert.Contains(t, fourth.Log(), `why="not whole"`)
	assert.Contains(t, fourth.Log(), `view=""`)
	require.NoError(t, fourth.Stop())
	out, code = ask(t, nil, "state", "compact", state)
	assert.Zero(t, code, out)
	out, code = ask(t, nil, "state", "export", state)
	assert.Zero(t, code, out)
	assert.Contains(t, out, `"numbers"`)
}
