package frontend

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/server"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// unparsedBytes returns the number of bytes that were received on all connections and are not parsed. It must be called
// on the event loop.
func (b *fixture) unparsedBytes() (bytes int) {
	for _, c := range b.conns {
		bytes += c.received.Len() + c.transport.Reader().Len()
	}
	return bytes
}

// Guards against a fault: received bytes that were not parsed yet were bounded for each connection, and not for all of
// them together, so that bad clients drove the process over its memory while its event loop was busy.
func TestUnparsedBytesOfAllConnectionsAreBounded(t *testing.T) {
	const (
		clients  = 60
		requests = 300
		observed = 300 * time.Millisecond
	)
	limits := server.Limits{MemoryMB: 16, Sockets: 256}
	b := newFixture(t, limits)
	var input []byte
	for stream := range uint32(requests) {
		input = append(input, fake.RequestFrame(stream+1, "unheard-of", string(make([]byte, maxBodyBytes)))...)
	}
	routers := make([]*fake.Router, clients)
	for i := range routers {
		routers[i] = fake.Dial(t, b.Address())
	}
	require.Eventually(t, func() bool { return b.joinedCount.Load() == clients }, fake.WaitLimit, time.Millisecond)
	var done sync.WaitGroup
	largest := 0
	b.onLoop(func() {
		for _, r := range routers {
			done.Go(func() { _, _ = r.Write(input) })
		}
		for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(time.Millisecond) {
			largest = max(largest, b.unparsedBytes())
		}
	})
	// In addition to the bound, there are the bytes of one read, of at most twice what the receive buffer was set to.
	assert.LessOrEqual(t, largest, limits.MemoryMB<<20/readAheadDivisor+2*receiveBufferBytes)
	for _, r := range routers {
		done.Go(func() {
			for range requests {
				reply, err := harness.ReadReply(r)
				if !assert.NoError(t, err) || !assert.Equal(t, byte(50), reply.Code) {
					return
				}
			}
		})
	}
	done.Wait()
	b.onLoop(func() {
		assert.Zero(t, b.unparsedBytes())
		assert.Zero(t, b.readAhead.used, "bytes that were parsed are still counted")
	})
}

// The poller serves other event loops as well, so it must not wait for one that has ended.
func TestPollerDoesNotWaitForAnEndedEventLoop(t *testing.T) {
	ended := make(chan struct{})
	ahead := newReadAhead(10, ended)
	assert.True(t, ahead.acquire(100), "one read may be longer than the bound")
	released := make(chan bool)
	go func() { released <- ahead.acquire(1) }()
	select {
	case <-released:
		t.Error("more bytes than the bound were acquired")
	case <-time.After(10 * time.Millisecond):
	}
	ahead.release(100)
	assert.True(t, <-released)
	go func() { released <- ahead.acquire(10) }()
	close(ended)
	assert.False(t, <-released)
}
