package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLimitCalibration(t *testing.T) {
	cases := []struct {
		name   string
		before float64
		gauges Gauges
		after  float64
		logged *LimitReduction
	}{
		{"period without a backoff event adds one", 8, Gauges{CPU: 0.8}, 9, nil},
		{"CPU at its soft limit reduces", 8, Gauges{CPU: 0.9}, 6, &LimitReduction{BackoffCPU, 8, 6}},
		{"memory at its soft limit reduces", 8, Gauges{CPU: 0.8, Memory: 0.75}, 6, &LimitReduction{BackoffMemory, 8, 6}},
		{"never below the number of cores", 5, Gauges{CPU: 0.95}, 4, &LimitReduction{BackoffCPU, 5, 4}},
		{"never above the maximum", 24, Gauges{CPU: 0.8}, 24, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.limit.value = c.before
			b.pass(calibrationPeriod, c.gauges)
			assert.Equal(t, c.after, b.limit.value)
			assert.Equal(t, c.logged, b.TakeLimitReduction())
			assert.Nil(t, b.TakeLimitReduction(), "the reduction is reported once")
		})
	}
	t.Run("mean latency over 1.5 times the long-term mean reduces", func(t *testing.T) {
		b := newFixture(nil)
		for range 50 {
			b.run(b.request("usual", 0), 100*ms)
		}
		b.at += 3 * time.Second
		b.limit.calibratedAt, b.limit.value = b.at-calibrationPeriod, 8
		for range 5 {
			b.run(b.request("slow", 0), 200*ms)
		}
		b.pass(tickInterval, Gauges{CPU: 0.8})
		assert.Equal(t, 6.0, b.limit.value)
	})
	t.Run("raised between calibrations while cores are idle and requests are queued", func(t *testing.T) {
		b := newFixture(nil)
		b.limit.value = 8
		for i := range 12 {
			b.round(Round{Arrived: []*Request{b.request(fmt.Sprint(i), 0)}})
		}
		b.pass(100*ms, Gauges{CPU: 0.5})
		assert.Equal(t, 9.0, b.limit.value)
	})
	t.Run("memory bounds the maximum", func(t *testing.T) {
		b := newFixture(func(s *Settings) { s.MemoryKB = 600 })
		b.round(Round{Arrived: []*Request{b.request("a", 0)}})
		assert.InDelta(t, 5.4, b.maxLimit(), 0.01)
	})
}

// Guards against raising the limit by outdated gauges. When the worker pool hung, its last gauges were used as current:
// by the idle CPU that they showed, the limit rose to all that the machine survives, and as many requests were started
// on the hung machine.
func TestLimitDoesNotGrowByOldGauges(t *testing.T) {
	for _, age := range []time.Duration{0, maxGaugesAge + ms} {
		b := newFixture(nil)
		var waiting []*Request
		for range 30 {
			waiting = append(waiting, b.request("waiting", 0))
		}
		b.round(Round{Arrived: waiting})
		for range 20 {
			b.at += tickInterval
			b.round(Round{Gauges: &Gauges{CPU: 0.5, Runnable: 4}, GaugesAge: age})
		}
		b.limit.calibrate(b.at, 24)
		assert.Equal(t, age == 0, b.limit.value > 4, "gauges of an age of %v, limit %v", age, b.limit.value)
	}
}
