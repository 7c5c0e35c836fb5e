package raftlog

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// maxSnapshotBytes is the maximum number of bytes that are read of a snapshot. A larger one is truncated without an
// error.
const maxSnapshotBytes = 256 << 20

// StateMachine applies the entries of the log, one at a time and in the same order on every member. Apply must be
// deterministic.
type StateMachine interface {
	// Apply applies an entry and returns its result, which Node.Propose returns on the leader. appendedAt is the time
	// at which the leader appended the entry, according to its own clock.
	Apply(entry []byte, appendedAt time.Time) any
	// Snapshot encodes the state after all entries that were applied so far.
	Snapshot() []byte
	// Restore replaces the state by the one encoded in a snapshot.
	Restore(snapshot []byte) error
}

// fsm adapts a StateMachine to raft.FSM.
type fsm struct{ stateMachine StateMachine }

// Apply implements raft.FSM.
func (f fsm) Apply(entry *raft.Log) any { return f.stateMachine.Apply(entry.Data, entry.AppendedAt) }

// Snapshot implements raft.FSM. The state is encoded during the call, so that the library can write it while further
// entries are applied.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot(f.stateMachine.Snapshot()), nil }

// Restore implements raft.FSM.
func (f fsm) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // a close after reading cannot lose data
	snapshot, err := io.ReadAll(io.LimitReader(from, maxSnapshotBytes))
	if err != nil {
		return fmt.Errorf("replicated log: read snapshot: %w", err)
	}
	return f.stateMachine.Restore(snapshot)
}

// fsmSnapshot implements raft.FSMSnapshot for an encoded state.
type fsmSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. It does nothing, as the snapshot holds no resources.
func (fsmSnapshot) Release() {}

// logWriter writes the log lines of the raft library to the program's logger.
type logWriter struct{ logger *slog.Logger }

// Write logs one line without its line break.
func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Warn("replicated log", "message", string(line[:max(len(line)-1, 0)]))
	return len(line), nil
}
