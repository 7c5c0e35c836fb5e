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
func TestRepeatsAreNeverRefusedOnceTheirFirstMayHaveRun(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":20000000`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.bound(t)
	asked := func(stream uint32, number string) Incoming {
		return Incoming{
			ID: fake.CallID(stream), Route: "pay", HeldKB: 20, Rank: 0.9, SentMS: time.Now().UnixMilli(), Patience: time.Minute,
			Caller: b, Stream: stream, Key: number,
		}
	}
	b.inTurn(func() { b.Take(asked(1, "n")) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", nil)
	assert.Equal(t, Served, b.next(t).Verdict)

	b.inTurn(func() {
		crowded := asked(2, "n")
		crowded.Overflow = true
		b.Take(crowded)
		b.maxRequests = 0
		b.Take(asked(3, "n"))
		b.Take(asked(4, "new"))
	})
	for _, want := range []Verdict{Aborted, Aborted, Rejected} {
		assert.Equal(t, want, b.next(t).Verdict)
	}
}

// A process that stood still reads a repeat behind the window in which it came. It ran, or was refused, as a new one.
func TestARepeatBelongsToTheWindowInWhichItCame(t *testing.T) {
	const window = 400 * time.Millisecond
	site := strings.Replace(fake.SiteSettings, `"fragile"`, `"dedup","dedup-window":400000`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Keys: true}, nil)
	b.pool.Ready()
	b.bound(t)
	asked := func(stream uint32, arrived time.Duration) Incoming {
		return Incoming{
			ID: fake.CallID(stream), Route: "pay", HeldKB: 20, Rank: 0.9, Arrived: arrived, Patience: time.Minute,
			Caller: b, Stream: stream, Key: "n",
		}
	}
	var first time.Duration
	b.inTurn(func() { first = b.Now(); b.Take(asked(1, first)) })
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("done"))
	assert.Equal(t, Served, b.next(t).Verdict)

	b.inTurn(func() { time.Sleep(window + 800*time.Millisecond) }) // the owner stands still, as in a stopped process
	for range 3 {
		b.inTurn(func() { b.tidied = 0 }) // turns in which what is over is forgotten
	}
	b.inTurn(func() { b.Take(asked(2, first+window/2)) })
	again := b.next(t)
	assert.Equal(t, []any{Served, "done"}, []any{again.Verdict, string(again.Result)}, "a repeat is answered from its first")
	assert.Empty(t, b.pool.Commands)

	b.inTurn(func() { b.Take(asked(3, first+2*window)) }) // this one came behind the window
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "success", []byte("anew"))
	assert.Equal(t, "anew", string(b.next(t).Result))
}
