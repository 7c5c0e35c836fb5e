package baseline

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/emulator"
)

const (
	codelTarget   = 20 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

// coDel rejects the first request of the queue once waits have been over a target for an interval, and rejects at an
// increasing rate while they stay over it (K. Nichols, V. Jacobson, "Controlling Queue Delay", 2012). It limits runs as
// fixed does.
type coDel struct {
	fixed
	firstAboveTime time.Duration // time at which the wait will have been over the target for an interval; 0 while it is below
	dropping       bool
	nextDrop       time.Duration
	count          int
}

func newCoDel(m emulator.Machine, _ []emulator.Route, _ *rand.Rand) limiter {
	return &coDel{fixed: fixed{runs: fixedRuns * m.Cores}}
}

func (c *coDel) shed(now, waited time.Duration) bool {
	if waited < codelTarget {
		c.firstAboveTime, c.dropping = 0, false
		return false
	}
	if c.firstAboveTime == 0 {
		c.firstAboveTime = now + codelInterval
		return false
	}
	if !c.dropping {
		if now < c.firstAboveTime {
			return false
		}
		c.dropping = true
		if c.count = max(c.count-2, 1); now > c.nextDrop+codelInterval*16 {
			c.count = 1
		}
		c.nextDrop = now + controlLaw(c.count)
		return true
	}
	if now < c.nextDrop {
		return false
	}
	c.count++
	c.nextDrop += controlLaw(c.count)
	return true
}

func controlLaw(count int) time.Duration {
	return time.Duration(float64(codelInterval) / math.Sqrt(float64(count)))
}
