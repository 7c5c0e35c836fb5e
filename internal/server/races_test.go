package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
	"quartzpoint/internal/testkit/fake"
)

// onLoop has the owner stand still while f runs.
func (b *bench) onLoop(f func()) {
	done := make(chan struct{})
	b.Submit(func() { f(); close(done) })
	<-done
}

// A run that was given up is stopped though the link is lost on which that was said, or there was none: its core is free
// for others. (The decisions say it again while it is not told to have ended.)
func TestStopOfARunAcrossALostLink(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newBench(t)
		b.pool.Ready()
		b.pool.Next(t, "bind")
		b.waitLinkSynced(t)
		b.submitRequest(1, "browse", time.Minute)
		b.pool.Next(t, "spawn")
		b.waitAllRead(t)
		if down {
			b.pool.Cut()
			require.Eventually(t, func() bool {
				asked := true
				b.onLoop(func() { _, asked = b.link.Poll() })
				return !asked
			}, fake.Patience, time.Millisecond)
		}
		b.onLoop(func() {
			b.Cancel(b.requests.byID[fake.Call(1)])
			if !down {
				b.pool.Cut() // before the word is written
			}
		})
		assert.Equal(t, fake.Call(1), b.pool.Next(t, "suspend").Task)
		require.Eventually(t, func() bool {
			left := 1
			b.onLoop(func() { left = len(b.requests.byID) })
			return left == 0
		}, fake.Patience, time.Millisecond)
	}
}

// A call that comes again after its run was answered, as when its router's connection broke behind the answer, ran an
// at-most-once task a second time.
func TestCallComesAgainAfterItsAnswer(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	run := func(kind string, stream uint32) {
		b.submitRequest(stream, kind, time.Minute)
		b.pool.Next(t, "spawn")
		b.pool.Finish(fake.Call(stream), "success", []byte("done"))
		assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	}
	run("pay", 1)
	b.submitRequest(1, "pay", time.Minute)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict, "what has run is neither run again nor dismissed")
	assert.Empty(t, b.pool.Commands)
	run("browse", 2)
	run("browse", 2) // harmless, and its caller wants an answer

	b.onLoop(func() {
		b.requests.max = 3
		for _, id := range []string{"a", "b", "c"} {
			b.rememberRun(&Request{id: id, Request: admission.Request{Route: b.tables.routes["pay"]}})
		}
		assert.Equal(t, []string{"a", "b", "c"}, b.executed.order, "the oldest goes where the table is full")
		assert.Len(t, b.executed.until, 3)
		b.executed.expire(b.Now() + time.Minute)
		assert.Empty(t, b.executed.until)
		assert.Empty(t, b.executed.order)
	})
}

// A process that ends with a connection untaken, or bytes unread, loses a task. It stays for them, up to the stop.
func TestEndWaitsForWhatIsUnread(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.inputPending.Store(true)
	b.Drain(4 * time.Second)
	require.Eventually(t, func() bool {
		retired := false
		b.onLoop(func() { retired = b.retired })
		return retired
	}, fake.Patience, time.Millisecond)
	b.onLoop(func() { // read only now, past the grace of 400 ms: answered, and not run
		b.Receive(Incoming{
			ID: fake.Call(1), Route: "pay", HeldKB: 20, Rank: 0.9, Arrived: b.drain.startedAt + 401*time.Millisecond,
			Timeout: time.Minute, Caller: b, Stream: 1,
		})
	})
	assert.Equal(t, Rejected, b.nextAnswer(t).Verdict)
	for range 20 { // rounds of a process that stays
		b.onLoop(func() {})
	}
	b.inputPending.Store(false)
	select {
	case <-b.done:
	case <-time.After(fake.Patience):
		require.FailNow(t, "the end does not come")
	}
}

// The round that heard of the notice late let run what came past the grace, and planned past the stop.
func TestGraceAndStopRunFromTheNotice(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.pool.Next(t, "bind")
	b.waitLinkSynced(t)
	b.onLoop(func() {
		came := b.Now() - 300*time.Millisecond
		b.startDrain(came, 3*time.Second)
		assert.Equal(t, came+3*time.Second-noticeDelay, b.drain.stopAt)
		late := Incoming{ID: fake.Call(1), Route: "pay", HeldKB: 20, Rank: 0.9, Timeout: time.Minute, Caller: b, Stream: 1}
		late.Arrived = came + 401*time.Millisecond // the site's grace is 400 ms
		b.Receive(late)
		due := late
		due.ID, due.Stream, due.Arrived = fake.Call(2), 2, came+399*time.Millisecond
		b.Receive(due)
	})
	assert.Equal(t, []any{uint32(1), Rejected}, func() []any { a := b.nextAnswer(t); return []any{a.stream, a.Verdict} }())
	assert.Equal(t, fake.Call(2), b.pool.Next(t, "spawn").Task)
	b.pool.Finish(fake.Call(2), "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
}

// A numbered task whose caller leaves in the moment it is read, and for which the decisions have no room, kept its
// number for the whole window, as one that would still run: a repeat was neither run nor turned away.
func TestNumberOfATaskWhoseCallerLeftAsItWasRead(t *testing.T) {
	site := strings.NewReplacer(`"fragile"`, `"dedup"`, `"ram-kb":60000.0`, `"ram-kb":60000.0,"key-kb":1e6`).Replace(fake.Site)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	b.onLoop(func() {
		task := b.Receive(Incoming{
			ID: fake.Call(1), Route: "pay", HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: 1, Key: "n",
		})
		b.Cancel(task)
	})
	b.onLoop(func() {
		assert.Empty(t, b.keys.entries)
		assert.Empty(t, b.requests.byID)
	})
	assert.Zero(t, b.counts.Times("check failed: a task was answered twice"))
	assert.Empty(t, b.answers)
}
