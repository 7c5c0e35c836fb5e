package budget

import "time"

const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = 8 // of bucketWidth: calls are judged over two seconds

	degradedFactor    = 1.5   // recent mean duration over the long-run one from which a dependency is degraded
	slowFactor        = 4.0   // times the long-run mean duration from which a call is slow
	maxUnhealthyRatio = 0.2   // of recent calls, slow and failed together
	priorSamples      = 4.0   // weight, in calls, of what is assumed before anything was measured
	maxMeanSamples    = 200.0 // calls that the long-run mean looks back over

	maxLatencyMicros = int64(60 * time.Second / time.Microsecond) // longer calls are recorded as this
	latencyDigits    = 2                                          // significant decimal digits of recorded latencies
	latencyWindow    = time.Minute                                // after which latencies are recorded anew

	hedgePercentile = 95.0 // of latencies, after which a hedged request is sent
	minHedgeSamples = 20   // latencies from which the percentile is used
)

// callBucket counts the calls that ended in one bucketWidth of time.
type callBucket struct {
	index                        int64 // bucketWidths since the clock's origin
	calls, failed, slow, seconds float64
}

// currentBucket is that of a moment, emptied if it still holds counts of an earlier round.
func (d *Dependency) currentBucket(now time.Duration) *callBucket {
	index := int64(now / bucketWidth)
	b := &d.recent[index%bucketCount]
	if b.index != index {
		*b = callBucket{index: index}
	}
	return b
}

// recentCalls sums the buckets that are not too old.
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

// Degraded reports whether recent calls take much longer than usual, or too many of them are slow or failed. The factor
// is wider for few calls, whose mean says little.
func (d *Dependency) Degraded(now time.Duration) bool {
	recent := d.recentCalls(now)
	if recent.calls < minBreakerCalls {
		return false
	}
	factor := degradedFactor * (1 + priorSamples/recent.calls)
	return recent.failed+recent.slow > maxUnhealthyRatio*recent.calls && recent.failed+recent.slow > 1 ||
		d.meanSamples > 0 && recent.seconds/recent.calls > factor*d.meanSeconds
}

// ExpectedDuration is how long a call takes: the measured mean, weighted with the configured duration while few calls
// were measured.
func (d *Dependency) ExpectedDuration(configured time.Duration) time.Duration {
	prior := priorSamples
	return time.Duration((d.meanSeconds*d.meanSamples + configured.Seconds()*prior) / (d.meanSamples + prior) * float64(time.Second))
}

// record counts an ended call, and moves the breaker and slow start by it.
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
		_ = d.latencies.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros)) // fails only out of its range
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

// updateHedgeDelay takes the latency percentile over, and begins a new window after a while.
func (d *Dependency) updateHedgeDelay(now time.Duration) {
	if d.latencies.TotalCount() >= minHedgeSamples {
		d.hedgeDelay = time.Duration(d.latencies.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	}
	if now >= d.latenciesResetAt+latencyWindow {
		d.latenciesResetAt = now
		d.latencies.Reset()
	}
}
