package leasing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/peersync"
	"quartzpoint/lease"
)

// Three managers on loopback request two leases. Each lease must get one holder and never two. A lease would not be
// granted if requests for one lease displaced those for the other in the queue to a peer.
func TestEveryLeaseHasOneHolder(t *testing.T) {
	config := lease.Config{Duration: 300 * time.Millisecond, MaxClockDrift: 0.01, Voters: 3}
	leases := []string{"compact", "announce"}
	var peerServers []*peersync.Server
	for range 3 {
		began := time.Now()
		server, err := peersync.Listen("127.0.0.1:0", nil, func() time.Duration { return time.Since(began) },
			invariant.New(slog.New(slog.DiscardHandler)))
		require.NoError(t, err)
		server.Serve()
		t.Cleanup(server.Close)
		peerServers = append(peerServers, server)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var managers []*Manager
	done := make(chan struct{}, 3)
	for i, server := range peerServers {
		var peers []string
		for j, other := range peerServers {
			if j != i {
				peers = append(peers, other.Address())
			}
		}
		manager, err := New(Options{Address: server.Address(), Leases: leases, Config: config, Peers: peers, Seed: int64(i),
			Log: slog.New(slog.DiscardHandler)})
		require.NoError(t, err)
		server.SetVoteHandler(manager.HandleVote)
		managers = append(managers, manager)
		go func() { manager.Run(ctx); done <- struct{}{} }()
	}
	defer func() {
		cancel()
		for range managers {
			<-done
		}
	}()
	holders := func(name string) (n int) {
		for _, manager := range managers {
			if _, holds := manager.Holds(name); holds {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return holders("compact") == 1 && holders("announce") == 1 },
		10*time.Second, 5*time.Millisecond)
	for range 50 { // never more than one holder while leases are renewed
		assert.LessOrEqual(t, holders("compact"), 1)
		assert.LessOrEqual(t, holders("announce"), 1)
		time.Sleep(10 * time.Millisecond)
	}
	_, err := New(Options{Address: "x", Leases: leases, Config: config, Peers: []string{"a"}})
	assert.ErrorContains(t, err, "3 voters configured, want one for each of the 1 peers")
}

// A thousand voters respond at the same time, and then more responses arrive than the queue can hold. None of the
// thousand may be lost, the excess ones must be dropped, and the emptied queue must not keep its memory.
func TestPostedCallsAreBounded(t *testing.T) {
	manager, err := New(Options{Address: "a", Leases: []string{"d"}, Config: lease.Config{Duration: time.Second, Voters: 1},
		Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	assert.Zero(t, cap(manager.posted))
	done := 0
	for range 1024 {
		manager.post(func() { done++ })
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	manager.post(func() { cancel() })
	go func() { manager.Run(ctx); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		cancel()
		<-stopped
	}
	assert.Equal(t, 1024, done)
	for range maxPosted + 10 {
		manager.post(func() {})
	}
	assert.Len(t, manager.posted, maxPosted)
	manager.runPosted()
	assert.Zero(t, cap(manager.posted))
}
