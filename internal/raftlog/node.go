// Package raftlog replicates a log of entries over a few machines by hashicorp/raft: an entry is committed once a
// majority has it on disk, and every member applies the same entries in the same order to its StateMachine. The log and
// the votes are in a bolt file, snapshots in files beside it.
package raftlog

import (
	"context"
	"errors"
	"fmt"
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
	logFile           = "log.bolt"
	maxPooledConns    = 3 // to each member
	transportTimeout  = 5 * time.Second
	retainedSnapshots = 2
	snapshotEntries   = 2048 // appended after the last snapshot, before the next
	trailingEntries   = 1024 // retained before a snapshot, so that a member that was away for a short time needs none

	electionTimeout    = time.Second // also that of heartbeats
	leaderLeaseTimeout = 500 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
)

// ErrNotLeader says that another member appends entries.
var ErrNotLeader = errors.New("replicated log: this machine does not lead")

// Member is one machine of the log.
type Member struct {
	Name        string
	Address     string // by which all members know it
	DialAddress string // where this machine dials it; empty: Address
}

// Options are the settings of a Node.
type Options struct {
	Name         string   // which of the members this machine is
	Dir          string   // of the log and the snapshots; created where it does not exist
	Members      []Member // the same on all members
	Keys         peersync.Keys
	StateMachine StateMachine
	Logger       *slog.Logger
}

// Node is a running member of the log.
type Node struct {
	raft      *raft.Raft
	transport *raft.NetworkTransport
	store     *raftboltdb.BoltStore
	stream    *streamLayer
}

// Start starts a member, with the log and snapshots of its directory, or a new log where there is none. The caller closes
// the node.
func Start(options Options) (*Node, error) {
	listenAddress, err := options.listenAddress()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "raft", Level: hclog.Warn, Output: logWriter{options.Logger}, DisableTime: true,
	})
	n := &Node{}
	if n.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(options.Dir, logFile)}); err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	if n.stream, err = listenStream(listenAddress, options.dialAddresses(), options.Keys, options.Logger); err != nil {
		return nil, errors.Join(err, n.release())
	}
	n.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: n.stream, MaxPool: maxPooledConns, Timeout: transportTimeout, Logger: logger,
	})
	if err := n.startRaft(options, logger); err != nil {
		return nil, errors.Join(fmt.Errorf("replicated log: %w", err), n.release())
	}
	return n, nil
}

// startRaft bootstraps the log where the directory has none, and starts the library.
func (n *Node) startRaft(options Options, logger hclog.Logger) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(options.Dir, retainedSnapshots, logger)
	if err != nil {
		return err
	}
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = raft.ServerID(options.Name), logger
	config.HeartbeatTimeout, config.ElectionTimeout = electionTimeout, electionTimeout
	config.LeaderLeaseTimeout, config.CommitTimeout = leaderLeaseTimeout, commitTimeout
	config.SnapshotThreshold, config.TrailingLogs = snapshotEntries, trailingEntries
	exists, err := raft.HasExistingState(n.store, n.store, snapshots)
	if err != nil {
		return err
	}
	if !exists {
		if err := raft.BootstrapCluster(config, n.store, n.store, snapshots, n.transport, options.raftConfiguration()); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRaft(config, fsm{options.StateMachine}, n.store, n.store, snapshots, n.transport)
	return err
}

// listenAddress is the address of the member that this machine is.
func (o *Options) listenAddress() (string, error) {
	for _, m := range o.Members {
		if m.Name == o.Name && m.Address != "" {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("replicated log: %q is none of its members", o.Name)
}

// dialAddresses are the addresses to dial, by the address of the member.
func (o *Options) dialAddresses() map[string]string {
	addresses := map[string]string{}
	for _, m := range o.Members {
		addresses[m.Address] = m.Address
		if m.DialAddress != "" {
			addresses[m.Address] = m.DialAddress
		}
	}
	return addresses
}

// raftConfiguration is the members as the library knows them.
func (o *Options) raftConfiguration() raft.Configuration {
	var servers []raft.Server
	for _, m := range o.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Address)})
	}
	return raft.Configuration{Servers: servers}
}

// Propose appends an entry on the leader and returns the result of StateMachine.Apply once it is committed and applied
// here. On another member it returns ErrNotLeader. After any other error the entry may still be committed.
//
// The context's deadline bounds the wait for a place in the leader's queue. From then on the library answers: with the
// commit, or, without a majority, with an error once the leader lease has run out.
func (n *Node) Propose(ctx context.Context, entry []byte) (any, error) {
	timeout, err := queueTimeout(ctx)
	if err != nil {
		return nil, err
	}
	future := n.raft.Apply(entry, timeout)
	if err := proposeError(future.Error()); err != nil {
		return nil, err
	}
	return future.Response(), nil
}

// Barrier waits until every entry that was committed before it is applied here, on the leader; on another member it returns
// ErrNotLeader. The context's deadline bounds the wait for a place in the leader's queue, as of Propose.
func (n *Node) Barrier(ctx context.Context) error {
	timeout, err := queueTimeout(ctx)
	if err != nil {
		return err
	}
	return proposeError(n.raft.Barrier(timeout).Error())
}

// queueTimeout is how long an entry may wait for a place in the leader's queue: to the context's deadline; 0 is without
// bound.
func queueTimeout(ctx context.Context) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("replicated log: %w", err)
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		return max(time.Until(deadline), time.Nanosecond), nil
	}
	return 0, nil
}

// proposeError is the library's error of an entry as this package has it.
func proposeError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return ErrNotLeader
	case err != nil:
		return fmt.Errorf("replicated log: %w", err)
	}
	return nil
}

// Leadership says which member leads, as far as this one knows.
type Leadership struct {
	Leader   string // its name; empty where none is known
	IsLeader bool   // whether this member leads
}

// Leadership returns the present leader.
func (n *Node) Leadership() Leadership {
	_, id := n.raft.LeaderWithID()
	return Leadership{Leader: string(id), IsLeader: n.raft.State() == raft.Leader}
}

// Close stops the member and waits until it has stopped.
func (n *Node) Close() error {
	err := n.raft.Shutdown().Error() // also closes the transport
	return errors.Join(err, n.release())
}

// release closes what Start opened, as far as it came. All of it may be closed already.
func (n *Node) release() (err error) {
	if n.transport != nil {
		err = n.transport.Close()
	}
	if n.stream != nil {
		err = errors.Join(err, n.stream.Close())
	}
	if n.store != nil {
		err = errors.Join(err, n.store.Close())
	}
	return err
}
