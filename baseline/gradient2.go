package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

// gradient2 multiplies its limit by the quotient of the long-term mean latency and the latest latency. It follows the
// description of the Gradient2 limit in Netflix's concurrency-limits: queue size is the square root of the limit,
// smoothing 0.2, gradient from 0.5 to 1, tolerance 1.5.
type gradient2 struct {
	noopLimiter
	current, max float64
	longMean     float64
}

func newGradient2(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &gradient2{current: 20, max: 200}
}

func (g *gradient2) limit() float64 { return math.Floor(g.current) }

func (g *gradient2) recordRun(_, took time.Duration, running int, failed bool) {
	if failed {
		return
	}
	latency := took.Seconds()
	if g.longMean == 0 {
		g.longMean = latency
	}
	g.longMean += (latency - g.longMean) * 2 / 601
	if g.longMean/max(latency, 1e-9) > 2 { // makes the long-term mean fall faster after an overload
		g.longMean *= 0.95
	}
	if float64(running) < g.current/2 {
		return
	}
	gradient := max(0.5, min(1, 1.5*g.longMean/max(latency, 1e-9)))
	next := g.current*gradient + math.Sqrt(g.current)
	g.current = max(1, min(g.max, g.current*0.8+next*0.2))
}
