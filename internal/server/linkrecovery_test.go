package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/fake"
)

// Commands that the worker pool may not have read when the link was lost are sent again only if that can't cause a
// second run.
func TestLinkLost(t *testing.T) {
	cases := []struct {
		name, route string
		silent      bool // no poll is answered, so nothing proves that the pool read the command
		dropped     bool // the command is lost with the link
		ended       bool // while there was no link
		want        Verdict
		restarted   bool // a second time
	}{
		{"known to run", "pay", false, false, false, Served, false},
		{"ended without a link", "pay", false, false, true, Served, false},
		{"not known to run, and ended without a link", "pay", true, false, true, Served, false},
		{"not known to run, at most once, runs", "pay", true, false, false, Served, false},
		{"not known to run, at most once, never begun", "pay", true, true, false, Aborted, false},
		{"not known to run, retryable", "browse", true, false, false, Served, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixtureAt(t, strings.Replace(fake.SiteSettings, `"halt":"suspend"`, `"halt":"abort"`, 1))
			b.pool.Ready()
			b.pool.Next(t, "bind")
			b.waitLinkSynced(t)
			if !c.silent {
				b.submitRequest(1, c.route, time.Minute)
				b.pool.Next(t, "spawn")
				b.waitAllRead(t)
			} else {
				// The pool reads the command but answers no poll on this link.
				b.pool.SetSilent(true)
				b.pool.SetDropsSpawns(c.dropped)
				b.submitRequest(1, c.route, time.Minute)
				b.pool.Next(t, "spawn")
			}
			b.pool.CloseLink()
			if c.ended {
				b.pool.Finish(fake.RequestID(1), "success", []byte("done"))
			}
			b.pool.SetSilent(false)
			b.pool.Next(t, "bind")
			if c.restarted {
				b.pool.Next(t, "spawn")
			}
			if !c.ended && c.want == Served {
				b.pool.Finish(fake.RequestID(1), "success", []byte("done"))
			}
			start := time.Now()
			assert.Equal(t, c.want, b.nextAnswer(t).Verdict)
			assert.Less(t, time.Since(start), 5*time.Second, "answered only at its deadline")
			for len(b.pool.Commands) > 0 {
				assert.NotEqual(t, "spawn", (<-b.pool.Commands).Verb, "the run was started again")
			}
		})
	}
}

// If runs can be paused, an at-most-once request that is not known to have begun is not aborted. It is paused, so that
// its run can't end meanwhile, and resumed, or sent again if the pool had not read it.
func TestLinkLostWhereRunsPause(t *testing.T) {
	for _, c := range []struct {
		name string
		lost bool // the spawn is lost with the link
	}{{"runs", false}, {"never begun", true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			b.pool.RunsOnAfterSuspend, b.pool.DropsSpawns = true, c.lost
			b.pool.Ready()
			b.pool.Next(t, "bind")
			b.waitLinkSynced(t)
			b.pool.SetSilent(true)
			b.submitRequest(1, "pay", time.Minute)
			b.pool.Next(t, "spawn")
			b.pool.CloseLink()
			b.pool.SetDropsSpawns(false)
			b.pool.Next(t, "bind")
			b.pool.SetSilent(false)
			assert.Equal(t, fake.RequestID(1), b.pool.Next(t, "suspend").RunID)
			if c.lost {
				assert.Equal(t, "body 1", string(b.pool.Next(t, "spawn").Body))
			}
			assert.Equal(t, fake.RequestID(1), b.pool.Next(t, "proceed").RunID)
			b.pool.Finish(fake.RequestID(1), "success", []byte("done"))
			assert.Equal(t, Served, b.nextAnswer(t).Verdict)
		})
	}
}

// Each lost link added one more alarm, and each alarm sets the next. The rounds, and the rate at which the in-flight
// limit and the shed level change, doubled with each loss.
func TestLinkLostSetsNoAlarms(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	for range 5 {
		b.waitLinkSynced(t)
		b.pool.CloseLink()
		b.pool.Next(t, "bind")
	}
	alarms := make(chan int)
	b.Submit(func() { alarms <- len(b.polls.alarms) })
	assert.LessOrEqual(t, <-alarms, 1)
}

// A run whose request was canceled is stopped even if the link is lost before the pause is written, or was down. Its
// core is then free for other runs. (The controller repeats the pause until the end is reported.)
func TestStopOfARunAcrossALostLink(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newFixture(t)
		b.pool.Ready()
		b.pool.Next(t, "bind")
		b.waitLinkSynced(t)
		b.submitRequest(1, "browse", time.Minute)
		b.pool.Next(t, "spawn")
		b.waitAllRead(t)
		if down {
			b.pool.CloseLink()
			require.Eventually(t, func() bool {
				linkUp := true
				b.onLoop(func() { _, linkUp = b.link.Poll() })
				return !linkUp
			}, fake.WaitLimit, time.Millisecond)
		}
		b.onLoop(func() {
			b.Cancel(b.requests.byID[fake.RequestID(1)])
			if !down {
				b.pool.CloseLink() // before the pause is written
			}
		})
		assert.Equal(t, fake.RequestID(1), b.pool.Next(t, "suspend").RunID)
		require.Eventually(t, func() bool {
			left := 1
			b.onLoop(func() { left = len(b.requests.byID) })
			return left == 0
		}, fake.WaitLimit, time.Millisecond)
	}
}
