package budget

import (
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	limitInterval       = time.Second // between calibrations of the limit
	limitBackoff        = 0.75        // what a backoff event leaves of it
	initialLimitRatio   = 0.5         // part of the share that the limit starts with
	degradedFactor      = 1.5         // recent mean of call times over the long one
	priorSamples        = 4.0         // calls that are half believed
	slowFactor          = 4.0         // a call of so many times the long mean is slow
	maxUnhealthyRatio   = 0.2         // part of calls that may be slow, or fail, without a backoff event
	maxMeanSamples      = 200.0       // calls that the long mean looks back over
	bucketWidth         = 250 * time.Millisecond
	bucketCount         = 8   // two seconds
	minBreakerCalls     = 5   // calls in the span before the breaker judges by their share
	breakerFailureRatio = 0.5 // part of them that fail
	minOpenDuration     = 100 * time.Millisecond
	maxOpenDuration     = 500 * time.Millisecond
	minProbeTimeout     = 50 * time.Millisecond
	probesToClose       = 2    // that must end well, one after the other, before the breaker closes
	slowStartRatio      = 0.5  // part of the limit that a dependency starts with once it is back
	maxRetryTokens      = 10.0 // second attempts that can be saved up
	hedgePercentile     = 95.0 // percentile of call times after which a second attempt is made beside the first
	minHedgeSamples     = 20   // calls seen before that is known
	maxLatencyMicros    = int64(60 * time.Second / time.Microsecond)
)

// Options are what is stated of a dependency.
type Options struct {
	Name             string
	MaxInFlight      int           // calls that it survives of this server, abandoned ones included
	QueueLimit       int           // calls that may wait for room
	CancelledTimeout time.Duration // after which a call that nobody waits for is taken to have ended
	RetryRatio       float64       // second attempts for each first one that went well
}

// BreakerState is whether calls go to a dependency at all.
type BreakerState int

// The states. Half-open lets one probe at a time through.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

func (b BreakerState) String() string { return [...]string{"closed", "open", "half-open"}[b] }

// Outcome is how a call ended.
type Outcome int

// The outcomes. NotSent and Refused prove that nothing ran; Lost leaves it open.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	NotSent
	Lost
)

type callBucket struct {
	index                        int64
	calls, failed, slow, seconds float64
}

// Dependency is what this server knows of one, and the room it gives to calls. The limit is the project's own
// mechanism: +1 a period without a backoff event, ×0.75 with one. Every call takes a slot until it has ended or
// lingered out, whether or not anybody waits for it.
type Dependency struct {
	options Options
	rng     *rand.Rand

	limit           float64
	limitUpdatedAt  time.Duration
	backoffEvent    bool
	limitReached    bool    // a call had to wait since the last calibration
	slowStartTarget float64 // of a slow start; 0 without one
	inFlight        int
	cancelledUntil  []time.Duration // ends of slots that abandoned calls still take, in order

	recent           [bucketCount]callBucket
	meanSeconds      float64 // seconds of a call that went well, over a long span
	meanSamples      float64
	latencies        *hdrhistogram.Histogram // microseconds, of this span of a minute
	latenciesResetAt time.Duration
	hedgeDelay       time.Duration // as measured at the last calibration; 0 while not known

	breaker             BreakerState
	openUntil           time.Duration // end of open
	openDuration        time.Duration
	probeDeadline       time.Duration // until when a probe is waited for before the next; 0 without one
	probeSuccesses      int           // probes in a row
	consecutiveFailures int           // failures

	retryTokens float64

	FirstAttempts, ExtraAttempts, LateResponses, BreakerOpened int // counted since the start
	queue                                                      []queuedCall
}

// NewDependency starts with nothing known.
func NewDependency(options Options, seed int64) *Dependency {
	return &Dependency{
		options: options, rng: rand.New(rand.NewSource(seed)), limit: max(1, float64(options.MaxInFlight)*initialLimitRatio),
		latencies: hdrhistogram.New(1, maxLatencyMicros, 2), openDuration: minOpenDuration,
	}
}

func (d *Dependency) currentBucket(now time.Duration) *callBucket {
	slot := int64(now / bucketWidth)
	b := &d.recent[slot%bucketCount]
	if b.index != slot {
		*b = callBucket{index: slot}
	}
	return b
}

func (d *Dependency) recentCalls(now time.Duration) (s callBucket) {
	newest := int64(now / bucketWidth)
	for _, b := range d.recent {
		if b.index > newest-bucketCount && b.index <= newest {
			s.calls, s.failed, s.slow, s.seconds = s.calls+b.calls, s.failed+b.failed, s.slow+b.slow, s.seconds+b.seconds
		}
	}
	return s
}

// Tick moves limit and breaker on; it is called before anything else at a moment.
func (d *Dependency) Tick(now time.Duration) {
	for len(d.cancelledUntil) > 0 && d.cancelledUntil[0] <= now {
		d.cancelledUntil = d.cancelledUntil[:copy(d.cancelledUntil, d.cancelledUntil[1:])]
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
	if d.latencies.TotalCount() >= minHedgeSamples {
		d.hedgeDelay = time.Duration(d.latencies.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	}
	if now >= d.latenciesResetAt+time.Minute {
		d.latenciesResetAt = now
		d.latencies.Reset()
	}
}

func (d *Dependency) clampLimit() { d.limit = min(max(d.limit, 1), float64(d.options.MaxInFlight)) }

// Degraded tells whether calls take much longer than usual, or many come back undone.
func (d *Dependency) Degraded(now time.Duration) bool {
	s := d.recentCalls(now)
	if s.calls < minBreakerCalls {
		return false
	}
	margin := degradedFactor * (1 + priorSamples/s.calls)
	return s.failed+s.slow > maxUnhealthyRatio*s.calls && s.failed+s.slow > 1 || d.meanSamples > 0 && s.seconds/s.calls > margin*d.meanSeconds
}

// slotsInUse are the slots in use.
func (d *Dependency) slotsInUse() int { return d.inFlight + len(d.cancelledUntil) }

// Admit takes a slot for a call, or tells that there is none, or that the breaker lets nothing through.
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
		// One that hangs must not keep a dependency that is back from being seen to be: its time-out may be long.
		d.probeDeadline = now + max(minProbeTimeout, time.Duration(slowFactor*d.meanSeconds*float64(time.Second)))
	}
	d.inFlight++
	return true, false
}

// TakeRetryToken tells whether a second attempt may be made, and spends it: earned by first ones that went well, and
// never while the dependency is degraded, when it would only feed what is wrong.
func (d *Dependency) TakeRetryToken(now time.Duration) bool {
	if d.retryTokens < 1 || d.breaker != Closed || d.Degraded(now) {
		return false
	}
	d.retryTokens--
	d.ExtraAttempts++
	return true
}

// CallEnded gives back the slot of a call that somebody waited for.
func (d *Dependency) CallEnded(how Outcome, took time.Duration, first bool, now time.Duration) {
	d.inFlight--
	d.record(how, took, first, now)
}

// CallCancelled books that nobody waits for a call any more. It takes its slot until it is told to have ended or has
// lingered out: what the dependency still works on is part of its load.
func (d *Dependency) CallCancelled(waited time.Duration, failed bool, now time.Duration) {
	d.inFlight--
	d.cancelledUntil = append(d.cancelledUntil, now+d.options.CancelledTimeout) // the same for all, so it stays in order
	if failed {
		d.record(Lost, waited, false, now)
	} else {
		d.probeDeadline = 0
	}
}

// CancelledCallEnded gives back the slot of an abandoned call that has ended after all. Nothing else follows from it.
func (d *Dependency) CancelledCallEnded(now time.Duration) {
	d.Tick(now)
	d.LateResponses++
	if len(d.cancelledUntil) > 0 {
		d.cancelledUntil = d.cancelledUntil[:copy(d.cancelledUntil, d.cancelledUntil[1:])]
	}
}

func (d *Dependency) record(how Outcome, took time.Duration, first bool, now time.Duration) {
	b := d.currentBucket(now)
	b.calls++
	b.seconds += took.Seconds()
	if how == Succeeded {
		if d.meanSamples >= priorSamples && took.Seconds() > slowFactor*d.meanSeconds {
			b.slow++
		}
		d.meanSamples = min(d.meanSamples+1, maxMeanSamples)
		d.meanSeconds += (took.Seconds() - d.meanSeconds) / d.meanSamples
		_ = d.latencies.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros)) // in range
		if first {
			d.retryTokens = min(d.retryTokens+d.options.RetryRatio, maxRetryTokens)
		}
		d.consecutiveFailures = 0
	} else {
		b.failed++
		d.consecutiveFailures++
		if how == Rejected {
			d.backoffEvent = true
		}
	}
	switch d.breaker {
	case HalfOpen:
		d.probeDeadline = 0
		if how == Lost && took > minProbeTimeout && d.probeSuccesses > 0 {
			break // a probe from before those that went well since
		}
		if how != Succeeded {
			d.openBreaker(now, took)
		} else if d.probeSuccesses++; d.probeSuccesses >= probesToClose {
			d.closeBreaker(now)
		}
	case Closed:
		s := d.recentCalls(now)
		if s.calls >= minBreakerCalls && s.failed > breakerFailureRatio*s.calls || d.consecutiveFailures >= 2*minBreakerCalls {
			d.openBreaker(now, 0)
		} else if d.slowStartTarget > 0 && how == Succeeded { // slow start: as fast as calls end well
			if d.limit++; d.limit >= d.slowStartTarget {
				d.slowStartTarget = 0
			}
			d.clampLimit()
		}
	}
}

// openBreaker keeps calls away for a while that grows with each time in a row, with jitter, so that servers do not come
// back together. The time for which a probe was waited for is part of the while.
func (d *Dependency) openBreaker(now, waited time.Duration) {
	if d.breaker == Closed {
		d.slowStartTarget = d.limit
	}
	d.breaker, d.probeDeadline = Open, 0
	d.BreakerOpened++
	d.openUntil = now - min(waited, d.openDuration/2) + d.openDuration*3/4 + time.Duration(d.rng.Int63n(int64(d.openDuration/2)))
	d.openDuration = min(2*d.openDuration, maxOpenDuration)
}

func (d *Dependency) closeBreaker(now time.Duration) {
	d.breaker, d.consecutiveFailures, d.openDuration = Closed, 0, minOpenDuration
	d.recent = [bucketCount]callBucket{} // what broke it is no sign of how it is now
	d.limit = max(1, d.slowStartTarget*slowStartRatio)
	d.limitUpdatedAt = now
}

// ExpectedDuration is how long a call takes, as seen, or as stated while little was.
func (d *Dependency) ExpectedDuration(stated time.Duration) time.Duration {
	trust := priorSamples
	return time.Duration((d.meanSeconds*d.meanSamples + stated.Seconds()*trust) / (d.meanSamples + trust) * float64(time.Second))
}

// State is what operators see of a dependency.
type State struct {
	Name              string     `json:"name"`
	Limit             float64    `json:"limit"`
	MaxInFlight       int        `json:"share"`
	InFlight          int        `json:"in_flight"`
	CancelledInFlight int        `json:"lingering"`
	Queued            int        `json:"waiting"`
	Breaker           string     `json:"breaker"`
	Degraded          bool       `json:"degraded"`
	FirstAttempts     int        `json:"first_attempts"`
	ExtraAttempts     int        `json:"second_attempts"`
	RetryTokens       float64    `json:"second_attempts_earned"`
	LateResponses     int        `json:"late_answers"`
	BreakerOpened     int        `json:"breaker_opened"`
	QuantilesInMillis [3]float64 `json:"p50_p95_p99_ms"`
}

// State tells how the dependency stands.
func (d *Dependency) State(now time.Duration) State {
	s := State{
		Name: d.options.Name, Limit: d.limit, MaxInFlight: d.options.MaxInFlight, InFlight: d.inFlight, CancelledInFlight: len(d.cancelledUntil),
		Queued: len(d.queue), Breaker: d.breaker.String(), Degraded: d.Degraded(now), FirstAttempts: d.FirstAttempts,
		ExtraAttempts: d.ExtraAttempts, RetryTokens: d.retryTokens, LateResponses: d.LateResponses, BreakerOpened: d.BreakerOpened,
	}
	for i, q := range []float64{50, 95, 99} {
		s.QuantilesInMillis[i] = float64(d.latencies.ValueAtPercentile(q)) / 1000
	}
	return s
}
