package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// While the dependency is strained, a request that calls it has to wait for its call, and is rejected at once if that
// would be too late. Without strain the same request is started.
func TestStrainedCallsCountInTheQueue(t *testing.T) {
	for _, strained := range []bool{false, true} {
		b := newFixture(nil)
		b.calls.outcomes.add(b.at, 1, 3.0)
		b.calls.strained = strained
		x := b.request("x", 2)
		decisions := b.round(Round{Arrived: []*Request{x}})
		if strained {
			assert.Equal(t, "reject x", decisions, "a call of three seconds exceeds its latency target")
		} else {
			assert.Equal(t, "start x", decisions)
		}
	}
}

// If cores are short, a request that can only be answered late earns only its late value share, so it is shed before
// one of the same value that would still be answered in time.
func TestLateAnswersAreShedFirstWhenCoresAreShort(t *testing.T) {
	b := newFixture(func(s *Settings) {
		s.Cores, s.ValueByWork, s.Routes[0].LateValueShare = 1, true, 0.2
		s.Routes[1].Idempotency, s.Routes[1].Value = Retryable, 1
	})
	for kind := range 2 { // measure how long runs take: nothing is shed by an assumption
		b.run(b.request("usual", kind), b.Routes[kind].LatencyTarget/unknownWorkDivisor)
	}
	b.round(Round{Arrived: []*Request{b.request("running", 1)}})
	var requests []*Request
	for i := range 3 {
		late := b.request(fmt.Sprint("late", i), 0)
		late.Arrived -= 1500 * ms
		requests = append(requests, late)
	}
	for i := range 4 {
		requests = append(requests, b.request(fmt.Sprint("fresh", i), 1))
	}
	decisions := b.round(Round{Arrived: requests})
	assert.Equal(t, "reject late2, reject late1, reject late0, reject fresh3", decisions, "late ones before fresh ones")
}

func TestUnmeetableRequestsAreShedByValue(t *testing.T) {
	b := newFixture(nil)
	for range 20 {
		b.run(b.request("usual", 0), 500*ms)
		b.run(b.request("usual", 2), 500*ms)
	}
	var burst []*Request
	for range 20 {
		burst = append(burst, b.request("low", 0))
	}
	b.round(Round{Arrived: burst})
	assert.Equal(t, "reject low", b.round(Round{Arrived: []*Request{b.request("high", 2)}}))
}

func TestALongRequestIsJudgedByTheMedian(t *testing.T) {
	b := newFixture(nil)
	for range 20 {
		b.run(b.request("usual", 0), time.Second)
	}
	x := b.request("x", 0)
	x.Deadline = b.at + 2*tickInterval + 800*ms
	assert.Equal(t, "start x", b.round(Round{Arrived: []*Request{x}}))
}

func TestRequestsOfATenantOverItsQuotaHaveLessValue(t *testing.T) {
	b := newFixture(func(s *Settings) {
		s.Tenants, s.FleetServers, s.OverQuotaValue = []Tenant{{QuotaRPS: 10}, {QuotaRPS: 10}}, 10, 0.05
	})
	within, over := b.request("within", 0), b.request("over", 0)
	over.Tenant = 1
	for range 5 {
		b.tenants.add(0, b.at)
	}
	for range 20 {
		b.tenants.add(1, b.at)
	}
	assert.Equal(t, b.valueDensity(within), (&fixture{Controller: newFixture(nil).Controller}).valueDensity(within))
	assert.InDelta(t, 0.525*b.valueDensity(within), b.valueDensity(over), 0.001)
}

// Guards against shedding a burst that arrives before the first run of its route has ended. Each request was assumed to
// take a sixth of its latency target, although the idle machine completes a hundred of them in that time.
func TestBurstOfAnUnmeasuredRouteIsKept(t *testing.T) {
	b := newFixture(nil)
	var burst []*Request
	for range 30 {
		burst = append(burst, b.request("burst", 0))
	}
	first := b.round(Round{Arrived: burst})
	assert.NotContains(t, first, "reject")
	b.at += 20 * ms
	var ended []Completion
	for _, request := range burst {
		if request.phase == running {
			ended = append(ended, Completion{Request: request, Outcome: Succeeded, Took: 20 * ms})
		}
	}
	assert.NotContains(t, b.round(Round{RunsEnded: ended}), "reject", "the runs are short, so the others have time")
}

// If the runs of an unmeasured route do not end, their core time so far shows that the burst has too little time left:
// requests of the burst are rejected long before their deadlines.
func TestBurstOfAnUnmeasuredRouteIsShedWhenItsRunsTakeLong(t *testing.T) {
	b := newFixture(nil)
	var burst []*Request
	for range 30 {
		burst = append(burst, b.request("burst", 0))
	}
	b.round(Round{Arrived: burst})
	decisions := b.pass(b.Routes[0].LatencyTarget/unknownWorkDivisor, Gauges{CPU: 1, Runnable: 4})
	assert.Contains(t, decisions, "reject")
	assert.NotContains(t, decisions, "abort")
}
