package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/events"
	"quartzpoint/internal/testkit/fake"
)

// shortSite has deadlines of 300 ms, and as many cores as the fake worker pool.
var shortSite = strings.NewReplacer(`"deadline":9000000,"goal-time":8000000`, `"deadline":300000,"goal-time":300000`).Replace(fake.SiteSettings)

const siteCores = 4

// fillCores starts a run on each core, and waits until their requests are aborted at their deadlines.
func (b *fixture) fillCores(t *testing.T) {
	for stream := range uint32(siteCores) {
		b.submitRequest(stream, []string{"browse", "pay"}[stream%2], time.Minute)
		b.pool.Next(t, "spawn")
	}
	for range siteCores {
		assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	}
}

// countStarts submits requests one after the other for a span, and returns the number of runs that the pool was sent
// meanwhile.
func (b *fixture) countStarts(t *testing.T, span time.Duration) (starts int) {
	for start, stream := time.Now(), uint32(100); time.Since(start) < span; stream++ {
		b.submitRequest(stream, "browse", time.Minute)
		b.nextAnswer(t)
		for len(b.pool.Commands) > 0 {
			if c := <-b.pool.Commands; c.Verb == "spawn" {
				starts++
			}
		}
	}
	return starts
}

// Report f19453: after twice their deadline, runs counted as ended although the machine was only hung, and others were
// started in their place.
func TestOverdueRunsStayInFlightOnAHungMachine(t *testing.T) {
	for _, halt := range []string{"suspend", "abort", "none"} {
		t.Run(halt, func(t *testing.T) {
			t.Parallel()
			b := newFixtureAt(t, strings.Replace(shortSite, `"halt":"suspend"`, `"halt":"`+halt+`"`, 1))
			b.pool.IgnoresSuspend = true
			b.pool.Ready()
			b.waitLinkSynced(t)
			b.fillCores(t)
			assert.Zero(t, b.countStarts(t, 2500*time.Millisecond))
			assert.EqualValues(t, siteCores, b.Events().Times(events.RunOverdue, "its end was not reported by a deadline after its answer"))
			b.onLoop(func() { assert.Equal(t, siteCores, b.overdue.count) })

			b.pool.SetEcho() // the machine continues: all its runs end
			require.Eventually(t, func() bool {
				b.submitRequest(1000, "browse", time.Minute)
				return b.nextAnswer(t).Verdict == Served
			}, fake.WaitLimit, time.Millisecond)
			assert.Zero(t, b.counts.Times("end of a run nobody asked for"))
			assert.Zero(t, b.counts.Times("end of a run not reported, proven by the readings"))
		})
	}
}

// Incomplete readings prove nothing: values of an earlier poll say nothing of the present.
func TestIncompleteReadingsProveNothing(t *testing.T) {
	b := newFixtureAt(t, shortSite)
	b.pool.DropsSpawns = true
	b.pool.SetPartialReadings(true)
	b.pool.Ready()
	b.waitLinkSynced(t)
	b.fillCores(t)
	const proven = "end of a run not reported, proven by the readings"
	b.countStarts(t, 2500*time.Millisecond)
	b.onLoop(func() { assert.GreaterOrEqual(t, b.overdue.count, siteCores) })
	assert.Zero(t, b.counts.Times(proven))
	b.pool.SetPartialReadings(false)
	require.Eventually(t, func() bool { return b.counts.Times(proven) >= siteCores }, fake.WaitLimit, time.Millisecond)
}

// The link is lost after commands that the worker pool may not have read. A run whose request was answered meanwhile
// counted as ended as soon as the link was up again, although a hung machine had not finished it.
func TestRunsOfUnknownStateStayInFlight(t *testing.T) {
	for _, halt := range []string{"suspend", "abort", "none"} {
		t.Run(halt, func(t *testing.T) {
			t.Parallel()
			b := newFixtureAt(t, strings.Replace(shortSite, `"halt":"suspend"`, `"halt":"`+halt+`"`, 1))
			b.pool.IgnoresSuspend = true
			b.pool.Ready()
			b.waitLinkSynced(t)
			b.pool.SetSilent(true)
			b.fillCores(t)
			b.pool.CloseLink()
			b.pool.SetSilent(false)
			b.waitLinkSynced(t)
			assert.Zero(t, b.countStarts(t, 1500*time.Millisecond))
		})
	}
}
