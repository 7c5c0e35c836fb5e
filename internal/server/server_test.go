package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerlink"
)

// receivedAnswer is what a caller was told on a stream.
type receivedAnswer struct {
	stream uint32
	Answer
}

// bench is a server with a stand-in pool and a front that only keeps what it is told.
type bench struct {
	*Server
	pool         *fake.Pool
	workerLink   *workerlink.Link
	counts       *invariant.Counters
	answers      chan receivedAnswer
	checks       chan bool
	done         chan struct{}
	retired      bool
	peersStalled bool        // the front's peers do not read
	inputPending atomic.Bool // something came that is not taken yet
}

func (b *bench) Answer(stream uint32, a Answer)             { b.answers <- receivedAnswer{stream, a} }
func (b *bench) ReportHealth(_ uint32, good bool, _ string) { b.checks <- good }
func (b *bench) CloseIdle(time.Duration)                    {}
func (b *bench) Flush() bool                                { return !b.peersStalled }
func (b *bench) StopAccepting()                             { b.retired = true }
func (b *bench) Open() int                                  { return 0 }
func (b *bench) Quiet() bool                                { return !b.inputPending.Load() }

func newBench(t *testing.T) *bench { return newBenchAt(t, fake.Site) }

func newBenchAt(t *testing.T, site string) *bench {
	return newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256}, nil)
}

func newBenchWith(t *testing.T, site string, limits Limits, on Dependency) *bench {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	told, err := settings.FromJSON([]byte(site))
	require.NoError(t, err)
	b := &bench{
		pool: fake.NewPool(t), counts: invariant.New(log), done: make(chan struct{}),
		answers: make(chan receivedAnswer, 100), checks: make(chan bool, 100),
	}
	b.Server, err = New(told, 1, limits, b.counts, log)
	require.NoError(t, err)
	link := workerlink.New(b.pool.Address, 1<<20, log, b.counts.Count, b.Wake)
	b.workerLink = link
	b.Attach(link, b)
	if on != nil {
		b.SetDependency(on, link)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go link.Run(ctx)
	go func() { b.Run(); close(b.done) }()
	t.Cleanup(func() {
		b.Drain(0)
		select {
		case <-b.done:
		case <-time.After(fake.Patience):
			t.Error("the server does not leave")
		}
		cancel()
	})
	return b
}

// submitRequest has the owner take a task.
func (b *bench) submitRequest(stream uint32, kind string, waits time.Duration) {
	b.Submit(func() {
		b.Receive(Incoming{
			ID: fake.Call(stream), Route: kind, HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(), Timeout: waits,
			Body: fmt.Appendf(nil, "body %d", stream), Caller: b, Stream: stream,
		})
	})
}

func (b *bench) nextAnswer(t *testing.T) receivedAnswer {
	t.Helper()
	select {
	case a := <-b.answers:
		return a
	case <-time.After(fake.Patience):
		require.FailNow(t, "no answer")
		return receivedAnswer{}
	}
}

// waitLinkSynced waits until the link is up and commands are taken.
func (b *bench) waitLinkSynced(t *testing.T) {
	t.Helper()
	asked := uint64(0) // of this link: an answer on one before it says nothing
	require.Eventually(t, func() bool {
		bound := make(chan bool)
		b.Submit(func() {
			nonce, up := b.link.Poll()
			switch {
			case !up:
				asked = 0
			case asked == 0:
				asked = nonce
			}
			bound <- asked > 0 && b.polls.answered >= asked
		})
		return <-bound
	}, fake.Patience, time.Millisecond)
}

// waitAllRead waits until the pool has read all that was sent and the server knows it.
func (b *bench) waitAllRead(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		known := make(chan bool)
		b.Submit(func() {
			all := true
			for _, task := range b.requests.byID {
				all = all && (!task.active || task.sent && task.startNonce <= b.polls.answered)
			}
			known <- all
		})
		return <-known
	}, fake.Patience, time.Millisecond)
}

func TestTaskIsServed(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Second)
	spawn := b.pool.Next(t, "spawn")
	assert.Equal(t, "body 1", string(spawn.Body))
	assert.Equal(t, "pay", spawn.Handler)
	b.pool.Finish(spawn.Task, "success", []byte("done"))
	got := b.nextAnswer(t)
	assert.Equal(t, receivedAnswer{1, Answer{Verdict: Served, Result: []byte("done")}}, got)

	b.submitRequest(2, "pay", time.Second)
	b.pool.Finish(b.pool.Next(t, "spawn").Task, "failure", nil)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
}

func TestNotUnderstoodIsDismissed(t *testing.T) {
	b := newBench(t)
	b.submitRequest(1, "unheard-of", time.Second)
	b.submitRequest(2, "pay", 0)
	for range 2 {
		assert.Equal(t, Rejected, b.nextAnswer(t).Verdict)
	}
	b.Submit(func() { // in one round, so that the first is still held
		b.submitRequest(3, "pay", time.Minute)
		b.submitRequest(3, "pay", time.Minute)
	})
	assert.Equal(t, Rejected, b.nextAnswer(t).Verdict, "a call that is known was taken again")
}

// A call sent again while its first run is on was dismissed, which says that it never ran.
func TestKnownCallThatRuns(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Minute)
	b.pool.Next(t, "spawn")
	b.submitRequest(1, "pay", time.Minute)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	b.pool.Finish(fake.Call(1), "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict, "the first one is answered from its run")
}

// The due answer must not hang on the pool: neither one that is not there nor one that tells no gauges.
func TestDueAnswersWithoutThePool(t *testing.T) {
	for _, mute := range []bool{false, true} {
		b := newBench(t)
		b.pool.Mute = mute
		if mute {
			b.pool.Ready()
		}
		b.submitRequest(1, "pay", 300*time.Millisecond)
		assert.Contains(t, []Verdict{Rejected, Aborted}, b.nextAnswer(t).Verdict)
	}
}

// What came late, or from a clock that is ahead, is answered like any other.
func TestArrivalFollowsTheSystemClock(t *testing.T) {
	b := newBench(t)
	b.onLoop(func() {
		now := b.Now()
		assert.InDelta(t, float64(now-time.Minute), float64(b.arrivalTime(time.Now().Add(-time.Minute).UnixMilli(), now)), 2e9)
		assert.Equal(t, now, b.arrivalTime(time.Now().Add(time.Minute).UnixMilli(), now))
	})
}

// A step of the clock made requests hopeless, or refused them as not understood, and shortened windows.
func TestArrivalAcrossAStepOfTheClock(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		b := newBench(t)
		b.onLoop(func() { b.clock.wallOffset = func() time.Duration { return step } })
		b.onLoop(func() {}) // a turn in which it is seen
		b.onLoop(func() {
			for name, stamped := range map[string]time.Duration{"before it": 0, "behind it": step} {
				now := b.Now().Truncate(time.Millisecond)
				came := now - 50*time.Millisecond
				stamp := (came + stamped).Milliseconds()
				assert.True(t, b.PlausibleStamp(stamp))
				assert.InDelta(t, float64(came), float64(b.arrivalTime(stamp, now)), 1e6, "%v, stamped %s", step, name)
			}
		})
	}
}

// What the pool may or may not have read when its link broke is sent again only where that can't run twice.
func TestLinkLost(t *testing.T) {
	cases := []struct {
		name, kind string
		mute       bool // no poll is answered, so nothing shows that the pool read the command
		loses      bool // the command goes with the link
		ended      bool // while no link was there
		want       Verdict
		spawned    bool // a second time
	}{
		{"known to run", "pay", false, false, false, Served, false},
		{"ended without a link", "pay", false, false, true, Served, false},
		{"unsure and ended without a link", "pay", true, false, true, Served, false},
		{"unsure, at most once, runs", "pay", true, false, false, Served, false},
		{"unsure, at most once, never begun", "pay", true, true, false, Aborted, false},
		{"unsure, reissuable", "browse", true, false, false, Served, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchAt(t, strings.Replace(fake.Site, `"halt":"suspend"`, `"halt":"abort"`, 1))
			b.pool.Ready()
			b.pool.Next(t, "bind")
			b.waitLinkSynced(t)
			if !c.mute {
				b.submitRequest(1, c.kind, time.Minute)
				b.pool.Next(t, "spawn")
				b.waitAllRead(t)
			} else {
				// The pool reads the command and tells nothing more on this link.
				b.pool.Silence(true)
				b.pool.SetLoses(c.loses)
				b.submitRequest(1, c.kind, time.Minute)
				b.pool.Next(t, "spawn")
			}
			b.pool.Cut()
			if c.ended {
				b.pool.Finish(fake.Call(1), "success", []byte("done"))
			}
			b.pool.Silence(false)
			b.pool.Next(t, "bind")
			if c.spawned {
				b.pool.Next(t, "spawn")
			}
			if !c.ended && c.want == Served {
				b.pool.Finish(fake.Call(1), "success", []byte("done"))
			}
			begin := time.Now()
			assert.Equal(t, c.want, b.nextAnswer(t).Verdict)
			assert.Less(t, time.Since(begin), 5*time.Second, "answered by its deadline, not by what is known")
			for len(b.pool.Commands) > 0 {
				assert.NotEqual(t, "spawn", (<-b.pool.Commands).Verb, "the run was begun once more")
			}
		})
	}
}

// Where runs can be paused, an at-most-once task whose beginning is in doubt is not given away: it is paused, so
// that it can't end meanwhile, and sent again, whether or not the pool had read it.
func TestLinkLostWhereRunsPause(t *testing.T) {
	for _, c := range []struct {
		name string
		lost bool // the spawn, with the link
	}{{"runs", false}, {"never begun", true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.pool.Pauses, b.pool.Loses = true, c.lost
			b.pool.Ready()
			b.pool.Next(t, "bind")
			b.waitLinkSynced(t)
			b.pool.Silence(true)
			b.submitRequest(1, "pay", time.Minute)
			b.pool.Next(t, "spawn")
			b.pool.Cut()
			b.pool.SetLoses(false)
			b.pool.Next(t, "bind")
			b.pool.Silence(false)
			assert.Equal(t, fake.Call(1), b.pool.Next(t, "suspend").Task)
			if c.lost {
				assert.Equal(t, "body 1", string(b.pool.Next(t, "spawn").Body))
			}
			assert.Equal(t, fake.Call(1), b.pool.Next(t, "proceed").Task)
			b.pool.Finish(fake.Call(1), "success", []byte("done"))
			assert.Equal(t, Served, b.nextAnswer(t).Verdict)
		})
	}
}

// Each lost link once set one more alarm, and each alarm the next: the rounds, and the rate at which limit and
// level move, doubled with every loss.
func TestLinkLostSetsNoAlarms(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	for range 5 {
		b.waitLinkSynced(t)
		b.pool.Cut()
		b.pool.Next(t, "bind")
	}
	alarms := make(chan int)
	b.Submit(func() { alarms <- len(b.polls.alarms) })
	assert.LessOrEqual(t, <-alarms, 1)
}

func TestPoolKnowsNothing(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Minute)
	task := b.pool.Next(t, "spawn").Task
	b.pool.Say(`{"verb":"unknown","outcome":"suspend","task":"` + task + `"}` + "\n")
	b.pool.Say(`{"verb":"unknown","outcome":"spawn","task":"nobody"}` + "\n")
	b.pool.Say(`{"verb":"unknown","outcome":"spawn","task":"` + task + `"}` + "\n")
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	assert.Equal(t, 2, b.counts.Times("pool did not carry out a spawn"))

	// Calls that a bad client invents counted as broken runs, and closed this server's health to all.
	for stream := range uint32(20) {
		b.submitRequest(100+stream, "browse", time.Minute)
		b.pool.Say(`{"verb":"unknown","outcome":"spawn","task":"` + b.pool.Next(t, "spawn").Task + `"}` + "\n")
		assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	}
	b.Submit(func() { b.CheckHealth(b, 1, false) })
	assert.True(t, <-b.checks, "the server's health was closed")
}

// After many tasks of ever new names from ever new routers, over links that break, the tables are empty again.
func TestTablesAfterManyTasks(t *testing.T) {
	b := newBench(t)
	b.pool.Echo = true
	b.pool.Ready()
	for stream := range uint32(2000) {
		kind := []string{"browse", "pay"}[stream%2]
		b.Submit(func() {
			b.Receive(Incoming{
				ID: fake.Call(stream), Route: kind, HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(),
				Timeout: time.Minute, Router: stream, Caller: b, Stream: stream,
			})
		})
		b.nextAnswer(t)
		if stream%400 == 100 {
			b.pool.Cut()
		}
		for len(b.pool.Commands) > 0 {
			<-b.pool.Commands
		}
	}
	sizes := make(chan []int)
	b.Submit(func() {
		sizes <- []int{len(b.requests.byID), len(b.requests.byDecision), len(b.recovery.paused), len(b.polls.alarms) / 2, len(b.health.checks)}
	})
	assert.Equal(t, []int{0, 0, 0, 0, 0}, <-sizes)
}

// A run whose end the pool never reported stayed in the tables, and under the limit, until the process ended; a task
// whose caller says that it waits for a day was kept as long. That it is over has to be proven by the pool's readings.
func TestNothingStaysForEver(t *testing.T) {
	site := strings.NewReplacer(`"deadline":9000000,"goal-time":8000000`, `"deadline":300000,"goal-time":300000`,
		`"late-value":0.0`, `"late-value":0.5`).Replace(fake.Site)
	b := newBenchAt(t, site)
	b.pool.Loses = true
	b.pool.Ready()
	b.submitRequest(1, "browse", 24*time.Hour)
	b.pool.Next(t, "spawn")
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	require.Eventually(t, func() bool {
		empty := make(chan bool)
		b.Submit(func() { empty <- len(b.requests.byID) == 0 && len(b.requests.byDecision) == 0 })
		return <-empty
	}, fake.Patience, time.Millisecond)
	assert.Equal(t, 1, b.counts.Times("end of a run not reported, proven by the readings"))
}

func TestCallerGone(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	var task *Request
	b.Submit(func() {
		task = b.Receive(Incoming{ID: "x", Route: "browse", HeldKB: 1, SentUnixMS: time.Now().UnixMilli(), Timeout: time.Minute, Caller: b})
	})
	b.pool.Next(t, "spawn")
	b.Submit(func() { b.Cancel(task); b.Cancel(task) })
	b.pool.Next(t, "suspend")
	require.Eventually(t, func() bool {
		empty := make(chan bool)
		b.Submit(func() { empty <- len(b.requests.byID) == 0 && len(b.requests.byDecision) == 0 })
		return <-empty
	}, fake.Patience, time.Millisecond, "a settled task is kept")
	assert.Empty(t, b.answers)
}

func TestHealth(t *testing.T) {
	b := newBench(t)
	b.Submit(func() { b.CheckHealth(b, 1, true) })
	assert.True(t, <-b.checks)
	b.Submit(func() { b.SetHealth(true, false); b.CheckHealth(b, 1, true) })
	assert.False(t, <-b.checks, "a deep check was good without a pool")
	b.pool.Ready()
	b.waitLinkSynced(t)
	for _, outcome := range []string{"success", "failure"} {
		var sent bool
		for !sent { // until the link is bound
			done := make(chan struct{})
			b.Submit(func() { b.CheckHealth(b, 1, true); sent = len(b.health.checks) > 0; close(done) })
			<-done
			if !sent {
				assert.False(t, <-b.checks)
			}
		}
		b.pool.Say(`{"verb":"verified","nonce":"` + b.pool.Next(t, "verify").Nonce + `","outcome":"` + outcome + `"}` + "\n")
		assert.Equal(t, outcome == "success", <-b.checks)
	}
	b.Submit(func() { b.CheckHealth(b, 1, true) })
	assert.False(t, <-b.checks, "a deep check without an answer is a bad one in time")
}

func TestLeaving(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Minute)
	b.pool.Next(t, "spawn")
	b.Drain(6 * time.Second)
	b.submitRequest(2, "pay", time.Minute) // within the grace of 400 ms
	b.pool.Next(t, "spawn")
	require.Eventually(t, func() bool {
		retired := make(chan bool)
		b.Submit(func() { retired <- b.retired && b.Now() > b.drain.startedAt+450*time.Millisecond })
		return <-retired
	}, fake.Patience, time.Millisecond)
	b.submitRequest(3, "pay", time.Minute) // past it
	got := b.nextAnswer(t)
	assert.Equal(t, []any{uint32(3), Rejected}, []any{got.stream, got.Verdict})
	for stream := range uint32(2) {
		b.pool.Finish(fake.Call(stream+1), "success", nil)
		assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	}
	<-b.done
}

// At the stop all that was read has its answer, whatever it waits for.
func TestStopAnswersAll(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	for stream := range uint32(40) {
		b.submitRequest(stream, "pay", time.Minute)
	}
	b.pool.Next(t, "spawn")
	b.Drain(500 * time.Millisecond)
	<-b.done
	assert.Len(t, b.answers, 40)
}

// A peer that does not read its answers kept the process from leaving until it was killed.
func TestLeavingWithAPeerThatDoesNotRead(t *testing.T) {
	b := newBench(t)
	b.Submit(func() { b.peersStalled = true })
	b.Drain(500 * time.Millisecond)
	select {
	case <-b.done:
	case <-time.After(fake.Patience):
		require.FailNow(t, "the server does not leave")
	}
}

func TestTermsItCantServe(t *testing.T) {
	cases := map[string][2]string{
		"needs idempotency keys":     {`"retryable"`, `"dedup"`},
		"the settings name tenants":  {`"tenants":[]`, `"tenants":[{"quota-rps":1}]`},
		"the settings name no route": {`"name":`, `"title":`},
	}
	for want, change := range cases {
		told, err := settings.FromJSON([]byte(strings.ReplaceAll(fake.Site, change[0], change[1])))
		require.NoError(t, err)
		_, err = New(told, 1, Limits{MemoryMB: 96, Sockets: 256}, nil, nil)
		assert.ErrorContains(t, err, want)
	}
}

// One customer without a name cost all behind it theirs, and with it their share.
func TestCustomersWithoutNames(t *testing.T) {
	site := strings.Replace(fake.Site, `"tenants":[]`, `"tenants":[{"quota-rps":1},{"name":"b","quota-rps":2},{}]`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Tenants: true}, nil)
	assert.Equal(t, 1, b.TenantIndex("b"))
	assert.Equal(t, math.MaxInt, b.TenantIndex(""))
}
