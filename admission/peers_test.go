package admission_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quartzpoint/admission"
	"quartzpoint/estimate"
	"quartzpoint/internal/testkit/harness"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

// simulatedServer simulates a server that runs the decisions of a controller on cores that all runs share evenly, as
// those of a worker pool.
type simulatedServer struct {
	routes         []harness.Route
	machine        harness.Machine
	controller     *admission.Controller
	schema         estimate.Schema
	load           []harness.Arrival
	now            time.Duration
	wakeAt         time.Duration
	running        []*simulatedRequest
	requests       map[*admission.Request]*simulatedRequest
	valueInTime    float64 // value of answers within the latency target
	starts         []int   // per startsInterval
	answers        map[*admission.Request]int
	spentAtWakeUps []float64 // core seconds spent so far, at each wake-up of the last half second
	spent          float64
}

type simulatedRequest struct {
	*admission.Request
	arrival   harness.Arrival
	left      float64
	startedAt time.Duration
	answered  bool
}

const startsInterval = 250 * time.Millisecond

func simulate(routes []harness.Route, m harness.Machine, load []harness.Arrival, origin uint64) *simulatedServer {
	settings := admission.DefaultSettings()
	settings.Cores, settings.MemoryKB, settings.RunningMemoryFactor, settings.MaxRunsPerCore = m.Cores, m.MemoryKB, 8, 6
	settings.ShedLevelFormat, settings.RetryAfter, settings.MaxRetryAfter = admission.ShedLevelThreshold, true, time.Second
	settings.Cold, settings.ColdSpeed, settings.WarmUp = m.ColdShare > 0, m.ColdShare, m.WarmUp
	settings.IdleTimeout = 15 * time.Second
	for _, route := range routes {
		configured := admission.Route{Name: route.Name, Value: route.Value, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline}
		if route.AtMostOnce {
			configured.Idempotency = admission.AtMostOnce
		}
		settings.Routes = append(settings.Routes, configured)
	}
	p := &simulatedServer{
		routes: routes, machine: m, controller: admission.New(settings, 1), load: load, now: time.Second,
		requests: map[*admission.Request]*simulatedRequest{}, answers: map[*admission.Request]int{},
	}
	p.schema = p.controller.EstimateSchema(origin, 0, false)
	p.controller.Decide(&admission.Round{Now: p.now}, p)
	return p
}

// advanceTo advances the simulation to a time since the beginning of the load.
func (p *simulatedServer) advanceTo(end time.Duration) {
	end += time.Second
	for p.now < end {
		next := min(p.wakeAt, end)
		if len(p.load) > 0 {
			next = min(next, time.Second+p.load[0].At)
		}
		rate := p.rate()
		for _, t := range p.running {
			next = min(next, p.now+time.Duration(math.Ceil(t.left/rate*1e9)))
		}
		next = max(next, p.now)
		passed := (next - p.now).Seconds()
		p.spent += passed * min(float64(len(p.running)), p.machine.Cores)
		p.now = next
		r := admission.Round{Now: p.now}
		kept := p.running[:0]
		for _, t := range p.running {
			if t.left -= passed * rate; t.left > 1e-9 {
				kept = append(kept, t)
				continue
			}
			r.RunsEnded = append(r.RunsEnded, admission.Completion{Request: t.Request, Outcome: admission.Succeeded, Took: p.now - t.startedAt})
			if !t.answered {
				t.answered = true
				p.answers[t.Request]++
				if route := p.routes[t.arrival.Route]; p.now-t.Arrived <= route.LatencyTarget {
					p.valueInTime += route.Value
				}
			}
		}
		p.running = kept
		for len(p.load) > 0 && time.Second+p.load[0].At <= p.now {
			a := p.load[0]
			p.load = p.load[1:]
			t := &simulatedRequest{arrival: a, left: a.Work.Seconds() / p.machine.Speed, Request: &admission.Request{
				Route: p.controller.Routes[a.Route], QueuedKB: 20, Arrived: p.now, Deadline: p.now + p.routes[a.Route].Deadline, Rank: a.Rank,
			}}
			p.requests[t.Request] = t
			r.Arrived = append(r.Arrived, t.Request)
		}
		if p.now >= p.wakeAt {
			p.spentAtWakeUps = append(p.spentAtWakeUps, p.spent)
			if len(p.spentAtWakeUps) > 21 {
				p.spentAtWakeUps = p.spentAtWakeUps[1:]
			}
			r.Gauges = &admission.Gauges{
				CPU:      (p.spent - p.spentAtWakeUps[0]) / (0.025 * float64(max(len(p.spentAtWakeUps)-1, 1))) / p.machine.Cores,
				Runnable: float64(len(p.running)), Memory: 160 * float64(len(p.running)) / p.machine.MemoryKB,
			}
		}
		p.controller.Decide(&r, p)
	}
}

func (p *simulatedServer) rate() float64 {
	if len(p.running) == 0 {
		return 1
	}
	speed := 1.0
	if p.machine.ColdShare > 0 {
		speed = min(1, p.machine.ColdShare+(1-p.machine.ColdShare)*float64(p.now-time.Second)/float64(p.machine.WarmUp))
	}
	return speed * min(1, p.machine.Cores/float64(len(p.running)))
}

func (p *simulatedServer) Start(request *admission.Request) {
	started := p.requests[request]
	started.startedAt = p.now
	p.running = append(p.running, started)
	for at := int((p.now - time.Second) / startsInterval); len(p.starts) <= at; {
		p.starts = append(p.starts, 0)
	}
	p.starts[int((p.now-time.Second)/startsInterval)]++
}

func (p *simulatedServer) Pause(request *admission.Request) {
	for i, r := range p.running {
		if r.Request == request {
			p.running = append(p.running[:i], p.running[i+1:]...)
			p.controller.Decide(&admission.Round{Now: p.now, RunsEnded: []admission.Completion{{Request: request, Outcome: admission.Stopped}}}, p)
			return
		}
	}
}

func (p *simulatedServer) answer(request *admission.Request) {
	p.requests[request].answered = true
	p.answers[request]++
}

func (p *simulatedServer) Reject(request *admission.Request, _ time.Duration, _ bool) {
	p.answer(request)
}
func (p *simulatedServer) Abort(request *admission.Request)              { p.answer(request) }
func (p *simulatedServer) WakeAfter(in time.Duration)                    { p.wakeAt = p.now + in }
func (p *simulatedServer) AnswerFromOriginal(*admission.Request)         {}
func (p *simulatedServer) RememberKey(*admission.Request, time.Duration) {}
func (p *simulatedServer) ForgetKey(*admission.Request)                  {}
func (p *simulatedServer) Call(*admission.Request, time.Duration)        {}
func (p *simulatedServer) SkipCall(*admission.Request)                   {}
func (p *simulatedServer) SetHealth(bool, bool)                          {}
func (p *simulatedServer) SetShedLevel(float64)                          {}
func (p *simulatedServer) SetIdleTimeout(time.Duration)                  {}
func (p *simulatedServer) Log(string)                                    {}

// snapshot returns the snapshot that this server publishes.
func (p *simulatedServer) snapshot() estimate.Snapshot {
	return p.controller.Estimates(p.now, p.schema)
}

var fourCores = harness.Machine{Cores: 4, Speed: 1, MemoryKB: 64000}

// peerSnapshot returns the snapshot of a peer that has been under load for eight seconds.
func peerSnapshot(routes []harness.Route, m harness.Machine, seed int64) estimate.Snapshot {
	peer := simulate(routes, m, harness.Arrivals(routes, harness.Rate(routes, m, 1.2), 10*time.Second, seed), 1)
	peer.advanceTo(8 * time.Second)
	return peer.snapshot()
}

// simulatePair simulates the same arrivals on two servers that have just started, one without and one with the
// estimates of peers.
func simulatePair(t require.TestingT, snapshot estimate.Snapshot, m harness.Machine, seed int64) (withoutPeers, withPeers *simulatedServer) {
	routes := harness.BookingRoutes()
	load := harness.Arrivals(routes, harness.Rate(routes, fourCores, 1.2), 10*time.Second, seed+100)
	withoutPeers, withPeers = simulate(routes, m, load, 2), simulate(routes, m, load, 3)
	validated, err := withPeers.schema.Validate(snapshot)
	require.NoError(t, err)
	withPeers.controller.UsePeerEstimates(withPeers.now, validated)
	for _, p := range []*simulatedServer{withoutPeers, withPeers} {
		p.advanceTo(16 * time.Second)
		for _, n := range p.answers {
			require.Equal(t, 1, n, "answers to one request")
		}
		require.Len(t, p.answers, len(load))
	}
	return withoutPeers, withPeers
}

// A fresh snapshot of peers has to raise the value served on average over the seeds; simulated.
func TestFreshSnapshotGains(t *testing.T) {
	sum := 0.0
	const seeds = 20
	for seed := range int64(seeds) {
		without, fresh := simulatePair(t, peerSnapshot(harness.BookingRoutes(), fourCores, seed), fourCores, seed)
		sum += fresh.valueInTime / without.valueInTime / seeds
	}
	assert.Greater(t, sum, 1.01)
}

// The snapshot was taken before a zone was lost, and servers are three times slower now. Whatever its estimates are,
// once it has expired the new server decides exactly as one without a snapshot.
func TestExpiredSnapshotChangesNothing(t *testing.T) {
	slow := fourCores
	slow.Speed /= 3
	rapid.Check(t, func(t *rapid.T) {
		snapshot := peerSnapshot(harness.BookingRoutes(), fourCores, 7)
		for i := range snapshot.Routes {
			snapshot.Routes[i].Core.Mean *= rapid.Float64Range(0.01, 3).Draw(t, "factor")
		}
		snapshot = snapshot.Aged(estimate.MaxAge(estimate.ReturnRatio))
		without, expired := simulatePair(t, snapshot, slow, rapid.Int64Range(0, 1000).Draw(t, "seed"))
		assert.Equal(t, without.starts, expired.starts)
		assert.Equal(t, without.valueInTime, expired.valueInTime)
	})
}

// Servers are three times slower than when the snapshot was taken, but it is a few seconds old and still has weight:
// own runs must correct it before it costs value.
func TestRecentSnapshotOfFasterServers(t *testing.T) {
	slow := fourCores
	slow.Speed /= 3
	sum, starts := 0.0, 0.0
	const seeds = 20
	for seed := range int64(seeds) {
		snapshot := peerSnapshot(harness.BookingRoutes(), fourCores, seed).Aged(5 * time.Second)
		without, recent := simulatePair(t, snapshot, slow, seed)
		sum += recent.valueInTime / without.valueInTime / seeds
		a, b := 0, 0
		for i := range min(len(without.starts), len(recent.starts)) {
			a, b = a+without.starts[i], b+recent.starts[i]
		}
		starts += float64(b) / float64(a) / seeds
	}
	assert.Greater(t, sum, 0.97)
	assert.InDelta(t, 1, starts, 0.1, "the limit, not the snapshot, determines how many requests start")
}

// Estimates of peers are not published again, and have no weight once they are old, even if this server has measured
// nothing.
func TestPeerEstimatesAreNotPublished(t *testing.T) {
	snapshot := peerSnapshot(harness.BookingRoutes(), fourCores, 1)
	idle := simulate(harness.BookingRoutes(), fourCores, nil, 2)
	validated, err := idle.schema.Validate(snapshot)
	require.NoError(t, err)
	idle.controller.UsePeerEstimates(idle.now, validated)
	idle.advanceTo(time.Second)
	for _, published := range idle.snapshot().Routes {
		assert.False(t, published.Core.Known(), "an estimate of peers was published")
	}
	assert.True(t, idle.snapshot().NeedsPeers())
	idle.advanceTo(estimate.MaxAge(estimate.ReturnRatio))
	load := harness.Arrivals(harness.BookingRoutes(), harness.Rate(harness.BookingRoutes(), fourCores, 1.2), 5*time.Second, 3)
	later := estimate.MaxAge(estimate.ReturnRatio)
	for i := range load {
		load[i].At += later
	}
	without := simulate(harness.BookingRoutes(), fourCores, nil, 2)
	without.advanceTo(later)
	without.load, idle.load = load, load
	without.advanceTo(later + 10*time.Second)
	idle.advanceTo(later + 10*time.Second)
	assert.Equal(t, without.starts, idle.starts)
}

// During a cold start the estimates of warm peers are divided by the current speed, and used as they are at the end of
// the warm-up.
func TestColdMachine(t *testing.T) {
	m := fourCores
	m.ColdShare, m.WarmUp = 0.25, 10*time.Second
	sum := 0.0
	const seeds = 20
	for seed := range int64(seeds) {
		without, fresh := simulatePair(t, peerSnapshot(harness.BookingRoutes(), fourCores, seed), m, seed)
		sum += fresh.valueInTime / without.valueInTime / seeds
	}
	assert.Greater(t, sum, 0.99)
}

// BenchmarkDecide measures the decisions of a server at 120% of its capacity; simulated.
func BenchmarkDecide(b *testing.B) {
	routes := harness.BookingRoutes()
	for b.Loop() {
		simulate(routes, fourCores, harness.Arrivals(routes, harness.Rate(routes, fourCores, 1.2), 10*time.Second, 1), 1).
			advanceTo(12 * time.Second)
	}
}
