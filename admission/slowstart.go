package admission

import "time"

// concurrencyShare is the maximum concurrency, as a fraction of the concurrency that the server survives.
const concurrencyShare = 0.8

// slowStart is the speed of a server that is warming up after a cold start. The server is assumed to be as cold as the
// settings state.
type slowStart struct {
	startSpeed float64       // speed right after the start, as a fraction of the warm speed; 1 for a warm start
	duration   float64       // time until the warm speed, in nanoseconds
	since      time.Duration // start of the warm-up
}

func newSlowStart(settings Settings) slowStart {
	s := slowStart{startSpeed: 1, duration: float64(max(settings.WarmUp, 1))}
	if settings.Cold {
		s.startSpeed = settings.ColdSpeed
	}
	return s
}

// recordWorkersStart records a later start of the machine's workers; 0 means none was reported.
func (s *slowStart) recordWorkersStart(at time.Duration) { s.since = max(s.since, at) }

// speed returns the assumed speed at time now, as a fraction of the warm speed.
func (s *slowStart) speed(now time.Duration) float64 {
	return min(1, s.startSpeed+(1-s.startSpeed)*float64(now-s.since)/s.duration)
}

// speed returns the assumed current speed, as a fraction of the warm speed.
func (c *Controller) speed() float64 { return c.slowStart.speed(c.now) }

// maxConcurrency returns how many requests may be on the cores or at a call so that the server survives even if all
// calls return at once. A run whose call may not be made yet is not counted: it returns to the cores only through a
// call made within this bound.
func (c *Controller) maxConcurrency() float64 {
	return concurrencyShare * (1 + (c.settings.MaxRunsPerCore-1)*c.speed()) * c.settings.Cores
}
