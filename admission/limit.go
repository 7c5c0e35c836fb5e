package admission

import (
	"math"
	"time"
)

// The in-flight limit of docs/design.md: additive increase, multiplicative decrease. Once in calibrationPeriod it grows by
// one without a backoff event, and shrinks to backoffFactor of itself with one. A backoff event is a busy CPU, full memory, or
// a route whose latency has risen. While the CPU is under raiseBelowCPU and requests are queued, it also grows by one every
// ticksPerLimitRaise ticks.

const (
	calibrationPeriod   = time.Second
	backoffFactor       = 0.75
	cpuSoftLimit        = 0.90 // share of the cores from which on the CPU gauge is a backoff event
	memorySoftLimit     = 0.75 // share of the memory from which on the memory gauge is a backoff event
	raiseBelowCPU       = 0.70 // share of the cores under which the limit grows between calibrations
	latencyBackoffRatio = 1.5  // ratio of a route's recent mean latency to its long mean that is a backoff event
	minLatencySamples   = 5    // ended runs that a recent mean stands on
	latencyParts        = 4    // parts of recentRuns that are recent: two seconds

	// maxGaugesAge is the age of the gauges past which they show nothing of the machine as it is.
	maxGaugesAge = 4 * tickInterval

	maxInFlightPerCore = 6.0 // requests
	ticksPerLimitRaise = 4   // between raises while the CPU is under raiseBelowCPU
)

// Backoff is a kind of backoff event.
type Backoff int

// The kinds of backoff events.
const (
	BackoffNone Backoff = iota
	BackoffCPU
	BackoffMemory
	BackoffLatency
)

var backoffTexts = map[Backoff]string{
	BackoffNone: "none", BackoffCPU: "the cores are busy", BackoffMemory: "memory is nearly used up",
	BackoffLatency: "runs take longer than usual",
}

// String is the kind as logs have it.
func (b Backoff) String() string { return backoffTexts[b] }

// LimitReduction is a reduction of the in-flight limit, for logs.
type LimitReduction struct {
	Cause    Backoff // the first that was seen
	From, To float64 // requests
}

// inFlightLimit bounds the requests in flight: on the cores, at calls and waiting for them.
type inFlightLimit struct {
	value        float64 // requests
	minimum      float64 // requests; the core count
	backoff      Backoff // seen since the last calibration
	reduced      *LimitReduction
	blind        bool // the gauges are too old to show that there is none
	calibratedAt time.Duration
	busyRoutes   map[*routeStats]bool // whose runs ended lately: the only ones whose latency can have risen
}

// newInFlightLimit starts at the minimum.
func newInFlightLimit(cores float64) inFlightLimit {
	return inFlightLimit{value: cores, minimum: cores, busyRoutes: map[*routeStats]bool{}}
}

// noteGauges notes a backoff event by CPU or memory.
func (l *inFlightLimit) noteGauges(g Gauges) {
	switch {
	case l.backoff != BackoffNone:
	case g.CPU >= cpuSoftLimit:
		l.backoff = BackoffCPU
	case g.Memory >= memorySoftLimit:
		l.backoff = BackoffMemory
	}
}

// noteLatencies notes a backoff event by latency. The order of routes changes nothing.
func (l *inFlightLimit) noteLatencies(now time.Duration) {
	for route := range l.busyRoutes {
		recent := runTotalsOf(route.recentRuns.recent(now, latencyParts))
		if recent.ended == 0 {
			delete(l.busyRoutes, route)
		} else if recent.ended >= minLatencySamples && recent.latency/recent.ended > latencyBackoffRatio*route.latency.mean && l.backoff == BackoffNone {
			l.backoff = BackoffLatency
		}
	}
}

// calibrationDue is whether a calibration period is over.
func (l *inFlightLimit) calibrationDue(now time.Duration) bool {
	return now >= l.calibratedAt+calibrationPeriod
}

// calibrate moves the limit by what was noted since the last calibration. Without gauges nothing shows that no backoff event
// came, so that the limit does not grow.
func (l *inFlightLimit) calibrate(now time.Duration, maximum float64) {
	l.calibratedAt = now
	before, cause := l.value, l.backoff
	switch {
	case cause != BackoffNone:
		l.value *= backoffFactor
	case !l.blind:
		l.value++
	}
	l.backoff = BackoffNone
	l.value = max(min(l.value, maximum), l.minimum)
	if cause != BackoffNone && l.value < before {
		l.reduced = &LimitReduction{Cause: cause, From: before, To: l.value}
	}
}

// TakeLimitReduction is the reduction of the in-flight limit in the last round, nil where there was none.
func (c *Controller) TakeLimitReduction() *LimitReduction {
	reduced := c.limit.reduced
	c.limit.reduced = nil
	return reduced
}

// raise adds one to the limit between calibrations. Where memory puts the maximum under the present value it takes the
// maximum, which may be under the minimum until the next calibration.
func (l *inFlightLimit) raise(maximum float64) { l.value = min(l.value+1, maximum) }

// allows is whether one more request may be in flight.
func (l *inFlightLimit) allows(inFlight float64) bool { return inFlight < math.Floor(l.value) }

// calibrateLimit calibrates the limit once in calibrationPeriod, and raises it sooner while cores are idle and requests wait.
func (c *Controller) calibrateLimit(w Executor) {
	switch {
	case c.limit.calibrationDue(c.now):
		c.limit.calibrate(c.now, c.maxLimit())
		c.tuneIdleTimeout(w)
	case !c.limit.blind && c.gauges.CPU < raiseBelowCPU && len(c.queue) > 0 && c.ticks%ticksPerLimitRaise == 0:
		c.limit.raise(c.maxLimit())
	}
}

// maxLimit is the lower of a multiple of the cores and what memory allows at the mean size of what is in flight.
func (c *Controller) maxLimit() float64 {
	count, kb := 0.0, 0.0
	for _, request := range c.active {
		if request.phase.holdsRun() {
			count++
			kb += request.HeldKB * c.settings.RunningMemoryFactor
		}
	}
	maximum := maxInFlightPerCore * c.settings.Cores
	if count > 0 {
		maximum = min(maximum, (c.memoryKB()-c.memoryUsedKB()+kb)/(kb/count))
	}
	return maximum
}
