package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

// gradient2 moves the limit by the quotient of a long mean of latency and the latest, as the limit of that name in
// Netflix's concurrency-limits is described: queue of the limit's root, smoothing 0.2, gradient from 0.5 to 1, tolerance 1.5.
type gradient2 struct {
	plain
	limit, most float64
	long        float64
}

func newGradient2(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &gradient2{limit: 20, most: 200}
}

func (g *gradient2) room() float64 { return math.Floor(g.limit) }

func (g *gradient2) sample(_, took time.Duration, running int, failed bool) {
	if failed {
		return
	}
	short := took.Seconds()
	if g.long == 0 {
		g.long = short
	}
	g.long += (short - g.long) * 2 / 601
	if g.long/max(short, 1e-9) > 2 { // after a spell of load the long one is brought down
		g.long *= 0.95
	}
	if float64(running) < g.limit/2 {
		return
	}
	gradient := max(0.5, min(1, 1.5*g.long/max(short, 1e-9)))
	next := g.limit*gradient + math.Sqrt(g.limit)
	g.limit = max(1, min(g.most, g.limit*0.8+next*0.2))
}
