package peersync

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/estimate"
)

// newTestFetcher returns the fetcher of a starting server and a channel with the estimates that it passes on.
func newTestFetcher(peers []string, needed *atomic.Bool) (fetcher *Fetcher, used chan estimate.Snapshot) {
	used = make(chan estimate.Snapshot, 16)
	schema := estimate.Schema{SettingsDigest: 7, Origin: 99}
	for _, route := range testSnapshot(0).Routes {
		schema.Routes = append(schema.Routes, route.Name)
		schema.Deadlines = append(schema.Deadlines, time.Second)
	}
	return &Fetcher{
		Peers: peers, FirstWait: 300 * time.Millisecond, Schema: schema, Seed: 1, NeedsEstimates: needed.Load,
		Use: func(snapshot estimate.Snapshot) { used <- snapshot }, Counts: newCounts(), Log: slog.New(slog.DiscardHandler),
	}, used
}

// Of five peers, one is silent, one is down, one has no recent estimates and one has other settings. The estimates of
// the fifth must be used before the silent peer times out. The peer that was down must be polled again and its late
// estimates used, and then polling must end.
func TestFetcher(t *testing.T) {
	one, _ := startServer(t, nil)
	empty, _ := startServer(t, nil)
	empty.Publish(estimate.Snapshot{Origin: 6, SettingsDigest: 7, Routes: testSnapshot(0).Routes}, 0) // unusable: older than the maximum age of estimates
	other, _ := startServer(t, nil)
	other.Publish(estimate.Snapshot{Origin: 8, SettingsDigest: 1}, time.Hour)
	downListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	down := downListener.Addr().String()
	_ = downListener.Close()
	silent := startPeer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })

	var needed atomic.Bool
	needed.Store(true)
	fetcher, used := newTestFetcher([]string{silent, down, one.Address(), empty.Address(), other.Address()}, &needed)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	startedAt := time.Now()
	go func() { fetcher.Run(ctx); close(done) }()
	snapshot := <-used
	assert.Less(t, time.Since(startedAt), exchangeTimeout, "a silent peer does not delay the first use by its timeout")
	assert.True(t, snapshot.Routes[0].Core.Known())

	// The peer that was down starts.
	late, err := Listen(down, nil, func() time.Duration { return time.Hour }, newCounts())
	require.NoError(t, err)
	late.Publish(testSnapshot(11), time.Hour)
	late.Serve()
	defer late.Close()
	select {
	case <-used:
	case <-time.After(testTimeout):
		t.Error("the peer that was down was not polled again")
	}
	needed.Store(false) // the fetcher stops polling, and Run returns
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("polling continued although no estimates are needed")
	}
	cancel()
}

// Each exchange uses a file descriptor. A server with a thousand peers that all fail must poll all of them, at most
// maxFetches at a time.
func TestFetcherOfAThousand(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var needed atomic.Bool
	needed.Store(true)
	polled := make(chan struct{}, 4096)
	var open, maxOpen atomic.Int64
	var goroutines sync.WaitGroup
	goroutines.Add(1)
	go func() {
		defer goroutines.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			maxOpen.Store(max(maxOpen.Load(), open.Add(1))) // written by this goroutine only
			goroutines.Add(1)
			go func() {
				defer goroutines.Done()
				_, _ = c.Read(make([]byte, maxFrame))
				time.Sleep(time.Millisecond) // gives further fetches time to connect
				open.Add(-1)                 // before the close, after which the client may start the next fetch
				_ = c.Close()
				polled <- struct{}{}
			}()
		}
	}()
	defer goroutines.Wait()
	defer func() { _ = listener.Close() }()
	fetcher, _ := newTestFetcher(slices.Repeat([]string{listener.Addr().String()}, 1024), &needed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() { fetcher.Run(ctx); close(ended) }()
	for limit := time.After(testTimeout); len(polled) < 1024; {
		select {
		case <-limit:
			require.FailNow(t, "not all peers were polled")
		case <-time.After(time.Millisecond):
		}
	}
	assert.LessOrEqual(t, maxOpen.Load(), int64(maxFetches))
	cancel()
	<-ended
}

// Two servers that start together have no estimates for each other. Their fetchers must use none, and end when their
// context ends.
func TestTwoStartingServers(t *testing.T) {
	a, _ := startServer(t, nil)
	b, _ := startServer(t, nil)
	nothing := estimate.Snapshot{SettingsDigest: 7}
	for _, route := range testSnapshot(0).Routes {
		nothing.Routes = append(nothing.Routes, estimate.RouteEstimates{Name: route.Name})
	}
	a.Publish(nothing, time.Hour)
	b.Publish(nothing, time.Hour)
	var needed atomic.Bool
	needed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	var goroutines sync.WaitGroup
	for _, server := range []*Server{a, b} {
		fetcher, used := newTestFetcher([]string{server.Address()}, &needed)
		goroutines.Add(1)
		go func() {
			defer goroutines.Done()
			fetcher.Run(ctx)
			assert.Empty(t, used)
		}()
	}
	goroutines.Wait()
}
