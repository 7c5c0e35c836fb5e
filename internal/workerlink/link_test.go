package workerlink

import (
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerapi"
	"quartzpoint/internal/writequeue"
)

// fixture is a link to a fake worker pool, with the notices that were read from it.
type fixture struct {
	*Link
	pool    *fake.Pool
	counts  *invariant.Counters
	woken   chan struct{}
	notices []workerapi.Notice
}

func newFixture(t *testing.T) *fixture {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	b := &fixture{pool: fake.NewPool(t), counts: invariant.New(log), woken: make(chan struct{}, 1)}
	b.Link = New(b.pool.Address, 1<<20, log, b.counts.Count, func() {
		select {
		case b.woken <- struct{}{}:
		default:
		}
	})
	go b.Run(t.Context())
	return b
}

// next waits for the next notice of a kind and skips others.
func (b *fixture) next(t *testing.T, kind workerapi.NoticeKind) workerapi.Notice {
	t.Helper()
	for limit := time.After(fake.WaitLimit); ; {
		for len(b.notices) > 0 {
			n := b.notices[0]
			if b.notices = b.notices[1:]; n.Kind == kind {
				return n
			}
		}
		select {
		case <-b.woken:
			b.notices = b.AppendNotices(b.notices)
		case <-limit:
			require.FailNow(t, "the notice was not received in time")
		}
	}
}

func (b *fixture) synced(t *testing.T) *fixture {
	b.pool.Ready()
	b.next(t, workerapi.LinkSynced)
	return b
}

func TestCommandsAndNotices(t *testing.T) {
	b := newFixture(t)
	bind := b.pool.Next(t, "bind")
	assert.Zero(t, bind.Index)
	assert.False(t, b.Start(workerapi.Run{ID: "early", Route: "browse", Body: nil}), "a command was sent before the pool was bound")
	b.synced(t)

	body := []byte("\x00\xff\"\n body")
	assert.True(t, b.Start(workerapi.Run{ID: "t1", Route: "bro\"wse", Body: body}))
	assert.True(t, b.Pause("t1"))
	assert.True(t, b.Resume("t1"))
	assert.True(t, b.Verify(4))
	b.Flush()
	spawn := b.pool.Next(t, "spawn")
	assert.Equal(t, fake.Command{Verb: "spawn", RunID: "t1", Handler: "bro\"wse", Body: body}, spawn)
	for _, verb := range []string{"suspend", "proceed"} {
		assert.Equal(t, "t1", b.pool.Next(t, verb).RunID)
	}
	assert.Equal(t, "4", b.pool.Next(t, "verify").Nonce)
	ended := b.next(t, workerapi.RunFinished)
	assert.Equal(t, workerapi.OutcomeStopped, ended.Outcome)
	assert.Equal(t, 5500*time.Microsecond, ended.Duration)

	assert.True(t, b.Start(workerapi.Run{ID: "t2", Route: "browse", Body: body})) // the run does not end, so that no reading is 0
	next := b.NextPollNonce()
	nonce, sent := b.Poll()
	b.Flush()
	assert.True(t, sent)
	assert.Equal(t, next, nonce)
	assert.Equal(t, []float64{0.25, 1, 0.0027, 3}, b.next(t, workerapi.Polled).Readings)

	b.pool.WriteRaw(`{"verb":"chatter","index":2,"outcome":"hm"}` + "\n" + `{"verb":"unk`)
	b.pool.WriteRaw(`nown","outcome":"spawn","task":"t9"}` + "\n" + `{"verb":"verified","nonce":"4","outcome":"failure"}` + "\n")
	unknown := b.next(t, workerapi.CommandFailed)
	assert.Equal(t, []any{workerapi.StartCommand, "t9"}, []any{unknown.Command, unknown.RequestID})
	verified := b.next(t, workerapi.Verified)
	assert.Equal(t, []any{uint64(4), false}, []any{verified.Nonce, verified.Healthy})
}

// Guards against a fault: the server sent its only poll before the pool had started, and the pool rejected that poll.
// The link was then never treated as usable, and no request ran from a crash to the end of the day.
func TestPoolStartsLate(t *testing.T) {
	b := newFixture(t)
	b.pool.Next(t, "bind")
	_, sent := b.Poll()
	assert.False(t, sent)
	b.Flush()
	b.synced(t)
	assert.Zero(t, b.counts.Times("pool link lost or refused"))
}

// Guards against a fault: the end of a run was lost if its notice could not be parsed.
func TestMissedNoticeIsRequestedAgain(t *testing.T) {
	b := newFixture(t).synced(t)
	b.pool.Next(t, "bind")
	for _, id := range []string{"a", "b", "c"} {
		b.Start(workerapi.Run{ID: id, Route: "pay", Body: nil})
		b.Flush()
		b.pool.Next(t, "spawn")
	}
	b.pool.FinishTruncated("a", "success", []byte("first"))
	b.pool.Finish("b", "success", []byte("second"))
	assert.Equal(t, 0, b.pool.Next(t, "bind").Index)
	for _, want := range []string{"first", "second"} {
		assert.Equal(t, want, string(b.next(t, workerapi.RunFinished).Result))
	}
	assert.Equal(t, 1, b.counts.Times("pool notices missed, asked for again"))
	b.next(t, workerapi.LinkSynced) // of this link, so that the one waited for below is of the next link

	// A notice that the pool no longer stores is requested only once.
	b.pool.WriteRaw(`{"verb":"finished","index":7,"task":"c","outcome":"success","spent":1,"bytes":""}` + "\n")
	assert.Equal(t, 2, b.pool.Next(t, "bind").Index)
	b.next(t, workerapi.LinkSynced)
	b.pool.WriteRaw(`{"verb":"finished","index":7,"task":"c","outcome":"success","spent":1,"bytes":""}` + "\n")
	assert.Equal(t, "c", b.next(t, workerapi.RunFinished).RequestID)
	assert.Equal(t, 1, b.counts.Times("pool notices missed"))
}

func TestReplayAfterALostLink(t *testing.T) {
	b := newFixture(t).synced(t)
	b.pool.Next(t, "bind")
	for _, id := range []string{"a", "b"} {
		b.Start(workerapi.Run{ID: id, Route: "pay", Body: nil})
		b.Flush()
		b.pool.Next(t, "spawn")
	}
	b.pool.Finish("a", "success", []byte("first"))
	assert.Equal(t, "first", string(b.next(t, workerapi.RunFinished).Result))
	b.pool.CloseLink()
	b.next(t, workerapi.LinkDown)
	b.pool.Finish("b", "success", []byte("second")) // while no link is up, or on the next one
	assert.Equal(t, 1, b.pool.Next(t, "bind").Index)
	n := b.next(t, workerapi.RunFinished)
	assert.Equal(t, "second", string(n.Result), "the end of a run without a link is reported on the next link")
	b.pool.WriteRaw(`{"verb":"finished","index":2,"task":"b","outcome":"success","spent":1,"bytes":""}` + "\n")
	b.next(t, workerapi.LinkSynced) // of this link, so that the one waited for below is of the next link
	const beyond = `{"verb":"finished","index":5,"task":"c","outcome":"failure","spent":1}` + "\n"
	b.pool.WriteRaw(beyond)
	assert.Equal(t, 2, b.pool.Next(t, "bind").Index, "the missing notices are requested")
	b.next(t, workerapi.LinkSynced)
	b.pool.WriteRaw(beyond)
	assert.Equal(t, "c", b.next(t, workerapi.RunFinished).RequestID, "a repeated notice was treated as a new one")
	b.pool.WriteRaw(`{"verb":"finished","index":6,"task":"d","outcome":"success","spent":1,"bytes":"*"}` + "\n")
	assert.Equal(t, workerapi.OutcomeFailed, b.next(t, workerapi.RunFinished).Outcome, "a result that can't be decoded")
	assert.Equal(t, 1, b.counts.Times("pool notice repeated"))
	assert.Equal(t, 1, b.counts.Times("pool notices missed"))
}

// Guards against a fault: a line that could not be parsed ended the link, was sent again at each bind, and ended the
// link again.
func TestInvalidLinesAreSkipped(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":       "hello\n",
		"cut JSON":      `{"verb":"polled"` + "\n",
		"a long line":   strings.Repeat("x", 3*maxLineBytes) + "\n",
		"a wrong type":  `{"verb":7}` + "\n",
		"a wrong nonce": `{"verb":"polled","nonce":"soon"}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t).synced(t)
			b.pool.Next(t, "bind")
			b.pool.WriteRaw(text + `{"verb":"finished","index":1,"task":"a","outcome":"success","spent":1}` + "\n")
			assert.Equal(t, "a", b.next(t, workerapi.RunFinished).RequestID)
			assert.Equal(t, 1, b.counts.Times("pool line that is no notice"))
			assert.Zero(t, b.counts.Times("pool link lost or refused"))
		})
	}
}

// After a change of address, runs and notice indexes continue, the old link is closed only once the new one is open,
// and the commands sent on the old one are known to have been read.
func TestSetAddress(t *testing.T) {
	b := newFixture(t).synced(t)
	b.pool.Next(t, "bind")
	b.Start(workerapi.Run{ID: "a", Route: "pay", Body: nil})
	nextNonce := b.NextPollNonce()
	b.Flush()
	b.pool.Next(t, "spawn")
	b.pool.Finish("a", "success", nil)
	b.next(t, workerapi.RunFinished)

	b.SetAddress("127.0.0.1:1") // no pool listens there
	time.Sleep(3 * minBackoff)
	assert.True(t, b.Start(workerapi.Run{ID: "b", Route: "pay", Body: nil}), "the old link works until a new one is open")
	b.Flush()
	b.pool.Next(t, "spawn")
	b.pool.Relocate(t)
	b.SetAddress(b.pool.Address)
	assert.GreaterOrEqual(t, b.next(t, workerapi.Polled).Nonce, nextNonce, "all commands sent before are known to have been read")
	b.next(t, workerapi.LinkDown)
	assert.Equal(t, 1, b.pool.Next(t, "bind").Index)
	b.next(t, workerapi.LinkSynced)
	b.pool.Finish("b", "success", nil)
	assert.Equal(t, "b", b.next(t, workerapi.RunFinished).RequestID)
	assert.Zero(t, b.counts.Times("pool link lost or refused"))

	b.pool.CloseLink()
	b.next(t, workerapi.LinkDown)
	assert.Equal(t, 2, b.pool.Next(t, "bind").Index, "a link lost later is replaced at the new address")
	b.next(t, workerapi.LinkSynced)

	b.pool.SetSilent(true) // the pool leaves the last poll unanswered
	b.pool.Relocate(t)
	b.SetAddress(b.pool.Address)
	b.next(t, workerapi.LinkDown)
	assert.Equal(t, 1, b.counts.Times("pool did not answer the last poll of a link that moved"))
	b.pool.Next(t, "bind")
}

// A pool that stops reading must neither block the event loop nor fill the memory.
func TestAPoolThatDoesNotRead(t *testing.T) {
	b := newFixture(t).synced(t)
	b.pool.Next(t, "bind")
	b.maxQueuedBytes = 1 << 10
	b.pool.CloseLink()
	b.next(t, workerapi.LinkSynced)
	for range 100 {
		b.Start(workerapi.Run{ID: "t", Route: "browse", Body: make([]byte, 512)})
	}
	b.next(t, workerapi.LinkDown)
	b.next(t, workerapi.LinkSynced)
}

// For any JSON that the pool writes, a line causes at most one notice of its own, besides LinkSynced, and the last notice
// index never decreases.
func FuzzLine(f *testing.F) {
	f.Add(`{"verb":"finished","index":1,"task":"a","outcome":"success","spent":2.5,"bytes":"aGk="}`)
	f.Add(`{"verb":"polled","nonce":"7","readings":[1,2,3,4]}`)
	f.Add(`{"verb":"bound","outcome":"booting","spent":0}`)
	f.Fuzz(func(t *testing.T, text string) {
		var parsed line
		if json.Unmarshal([]byte(text), &parsed) != nil {
			return
		}
		l := New("", 1<<20, slog.New(slog.NewTextHandler(io.Discard, nil)), func(string) {}, func() {})
		l.out, l.lastIndex = writequeue.New(1<<20), 3
		_ = l.handleLine(&parsed) // a missed notice is not a fault here
		assert.LessOrEqual(t, len(l.inbox), 2)
		assert.GreaterOrEqual(t, l.lastIndex, uint64(3))
	})
}
