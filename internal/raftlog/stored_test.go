package raftlog_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/peersync"
	"quartzpoint/internal/raftlog"
	"quartzpoint/internal/testkit/harness"
)

// recordingMachine is a state machine that records the restored snapshot and all entries.
type recordingMachine struct {
	mu       sync.Mutex
	snapshot []byte
	entries  []string
	times    []int64
}

func (m *recordingMachine) Apply(entry []byte, at time.Time) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries, m.times = append(m.entries, string(entry)), append(m.times, at.UnixMilli())
	return len(m.entries)
}

func (m *recordingMachine) Snapshot() []byte { return nil }

func (m *recordingMachine) Restore(raw []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshot, m.entries, m.times = bytes.Clone(raw), nil, nil
	return nil
}

func (m *recordingMachine) recorded() (snapshot []byte, entries []string, times []int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, append([]string{}, m.entries...), append([]int64{}, m.times...)
}

// storedLog returns the directory of a log written by commit f1daac1, copied to a temporary directory. The log has
// five entries, the first three of them in a snapshot. It was written by the single machine c0 of a quartzconfig
// service, which was killed.
func storedLog(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "f1daac1", "log"))))
	compressed, err := os.Open(filepath.Join(dir, "log.bolt.gz"))
	require.NoError(t, err)
	defer func() { _ = compressed.Close() }()
	reader, err := gzip.NewReader(compressed)
	require.NoError(t, err)
	raw, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "log.bolt"), raw, 0o600))
	return dir
}

// A member continues from a directory written by commit f1daac1: it must restore the snapshot and the entries after
// it byte for byte, and accept new entries.
func TestResumeFromStoredLog(t *testing.T) {
	dir := storedLog(t)
	snapshots, err := filepath.Glob(filepath.Join("testdata", "f1daac1", "log", "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	snapshot, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	want := []string{
		`{"id":"1d840d2b9bef7a93e8285d49b6512546","routes":{"calls":{"goal-time":700000,"deadline":1500000,` +
			`"gain":2,"late-value":0,"idempotency":"retryable","dedup-window":0,"calls":true,"skip-worth":0.5}}}`,
		`{"id":"fifth","routes":{"base":{"goal-time":800000,"deadline":2000000,"gain":1.5,"late-value":0,` +
			`"idempotency":"retryable","dedup-window":0,"calls":false,"skip-worth":0}}}`,
	}
	times := []int64{1796275683158, 1796275687167} // times at which the leader appended the entries, in Unix milliseconds
	for range 2 {                                  // the second round checks a restart of the current version
		machine := &recordingMachine{}
		address, err := harness.FreeAddress()
		require.NoError(t, err)
		node, err := raftlog.Start(raftlog.Options{
			Name: "c0", Dir: dir, Members: []raftlog.Member{{Name: "c0", Address: address}},
			Keys: peersync.Keys{bytes.Repeat([]byte{0x5e}, 16)}, StateMachine: machine, Logger: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			_, entries, _ := machine.recorded()
			return node.Leadership().IsLeader && len(entries) >= len(want)
		}, 30*time.Second, time.Millisecond)
		restored, entries, gotTimes := machine.recorded()
		assert.Equal(t, snapshot, restored)
		assert.Equal(t, want, entries)
		assert.Equal(t, times, gotTimes[:len(times)])
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		got, err := node.Propose(ctx, []byte("another"))
		cancel()
		require.NoError(t, err)
		assert.Equal(t, len(want)+1, got)
		want = append(want, "another")
		require.NoError(t, node.Close())
	}
}
