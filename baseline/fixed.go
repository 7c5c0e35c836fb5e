package baseline

import (
	"math/rand"

	"quartzpoint/emulator"
)

const fixedRuns = 2.0 // per core, a common rule of thumb

// fixed has a constant limit.
type fixed struct {
	noopLimiter
	runs float64
}

func newFixed(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &fixed{runs: fixedRuns * m.Cores}
}

func (f *fixed) limit() float64 { return f.runs }
