package budget

import (
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	limitInterval     = time.Second // between adjustments of the limit
	limitBackoff      = 0.75        // factor on the limit after an interval with a backoff event
	initialLimitRatio = 0.5         // of Options.MaxInFlight
	maxRetryTokens    = 10.0        // retries and hedged requests that can be saved up
)

// Options configure a dependency.
type Options struct {
	Name        string
	MaxInFlight int // upper bound of the limit; cancelled calls that may still run there count
	QueueLimit  int // calls that may wait for a slot
	// CancelledTimeout is after how long a cancelled call is taken to have ended at the dependency if no end is reported.
	CancelledTimeout time.Duration
	RetryRatio       float64 // retry tokens that a successful first attempt earns
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. NotSent and Rejected prove that the call did not run; Lost leaves it open.
const (
	Succeeded Outcome = iota
	Failed
	Rejected // by the dependency, unseen: also a backoff event
	NotSent  // no connection took it
	Lost     // sent, and no response came
)

// Dependency holds what this server knows of one dependency: its concurrency limit, breaker, retry tokens and measured
// durations.
//
// The limit is additive-increase, multiplicative-decrease: each limitInterval it grows by one if a call found no slot, or
// is multiplied by limitBackoff after a backoff event. Invariants: 1 <= limit <= Options.MaxInFlight. A call holds its
// slot until it has ended or, once cancelled, until Options.CancelledTimeout has passed.
type Dependency struct {
	options Options
	rng     *rand.Rand

	limit           float64
	limitUpdatedAt  time.Duration
	backoffEvent    bool    // since the last update
	limitReached    bool    // since the last update a call found no slot
	slowStartTarget float64 // limit at which slow start ends; 0 while there is none
	inFlight        int
	cancelledUntil  []time.Duration // when cancelled calls that hold a slot are taken to have ended, ascending

	recent           [bucketCount]callBucket
	meanSeconds      float64                 // long-run mean duration of successful calls
	meanSamples      float64                 // weight of meanSeconds, in calls
	latencies        *hdrhistogram.Histogram // of successful calls in this window, in microseconds
	latenciesResetAt time.Duration
	hedgeDelay       time.Duration // 0 while unknown

	breaker             BreakerState
	openUntil           time.Duration
	openDuration        time.Duration // of the next time that it opens
	probeDeadline       time.Duration // until then no other probe is sent; 0 without one in flight
	probeSuccesses      int           // in a row
	consecutiveFailures int

	retryTokens float64
	queue       []queuedCall // by deadline

	// Counts since the start. ExtraAttempts are retry tokens taken, each for a retry or a hedged request; LateResponses ends of cancelled calls.
	FirstAttempts, ExtraAttempts, LateResponses, BreakerOpened int
}

// NewDependency returns a dependency of which nothing was measured yet. seed makes the breaker's jitter repeatable.
func NewDependency(options Options, seed int64) *Dependency {
	return &Dependency{
		options: options, rng: rand.New(rand.NewSource(seed)), limit: max(1, float64(options.MaxInFlight)*initialLimitRatio),
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits), openDuration: minOpenDuration,
	}
}

// Tick moves the limit and the breaker on to a moment. It must be called before anything else at that moment.
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

// slotsInUse counts calls in flight and cancelled ones that may still run.
func (d *Dependency) slotsInUse() int { return d.inFlight + len(d.cancelledUntil) }

func (d *Dependency) dropOldestCancelled() {
	d.cancelledUntil = d.cancelledUntil[:copy(d.cancelledUntil, d.cancelledUntil[1:])]
}

// Admit takes a slot for a call. Without one, broken tells whether that is the breaker's doing; else the limit is reached.
func (d *Dependency) Admit(now time.Duration) (admitted, broken bool) {
	d.Tick(now)
	switch {
	case d.breaker == Open, d.breaker == HalfOpen && now < d.probeDeadline:
		return false, true
	case d.slotsInUse() >= int(d.limit):
		d.limitReached = true
		return false, false
	}
	if d.breaker == HalfOpen {
		// A probe that hangs until its own timeout would keep the breaker of a recovered dependency open for that long. So
		// the next probe may follow after a few times the usual duration.
		d.probeDeadline = now + max(minProbeTimeout, time.Duration(slowFactor*d.meanSeconds*float64(time.Second)))
	}
	d.inFlight++
	return true, false
}

// TakeRetryToken spends a token for a retry or a hedged request, if there is one. Successful first attempts earn tokens.
// None is given while the dependency is degraded or its breaker is not closed: more attempts would multiply load just when
// it fails.
func (d *Dependency) TakeRetryToken(now time.Duration) bool {
	if d.retryTokens < 1 || d.breaker != Closed || d.Degraded(now) {
		return false
	}
	d.retryTokens--
	d.ExtraAttempts++
	return true
}

// CallEnded frees the slot of a call that was not cancelled. first tells a first attempt from a retry or hedged request.
func (d *Dependency) CallEnded(outcome Outcome, took time.Duration, first bool, now time.Duration) {
	d.inFlight--
	d.record(outcome, took, first, now)
}

// CallCancelled counts a call as cancelled after elapsed; timedOut tells whether it counts as lost, too. It holds its slot
// until CancelledCallEnded or for Options.CancelledTimeout: what the dependency still works on is part of its load.
func (d *Dependency) CallCancelled(elapsed time.Duration, timedOut bool, now time.Duration) {
	d.inFlight--
	d.cancelledUntil = append(d.cancelledUntil, now+d.options.CancelledTimeout) // one timeout for all keeps it ascending
	if timedOut {
		d.record(Lost, elapsed, false, now)
	} else {
		d.probeDeadline = 0
	}
}

// CancelledCallEnded frees the slot of a cancelled call that has ended. Its outcome is not measured.
func (d *Dependency) CancelledCallEnded(now time.Duration) {
	d.Tick(now)
	d.LateResponses++
	if len(d.cancelledUntil) > 0 {
		d.dropOldestCancelled()
	}
}
