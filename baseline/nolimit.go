package baseline

import (
	"math"
	"math/rand"

	"quartzpoint/emulator"
)

// noLimit starts every request on arrival.
type noLimit struct{ noopLimiter }

func newNoLimit(emulator.Machine, []emulator.Route, *rand.Rand) limiter { return noLimit{} }

func (noLimit) limit() float64 { return math.Inf(1) }
