package server

import (
	"time"

	"quartzpoint/wallclock"
)

const maxTimestampMS = 1 << 43 // in Unix milliseconds, some centuries: a larger one might overflow a time.Duration

// clock is the clock of rounds, which never steps, and its offset to the system's wall clock, which may.
type clock struct {
	startedAt  time.Time
	epoch      time.Duration        // of startedAt, since the Unix epoch
	wallOffset func() time.Duration // returns how far the wall clock is ahead of the clock of rounds
	timestamps wallclock.Mapper
}

func newClock() clock {
	c := clock{startedAt: time.Now()}
	c.epoch = time.Duration(c.startedAt.UnixNano())
	startedAt, epoch := c.startedAt, c.epoch
	c.wallOffset = func() time.Duration {
		now := time.Now() // reads both clocks at once
		return time.Duration(now.UnixNano()) - epoch - now.Sub(startedAt)
	}
	c.timestamps.Observe(c.wallOffset())
	return c
}

// Now returns the time since the Unix epoch by the clock of rounds, which never steps. Any goroutine may call it.
func (s *Server) Now() time.Duration {
	return s.clock.epoch + time.Since(s.clock.startedAt)
}

// arrivalTime maps a timestamp of the system's wall clock, which may step, to the clock of rounds. A timestamp that is
// in the future or too old by every offset known between the two clocks is mapped to now.
func (s *Server) arrivalTime(unixMS int64, now time.Duration) time.Duration {
	return s.clock.timestamps.Arrival(time.Duration(unixMS)*time.Millisecond, now)
}

// PlausibleTimestamp reports whether a request's timestamp, in Unix milliseconds, is close enough to the wall clock to
// come from a clock that was stepped.
func (s *Server) PlausibleTimestamp(unixMS int64) bool {
	return unixMS >= 0 && unixMS < maxTimestampMS &&
		wallclock.Plausible(time.Duration(unixMS)*time.Millisecond, s.Now()+s.clock.wallOffset())
}
