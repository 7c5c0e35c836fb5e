package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// The platform may kill the process before the stop that Drain is called with. All requests have to be answered before
// the kill.
func TestStopIsNoLaterThanTheEarliestKill(t *testing.T) {
	site := func(deadline string) string {
		return strings.NewReplacer(`"deadline":9000000,"goal-time":8000000`, `"deadline":`+deadline+`,"goal-time":100000`).Replace(fake.SiteSettings)
	}
	limits := Limits{MemoryMB: 96, Sockets: 256, EarlyKill: true}
	cases := []struct {
		name, site   string
		limits       Limits
		within, stop time.Duration
	}{
		{"a short deadline", site("1200000"), limits, 8 * time.Second, 1900 * time.Millisecond},
		{"a long deadline counts as 3 s", fake.SiteSettings, limits, 8 * time.Second, 3700 * time.Millisecond},
		{"a stop before the kill is kept", fake.SiteSettings, limits, time.Second, time.Second},
		{"a process that is not killed early", fake.SiteSettings, Limits{MemoryMB: 96, Sockets: 256}, 8 * time.Second, 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixtureWith(t, c.site, c.limits, nil)
			b.onLoop(func() {
				notifiedAt := b.Now()
				b.startDrain(notifiedAt, c.within)
				assert.Equal(t, notifiedAt+c.stop-maxLateness, b.drain.stopAt)
			})
		})
	}
}

func TestDrain(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Minute)
	b.pool.Next(t, "spawn")
	b.Drain(6 * time.Second)
	b.submitRequest(2, "pay", time.Minute) // within the grace of 400 ms
	b.pool.Next(t, "spawn")
	require.Eventually(t, func() bool {
		stopped := make(chan bool)
		b.Submit(func() { stopped <- b.stoppedAccepting && b.Now() > b.drain.startedAt+450*time.Millisecond })
		return <-stopped
	}, fake.WaitLimit, time.Millisecond)
	b.submitRequest(3, "pay", time.Minute) // after the grace
	got := b.nextAnswer(t)
	assert.Equal(t, []any{uint32(3), Rejected}, []any{got.stream, got.Verdict})
	for stream := range uint32(2) {
		b.pool.Finish(fake.RequestID(stream+1), "success", nil)
		assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	}
	<-b.done
}

// All requests that were read are answered by the stop, queued and running ones alike.
func TestStopAnswersAll(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	for stream := range uint32(40) {
		b.submitRequest(stream, "pay", time.Minute)
	}
	b.pool.Next(t, "spawn")
	b.Drain(500 * time.Millisecond)
	<-b.done
	assert.Len(t, b.answers, 40)
}

// A peer that does not read its answers kept the process from ending until it was killed.
func TestDrainWithAPeerThatDoesNotRead(t *testing.T) {
	b := newFixture(t)
	b.Submit(func() { b.peersStalled = true })
	b.Drain(500 * time.Millisecond)
	select {
	case <-b.done:
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the server does not end")
	}
}

// A process that ends with a connection not accepted, or bytes not read, loses a request. It waits for them until the
// stop.
func TestDrainWaitsForUnreadInput(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	b.inputPending.Store(true)
	b.Drain(4 * time.Second)
	require.Eventually(t, func() bool {
		stopped := false
		b.onLoop(func() { stopped = b.stoppedAccepting })
		return stopped
	}, fake.WaitLimit, time.Millisecond)
	b.onLoop(func() { // read only now, after the grace of 400 ms: it is answered, and does not run
		b.Receive(IncomingRequest{
			ID: fake.RequestID(1), Route: "pay", QueuedKB: 20, Rank: 0.9, Arrived: b.drain.startedAt + 401*time.Millisecond,
			Timeout: time.Minute, Caller: b, Stream: 1,
		})
	})
	assert.Equal(t, Rejected, b.nextAnswer(t).Verdict)
	for range 20 { // rounds in which the process must not end
		b.onLoop(func() {})
	}
	b.inputPending.Store(false)
	select {
	case <-b.done:
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "the server does not end")
	}
}

// The notice to shut down was handled late, and the grace and the stop were counted from then: requests that had arrived
// after the grace were started, and runs were planned past the stop.
func TestGraceAndStopRunFromTheNotice(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	b.pool.Next(t, "bind")
	b.waitLinkSynced(t)
	b.onLoop(func() {
		notifiedAt := b.Now() - 300*time.Millisecond
		b.startDrain(notifiedAt, 3*time.Second)
		assert.Equal(t, notifiedAt+3*time.Second-maxLateness, b.drain.stopAt)
		late := IncomingRequest{ID: fake.RequestID(1), Route: "pay", QueuedKB: 20, Rank: 0.9, Timeout: time.Minute, Caller: b, Stream: 1}
		late.Arrived = notifiedAt + 401*time.Millisecond // the site's grace is 400 ms
		b.Receive(late)
		due := late
		due.ID, due.Stream, due.Arrived = fake.RequestID(2), 2, notifiedAt+399*time.Millisecond
		b.Receive(due)
	})
	assert.Equal(t, []any{uint32(1), Rejected}, func() []any { a := b.nextAnswer(t); return []any{a.stream, a.Verdict} }())
	assert.Equal(t, fake.RequestID(2), b.pool.Next(t, "spawn").RunID)
	b.pool.Finish(fake.RequestID(2), "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
}
