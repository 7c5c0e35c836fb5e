package admission

import "time"

// concurrencyShare is the part of the concurrency that the server survives that is ever used.
const concurrencyShare = 0.8

// slowStart is the speed of a server that warms up after a cold start. It is taken to be as cold as the settings state.
type slowStart struct {
	startSpeed float64 // right after the start, as a share of the warm speed; 1 for a warm start
	duration   float64 // until the warm speed, in nanoseconds
	since      time.Duration
}

func newSlowStart(settings Settings) slowStart {
	s := slowStart{startSpeed: 1, duration: float64(max(settings.WarmUp, 1))}
	if settings.Cold {
		s.startSpeed = settings.ColdSpeed
	}
	return s
}

// workersStarted notes that the machine's workers started later than was known; 0 is for nothing to note.
func (s *slowStart) workersStarted(at time.Duration) { s.since = max(s.since, at) }

// speed is the share of the warm speed that the server is taken to have.
func (s *slowStart) speed(now time.Duration) float64 {
	return min(1, s.startSpeed+(1-s.startSpeed)*float64(now-s.since)/s.duration)
}

// speed is the share of its warm speed that the server is taken to have now.
func (c *Controller) speed() float64 { return c.slowStart.speed(c.now) }

// maxConcurrency is how many requests may be on the cores or at a call, so that the server survives even if all calls return
// at once. A run whose call may not be made yet returns only by a call placed within this bound, and is not counted.
func (c *Controller) maxConcurrency() float64 {
	return concurrencyShare * (1 + (c.settings.MaxRunnablePerCore-1)*c.speed()) * c.settings.Cores
}
