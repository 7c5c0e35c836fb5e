package frontend

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/server"
	"quartzpoint/internal/testkit/fake"
)

// Hundreds that connect and say nothing filled the table and turned routers away.
func TestTableFull(t *testing.T) {
	limits := server.Limits{MemoryMB: 96, Sockets: 40}
	b := newBench(t, limits)
	first := b.speaker(t)
	for range 2 * limits.Sockets {
		joined := b.joinedCount.Load()
		fake.Dial(t, b.Address())
		// They are spread in time as the server sees them, however late a busy machine lets it look.
		require.Eventually(t, func() bool { return b.joinedCount.Load() > joined }, fake.WaitLimit, time.Millisecond/10)
		time.Sleep(minConnAge / 20)
	}
	time.Sleep(minConnAge)
	busy := b.speaker(t)
	assert.Zero(t, b.counters.Times("connection drained to make room"), "silent ones go before a router's idle one")
	busy.Send(t, fake.RequestFrame(2, "pay", ""))
	b.pool.Next(t, "spawn")
	for range limits.Sockets {
		b.speaker(t) // which all stay
	}
	b.waitCounted(t, "connection drained to make room")
	b.waitCounted(t, "connection closed to make room")
	assert.Equal(t, byte(30), first.Next(t).Type, "the one idle for longest is asked to go")
	first.WaitClosed(t)
	b.pool.Finish(fake.CallID(2), "success", []byte("kept"))
	assert.Equal(t, "kept", busy.Next(t).Body, "one with an open task never makes room")

	var all []*fake.Router
	for stream := range uint32(limits.Sockets / 2) { // all in use
		r := fake.Dial(t, b.Address())
		r.Send(t, fake.RequestFrame(stream+100, "pay", ""))
		all = append(all, r)
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
		return <-open == len(all)
	}, fake.WaitLimit, time.Millisecond)
	require.Positive(t, b.maxOverLimit)
	hold := func(begun time.Duration) { // as where they have begun what is on its way
		b.onLoop(func() {
			for _, c := range b.conns {
				if c.overLimit {
					c.frameBegunAt = begun
				}
			}
		})
	}
	for range b.maxOverLimit { // each is heard, and has its one answer
		r := b.speaker(t)
		r.Send(t, fake.RequestFrame(9, "pay", "", "call", fake.CallID(9)))
		assert.Equal(t, byte(50), r.Next(t).Code)
		hold(b.server.Now() + fake.WaitLimit)
	}
	b.waitCounted(t, "request on a connection over the limit")
	assert.Zero(t, b.counters.Times("connection refused, limit reached"))
	fake.Dial(t, b.Address()).WaitClosed(t)
	b.waitCounted(t, "connection refused, limit reached")
	hold(0)
	last := b.speaker(t) // in the place of one of them

	for _, r := range all { // one that came beyond the table is as any other once it is within
		_ = r.Close()
	}
	require.Eventually(t, func() (within bool) {
		b.onLoop(func() { within = b.live() <= b.maxConns })
		return within
	}, fake.WaitLimit, time.Millisecond)
	b.pool.SetEcho()
	last.Send(t, fake.RequestFrame(10, "pay", "", "call", fake.CallID(10)))
	assert.Equal(t, byte(20), last.Next(t).Code)
}

// Whatever there is, the process itself has its part, and each of the others some.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, c := range []struct{ sockets, most, crowd, untried int }{
		{4, 1, 1, 1}, {24, 4, 2, 2}, {32, 12, 2, 2}, {48, 24, 4, 4}, {64, 32, 8, 8}, {100, 50, 8, 16}, {128, 64, 8, 16},
		{256, 192, 8, 16}, {4096, 4032, 8, 16},
	} {
		most, crowd, untried := splitSockets(c.sockets)
		assert.Equal(t, []int{c.most, c.crowd, c.untried}, []int{most, crowd, untried}, "%d", c.sockets)
		if c.sockets > processSockets+3 {
			assert.LessOrEqual(t, most+crowd+untried, c.sockets-processSockets)
		}
	}
	assert.Equal(t, 1, socketLimit(1))
	var held unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &held))
	assert.Equal(t, min(int(held.Cur), math.MaxInt32), socketLimit(math.MaxInt32))
}
