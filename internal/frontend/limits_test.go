package frontend

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/server"
	"quartzpoint/internal/testkit/fake"
)

// Guards against a fault: hundreds of silent connections used up the connection limit, and routers were refused.
func TestTableFull(t *testing.T) {
	limits := server.Limits{MemoryMB: 96, Sockets: 40}
	b := newFixture(t, limits)
	first := b.dialActive(t)
	for range 2 * limits.Sockets {
		joined := b.joinedCount.Load()
		fake.Dial(t, b.Address())
		// The connections are spread in time as the server sees them, even on a busy machine.
		require.Eventually(t, func() bool { return b.joinedCount.Load() > joined }, fake.WaitLimit, time.Millisecond/10)
		time.Sleep(minConnAge / 20)
	}
	time.Sleep(minConnAge)
	busy := b.dialActive(t)
	assert.Zero(t, b.counters.Times("connection drained to make room"), "a router's idle connection was drained before silent ones")
	busy.Send(t, fake.RequestFrame(2, "pay", ""))
	b.pool.Next(t, "spawn")
	for range limits.Sockets {
		b.dialActive(t) // all of them stay open
	}
	b.waitCounted(t, "connection drained to make room")
	b.waitCounted(t, "connection closed to make room")
	assert.Equal(t, byte(30), first.Next(t).Type, "the connection idle for longest is drained")
	first.WaitClosed(t)
	b.pool.Finish(fake.RequestID(2), "success", []byte("kept"))
	assert.Equal(t, "kept", busy.Next(t).Body, "a connection with an open request is never evicted")

	var inUse []*fake.Router
	for stream := range uint32(limits.Sockets / 2) { // so that all are in use
		r := fake.Dial(t, b.Address())
		r.Send(t, fake.RequestFrame(stream+100, "pay", ""))
		inUse = append(inUse, r)
	}
	require.Eventually(t, func() bool {
		open := make(chan int)
		b.server.Submit(func() {
			n := 0
			for _, c := range b.conns {
				n += len(c.requests)
			}
			open <- n
		})
		return <-open == len(inUse)
	}, fake.WaitLimit, time.Millisecond)
	require.Positive(t, b.maxOverLimit)
	setFrameBegun := func(begun time.Duration) { // makes connections over the limit look as if the rest of a frame were on its way
		b.onLoop(func() {
			for _, c := range b.conns {
				if c.overLimit {
					c.frameBegunAt = begun
				}
			}
		})
	}
	for range b.maxOverLimit { // a request on each connection over the limit is read and answered
		r := b.dialActive(t)
		r.Send(t, fake.RequestFrame(9, "pay", "", "call", fake.RequestID(9)))
		assert.Equal(t, byte(50), r.Next(t).Code)
		setFrameBegun(b.server.Now() + fake.WaitLimit)
	}
	b.waitCounted(t, "request on a connection over the limit")
	assert.Zero(t, b.counters.Times("connection refused, limit reached"))
	fake.Dial(t, b.Address()).WaitClosed(t)
	b.waitCounted(t, "connection refused, limit reached")
	setFrameBegun(0)
	last := b.dialActive(t) // takes the place of one of the connections over the limit

	for _, r := range inUse { // a connection accepted over the limit is like any other once the limit is met
		_ = r.Close()
	}
	require.Eventually(t, func() (within bool) {
		b.onLoop(func() { within = b.live() <= b.maxConns })
		return within
	}, fake.WaitLimit, time.Millisecond)
	b.pool.SetEcho()
	last.Send(t, fake.RequestFrame(10, "pay", "", "call", fake.RequestID(10)))
	assert.Equal(t, byte(20), last.Next(t).Code)
}

// For any number of descriptors, the process itself keeps its part, and each other use gets at least one.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, c := range []struct{ sockets, conns, overLimit, unjoined int }{
		{4, 1, 1, 1}, {24, 4, 2, 2}, {32, 12, 2, 2}, {48, 24, 4, 4}, {64, 32, 8, 8}, {100, 50, 8, 16}, {128, 64, 8, 16},
		{256, 192, 8, 16}, {4096, 4032, 8, 16},
	} {
		conns, overLimit, unjoined := splitSockets(c.sockets)
		assert.Equal(t, []int{c.conns, c.overLimit, c.unjoined}, []int{conns, overLimit, unjoined}, "%d", c.sockets)
		if c.sockets > processSockets+3 {
			assert.LessOrEqual(t, conns+overLimit+unjoined, c.sockets-processSockets)
		}
	}
	assert.Equal(t, 1, socketLimit(1))
	var rlimit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit))
	assert.Equal(t, min(int(rlimit.Cur), math.MaxInt32), socketLimit(math.MaxInt32))
}

// Guards against a fault: incomplete frames were bounded for each connection, at 8 KiB, and not for all of them together.
// A router that is slow to send an ordinary request must not suffer from those that send long ones and end none.
func TestIncompleteFramesOfAllConnectionsAreBounded(t *testing.T) {
	const clients = 40
	limits := server.Limits{MemoryMB: 2, Sockets: 256}
	b := newFixture(t, limits)
	slow := fake.Dial(t, b.Address())
	request := fake.RequestFrame(1, "pay", "whole")
	slow.Send(t, request[:len(request)-1])
	partialBytes := func() (bytes int) {
		b.onLoop(func() {
			for _, c := range b.conns {
				bytes += len(c.partial)
			}
		})
		return bytes
	}
	require.Eventually(t, func() bool { return partialBytes() == len(request)-1 }, fake.WaitLimit, time.Millisecond)
	long := fake.Frame(10, 1, strings.Repeat("x", 7<<10), "op", "pay")
	for range clients {
		fake.Dial(t, b.Address()).Send(t, long[:len(long)-1])
	}
	b.waitCounted(t, "connection closed: too many incomplete frames")
	require.Eventually(t, func() bool { return b.joinedCount.Load() == clients+1 }, fake.WaitLimit, time.Millisecond)
	assert.LessOrEqual(t, partialBytes(), limits.MemoryMB<<20/partialDivisor)
	slow.Send(t, request[len(request)-1:])
	assert.Equal(t, "whole", string(b.pool.Next(t, "spawn").Body))
	b.onLoop(func() {
		for _, c := range b.conns {
			c.close("the test ends")
		}
		assert.Zero(t, b.partialBytes, "bytes are counted that are no longer there")
	})
}
