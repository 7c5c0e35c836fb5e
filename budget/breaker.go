package budget

import "time"

const (
	minBreakerCalls        = 5                      // minimum number of recent calls for the failure ratio and for Degraded
	breakerFailureRatio    = 0.5                    // fraction of recent calls that failed, above which the breaker opens
	maxConsecutiveFailures = 2 * minBreakerCalls    // consecutive failures, in any length of time, at which the breaker opens
	minOpenDuration        = 100 * time.Millisecond // doubles each time that the breaker opens again without having closed
	maxOpenDuration        = 500 * time.Millisecond
	minProbeTimeout        = 50 * time.Millisecond // minimum time after which another probe may be sent while one is in flight
	probesToClose          = 2                     // consecutive successful probes after which the breaker closes
	slowStartRatio         = 0.5                   // fraction of its former limit with which a recovered dependency starts
)

// BreakerState states whether calls are sent to a dependency.
type BreakerState int

// The states of a breaker.
const (
	Closed   BreakerState = iota // calls are sent
	Open                         // no calls are sent
	HalfOpen                     // one probe at a time is sent
)

// String returns the name that State and logs use.
func (b BreakerState) String() string { return [...]string{"closed", "open", "half-open"}[b] }

// updateBreaker updates the breaker and slow start after a call has ended.
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
		} else if d.slowStartTarget > 0 && outcome == Succeeded { // slow start: each success adds one slot
			if d.limit++; d.limit >= d.slowStartTarget {
				d.slowStartTarget = 0
			}
			d.clampLimit()
		}
	case Open: // the call was sent before the breaker opened and adds no information
	}
}

// openBreaker stops calls for a time that doubles with each consecutive opening, with jitter so that servers do not
// return to a recovering dependency all at once. The duration of a failed probe counts towards that time, up to half of
// it.
func (d *Dependency) openBreaker(now, probeTook time.Duration) {
	if d.breaker == Closed {
		d.slowStartTarget = d.limit
	}
	d.breaker, d.probeDeadline = Open, 0
	d.BreakerOpened++
	d.openUntil = now - min(probeTook, d.openDuration/2) + d.openDuration*3/4 + time.Duration(d.rng.Int63n(int64(d.openDuration/2)))
	d.openDuration = min(2*d.openDuration, maxOpenDuration)
}

// closeBreaker admits calls again, in a slow start. Counts from before are dropped, because they do not describe the
// recovered dependency.
func (d *Dependency) closeBreaker(now time.Duration) {
	d.breaker, d.consecutiveFailures, d.openDuration = Closed, 0, minOpenDuration
	d.recent = [bucketCount]callBucket{}
	d.limit = max(1, d.slowStartTarget*slowStartRatio)
	d.limitUpdatedAt = now
}
