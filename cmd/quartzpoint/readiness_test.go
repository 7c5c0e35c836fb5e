package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// waitHealthy waits until the process reports good health, and returns the time since the given moment, or
// fake.WaitLimit if it does not.
func (p *program) waitHealthy(since time.Time) time.Duration {
	for time.Since(since) < fake.WaitLimit {
		if p.healthy() {
			return time.Since(since)
		}
		time.Sleep(10 * time.Millisecond) // between attempts, as routers wait
	}
	return fake.WaitLimit
}

// healthy reports whether a health check is answered with good health.
func (p *program) healthy() bool {
	health, err := net.Dial("tcp", p.address)
	if err != nil {
		return false
	}
	defer func() { _ = health.Close() }()
	_ = health.SetDeadline(time.Now().Add(fake.WaitLimit))
	if _, err := health.Write(fake.Frame(20, 1, "", "e2e", "0")); err != nil {
		return false
	}
	reply, err := harness.ReadReply(health)
	return err == nil && reply.Type == 21 && reply.Code == 20
}

// All processes of a fleet are killed and started at once, with their state directories, while their pools are not up
// and the peers that they ask for estimates accept connections and never answer. None of this may delay the answers to
// health checks.
func TestRestartOfAFleet(t *testing.T) {
	const fleet, maxLate, within = 30, 3, 10 * time.Second // all but maxLate processes must be healthy within that time
	silent, err := net.Listen("tcp", "127.0.0.1:0")        // the system accepts connections for it
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	var all []*program
	for range fleet {
		dir := t.TempDir()
		file := filepath.Join(dir, "own.toml")
		require.NoError(t, os.WriteFile(file, fmt.Appendf(nil,
			"[state]\ndir = %q\nsite = \"s\"\nnumbers = true\n[peers]\nask = [%q]\ntotal = \"10s\"\n",
			filepath.Join(dir, "state"), silent.Addr()), 0o600))
		p := prepare(t, builds["release"], "serve", "--own", file)
		require.NoError(t, p.cmd.Start())
		p.killAtCleanup(t)
		all = append(all, p)
	}
	for _, p := range all {
		require.Less(t, p.waitHealthy(time.Now()), fake.WaitLimit)
	}
	for _, p := range all {
		require.NoError(t, p.cmd.Process.Kill())
		_ = p.cmd.Wait()
	}
	began := time.Now()
	took := make([]time.Duration, fleet)
	done := make(chan struct{})
	for i, p := range all {
		killed := p.cmd
		p.cmd = exec.Command(killed.Path, killed.Args[1:]...)
		p.cmd.Env, p.cmd.Stderr = killed.Env, killed.Stderr
		require.NoError(t, p.cmd.Start())
		p.killAtCleanup(t)
		go func() { took[i] = p.waitHealthy(began); done <- struct{}{} }()
	}
	for range all {
		<-done
	}
	slices.Sort(took)
	t.Logf("healthy after %v, half of them after %v, the last after %v", took[0], took[fleet/2], took[fleet-1])
	assert.Less(t, took[fleet-1-maxLate], within)
}
