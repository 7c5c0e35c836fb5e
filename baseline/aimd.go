package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
	"quartzpoint/emulator"
)

// aimd is the plain adaptive limit that this project's mechanism comes from: one more each calibration period without a
// backoff event, three quarters with one; an event is memory over 75%, CPU over 90%, or latency over twice its mean.
type aimd struct {
	plain
	limit, least float64
	event        bool
	calibrated   time.Duration
	long, short  float64
}

const calibration = time.Second

func newAIMD(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &aimd{limit: m.Cores, least: m.Cores} // as here: less would leave cores idle
}

func (a *aimd) room() float64 { return math.Floor(a.limit) }

func (a *aimd) sample(_, took time.Duration, _ int, _ bool) {
	if a.long == 0 {
		a.long, a.short = took.Seconds(), took.Seconds()
	}
	a.long += (took.Seconds() - a.long) / 1000
	a.short += (took.Seconds() - a.short) / 20
	a.event = a.event || a.short > 2*a.long
}

func (a *aimd) gauges(now time.Duration, g admission.Gauges) {
	a.event = a.event || g.CPU > 0.9 || g.Memory > 0.75
	if now < a.calibrated+calibration {
		return
	}
	a.calibrated = now
	if a.event {
		a.limit = max(a.limit*0.75, a.least)
	} else {
		a.limit++
	}
	a.event = false
}
