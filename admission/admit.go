package admission

const (
	// plannedShare is the part of the memory, or of the calls that the dependency survives, that is ever planned for.
	plannedShare = 0.9
	// maxRunsAndReadsPerCore is the number of runs and reads per core at which no further run starts.
	maxRunsAndReadsPerCore = 1.2
)

// mayStart is whether a queued request may start: behind a trial that holds the queue, within the concurrency that the server survives, with memory for its run,
// behind the reading of requests, and under the in-flight limit. Beyond the limit it may still start where a core has no run
// on it: requests in flight that wait at calls leave cores idle.
func (c *Controller) mayStart(request *Request) bool {
	if c.trial.holds() {
		return false
	}
	count := c.inFlight()
	if count.total-count.awaitingCall+1 > c.maxConcurrency() {
		return false
	}
	if c.memoryUsedKB()+request.HeldKB*(c.settings.RunningMemoryFactor-1) > c.memoryKB() {
		return false
	}
	// Reads share the cores with runs. A request that is read late is old before anything is decided on it, so reads go first;
	// at most one per core is on at a time, so some runs always go on.
	if count.onCores+c.otherRunnable >= c.settings.Cores*maxRunsAndReadsPerCore {
		return false
	}
	return c.limit.allows(count.total) || count.onCores < c.settings.Cores && c.gauges.Memory < memorySoftLimit
}

// inFlightCount counts requests in flight.
type inFlightCount struct {
	total        float64
	onCores      float64
	awaitingCall float64 // whose call may not be made yet
}

func (c *Controller) inFlight() (count inFlightCount) {
	for _, request := range c.active {
		if request.phase.holdsRun() {
			count.total++
		}
		if request.phase.onCores() {
			count.onCores++
		}
		if request.phase == awaitingCall {
			count.awaitingCall++
		}
	}
	return count
}

// memoryKB is the memory that is ever planned for, in KiB.
func (c *Controller) memoryKB() float64 { return c.settings.MemoryKB * plannedShare }

// memoryUsedKB is the memory of what is queued, in flight and kept for idempotency keys, in KiB.
func (c *Controller) memoryUsedKB() float64 {
	kb := float64(len(c.keyed)) * c.settings.KeyKB
	for _, request := range c.queue {
		kb += request.HeldKB
	}
	for _, request := range c.active {
		if request.phase == awaitingOriginal {
			kb += request.HeldKB
		} else {
			kb += request.HeldKB * c.settings.RunningMemoryFactor
		}
	}
	return kb
}
