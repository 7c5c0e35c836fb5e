package server

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// A duplicate that exceeded a limit was rejected, which states that it had no effect, although its original had run.
// Its caller would have sent it to another server, where it would have run again.
func TestDuplicatesAreNeverRejectedOnceTheirOriginalMayHaveRun(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":20000000`, 1)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	incoming := func(stream uint32, key string) IncomingRequest {
		return IncomingRequest{
			ID: fake.RequestID(stream), Route: "pay", QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: stream, Key: key,
		}
	}
	b.onLoop(func() { b.Receive(incoming(1, "n")) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)

	b.onLoop(func() {
		overLimit := incoming(2, "n")
		overLimit.OverLimit = true
		b.Receive(overLimit)
		b.requests.max = 0
		b.Receive(incoming(3, "n"))
		b.Receive(incoming(4, "new"))
	})
	for _, want := range []Verdict{Aborted, Aborted, Rejected} {
		assert.Equal(t, want, b.nextAnswer(t).Verdict)
	}
}

// A process that was suspended reads a duplicate after the window in which it arrived. The duplicate ran, or was
// rejected, as a new request.
func TestADuplicateBelongsToTheWindowInWhichItArrived(t *testing.T) {
	const window = 400 * time.Millisecond
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":400000`, 1)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	incoming := func(stream uint32, arrived time.Duration) IncomingRequest {
		return IncomingRequest{
			ID: fake.RequestID(stream), Route: "pay", QueuedKB: 20, Rank: 0.9, Arrived: arrived, Timeout: time.Minute,
			Caller: b, Stream: stream, Key: "n",
		}
	}
	var first time.Duration
	b.onLoop(func() { first = b.Now(); b.Receive(incoming(1, first)) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("done"))
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)

	b.onLoop(func() { time.Sleep(window + 800*time.Millisecond) }) // blocks the event loop, as in a suspended process
	for range 3 {
		b.onLoop(func() { b.overdue.maintainedAt = 0 }) // rounds in which expired entries are dropped
	}
	b.onLoop(func() { b.Receive(incoming(2, first+window/2)) })
	duplicate := b.nextAnswer(t)
	assert.Equal(t, []any{Served, "done"}, []any{duplicate.Verdict, string(duplicate.Result)}, "a duplicate is answered from its original")
	assert.Empty(t, b.pool.Commands)

	b.onLoop(func() { b.Receive(incoming(3, first+2*window)) }) // this one arrived after the window
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("anew"))
	assert.Equal(t, "anew", string(b.nextAnswer(t).Result))
}

// A keyed request is canceled in the round in which it is read, and the controller rejects it for lack of memory. Its
// key was kept for the whole window, as if it would still run: a duplicate was neither run nor rejected.
func TestKeyOfARequestCanceledAsItWasRead(t *testing.T) {
	site := strings.NewReplacer(`"fragile"`, `"dedup"`, `"ram-kb":60000.0`, `"ram-kb":60000.0,"key-kb":1e6`).Replace(fake.SiteSettings)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	b.onLoop(func() {
		request := b.Receive(IncomingRequest{
			ID: fake.RequestID(1), Route: "pay", QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: 1, Key: "n",
		})
		b.Cancel(request)
	})
	for decided := false; !decided; { // functions submitted next may still be called in the same round
		b.onLoop(func() { decided = !b.round.pending })
	}
	b.onLoop(func() {
		assert.Empty(t, b.keys.entries)
		assert.Empty(t, b.requests.byID)
	})
	assert.Zero(t, b.counts.Times("check failed: a request was answered twice"))
	assert.Empty(t, b.answers)
}

// Guards against a fault: a keyed request was kept in memory with its body and its connection for the whole window of its
// key, though only an entry of the key table was accounted for.
func TestKeyDoesNotKeepItsRequestInMemory(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":60000000`, 1)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	var request weak.Pointer[Request]
	b.onLoop(func() {
		request = weak.Make(b.Receive(IncomingRequest{
			ID: fake.RequestID(1), Route: "pay", QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: 1, Key: "n",
		}))
	})
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	b.submitRequest(2, "browse", time.Minute) // takes the place of the first one in the buffers that rounds reuse
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	assert.Eventually(t, func() bool { runtime.GC(); return request.Value() == nil }, fake.WaitLimit, time.Millisecond)
	b.onLoop(func() { assert.Len(t, b.keys.entries, 1) })
}

// Guards against a fault: the key table was bounded by the number of its entries, at 512 bytes each, while a key could have
// 8 KiB, as a peer may send any tenant.
func TestKeyTableIsBoundedByItsBytes(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":60000000`, 1)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	incoming := func(stream uint32, key string) IncomingRequest {
		return IncomingRequest{
			ID: fake.RequestID(stream), Route: "pay", QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: stream, Key: key,
		}
	}
	long := strings.Repeat("k", 8<<10)
	b.onLoop(func() {
		b.keys.maxBytes = 2 * (keyEntryBytes + len(long))
		b.Receive(incoming(1, long))
		assert.Nil(t, b.Receive(incoming(2, long+"2")), "a key for which there is no memory was taken")
		assert.NotNil(t, b.Receive(incoming(3, long)), "a duplicate needs no memory for its key")
		for stream := range uint32(10) {
			assert.NotNil(t, b.Receive(incoming(10+stream, fmt.Sprint("short", stream))))
		}
		assert.LessOrEqual(t, b.keys.bytes, b.keys.maxBytes)
		for _, entry := range b.keys.entries {
			b.keys.remove(entry)
			b.keys.remove(entry) // removed already
		}
		assert.Zero(t, b.keys.bytes)
	})
}

// Guards against a fault: duplicates that were canceled, or answered at their deadline, were kept with their bodies until
// their original's run ended, and counted against no bound. One client could fill the memory with them.
func TestAnsweredDuplicatesAreForgotten(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":60000000`, 1)
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	receive := func(stream uint32, timeout time.Duration) (request *Request) {
		b.onLoop(func() {
			request = b.Receive(IncomingRequest{
				ID: fake.RequestID(stream), Route: "pay", QueuedKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: timeout,
				Caller: b, Stream: stream, Key: "n",
			})
		})
		return request
	}
	original := receive(1, time.Minute)
	b.pool.Next(t, "spawn") // its run does not end
	for stream := range uint32(20) {
		duplicate := receive(10+stream, time.Minute)
		b.onLoop(func() { b.Cancel(duplicate) })
	}
	receive(50, 100*time.Millisecond)
	assert.Equal(t, uint32(50), b.nextAnswer(t).stream)
	receive(51, time.Minute)
	require.Eventually(t, func() (forgotten bool) {
		b.onLoop(func() { forgotten = len(b.keys.entries[original.key].waiting) == 1 })
		return forgotten
	}, fake.WaitLimit, time.Millisecond)
	b.pool.Finish(fake.RequestID(1), "success", []byte("done"))
	for range 2 {
		assert.Equal(t, "done", string(b.nextAnswer(t).Result))
	}
}
