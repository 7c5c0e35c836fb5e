package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// If the settings do not allow preemption, the platform treats the stop of a run as a fault and ends its simulation.
// Runs of requests that are aborted or canceled continue to their end, and count on the cores until then.
func TestNoPreemptionWhenSettingsAllowNone(t *testing.T) {
	for _, how := range []string{"aborted", "canceled"} {
		t.Run(how, func(t *testing.T) {
			b := newFixture(func(s *Settings) { s.Preemption = PreemptionNone })
			x := b.request("x", 0)
			b.round(Round{Arrived: []*Request{x}})
			if how == "canceled" {
				assert.Empty(t, b.round(Round{Canceled: []*Request{x}}))
			} else {
				x.usefulUntil = b.at + 50*ms
				assert.Contains(t, b.pass(50*ms, Gauges{CPU: 1}), "abort x")
			}
			assert.NotContains(t, b.pass(time.Second, Gauges{CPU: 1}), "pause")
			assert.Equal(t, 1.0, b.inFlight().onCores, "the run still takes its core")
		})
	}
}

func TestRejectedRequestsCarryRetryAfter(t *testing.T) {
	cases := []struct {
		name   string
		unread time.Duration
		change func(*Settings)
		want   time.Duration
	}{
		{"an unmeetable request read at once", 0, nil, ms},
		{"time spent unread plus excess of the queue", 400 * ms, nil, 500 * ms},
		{"at most MaxRetryAfter", 3 * time.Second, nil, time.Second},
		{"none if RetryAfter is off", 400 * ms, func(s *Settings) { s.RetryAfter = false }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(c.change)
			x := b.request("x", 0)
			x.Arrived -= c.unread
			x.Deadline = b.at + 2*tickInterval + time.Duration(medianToMean*float64(b.expectedWork(x))) - ms // a millisecond short
			assert.Equal(t, "reject x", b.round(Round{Arrived: []*Request{x}}))
			assert.InDelta(t, c.want, b.retryAfter, float64(ms))
		})
	}
}

func TestRejectsAllowARetryElsewhereOnlyWhileOthersMayHaveCapacity(t *testing.T) {
	for _, c := range []struct {
		level float64
		left  time.Duration
		want  bool
	}{{0, time.Second, false}, {fleetFullLevel, time.Second, false}, {2 * fleetFullLevel, time.Second, true}, {0, 200 * ms, false}, {0, 100 * ms, true}} {
		b := newFixture(nil)
		x := b.request("x", 0)
		x.usefulUntil, b.shedding.level = b.at+c.left, c.level
		b.answerRejected(x, ReasonNoTime, b)
		assert.Equal(t, c.want, b.noRetryElsewhere)
	}
}
