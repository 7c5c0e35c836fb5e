package baseline

import (
	"math/rand"

	"quartzpoint/emulator"
)

const fixedRuns = 2.0 // a core: a common rule of thumb

// fixed lets a number run that was chosen beforehand.
type fixed struct {
	plain
	limit float64
}

func newFixed(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &fixed{limit: fixedRuns * m.Cores}
}

func (f *fixed) room() float64 { return f.limit }
