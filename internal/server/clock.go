package server

import (
	"time"

	"quartzpoint/wallclock"
)

const maxStampMS = 1 << 43 // Unix milliseconds, some centuries: as a time.Duration it must not overflow

// clock is the clock of rounds, which never steps, and its relation to the system's Unix clock, which may.
type clock struct {
	startedAt  time.Time
	epoch      time.Duration        // of startedAt, since the Unix epoch
	wallOffset func() time.Duration // how far the system's Unix clock is ahead of the clock of rounds
	stamps     wallclock.Mapper
}

func newClock() clock {
	c := clock{startedAt: time.Now()}
	c.epoch = time.Duration(c.startedAt.UnixNano())
	startedAt, epoch := c.startedAt, c.epoch
	c.wallOffset = func() time.Duration {
		now := time.Now() // one reading of both clocks
		return time.Duration(now.UnixNano()) - epoch - now.Sub(startedAt)
	}
	c.stamps.Observe(c.wallOffset())
	return c
}

// Now is the time since the Unix epoch by a clock that never steps. Any goroutine may call it.
func (s *Server) Now() time.Duration {
	return s.clock.epoch + time.Since(s.clock.startedAt)
}

// arrivalTime maps a stamp of the system's Unix clock, which may step, to the clock of rounds. A stamp in the future is taken
// as now.
func (s *Server) arrivalTime(unixMS int64, now time.Duration) time.Duration {
	return s.clock.stamps.Arrival(time.Duration(unixMS)*time.Millisecond, now)
}

// PlausibleStamp is whether a request's stamp, in Unix milliseconds, may come from a clock that was stepped.
func (s *Server) PlausibleStamp(unixMS int64) bool {
	return unixMS >= 0 && unixMS < maxStampMS &&
		wallclock.Plausible(time.Duration(unixMS)*time.Millisecond, s.Now()+s.clock.wallOffset())
}
