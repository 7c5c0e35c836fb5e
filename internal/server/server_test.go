package server

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/settings"
	"quartzpoint/internal/testkit/fake"
)

func TestRequestIsServed(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Second)
	spawn := b.pool.Next(t, "spawn")
	assert.Equal(t, "body 1", string(spawn.Body))
	assert.Equal(t, "pay", spawn.Handler)
	b.pool.Finish(spawn.RunID, "success", []byte("done"))
	got := b.nextAnswer(t)
	assert.Equal(t, receivedAnswer{1, Answer{Verdict: Served, Result: []byte("done")}}, got)

	b.submitRequest(2, "pay", time.Second)
	b.pool.Finish(b.pool.Next(t, "spawn").RunID, "failure", nil)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
}

func TestInvalidRequestIsRejected(t *testing.T) {
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
	b.pool.Finish(fake.CallID(1), "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict, "the first one is answered from its run")
}

// The due answer must not hang on the pool: neither one that is not there nor one that tells no gauges.
func TestDueAnswersWithoutThePool(t *testing.T) {
	for _, mute := range []bool{false, true} {
		b := newBench(t)
		b.pool.NoReadings = mute
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

func TestPoolKnowsNothing(t *testing.T) {
	b := newBench(t)
	b.pool.Ready()
	b.submitRequest(1, "pay", time.Minute)
	task := b.pool.Next(t, "spawn").RunID
	b.pool.WriteRaw(`{"verb":"unknown","outcome":"suspend","task":"` + task + `"}` + "\n")
	b.pool.WriteRaw(`{"verb":"unknown","outcome":"spawn","task":"nobody"}` + "\n")
	b.pool.WriteRaw(`{"verb":"unknown","outcome":"spawn","task":"` + task + `"}` + "\n")
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	assert.Equal(t, 2, b.counts.Times("pool did not carry out a spawn"))

	// Calls that a bad client invents counted as broken runs, and closed this server's health to all.
	for stream := range uint32(20) {
		b.submitRequest(100+stream, "browse", time.Minute)
		b.pool.WriteRaw(`{"verb":"unknown","outcome":"spawn","task":"` + b.pool.Next(t, "spawn").RunID + `"}` + "\n")
		assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	}
	b.Submit(func() { b.CheckHealth(b, 1, false) })
	assert.True(t, <-b.checks, "the server's health was closed")
}

// After many tasks of ever new names from ever new routers, over links that break, the tables are empty again.
func TestTablesAfterManyRequests(t *testing.T) {
	b := newBench(t)
	b.pool.Echo = true
	b.pool.Ready()
	for stream := range uint32(2000) {
		kind := []string{"browse", "pay"}[stream%2]
		b.Submit(func() {
			b.Receive(Incoming{
				ID: fake.CallID(stream), Route: kind, HeldKB: 20, Rank: 0.9, SentUnixMS: time.Now().UnixMilli(),
				Timeout: time.Minute, Router: stream, Caller: b, Stream: stream,
			})
		})
		b.nextAnswer(t)
		if stream%400 == 100 {
			b.pool.CloseLink()
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
		`"late-value":0.0`, `"late-value":0.5`).Replace(fake.SiteSettings)
	b := newBenchAt(t, site)
	b.pool.DropsSpawns = true
	b.pool.Ready()
	b.submitRequest(1, "browse", 24*time.Hour)
	b.pool.Next(t, "spawn")
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	require.Eventually(t, func() bool {
		empty := make(chan bool)
		b.Submit(func() { empty <- len(b.requests.byID) == 0 && len(b.requests.byDecision) == 0 })
		return <-empty
	}, fake.WaitLimit, time.Millisecond)
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
	}, fake.WaitLimit, time.Millisecond, "a settled task is kept")
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
		b.pool.WriteRaw(`{"verb":"verified","nonce":"` + b.pool.Next(t, "verify").Nonce + `","outcome":"` + outcome + `"}` + "\n")
		assert.Equal(t, outcome == "success", <-b.checks)
	}
	b.Submit(func() { b.CheckHealth(b, 1, true) })
	assert.False(t, <-b.checks, "a deep check without an answer is a bad one in time")
}

func TestUnsupportedSettings(t *testing.T) {
	cases := map[string][2]string{
		"needs idempotency keys":     {`"retryable"`, `"dedup"`},
		"the settings name tenants":  {`"tenants":[]`, `"tenants":[{"quota-rps":1}]`},
		"the settings name no route": {`"name":`, `"title":`},
	}
	for want, change := range cases {
		told, err := settings.FromJSON([]byte(strings.ReplaceAll(fake.SiteSettings, change[0], change[1])))
		require.NoError(t, err)
		_, err = New(told, 1, Limits{MemoryMB: 96, Sockets: 256}, nil, nil)
		assert.ErrorContains(t, err, want)
	}
}

// One customer without a name cost all behind it theirs, and with it their share.
func TestTenantsWithoutNames(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"tenants":[]`, `"tenants":[{"quota-rps":1},{"name":"b","quota-rps":2},{}]`, 1)
	b := newBenchWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Tenants: true}, nil)
	assert.Equal(t, 1, b.TenantIndex("b"))
	assert.Equal(t, math.MaxInt, b.TenantIndex(""))
}
