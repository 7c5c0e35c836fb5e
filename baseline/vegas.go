package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

// vegas estimates the queue as limit × (1 − min latency / latency) and keeps it between bounds that grow with the
// logarithm of the limit, as TCP Vegas does (L. Brakmo, L. Peterson, 1995) and Netflix's concurrency-limits describes
// it. The minimum latency is measured anew at random intervals.
type vegas struct {
	noopLimiter
	rng        *rand.Rand
	current    float64
	minLatency float64
	samples    int
}

func newVegas(m emulator.Machine, _ []emulator.Route, rng *rand.Rand) limiter {
	return &vegas{rng: rng, current: 20}
}

func (v *vegas) limit() float64 { return math.Floor(v.current) }

func (v *vegas) recordRun(_, took time.Duration, running int, failed bool) {
	latency := took.Seconds()
	if v.samples++; float64(v.samples) > (0.5+v.rng.Float64()/2)*30*v.current {
		v.samples, v.minLatency = 0, latency
	}
	if v.minLatency == 0 || latency < v.minLatency {
		v.minLatency = latency
		return
	}
	if float64(running)*2 < v.current && !failed {
		return
	}
	step := max(math.Log10(v.current), 1)
	switch queue := v.current * (1 - v.minLatency/max(latency, 1e-9)); {
	case failed:
		v.current -= step
	case queue <= step:
		v.current += 6 * step
	case queue < 3*step:
		v.current += step
	case queue > 6*step:
		v.current -= step
	}
	v.current = max(1, min(200, v.current))
}
