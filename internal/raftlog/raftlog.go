// Package raftlog replicates a log of entries over a few machines by hashicorp/raft, with its log and votes in a bolt
// file: an entry is taken once a majority has it on disk, and every machine applies the same entries in the same order.
package raftlog

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"quartzpoint/internal/peersync"
)

const (
	maxPooledConns     = 3
	transportTimeout   = 5 * time.Second
	retainedSnapshots  = 2
	snapshotEntries    = 2048 // appended since the last snapshot
	trailingEntries    = 1024 // kept behind one, so that a machine that was away for a while needs no snapshot
	electionTimeout    = time.Second
	leaderLeaseTimeout = 500 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
)

// StateMachine is what entries are applied to, one at a time and in the same order everywhere. The same entries must come to
// the same.
type StateMachine interface {
	// Apply takes an entry, which the leader appended at a moment of its clock.
	Apply(entry []byte, at time.Time) any
	// Snapshot is all that the entries so far came to.
	Snapshot() []byte
	// Restore takes a snapshot in the place of what was there.
	Restore(raw []byte) error
}

// Member is one machine of the log.
type Member struct {
	Name        string
	Address     string // by which all know it
	DialAddress string // at which this machine dials it, where that differs
}

// Options are what a node is started with. All members state the same members.
type Options struct {
	Name         string
	Dir          string
	Members      []Member
	Keys         peersync.Keys
	StateMachine StateMachine
	Logger       *slog.Logger
}

// Node is this machine's part in the log.
type Node struct {
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	layer *streamLayer
}

// Start begins, or goes on with what the folder holds.
func Start(o Options) (n *Node, err error) {
	listen := ""
	reach, servers := map[string]string{}, []raft.Server{}
	for _, m := range o.Members {
		if m.Name == o.Name {
			listen = m.Address
		}
		reach[m.Address] = m.Address
		if m.DialAddress != "" {
			reach[m.Address] = m.DialAddress
		}
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Address)})
	}
	if listen == "" {
		return nil, fmt.Errorf("replicated log: %q is none of its members", o.Name)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{o.Logger}, DisableTime: true})
	n = &Node{}
	defer func() {
		if err != nil {
			n.release()
		}
	}()
	if n.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.Dir, "log.bolt")}); err != nil {
		return n, fmt.Errorf("replicated log: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, retainedSnapshots, logger)
	if err != nil {
		return n, fmt.Errorf("replicated log: %w", err)
	}
	if n.layer, err = listenStream(listen, reach, o.Keys, o.Logger); err != nil {
		return n, err
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: n.layer, MaxPool: maxPooledConns, Timeout: transportTimeout, Logger: logger,
	})
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = raft.ServerID(o.Name), logger
	config.HeartbeatTimeout, config.ElectionTimeout = electionTimeout, electionTimeout
	config.LeaderLeaseTimeout, config.CommitTimeout = leaderLeaseTimeout, commitTimeout
	config.SnapshotThreshold, config.TrailingLogs = snapshotEntries, trailingEntries
	begun, err := raft.HasExistingState(n.store, n.store, snapshots)
	if err == nil && !begun {
		err = raft.BootstrapCluster(config, n.store, n.store, snapshots, transport, raft.Configuration{Servers: servers})
	}
	if err != nil {
		return n, fmt.Errorf("replicated log: %w", err)
	}
	if n.raft, err = raft.NewRaft(config, fsm{o.StateMachine}, n.store, n.store, snapshots, transport); err != nil {
		return n, fmt.Errorf("replicated log: %w", err)
	}
	return n, nil
}

// ErrNotLeader tells that another machine appends entries.
var ErrNotLeader = errors.New("replicated log: this machine does not lead")

// Propose has an entry appended, and gives what it came to once it was applied here. Where that is not known within the
// wait, the entry may still be taken.
func (n *Node) Propose(entry []byte, wait time.Duration) (any, error) {
	future := n.raft.Apply(entry, wait)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return nil, ErrNotLeader
	case err != nil:
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	return future.Response(), nil
}

// Leads tells whether this machine leads, and the name of the one that does, empty where none is known.
func (n *Node) Leads() (leads bool, leader string) {
	_, id := n.raft.LeaderWithID()
	return n.raft.State() == raft.Leader, string(id)
}

// Close ends this machine's part and waits for it.
func (n *Node) Close() error {
	err := n.raft.Shutdown().Error()
	return errors.Join(err, n.release())
}

func (n *Node) release() (err error) {
	if n.layer != nil {
		err = n.layer.Close()
	}
	if n.store != nil {
		err = errors.Join(err, n.store.Close())
	}
	return err
}

// fsm is a Machine as the library knows it.
type fsm struct{ StateMachine }

// Apply implements raft.FSM, as do the methods below it.
func (m fsm) Apply(entry *raft.Log) any { return m.StateMachine.Apply(entry.Data, entry.AppendedAt) }

// Snapshot takes the state as it is; writing it may go on beside further entries.
func (m fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot(m.StateMachine.Snapshot()), nil }

// maxSnapshotBytes bounds what is read of a snapshot.
const maxSnapshotBytes = 256 << 20

// Restore reads a snapshot whole.
func (m fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(io.LimitReader(from, maxSnapshotBytes))
	if err != nil {
		return fmt.Errorf("replicated log: snapshot: %w", err)
	}
	return m.StateMachine.Restore(raw)
}

// fsmSnapshot is a snapshot that was taken.
type fsmSnapshot []byte

// Persist implements raft.FSMSnapshot, as does Release.
func (t fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(t); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release has nothing to let go of.
func (fsmSnapshot) Release() {}

// logWriter puts the library's lines into the program's log.
type logWriter struct{ logger *slog.Logger }

// Write takes one line.
func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Warn("replicated log", "said", string(line[:max(len(line)-1, 0)]))
	return len(line), nil
}
