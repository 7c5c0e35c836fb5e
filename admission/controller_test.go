package admission

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOneRoundMayHoldSeveralEventsOfARequest(t *testing.T) {
	b := newFixture(nil)
	x := b.request("x", 2)
	b.round(Round{Arrived: []*Request{x}})
	b.round(Round{AwaitingCall: []*Request{x}})
	end, all := []Completion{{Request: x, Outcome: Succeeded}}, []*Request{x}
	round := Round{CallsEnded: end, AwaitingCall: all, RunsEnded: end, Canceled: all, Arrived: []*Request{b.request("y", 0)}}
	assert.Equal(t, "start y", b.round(round))
}

func TestSameEventsSameDecisions(t *testing.T) {
	decide := func() (all string) {
		b := newFixture(nil)
		for i := range 400 {
			x := b.request(fmt.Sprint(i), i%3)
			all += b.round(Round{Arrived: []*Request{x}}) + b.round(Round{AwaitingCall: []*Request{x}})
			all += b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Outcome(i % 4)}}}) + b.pass(tickInterval, Gauges{CPU: 1})
		}
		return all
	}
	assert.Equal(t, decide(), decide())
}

func TestDecisionsWithZeroSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"nothing configured":   func(s *Settings) { s.CallQuota, s.FleetServers, s.IdleTimeout = 0, 0, 0 },
		"one server":           func(s *Settings) { s.FleetServers, s.Tenants = 1, []Tenant{{QuotaRPS: 0}} },
		"zero quota and fleet": func(s *Settings) { s.Tenants, s.FleetServers, s.OverQuotaValue = []Tenant{{QuotaRPS: 0}}, 0, 0 },
		"zero durations":       func(s *Settings) { s.CallWindow, s.CallLinger, s.WarmUp = 0, 0, 1 },
	} {
		b := newFixture(change)
		decisions := ""
		for range 40 {
			x := b.request("x", 2)
			decisions += b.round(Round{Arrived: []*Request{x}}) + b.round(Round{AwaitingCall: []*Request{x}})
			decisions += b.pass(100*ms, Gauges{CPU: 0.5})
			b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Succeeded, Took: 20 * ms}}, RunsEnded: []Completion{{Request: x}}})
		}
		assert.Contains(t, decisions, "start x", name)
		assert.Contains(t, decisions, "call x", name)
		assert.False(t, math.IsNaN(b.shedding.level+b.limit.value+b.calls.capacity+b.calls.credit+b.valueDensity(b.request("y", 0))), name)
	}
}
