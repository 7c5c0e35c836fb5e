package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

// vegas estimates the line by limit × (1 − least latency / latency) and keeps it between bounds that grow with the limit's
// logarithm, as TCP Vegas does (L. Brakmo, L. Peterson, 1995) and concurrency-limits describes it. The least is looked for
// anew now and then.
type vegas struct {
	plain
	rng     *rand.Rand
	limit   float64
	least   float64
	samples int
}

func newVegas(m emulator.Machine, _ []emulator.Route, rng *rand.Rand) limiter {
	return &vegas{rng: rng, limit: 20}
}

func (v *vegas) room() float64 { return math.Floor(v.limit) }

func (v *vegas) sample(_, took time.Duration, running int, failed bool) {
	now := took.Seconds()
	if v.samples++; float64(v.samples) > (0.5+v.rng.Float64()/2)*30*v.limit {
		v.samples, v.least = 0, now
	}
	if v.least == 0 || now < v.least {
		v.least = now
		return
	}
	if float64(running)*2 < v.limit && !failed {
		return
	}
	step := max(math.Log10(v.limit), 1)
	switch queue := v.limit * (1 - v.least/max(now, 1e-9)); {
	case failed:
		v.limit -= step
	case queue <= step:
		v.limit += 6 * step
	case queue < 3*step:
		v.limit += step
	case queue > 6*step:
		v.limit -= step
	}
	v.limit = max(1, min(200, v.limit))
}
