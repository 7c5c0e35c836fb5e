package admission

const (
	// plannedShare is the maximum fraction that plans use of the memory, and of the calls that the dependency survives.
	plannedShare = 0.9
	// maxRunsAndReadsPerCore is the number of runs and reads per core at which no further run starts.
	maxRunsAndReadsPerCore = 1.2
)

// mayStart reports whether a queued request may start. It may not start while a trial blocks the queue, if it would
// exceed maxConcurrency or memoryKB, or while reads of requests take the cores. Beyond the in-flight limit it may still
// start if a core has no run and memory is below its soft limit: requests in flight that wait at calls leave cores
// idle.
func (c *Controller) mayStart(request *Request) bool {
	if c.trial.blocksQueue() {
		return false
	}
	count := c.inFlight()
	if count.total-count.awaitingCall+1 > c.maxConcurrency() {
		return false
	}
	if c.memoryUsedKB()+request.QueuedKB*(c.settings.RunningMemoryFactor-1) > c.memoryKB() {
		return false
	}
	// Reads share the cores with runs and take precedence: a request that is read late has little time left when it is
	// decided on. At most one read per core counts, which is below maxRunsAndReadsPerCore, so reads alone can't
	// block all starts.
	if count.onCores+c.runnableReads >= c.settings.Cores*maxRunsAndReadsPerCore {
		return false
	}
	return c.limit.allows(count.total) || count.onCores < c.settings.Cores && c.gauges.Memory < memorySoftLimit
}

// inFlightCount counts requests in flight.
type inFlightCount struct {
	total        float64
	onCores      float64
	awaitingCall float64 // those whose call may not be made yet
}

func (c *Controller) inFlight() (count inFlightCount) {
	for _, request := range c.active {
		if request.phase.inFlight() {
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

// memoryKB returns the upper bound on planned memory in KiB.
func (c *Controller) memoryKB() float64 { return c.settings.MemoryKB * plannedShare }

// memoryUsedKB returns the memory of requests queued and in flight and of idempotency keys in KiB. A duplicate that
// waits for its original takes as much as a queued request.
func (c *Controller) memoryUsedKB() float64 {
	kb := float64(len(c.keys)) * c.settings.KeyKB
	for _, request := range c.queue {
		kb += request.QueuedKB
	}
	for _, request := range c.active {
		if request.phase == awaitingOriginal {
			kb += request.QueuedKB
		} else {
			kb += request.QueuedKB * c.settings.RunningMemoryFactor
		}
	}
	return kb
}
