package budget

import (
	"time"

	"quartzpoint/saturate"
)

const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = 8 // buckets: recent calls are those of the last two seconds

	degradedFactor    = 1.5   // ratio of recent to long-run mean duration above which a dependency is degraded
	slowFactor        = 4.0   // multiple of the long-run mean duration above which a call is slow
	maxUnhealthyRatio = 0.2   // fraction of recent calls, slow or failed, above which a dependency is degraded
	priorSamples      = 4.0   // weight, in calls, of the assumptions used until calls are measured
	maxMeanSamples    = 200.0 // maximum weight of the long-run mean, in calls

	maxLatencyMicros = int64(60 * time.Second / time.Microsecond) // maximum of recorded latencies; longer ones are recorded as this
	latencyDigits    = 2                                          // significant decimal digits of recorded latencies
	latencyWindow    = time.Minute                                // time after which recorded latencies are reset

	hedgePercentile = 95.0 // percentile of latencies after which a hedged request is sent
	minHedgeSamples = 20   // minimum number of latencies for which the percentile is used
)

// callBucket counts the calls that ended in one interval of bucketWidth, and adds up their durations in seconds.
type callBucket struct {
	index                        int64 // number of intervals since the clock's origin
	calls, failed, slow, seconds float64
}

// currentBucket returns the bucket for a time. It is reset if it contains counts of an earlier interval.
func (d *Dependency) currentBucket(now time.Duration) *callBucket {
	index := int64(now / bucketWidth)
	b := &d.recent[index%bucketCount]
	if b.index != index {
		*b = callBucket{index: index}
	}
	return b
}

// recentCalls returns the sum of the buckets of the last bucketCount intervals.
func (d *Dependency) recentCalls(now time.Duration) (sum callBucket) {
	newest := int64(now / bucketWidth)
	for _, b := range d.recent {
		if b.index > newest-bucketCount && b.index <= newest {
			sum.calls, sum.failed = sum.calls+b.calls, sum.failed+b.failed
			sum.slow, sum.seconds = sum.slow+b.slow, sum.seconds+b.seconds
		}
	}
	return sum
}

// Degraded reports whether recent calls take much longer than usual, or too many of them were slow or failed. The
// threshold of the duration is higher for few calls, whose mean is less reliable.
func (d *Dependency) Degraded(now time.Duration) bool {
	recent := d.recentCalls(now)
	if recent.calls < minBreakerCalls {
		return false
	}
	factor := degradedFactor * (1 + priorSamples/recent.calls)
	return recent.failed+recent.slow > maxUnhealthyRatio*recent.calls && recent.failed+recent.slow > 1 ||
		d.meanSamples > 0 && recent.seconds/recent.calls > factor*d.meanSeconds
}

// ExpectedDuration returns the expected duration of a call: the measured mean, weighted with the configured duration
// while few calls were measured.
func (d *Dependency) ExpectedDuration(configured time.Duration) time.Duration {
	prior := priorSamples
	return saturate.Seconds((d.meanSeconds*d.meanSamples + configured.Seconds()*prior) / (d.meanSamples + prior))
}

// record counts a call that has ended, and updates the breaker and slow start.
func (d *Dependency) record(outcome Outcome, took time.Duration, first bool, now time.Duration) {
	b := d.currentBucket(now)
	b.calls++
	b.seconds += took.Seconds()
	if outcome == Succeeded {
		if d.meanSamples >= priorSamples && took.Seconds() > slowFactor*d.meanSeconds {
			b.slow++
		}
		d.meanSamples = min(d.meanSamples+1, maxMeanSamples)
		d.meanSeconds += (took.Seconds() - d.meanSeconds) / d.meanSamples
		_ = d.latencies.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros)) // fails only for values out of range
		if first {
			d.retryTokens = min(d.retryTokens+d.options.RetryRatio, maxRetryTokens)
		}
		d.consecutiveFailures = 0
	} else {
		b.failed++
		d.consecutiveFailures++
		if outcome == Rejected {
			d.backoffEvent = true
		}
	}
	d.updateBreaker(outcome, took, now)
}

// updateHedgeDelay sets the hedge delay to the latency percentile, and starts a new window after latencyWindow.
func (d *Dependency) updateHedgeDelay(now time.Duration) {
	if d.latencies.TotalCount() >= minHedgeSamples {
		d.hedgeDelay = time.Duration(d.latencies.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	}
	if now >= d.latenciesResetAt+latencyWindow {
		d.latenciesResetAt = now
		d.latencies.Reset()
	}
}
