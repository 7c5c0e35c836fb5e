package raftlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quartzpoint/internal/peersync"
)

const testTimeout = 20 * time.Second

// recordingMachine is a state machine that records all entries.
type recordingMachine struct {
	mu      sync.Mutex
	entries []string
}

func (m *recordingMachine) Apply(entry []byte, at time.Time) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.IsZero() {
		panic("entry without an append time")
	}
	m.entries = append(m.entries, string(entry))
	return len(m.entries)
}

func (m *recordingMachine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, _ := json.Marshal(m.entries) // a slice of strings can always be encoded
	return raw
}

func (m *recordingMachine) Restore(raw []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Unmarshal(raw, &m.entries)
}

func (m *recordingMachine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string{}, m.entries...)
}

// cluster is a log replicated over three members.
type cluster struct {
	options  []Options
	machines []*recordingMachine
	nodes    []*Node
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{}
	var members []Member
	for i := range 3 {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		members = append(members, Member{Name: fmt.Sprint("m", i), Address: free.Addr().String()})
		require.NoError(t, free.Close())
	}
	for i := range members {
		c.machines = append(c.machines, &recordingMachine{})
		c.options = append(c.options, Options{
			Name: members[i].Name, Dir: filepath.Join(t.TempDir(), "log"), Members: members, StateMachine: c.machines[i],
			Keys: peersync.Keys{bytes.Repeat([]byte{3}, 16)}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		c.nodes = append(c.nodes, nil)
		c.start(t, i)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			if n != nil {
				_ = n.Close()
			}
		}
	})
	return c
}

func (c *cluster) start(t *testing.T, i int) {
	t.Helper()
	node, err := Start(c.options[i])
	require.NoError(t, err)
	c.nodes[i] = node
}

func (c *cluster) stop(t *testing.T, i int) {
	t.Helper()
	require.NoError(t, c.nodes[i].Close())
	c.nodes[i] = nil
	*c.machines[i] = recordingMachine{} // a restart loses the state in memory
}

// leader waits until a member is the leader, and returns its index.
func (c *cluster) leader(t *testing.T) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, n := range c.nodes {
			if n == nil {
				continue
			}
			if n.Leadership().IsLeader {
				leader = i
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
	return leader
}

func (c *cluster) propose(t *testing.T, entry string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return propose(t, c.nodes[c.leader(t)], entry, time.Second) == nil
	}, testTimeout, time.Millisecond)
}

// propose proposes an entry; timeout limits the wait for a slot in the leader's queue.
func propose(t *testing.T, node *Node, entry string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := node.Propose(ctx, []byte(entry))
	return err
}

// waitForEntries waits until all running members have applied exactly the wanted entries.
func (c *cluster) waitForEntries(t *testing.T, want []string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, n := range c.nodes {
			if n != nil && !assert.ObjectsAreEqual(want, c.machines[i].all()) {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

// The leader fails, a member restarts after a snapshot was taken, and then all members restart. After each of these,
// all members must have applied the same entries in the same order.
func TestLogAcrossLosses(t *testing.T) {
	c := newCluster(t)
	var want []string
	put := func(entry string) {
		c.propose(t, entry)
		want = append(want, entry)
	}
	put("a")
	put("b")
	c.waitForEntries(t, want)
	stopped := c.leader(t)
	follower := (stopped + 1) % 3
	assert.ErrorIs(t, propose(t, c.nodes[follower], "x", time.Second), ErrNotLeader)
	c.stop(t, stopped)
	put("c")
	require.NoError(t, c.nodes[c.leader(t)].raft.Snapshot().Error())
	put("d")
	c.start(t, stopped)
	c.waitForEntries(t, want)
	for i := range c.nodes {
		c.stop(t, i)
	}
	for i := range c.nodes {
		c.start(t, i)
	}
	put("e")
	c.waitForEntries(t, want)
}

// Two of three members fail. The remaining one must step down and commit nothing, because the other two could elect a
// leader and commit other entries.
func TestNoMajority(t *testing.T) {
	c := newCluster(t)
	c.propose(t, "a")
	leader := c.leader(t)
	c.stop(t, (leader+1)%3)
	c.stop(t, (leader+2)%3)
	require.Eventually(t, func() bool {
		return c.nodes[leader].Leadership().Leader == ""
	}, testTimeout, time.Millisecond)
	assert.Error(t, propose(t, c.nodes[leader], "b", 200*time.Millisecond))
}

// A member with a wrong key must not receive entries. A machine that is not one of the members must not start.
func TestAnotherKey(t *testing.T) {
	c := newCluster(t)
	c.propose(t, "a")
	leader := c.leader(t)
	restarted := (leader + 1) % 3
	c.stop(t, restarted)
	c.options[restarted].Keys = peersync.Keys{bytes.Repeat([]byte{4}, 16)}
	c.start(t, restarted)
	c.propose(t, "b")
	assert.Never(t, func() bool { return len(c.machines[restarted].all()) > 1 }, 300*time.Millisecond, 10*time.Millisecond)
	nonMember := c.options[leader]
	nonMember.Name = "nobody"
	_, err := Start(nonMember)
	assert.ErrorContains(t, err, "not one of the members")
}

// A start that fails halfway must release everything it opened; otherwise the address stays in use and the goroutine
// that accepts connections leaks. Here a file in place of the snapshot directory makes it fail.
func TestFailedStartReleasesEverything(t *testing.T) {
	before := goleak.IgnoreCurrent()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "snapshots"), nil, 0o600))
	options := Options{
		Name: "m", Dir: dir, Members: []Member{{Name: "m", Address: address}}, StateMachine: &recordingMachine{},
		Logger: slog.New(slog.DiscardHandler),
	}
	_, err = Start(options)
	require.Error(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err, "the address must be free after the failed start")
	require.NoError(t, listener.Close())
	goleak.VerifyNone(t, before)

	require.NoError(t, os.Remove(filepath.Join(dir, "snapshots")))
	node, err := Start(options) // the log file must not be locked after the failed start
	require.NoError(t, err)
	require.NoError(t, node.Close())
}
