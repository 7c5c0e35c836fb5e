package admission

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCallsUnderStrain(t *testing.T) {
	b := newFixture(nil)
	b.calls.strained, b.calls.capacity = true, 1
	skippable, required := b.request("skippable", 0), b.request("required", 2)
	b.round(Round{Arrived: []*Request{skippable, required}})
	assert.Equal(t, "call required, skip skippable", b.round(Round{AwaitingCall: []*Request{skippable, required}}))
	for _, c := range []struct {
		outcome  Outcome
		capacity float64
	}{{Succeeded, 8}, {NotRun, 6}, {Unknown, 8}} {
		b := newFixture(nil)
		x := b.request("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.round(Round{AwaitingCall: []*Request{x}})
		b.calls.capacity = 8
		b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: c.outcome, Took: ms}}})
		b.calibrateCalls()
		assert.Equal(t, c.capacity, b.calls.capacity)
	}
}

func TestCallsKeepToAQuotaOfLessThanOne(t *testing.T) {
	for _, quota := range []float64{0, 0.05, 0.5, 0.9, 1.4} {
		b := newFixture(func(s *Settings) { s.CallQuota = quota })
		highest, mean, n := 0.0, 0.0, 400
		for range n { // a dependency that hangs keeps each call in progress until its timeout
			x := b.request("x", 2)
			b.round(Round{Arrived: []*Request{x}})
			b.round(Round{AwaitingCall: []*Request{x}})
			b.pass(100*ms, Gauges{CPU: 0.5})
			for _, request := range b.active {
				if request.phase == calling && b.at >= request.calledAt+b.lastTimeout {
					b.round(Round{CallsEnded: []Completion{{Request: request, Outcome: Unknown}}})
				}
			}
			highest = max(highest, b.calls.inProgress.sum(b.at)[0]/5)
			mean += b.calls.inProgress.sum(b.at)[0] / 5 / float64(n)
		}
		assert.LessOrEqual(t, highest, max(quota, 0.1), "in any window")
		assert.LessOrEqual(t, mean, max(quota, 0.02), "in the long run, however small the quota")
		assert.Positive(t, mean, "calls are still made")
	}
}

// Guards against too few calls to a tier of servers that states no quota (accra-heat-control). The missing quota was
// taken as nearly zero, a call was made once in minutes, and every setpoint-change was aborted at its call.
func TestCallsToATierOfServersGoByConcurrency(t *testing.T) {
	for _, c := range []struct {
		dependency string
		tier       bool
		calls      int
	}{{"tier", true, 4}, {"shared", false, 1}} {
		b := newFixture(func(s *Settings) { s.CallQuota, s.CallsTier = 0, c.tier })
		var xs []*Request
		for range 4 {
			xs = append(xs, b.request("x", 2))
		}
		b.round(Round{Arrived: xs})
		b.pass(calibrationPeriod, Gauges{CPU: 0.5})
		decisions := b.round(Round{AwaitingCall: xs})
		assert.Equal(t, c.calls, strings.Count(decisions, "call x"), c.dependency)
	}
}

func TestAnAbandonedCallHoldsCapacityAndMemoryUntilItsEnd(t *testing.T) {
	b := newFixture(func(s *Settings) { s.CallQuota, s.MemoryKB = 1.2, 600 })
	x, y, large := b.request("x", 2), b.request("y", 2), b.request("large", 0)
	large.QueuedKB = 40
	b.round(Round{Arrived: []*Request{x, y}})
	x.usefulUntil = b.at + 300*ms
	b.round(Round{AwaitingCall: []*Request{x}})
	assert.LessOrEqual(t, b.lastTimeout, 300*ms, "no call outlasts the time in which its answer earns value")
	assert.Contains(t, b.pass(300*ms, Gauges{CPU: 1}), "abort x")
	assert.Empty(t, b.round(Round{Arrived: []*Request{large}, AwaitingCall: []*Request{y}}))
	end := []Completion{{Request: x, Outcome: Unknown}}
	assert.Equal(t, "call y, start large", b.round(Round{CallsEnded: end, RunsEnded: end}))
}

// The run of an aborted or canceled request may end at its call before the end of the call is reported. The dependency
// still works on the call, so it is charged for CallLinger.
func TestACallAbandonedByItsRunLingers(t *testing.T) {
	b := newFixture(nil)
	request := b.request("a", 2)
	b.round(Round{Arrived: []*Request{request}})
	b.round(Round{AwaitingCall: []*Request{request}})
	assert.Equal(t, calling, request.phase)
	b.at += 100 * ms
	before, credit := b.calls.inProgress.sum(b.at)[0], b.calls.credit
	b.round(Round{RunsEnded: []Completion{{Request: request, Outcome: Stopped}}})
	assert.InDelta(t, 0.3, b.calls.inProgress.sum(b.at)[0]-before, 1e-6, "100 ms in progress and 200 ms lingering")
	assert.InDelta(t, 0.3, credit-b.calls.credit, 1e-6)
}

func TestACallIsSkippedWhenItsTurnComesTooLate(t *testing.T) {
	for _, c := range []struct {
		credit float64
		want   string
	}{{1, "call x"}, {-0.5, ""}, {-1.5, "skip x"}} { // a deficit of one call-second at a capacity of one is a wait of one second
		b := newFixture(nil)
		x := b.request("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.calls.capacity, b.calls.credit = 1, c.credit
		x.usefulUntil = b.at + b.expectedWork(x) + 2*time.Second
		assert.Equal(t, c.want, b.round(Round{AwaitingCall: []*Request{x}}))
	}
}

// Guards against calls that are never answered blocking the server, as when the link of a site to its dependency was
// cut for seconds (split+brink). Each call in progress kept its place until its request was aborted, and all others
// waited for one or two of them.
func TestACallThatIsNeverAnsweredIsMadeAgain(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Routes[0].SkipValueShare = 0 })
	for range 10 {
		b.calls.seconds.add(0.02, 500)
	}
	for kind, timeout := range []time.Duration{160 * ms, 2 * time.Second, 2 * time.Second} {
		x := b.request("x", kind)
		b.round(Round{Arrived: []*Request{x}})
		assert.Equal(t, "call x", b.round(Round{AwaitingCall: []*Request{x}}))
		assert.InDelta(t, timeout, b.lastTimeout, float64(ms), "a call that must not be repeated gets the full timeout")
		if kind > 0 {
			continue
		}
		for next := timeout * 2; next < 640*ms; next *= 2 {
			b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Unknown, Took: timeout}}})
			assert.Equal(t, "call x", b.pass(time.Second/4, Gauges{CPU: 0.5}))
			assert.InDelta(t, next, b.lastTimeout, float64(ms), "the timeout doubles, so that a dependency that is only slow can still answer")
		}
		end := []Completion{{Request: x}}
		b.round(Round{CallsEnded: end, RunsEnded: end})
	}
}

// A request must skip its call where no capacity for calls is left. Formerly, the wait for capacity was infinite, which
// x86-64 converted to the lowest duration, as if there were time, and arm64 to the highest.
func TestCallIsSkippedWithoutCapacity(t *testing.T) {
	b := newFixture(nil)
	x := b.request("x", 0)
	b.round(Round{Arrived: []*Request{x}})
	b.calls.capacity, b.calls.credit = 0, 0
	b.calls.peerSeconds.weight, b.calls.peerSeconds.estimate.Mean = 1, 0.1
	b.active = append(b.active, &Request{Route: b.Routes[0], phase: calling, calledAt: b.at, chargedAt: b.at, usefulUntil: x.usefulUntil})
	assert.Equal(t, "skip x", b.round(Round{AwaitingCall: []*Request{x}}))
}
