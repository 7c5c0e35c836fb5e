package budget

import (
	"math/rand"
	"time"

	"quartzpoint/saturate"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	limitInterval     = time.Second // time between adjustments of the limit
	limitBackoff      = 0.75        // factor on the limit after an interval with a backoff event, or while degraded
	initialLimitRatio = 0.5         // initial limit, as a fraction of Options.MaxInFlight
	maxRetryTokens    = 10.0        // maximum number of unused retry tokens
)

// Options configures a dependency.
type Options struct {
	Name        string
	MaxInFlight int // upper bound of the limit; cancelled calls that may still run at the dependency count
	QueueLimit  int // calls that may wait for a slot
	// CancelledTimeout is the time after which a cancelled call is assumed to have ended at the dependency, if its end
	// is not reported.
	CancelledTimeout time.Duration
	RetryRatio       float64 // retry tokens that a successful first attempt earns
}

// Outcome states how an attempt ended.
type Outcome int

// The outcomes. NotSent and Rejected prove that the call did not run; after Lost it may have run.
const (
	Succeeded Outcome = iota
	Failed
	Rejected // by the dependency, without running; also a backoff event
	NotSent  // no connection accepted it
	Lost     // sent, but no response arrived
)

// Dependency is the state of one dependency as this server observes it: its concurrency limit, breaker, retry tokens
// and measured durations.
//
// The limit follows additive increase, multiplicative decrease: every limitInterval it is multiplied by limitBackoff
// after a backoff event or while the dependency is degraded, or else grows by one if a call found no slot. Invariants:
// 1 <= limit <= Options.MaxInFlight. A call uses its slot until it has ended or, once cancelled, until
// Options.CancelledTimeout has passed.
type Dependency struct {
	options Options
	rng     *rand.Rand

	limit           float64
	limitUpdatedAt  time.Duration
	backoffEvent    bool    // since the last update
	limitReached    bool    // a call found no slot since the last update
	slowStartTarget float64 // limit at which slow start ends; 0 without slow start
	inFlight        int
	cancelledUntil  []time.Duration // when the slots of cancelled calls are freed at the latest, ascending

	recent           [bucketCount]callBucket
	meanSeconds      float64                 // long-run mean duration of successful calls
	meanSamples      float64                 // weight of meanSeconds, in calls
	latencies        *hdrhistogram.Histogram // of successful calls in this window, in microseconds
	latenciesResetAt time.Duration
	hedgeDelay       time.Duration // 0 while unknown

	breaker             BreakerState
	openUntil           time.Duration
	openDuration        time.Duration // of the next opening
	probeDeadline       time.Duration // until then no other probe is sent; 0 if none is in flight
	probeSuccesses      int           // consecutive
	consecutiveFailures int

	retryTokens float64
	queue       []queuedCall // sorted by deadline

	// Counts since the start. ExtraAttempts counts the retry tokens taken, each for a retry or a hedged request;
	// LateResponses counts the ends of cancelled calls.
	FirstAttempts, ExtraAttempts, LateResponses, BreakerOpened int
}

// NewDependency returns a dependency without measurements. seed makes the breaker's jitter repeatable.
func NewDependency(options Options, seed int64) *Dependency {
	return &Dependency{
		options: options, rng: rand.New(rand.NewSource(seed)), limit: max(1, float64(options.MaxInFlight)*initialLimitRatio),
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits), openDuration: minOpenDuration,
	}
}

// Tick updates the slots of cancelled calls, the breaker and the limit to the time now. It must be called before
// anything else at that time.
func (d *Dependency) Tick(now time.Duration) {
	for len(d.cancelledUntil) > 0 && d.cancelledUntil[0] <= now {
		d.dropOldestCancelled()
	}
	if d.breaker == Open && now >= d.openUntil {
		d.breaker, d.probeSuccesses, d.probeDeadline = HalfOpen, 0, 0
	}
	if d.limitUpdatedAt == 0 {
		d.limitUpdatedAt, d.latenciesResetAt = now, now
	}
	if now < d.limitUpdatedAt+limitInterval {
		return
	}
	d.limitUpdatedAt = now
	switch {
	case d.backoffEvent || d.Degraded(now):
		d.limit, d.slowStartTarget = d.limit*limitBackoff, 0
	case d.limitReached:
		d.limit++
	}
	d.backoffEvent, d.limitReached = false, false
	d.clampLimit()
	d.updateHedgeDelay(now)
}

func (d *Dependency) clampLimit() { d.limit = min(max(d.limit, 1), float64(d.options.MaxInFlight)) }

// slotsInUse returns the number of calls in flight and of cancelled ones that may still run.
func (d *Dependency) slotsInUse() int { return d.inFlight + len(d.cancelledUntil) }

func (d *Dependency) dropOldestCancelled() {
	d.cancelledUntil = d.cancelledUntil[:copy(d.cancelledUntil, d.cancelledUntil[1:])]
}

// Admit takes a slot for a call. If it does not admit the call, breakerOpen reports whether the breaker is the reason
// (open, or half-open with a probe in flight); otherwise the limit is reached.
func (d *Dependency) Admit(now time.Duration) (admitted, breakerOpen bool) {
	d.Tick(now)
	switch {
	case d.breaker == Open, d.breaker == HalfOpen && now < d.probeDeadline:
		return false, true
	case d.slotsInUse() >= int(d.limit):
		d.limitReached = true
		return false, false
	}
	if d.breaker == HalfOpen {
		// A probe that hangs until its timeout would keep the breaker of a recovered dependency from closing for that
		// long, so the next probe may be sent after a few times the usual duration.
		d.probeDeadline = now + max(minProbeTimeout, saturate.Seconds(slowFactor*d.meanSeconds))
	}
	d.inFlight++
	return true, false
}

// TakeRetryToken takes a token for a retry or a hedged request, and reports whether there was one. Successful first
// attempts earn tokens. None is available while the dependency is degraded or its breaker is not closed, because more
// attempts would multiply the load on a failing dependency.
func (d *Dependency) TakeRetryToken(now time.Duration) bool {
	if d.retryTokens < 1 || d.breaker != Closed || d.Degraded(now) {
		return false
	}
	d.retryTokens--
	d.ExtraAttempts++
	return true
}

// CallEnded frees the slot of a call that was not cancelled. first distinguishes a first attempt from a retry or hedged
// request.
func (d *Dependency) CallEnded(outcome Outcome, took time.Duration, first bool, now time.Duration) {
	d.inFlight--
	d.record(outcome, took, first, now)
}

// CallCancelled records that a call was cancelled after elapsed. If timedOut is set, the call also counts as lost. It
// keeps its slot until CancelledCallEnded or for Options.CancelledTimeout, because work that the dependency still does
// is part of its load.
func (d *Dependency) CallCancelled(elapsed time.Duration, timedOut bool, now time.Duration) {
	d.inFlight--
	d.cancelledUntil = append(d.cancelledUntil, now+d.options.CancelledTimeout) // ascending, because the timeout is the same for all
	if timedOut {
		d.record(Lost, elapsed, false, now)
	} else {
		d.probeDeadline = 0 // if the call was the probe, the next one may be sent
	}
}

// CancelledCallEnded records that a cancelled call has ended, and frees the slot of the one that was cancelled first,
// whichever has ended. The outcome is not measured.
func (d *Dependency) CancelledCallEnded(now time.Duration) {
	d.Tick(now)
	d.LateResponses++
	if len(d.cancelledUntil) > 0 {
		d.dropOldestCancelled()
	}
}
