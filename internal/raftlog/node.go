// Package raftlog replicates a log of entries over several machines with hashicorp/raft. An entry is committed once a
// majority has written it to disk, and every member applies the same entries in the same order to its StateMachine. The
// log and the votes are stored in a bolt file, and snapshots in files of the same directory.
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
	maxPooledConns    = 3 // maximum number of pooled connections to each member
	transportTimeout  = 5 * time.Second
	retainedSnapshots = 2
	snapshotEntries   = 2048 // entries after the last snapshot that trigger the next one
	trailingEntries   = 1024 // entries kept from before a snapshot; a member that was unreachable for a short time catches up with them instead of the snapshot

	electionTimeout    = time.Second // also the heartbeat timeout
	leaderLeaseTimeout = 500 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
)

// ErrNotLeader reports that this member is not the leader and cannot append entries.
var ErrNotLeader = errors.New("replicated log: this machine does not lead")

// Member is one machine that takes part in the log.
type Member struct {
	Name        string
	Address     string // address by which all members know this one, and on which it listens
	DialAddress string // address that this machine dials instead of Address; empty to dial Address
}

// Options configures a Node.
type Options struct {
	Name         string   // name of the member that this machine is
	Dir          string   // directory of the log and the snapshots, created if it does not exist
	Members      []Member // names and addresses must be the same on all members
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

// Start starts a member with the log and snapshots in its directory, or with a new log if there is none. The caller
// must close the node.
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

// startRaft starts the raft library. It bootstraps a new log if the directory has none.
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

// listenAddress returns the address of the member that this machine is.
func (o *Options) listenAddress() (string, error) {
	for _, m := range o.Members {
		if m.Name == o.Name && m.Address != "" {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("replicated log: %q is not one of the members", o.Name)
}

// dialAddresses returns the addresses to dial, keyed by member address.
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

// raftConfiguration returns the members in the form of the raft library.
func (o *Options) raftConfiguration() raft.Configuration {
	var servers []raft.Server
	for _, m := range o.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Address)})
	}
	return raft.Configuration{Servers: servers}
}

// Propose appends an entry on the leader and returns the result of StateMachine.Apply after the entry is committed and
// applied on this machine. On another member it returns ErrNotLeader. After any other error the entry may still be
// committed.
//
// The context's deadline bounds only the wait for a slot in the leader's queue. An entry in the queue then either
// commits or, without a majority, fails once the leader lease has expired.
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

// Barrier waits on the leader until every entry committed before the call is applied on this machine. On another member
// it returns ErrNotLeader. As in Propose, the context's deadline bounds only the wait for a slot in the leader's queue.
func (n *Node) Barrier(ctx context.Context) error {
	timeout, err := queueTimeout(ctx)
	if err != nil {
		return err
	}
	return proposeError(n.raft.Barrier(timeout).Error())
}

// queueTimeout returns how long an entry may wait for a slot in the leader's queue: until the context's deadline, or 0
// for no limit.
func queueTimeout(ctx context.Context) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("replicated log: %w", err)
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		return max(time.Until(deadline), time.Nanosecond), nil
	}
	return 0, nil
}

// proposeError converts an error of the raft library into one of this package.
func proposeError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return ErrNotLeader
	case err != nil:
		return fmt.Errorf("replicated log: %w", err)
	}
	return nil
}

// Leadership states which member is the leader, as far as this member knows.
type Leadership struct {
	Leader   string // name of the leader; empty if none is known
	IsLeader bool   // whether this member is the leader
}

// Leadership returns the current leader.
func (n *Node) Leadership() Leadership {
	_, id := n.raft.LeaderWithID()
	return Leadership{Leader: string(id), IsLeader: n.raft.State() == raft.Leader}
}

// Close stops the member and waits until it has stopped.
func (n *Node) Close() error {
	err := n.raft.Shutdown().Error() // also closes the transport
	return errors.Join(err, n.release())
}

// release closes everything that Start has opened so far. It may be called after some of it was closed.
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
