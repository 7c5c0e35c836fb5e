package admission

import (
	"math"
	"time"
)

// The in-flight limit of docs/design.md: additive increase, multiplicative decrease. Once per calibrationPeriod it
// grows by one if there was no backoff event, and is multiplied by backoffFactor if there was one. A backoff event is a
// busy CPU, nearly full memory, or a route whose latency has risen. While the CPU is below raiseBelowCPU and requests
// are queued, the limit also grows by one every ticksPerLimitRaise ticks.

const (
	calibrationPeriod   = time.Second
	backoffFactor       = 0.75
	cpuSoftLimit        = 0.90 // fraction of the cores from which CPU use is a backoff event
	memorySoftLimit     = 0.75 // fraction of the memory from which memory use is a backoff event
	raiseBelowCPU       = 0.70 // fraction of the cores below which the limit also grows between calibrations
	latencyBackoffRatio = 1.5  // ratio of a route's recent mean latency to its long-term mean above which it is a backoff event
	minLatencySamples   = 5    // minimum number of ended runs in a recent mean
	latencyParts        = 4    // newest parts of recentRuns that a recent mean covers: two seconds

	// maxGaugesAge is the maximum age of gauges that calibration uses; older ones do not show the machine's current
	// state.
	maxGaugesAge = 4 * tickInterval

	maxInFlightPerCore = 6.0 // requests per core that the limit never exceeds
	ticksPerLimitRaise = 4   // ticks between raises while the CPU is below raiseBelowCPU
)

// Backoff is a kind of backoff event.
type Backoff int

// The causes of backoff events. BackoffNone stands for no event.
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

// String returns the kind as it is logged.
func (b Backoff) String() string { return backoffTexts[b] }

// LimitReduction is a reduction of the in-flight limit. It is for logs.
type LimitReduction struct {
	Cause    Backoff // first backoff event since the previous calibration
	From, To float64 // requests
}

// inFlightLimit bounds the number of requests in flight: those with a run that is on the cores, at a call or waiting to
// make one.
type inFlightLimit struct {
	value          float64         // requests
	minimum        float64         // requests; the number of cores
	backoff        Backoff         // first event since the last calibration
	reduction      *LimitReduction // latest one, until TakeLimitReduction returns it
	gaugesOutdated bool            // the gauges are older than maxGaugesAge
	calibratedAt   time.Duration
	busyRoutes     map[*routeStats]bool // routes whose runs ended recently: only their latency can have risen
}

// newInFlightLimit returns a limit at its minimum.
func newInFlightLimit(cores float64) inFlightLimit {
	return inFlightLimit{value: cores, minimum: cores, busyRoutes: map[*routeStats]bool{}}
}

// recordGauges records a backoff event by CPU or memory use.
func (l *inFlightLimit) recordGauges(g Gauges) {
	switch {
	case l.backoff != BackoffNone:
	case g.CPU >= cpuSoftLimit:
		l.backoff = BackoffCPU
	case g.Memory >= memorySoftLimit:
		l.backoff = BackoffMemory
	}
}

// recordLatencies records a backoff event by latency. The result does not depend on the order of the routes.
func (l *inFlightLimit) recordLatencies(now time.Duration) {
	for route := range l.busyRoutes {
		recent := runTotalsOf(route.recentRuns.recent(now, latencyParts))
		if recent.ended == 0 {
			delete(l.busyRoutes, route)
		} else if recent.ended >= minLatencySamples && recent.latency/recent.ended > latencyBackoffRatio*route.latency.mean && l.backoff == BackoffNone {
			l.backoff = BackoffLatency
		}
	}
}

// calibrationDue reports whether a calibration period is over.
func (l *inFlightLimit) calibrationDue(now time.Duration) bool {
	return now >= l.calibratedAt+calibrationPeriod
}

// calibrate moves the limit according to the backoff event recorded since the last calibration. While the gauges are
// outdated the limit does not grow, as they can't show that there was no backoff event.
func (l *inFlightLimit) calibrate(now time.Duration, maximum float64) {
	l.calibratedAt = now
	before, cause := l.value, l.backoff
	switch {
	case cause != BackoffNone:
		l.value *= backoffFactor
	case !l.gaugesOutdated:
		l.value++
	}
	l.backoff = BackoffNone
	l.value = max(min(l.value, maximum), l.minimum)
	if cause != BackoffNone && l.value < before {
		l.reduction = &LimitReduction{Cause: cause, From: before, To: l.value}
	}
}

// TakeLimitReduction returns the latest reduction of the in-flight limit since the last call, and nil if there was
// none.
func (c *Controller) TakeLimitReduction() *LimitReduction {
	reduction := c.limit.reduction
	c.limit.reduction = nil
	return reduction
}

// raise adds one to the limit between calibrations. If memory puts the maximum below the current value, the limit drops
// to the maximum, which may be below the minimum until the next calibration.
func (l *inFlightLimit) raise(maximum float64) { l.value = min(l.value+1, maximum) }

// allows reports whether one more request may be in flight.
func (l *inFlightLimit) allows(inFlight float64) bool { return inFlight < math.Floor(l.value) }

// calibrateLimit calibrates the limit once per calibrationPeriod, and raises it in between while cores are idle and
// requests are queued.
func (c *Controller) calibrateLimit(executor Executor) {
	switch {
	case c.limit.calibrationDue(c.now):
		c.limit.calibrate(c.now, c.maxLimit())
		c.tuneIdleTimeout(executor)
	case !c.limit.gaugesOutdated && c.gauges.CPU < raiseBelowCPU && len(c.queue) > 0 && c.ticks%ticksPerLimitRaise == 0:
		c.limit.raise(c.maxLimit())
	}
}

// maxLimit returns the upper bound of the limit: maxInFlightPerCore for each core, but at most the number of requests
// for which there is memory. Each is assumed to need as much as the requests in flight on average.
func (c *Controller) maxLimit() float64 {
	count, kb := 0.0, 0.0
	for _, request := range c.active {
		if request.phase.inFlight() {
			count++
			kb += request.QueuedKB * c.settings.RunningMemoryFactor
		}
	}
	maximum := maxInFlightPerCore * c.settings.Cores
	if count > 0 {
		maximum = min(maximum, (c.memoryKB()-c.memoryUsedKB()+kb)/(kb/count))
	}
	return maximum
}
