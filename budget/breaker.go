package budget

import "time"

const (
	minBreakerCalls        = 5   // recent calls from which the breaker judges by their failure ratio
	breakerFailureRatio    = 0.5 // of recent calls, over which the breaker opens
	maxConsecutiveFailures = 2 * minBreakerCalls
	minOpenDuration        = 100 * time.Millisecond // doubles each time in a row
	maxOpenDuration        = 500 * time.Millisecond
	minProbeTimeout        = 50 * time.Millisecond // after which another probe may be sent
	probesToClose          = 2                     // that must succeed in a row
	slowStartRatio         = 0.5                   // of its former limit that a recovered dependency starts with
)

// BreakerState says whether calls are sent to a dependency.
type BreakerState int

// The states of a breaker.
const (
	Closed   BreakerState = iota // calls are sent
	Open                         // none are sent
	HalfOpen                     // one probe at a time is sent
)

// String is the name that State and logs use.
func (b BreakerState) String() string { return [...]string{"closed", "open", "half-open"}[b] }

// updateBreaker moves the breaker and slow start by the outcome of a call.
func (d *Dependency) updateBreaker(outcome Outcome, took, now time.Duration) {
	switch d.breaker {
	case HalfOpen:
		d.probeDeadline = 0
		if outcome == Lost && took > minProbeTimeout && d.probeSuccesses > 0 {
			return // an older probe that timed out: newer ones have succeeded since
		}
		if outcome != Succeeded {
			d.openBreaker(now, took)
		} else if d.probeSuccesses++; d.probeSuccesses >= probesToClose {
			d.closeBreaker(now)
		}
	case Closed:
		recent := d.recentCalls(now)
		if recent.calls >= minBreakerCalls && recent.failed > breakerFailureRatio*recent.calls ||
			d.consecutiveFailures >= maxConsecutiveFailures {
			d.openBreaker(now, 0)
		} else if d.slowStartTarget > 0 && outcome == Succeeded { // slow start: one slot more for each success
			if d.limit++; d.limit >= d.slowStartTarget {
				d.slowStartTarget = 0
			}
			d.clampLimit()
		}
	case Open: // a call from before it opened: it says nothing new
	}
}

// openBreaker keeps calls away for a time that doubles each time in a row, with jitter, so that servers do not return
// to a recovering dependency together. The time that a failed probe took counts towards it.
func (d *Dependency) openBreaker(now, probeTook time.Duration) {
	if d.breaker == Closed {
		d.slowStartTarget = d.limit
	}
	d.breaker, d.probeDeadline = Open, 0
	d.BreakerOpened++
	d.openUntil = now - min(probeTook, d.openDuration/2) + d.openDuration*3/4 + time.Duration(d.rng.Int63n(int64(d.openDuration/2)))
	d.openDuration = min(2*d.openDuration, maxOpenDuration)
}

// closeBreaker lets calls through again, in a slow start. Counts from before it opened are dropped: they say nothing of
// the dependency as it is now.
func (d *Dependency) closeBreaker(now time.Duration) {
	d.breaker, d.consecutiveFailures, d.openDuration = Closed, 0, minOpenDuration
	d.recent = [bucketCount]callBucket{}
	d.limit = max(1, d.slowStartTarget*slowStartRatio)
	d.limitUpdatedAt = now
}
