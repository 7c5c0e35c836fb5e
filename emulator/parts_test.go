package emulator

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
	"quartzpoint/rulecheck"
)

// TestEngineOrder checks that events run in order of time, and those of one moment in the order in which they were
// scheduled.
func TestEngineOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	e := &engine{}
	type mark struct {
		at time.Duration
		n  int
	}
	var got []mark
	for n := range 5000 {
		at := time.Duration(rng.Intn(200))
		e.at(at, func() { got = append(got, mark{at, n}) })
	}
	for e.step(time.Hour) {
	}
	require.Len(t, got, 5000)
	for i := 1; i < len(got); i++ {
		a, b := got[i-1], got[i]
		require.True(t, a.at < b.at || a.at == b.at && a.n < b.n, "%v before %v", a, b)
	}
}

// TestPoolShares checks that a pool shares its cores evenly: the ends of all runs equal those calculated by hand.
func TestPoolShares(t *testing.T) {
	cases := []struct {
		name    string
		machine Machine
		works   []float64 // seconds, all started at once
		ends    []float64
	}{
		{"enough cores", Machine{Cores: 4, Speed: 1}, []float64{1, 2, 3}, []float64{1, 2, 3}},
		{"one core for two", Machine{Cores: 1, Speed: 1}, []float64{1, 2}, []float64{2, 3}},
		{"two cores for three", Machine{Cores: 2, Speed: 1}, []float64{1, 1, 2}, []float64{1.5, 1.5, 2.5}},
		{"twice the speed", Machine{Cores: 1, Speed: 2}, []float64{1, 2}, []float64{1, 1.5}},
		{"more runs than FreeRunsPerCore are slower", Machine{Cores: 1, Speed: 1, FreeRunsPerCore: 1, SwitchCost: 1}, []float64{1, 1}, []float64{4, 4}},
		{"independent runs", Machine{Cores: 1, Speed: 1, Independent: true}, []float64{1, 1}, []float64{1, 1}},
	}
	for _, c := range cases {
		e := &engine{}
		ends := map[*run]float64{}
		p := &pool{engine: e, machine: c.machine, speedFactor: 1, onDone: func(r *run) { ends[r] = e.now.Seconds() }}
		var runs []*run
		for _, work := range c.works {
			r := &run{remaining: work, heapIndex: -1}
			runs = append(runs, r)
			p.start(r)
		}
		for e.step(time.Minute) {
		}
		for i, r := range runs {
			assert.InDelta(t, c.ends[i], ends[r], 1e-6, "%s, run %d", c.name, i)
		}
	}
}

// TestPoolChanges checks that a paused run makes no progress, and that the progress of a run follows the freezes and
// slowdowns of its pool.
func TestPoolChanges(t *testing.T) {
	e := &engine{}
	var ended []time.Duration
	p := &pool{engine: e, machine: Machine{Cores: 1, Speed: 1}, speedFactor: 1, onDone: func(*run) { ended = append(ended, e.now) }}
	r := &run{remaining: 1, heapIndex: -1}
	e.at(0, func() { p.start(r) })
	e.at(200*time.Millisecond, func() { p.stop(r) })
	e.at(time.Second, func() { assert.InDelta(t, 0.8, r.remaining, 1e-9); p.start(r) })
	e.at(1200*time.Millisecond, func() { p.change(func() { p.frozen = true }) })
	e.at(2*time.Second, func() { p.change(func() { p.frozen = false; p.speedFactor = 0.5 }) })
	for e.step(time.Minute) {
	}
	require.Len(t, ended, 1)
	assert.InDelta(t, 3.2, ended[0].Seconds(), 1e-6, "0.2, 0.2, and 0.6 at half the speed")
}

// TestDependency checks that a dependency works on as many calls at once as it has slots, and that rejected, late and
// unanswered calls end with the matching outcome.
func TestDependency(t *testing.T) {
	w := &World{rules: rulecheck.New(0), delayFactor: 1, networkRand: randomSource(1, "network", 0)}
	d := &dependency{world: w, Dependency: Dependency{Slots: 1, Mean: 10 * time.Millisecond}, slowFactor: 1, rng: randomSource(1, "d", 0)}
	outcomes := map[string]admission.Outcome{}
	at := map[string]time.Duration{}
	startCall := func(name string, timeout time.Duration) {
		d.handle(timeout, func(o admission.Outcome, _ time.Duration) { outcomes[name], at[name] = o, w.now })
	}
	w.at(0, func() {
		startCall("first", time.Second)
		startCall("second", time.Second)
		startCall("short timeout", 15*time.Millisecond)
	})
	w.at(time.Second, func() { d.errorRate = 1; startCall("rejected", time.Second) })
	w.at(2*time.Second, func() { d.errorRate, d.unresponsive = 0, true; startCall("unanswered", 50*time.Millisecond) })
	for w.step(time.Minute) {
	}
	assert.Equal(t, map[string]admission.Outcome{
		"first": admission.Succeeded, "second": admission.Succeeded, "short timeout": admission.Unknown, "rejected": admission.NotRun, "unanswered": admission.Unknown,
	}, outcomes)
	assert.Equal(t, 10*time.Millisecond, at["first"])
	assert.Equal(t, 20*time.Millisecond, at["second"])
}

// TestShutdownAndKill checks that a server that shuts down starts no request that arrives after the grace, answers all
// others, and ends before its limit. A killed server loses its requests, and none of their effects happens twice
// because of that.
func TestShutdownAndKill(t *testing.T) {
	f := branchFleet(3)
	f.RouterOptions = RouterOptions{Balancing: "round", MaxAttempts: 0, RetriesAborted: true}
	f.ClientOptions = ClientOptions{MaxRetries: -1, Backoff: 20 * time.Millisecond}
	w := New(f, 5)
	w.At(2*time.Second, func() { w.Restart([]int{0}, 2500*time.Millisecond) })
	w.At(3*time.Second, func() { w.Kill([]int{1}) })
	w.At(5*time.Second, func() { w.Boot([]int{1}) })
	w.At(5*time.Second, func() {
		assert.True(t, w.servers[0].alive, "restarted")
		assert.Equal(t, uint64(2), w.servers[0].incarnation)
	})
	w.At(6*time.Second, func() { w.Disconnect([]int{2}, time.Second); w.SetLossRate(0.05) })
	r := w.Run(Load{Rate: f.rate(1.2), Span: 8 * time.Second})
	assert.Zero(t, r.Rules.Total(), r.Rules.Messages)
	assert.Zero(t, r.DuplicateAnswers)
	assert.Greater(t, r.Attempts, r.Requests)
	assert.Equal(t, r.Requests, r.Served+r.Rejected+r.Aborted+r.Unanswered)
}
