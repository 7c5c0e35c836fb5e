package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
	"quartzpoint/emulator"
)

// aimd raises its limit by one each calibration period. After a period with a backoff event it lowers the limit to
// three quarters instead. Backoff events are: memory over 75%, CPU over 90%, and a short-term mean latency over twice
// the long-term mean.
type aimd struct {
	noopLimiter
	current, min        float64
	backoff             bool
	calibratedAt        time.Duration
	longMean, shortMean float64
}

const calibrationPeriod = time.Second

func newAIMD(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &aimd{current: m.Cores, min: m.Cores} // a lower limit would leave cores idle
}

func (a *aimd) limit() float64 { return math.Floor(a.current) }

func (a *aimd) recordRun(_, took time.Duration, _ int, _ bool) {
	if a.longMean == 0 {
		a.longMean, a.shortMean = took.Seconds(), took.Seconds()
	}
	a.longMean += (took.Seconds() - a.longMean) / 1000
	a.shortMean += (took.Seconds() - a.shortMean) / 20
	a.backoff = a.backoff || a.shortMean > 2*a.longMean
}

func (a *aimd) recordGauges(now time.Duration, g admission.Gauges) {
	a.backoff = a.backoff || g.CPU > 0.9 || g.Memory > 0.75
	if now < a.calibratedAt+calibrationPeriod {
		return
	}
	a.calibratedAt = now
	if a.backoff {
		a.current = max(a.current*0.75, a.min)
	} else {
		a.current++
	}
	a.backoff = false
}
