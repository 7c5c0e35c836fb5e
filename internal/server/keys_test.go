package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/internal/testkit/fake"
)

// A repeat that is turned away for want of room was refused with a promise of no effect, though its first had run: its
// caller would have it run elsewhere.
func TestDuplicatesAreNeverRejectedOnceTheirOriginalMayHaveRun(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":20000000`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	asked := func(stream uint32, number string) Incoming {
		return Incoming{
			ID: fake.CallID(stream), Route: "pay", HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: stream, Key: number,
		}
	}
	b.onLoop(func() { b.Receive(asked(1, "n")) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)

	b.onLoop(func() {
		crowded := asked(2, "n")
		crowded.OverLimit = true
		b.Receive(crowded)
		b.requests.max = 0
		b.Receive(asked(3, "n"))
		b.Receive(asked(4, "new"))
	})
	for _, want := range []Verdict{Aborted, Aborted, Rejected} {
		assert.Equal(t, want, b.nextAnswer(t).Verdict)
	}
}

// A process that stood still reads a repeat behind the window in which it came. It ran, or was refused, as a new one.
func TestADuplicateBelongsToTheWindowInWhichItArrived(t *testing.T) {
	const window = 400 * time.Millisecond
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":400000`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	asked := func(stream uint32, arrived time.Duration) Incoming {
		return Incoming{
			ID: fake.CallID(stream), Route: "pay", HeldKB: 20, Rank: 0.9, Arrived: arrived, Timeout: time.Minute,
			Caller: b, Stream: stream, Key: "n",
		}
	}
	var first time.Duration
	b.onLoop(func() { first = b.Now(); b.Receive(asked(1, first)) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("done"))
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)

	b.onLoop(func() { time.Sleep(window + 800*time.Millisecond) }) // the owner stands still, as in a stopped process
	for range 3 {
		b.onLoop(func() { b.overdue.sweptAt = 0 }) // turns in which what is over is forgotten
	}
	b.onLoop(func() { b.Receive(asked(2, first+window/2)) })
	again := b.nextAnswer(t)
	assert.Equal(t, []any{Served, "done"}, []any{again.Verdict, string(again.Result)}, "a repeat is answered from its first")
	assert.Empty(t, b.pool.Commands)

	b.onLoop(func() { b.Receive(asked(3, first+2*window)) }) // this one came behind the window
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("anew"))
	assert.Equal(t, "anew", string(b.nextAnswer(t).Result))
}

// A numbered task whose caller leaves in the moment it is read, and for which the decisions have no room, kept its
// number for the whole window, as one that would still run: a repeat was neither run nor turned away.
func TestKeyOfARequestWhoseCallerLeftAsItWasRead(t *testing.T) {
	site := strings.NewReplacer(`"fragile"`, `"dedup"`, `"ram-kb":60000.0`, `"ram-kb":60000.0,"key-kb":1e6`).Replace(fake.SiteSettings)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.waitLinkSynced(t)
	b.onLoop(func() {
		task := b.Receive(Incoming{
			ID: fake.CallID(1), Route: "pay", HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute,
			Caller: b, Stream: 1, Key: "n",
		})
		b.Cancel(task)
	})
	for decided := false; !decided; { // what is submitted next may still be taken into the same round
		b.onLoop(func() { decided = !b.round.pending })
	}
	b.onLoop(func() {
		assert.Empty(t, b.keys.entries)
		assert.Empty(t, b.requests.byID)
	})
	assert.Zero(t, b.counts.Times("check failed: a request was answered twice"))
	assert.Empty(t, b.answers)
}
