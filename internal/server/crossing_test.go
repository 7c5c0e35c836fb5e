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

// inTurn has the owner stand still while f runs.
func (b *bench) inTurn(f func()) {
	done := make(chan struct{})
	b.Post(func() { f(); close(done) })
	<-done
}

// A run that was given up is stopped though the link is lost on which that was said, or there was none: its core is free
// for others. (The decisions say it again while it is not told to have ended.)
func TestStopOfARunAcrossALostLink(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newBench(t)
		b.pool.Ready()
		b.pool.Next(t, "bind")
		b.bound(t)
		b.ask(1, "browse", time.Minute)
		b.pool.Next(t, "spawn")
		b.known(t)
		if down {
			b.pool.CloseLink()
			require.Eventually(t, func() bool {
				asked := true
				b.inTurn(func() { _, asked = b.link.Poll() })
				return !asked
			}, fake.WaitLimit, time.Millisecond)
		}
		b.inTurn(func() {
			b.Gone(b.requests[fake.CallID(1)])
			if !down {
				b.pool.CloseLink() // before the word is written
			}
		})
		assert.Equal(t, fake.CallID(1), b.pool.Next(t, "suspend").RunID)
		require.Eventually(t, func() bool {
			left := 1
			b.inTurn(func() { left = len(b.requests) })
			return left == 0
		}, fake.WaitLimit, time.Millisecond)
	}
}

// A call that comes again after its run was answered, as when its router's connection broke behind the answer, ran an
// at-most-once task a second time.
func TestCallComesAgainAfterItsAnswer(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	run := func(kind string, stream uint32) {
		b.ask(stream, kind, time.Minute)
		b.pool.Next(t, "spawn")
		b.pool.Finish(fake.CallID(stream), "success", []byte("done"))
		assert.Equal(t, Served, b.next(t).Verdict)
	}
	run("pay", 1)
	b.ask(1, "pay", time.Minute)
	assert.Equal(t, Aborted, b.next(t).Verdict, "what has run is neither run again nor dismissed")
	assert.Empty(t, b.pool.Commands)
	run("browse", 2)
	run("browse", 2) // harmless, and its caller wants an answer

	b.inTurn(func() {
		b.maxRequests = 3
		for _, id := range []string{"a", "b", "c"} {
			b.rememberRun(&Request{id: id, Request: admission.Request{Route: b.routes["pay"]}})
		}
		assert.Equal(t, []string{"a", "b", "c"}, b.mayHaveRunOrder, "the oldest goes where the table is full")
		assert.Len(t, b.mayHaveRun, 3)
		b.expireRuns(b.Now() + time.Minute)
		assert.Empty(t, b.mayHaveRun)
		assert.Empty(t, b.mayHaveRunOrder)
	})
}

// A process that ends with a connection untaken, or bytes unread, loses a task. It stays for them, up to the stop.
func TestEndWaitsForWhatIsUnread(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.unheard.Store(true)
	b.Leave(4 * time.Second)
	require.Eventually(t, func() bool {
		retired := false
		b.inTurn(func() { retired = b.retired })
		return retired
	}, fake.WaitLimit, time.Millisecond)
	b.inTurn(func() { // read only now, past the grace of 400 ms: answered, and not run
		b.Take(Incoming{
			ID: fake.CallID(1), Route: "pay", HeldKB: 20, Rank: 0.9, Arrived: b.noticed + 401*time.Millisecond,
			Patience: time.Minute, Caller: b, Stream: 1,
		})
	})
	assert.Equal(t, Rejected, b.next(t).Verdict)
	for range 20 { // rounds of a process that stays
		b.inTurn(func() {})
	}
	b.unheard.Store(false)
	select {
	case <-b.left:
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the end does not come")
	}
}

// The round that heard of the notice late let run what came past the grace, and planned past the stop.
func TestGraceAndStopRunFromTheNotice(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.pool.Next(t, "bind")
	b.bound(t)
	b.inTurn(func() {
		came := b.Now() - 300*time.Millisecond
		b.leave(came, 3*time.Second)
		assert.Equal(t, came+3*time.Second-noticeDelay, b.stop)
		late := Incoming{ID: fake.CallID(1), Route: "pay", HeldKB: 20, Rank: 0.9, Patience: time.Minute, Caller: b, Stream: 1}
		late.Arrived = came + 401*time.Millisecond // the site's grace is 400 ms
		b.Take(late)
		due := late
		due.ID, due.Stream, due.Arrived = fake.CallID(2), 2, came+399*time.Millisecond
		b.Take(due)
	})
	assert.Equal(t, []any{uint32(1), Rejected}, func() []any { a := b.next(t); return []any{a.stream, a.Verdict} }())
	assert.Equal(t, fake.CallID(2), b.pool.Next(t, "spawn").RunID)
	b.pool.Finish(fake.CallID(2), "success", nil)
	assert.Equal(t, Served, b.next(t).Verdict)
}

// A numbered task whose caller leaves in the moment it is read, and for which the decisions have no room, kept its
// number for the whole window, as one that would still run: a repeat was neither run nor turned away.
func TestNumberOfATaskWhoseCallerLeftAsItWasRead(t *testing.T) {
	site := strings.NewReplacer(`"fragile"`, `"dedup"`, `"ram-kb":60000.0`, `"ram-kb":60000.0,"key-kb":1e6`).Replace(fake.SiteSettings)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.bound(t)
	b.inTurn(func() {
		task := b.Take(Incoming{
			ID: fake.CallID(1), Route: "pay", HeldKB: 20, Rank: 0.9, SentMS: time.Now().UnixMilli(), Patience: time.Minute,
			Caller: b, Stream: 1, Key: "n",
		})
		b.Gone(task)
	})
	b.inTurn(func() {
		assert.Empty(t, b.keys)
		assert.Empty(t, b.requests)
	})
	assert.Zero(t, b.counts.Times("check failed: a task was answered twice"))
	assert.Empty(t, b.answers)
}
