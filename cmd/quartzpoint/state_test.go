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

// A server under load is killed, and the next one starts from its directory. A third server finds the directory in use.
// Then the estimates are damaged: verify must report it, and the next server must start without them.
func TestStateAcrossKill(t *testing.T) {
	routes := []harness.Route{{
		Name: "slot-check", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 1, Work: 20 * time.Millisecond,
	}}
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	section := fmt.Sprintf("[state]\ndir = %q\nsite = \"s\"\nnumbers = true\n", state)
	start := func(name string) (*harness.Daemon, error) {
		return harness.Start(builds["debug"], dir, name, routes, harness.Machine{Cores: 2, Speed: 1, MemoryKB: 60000}, section)
	}
	first, err := start("first")
	require.NoError(t, err)
	done, err := harness.Run(first.Address, routes, harness.Arrivals(routes, 60, 2500*time.Millisecond, 1), 1)
	require.NoError(t, err)
	assert.Zero(t, done.Unanswered)
	// Estimates are written about once a second, so on a busy machine the load can end before they are. The kill waits
	// for their file, as the rest of the test depends on it.
	require.Eventually(t, func() bool {
		files, err := filepath.Glob(filepath.Join(state, "view-*"))
		return err == nil && len(files) > 0
	}, time.Minute, 10*time.Millisecond, "no estimates written before the kill")
	require.NoError(t, first.Kill())

	out, code := runCommand(t, nil, "state", "show", state)
	assert.Zero(t, code, out)
	assert.Contains(t, out, `"slot-check" core s`)
	second, err := start("second")
	require.NoError(t, err)
	assert.Contains(t, second.Log(), "estimates=view-")
	out, code = runCommand(t, nil, "state", "verify", state)
	assert.Zero(t, code, out)
	out, code = runCommand(t, nil, "state", "compact", state)
	assert.Equal(t, 1, code)
	assert.Contains(t, out, "in use by another process")
	third, err := start("third")
	if err == nil {
		_ = third.Stop()
	}
	assert.ErrorContains(t, err, "in use by another process")
	require.NoError(t, second.Stop())

	damageEstimates(t, state)
	out, code = runCommand(t, nil, "state", "verify", state)
	assert.Equal(t, 1, code, out)
	assert.Contains(t, out, "not whole")
	fourth, err := start("fourth")
	require.NoError(t, err)
	assert.Contains(t, fourth.Log(), `reason="not whole"`)
	assert.Contains(t, fourth.Log(), `estimates=""`)
	require.NoError(t, fourth.Stop())
	out, code = runCommand(t, nil, "state", "compact", state)
	assert.Zero(t, code, out)
	out, code = runCommand(t, nil, "state", "export", state)
	assert.Zero(t, code, out)
	assert.Contains(t, out, `"numbers"`)
}

// damageEstimates flips a bit in each file of estimates.
func damageEstimates(t *testing.T, state string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(state, "view-*"))
	require.NoError(t, err)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		raw[len(raw)/2] ^= 1
		require.NoError(t, os.WriteFile(path, raw, 0o600))
	}
}
