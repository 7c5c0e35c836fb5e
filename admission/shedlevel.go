package admission

import (
	"math"
	"time"
)

// The shed level asks callers to keep requests back: those whose rank is under it, or a share of all. It rises with the share
// of work that is shed, or that lies unread, and falls once little is.

const (
	shedLevelRise     = 0.05 // by which it rises in a move when all is shed
	shedLevelFall     = 0.02 // by which it falls in a move
	tolerableShed     = 0.05 // share of the work that may be shed without a rise
	maxShedLevel      = 0.95 // requests of the highest rank are never kept away altogether
	unreadWeight      = 3.0  // share of the work shed that one latency target spent unread counts for
	smallSample       = 4.0  // samples that are believed by half
	shedWindow        = time.Second
	shedWindowParts   = 10
	shedLevelDecimals = 100 // answers carry hundredths
)

// shedLevel is the level and what moves it.
type shedLevel struct {
	level      float64 // from 0 to maxShedLevel
	advertised float64 // the value that answers carry, in the format of the settings
	work       *slidingSums
	unread     *slidingSums
}

func newShedLevel() shedLevel {
	return shedLevel{
		work:   newSlidingSums(shedWindow, shedWindowParts),
		unread: newSlidingSums(shedWindow, shedWindowParts),
	}
}

// addRead counts a request that was read, and the part of its latency target for which it lay unread: one at most, so that a
// request that claims to be old does not pass for a backlog of many.
func (s *shedLevel) addRead(now time.Duration, request *Request) {
	s.unread.add(now, 1, min(1, float64(now-request.Arrived)/float64(request.Route.LatencyTarget)))
}

// addOffered counts work of a request that was read at a rank over the level.
func (s *shedLevel) addOffered(now, work time.Duration) { s.work.add(now, work.Seconds()) }

// addShed counts work of such a request that was shed.
func (s *shedLevel) addShed(now, work time.Duration) { s.work.add(now, 0, work.Seconds()) }

// move moves the level by what was shed in the window.
func (s *shedLevel) move(now time.Duration, cpu float64) {
	work, unread := s.work.sum(now), s.unread.sum(now)
	offered, shed := work[0], work[1]
	read, unreadTargets := unread[0], unread[1]
	short := min(1, max(shed/max(offered, 1e-9), unreadWeight*unreadTargets/max(read, 1)))
	// A small server reads few requests in the window: one shed of two is no sign that half are too many.
	short *= read / (read + smallSample)
	change := shedLevelRise * (short*short - tolerableShed*tolerableShed)
	if change < 0 || cpu < cpuSoftLimit {
		change = -shedLevelFall
	}
	s.level = min(max(s.level+change, 0), maxShedLevel)
}

// moveShedLevel moves the level every few ticks and tells callers. A draining server keeps it as it is until the grace is
// over, as what arrives within it may still run, and then asks for nothing more.
func (c *Controller) moveShedLevel(w Executor) {
	switch {
	case c.drain.begun():
		if c.drain.pastGrace(c.now, c.settings.Grace) {
			c.advertiseShedLevel(1, w)
		}
	case c.ticks%ticksPerLevelMove == 0:
		c.shedding.move(c.now, c.gauges.CPU)
		c.advertiseShedLevel(math.Round(c.shedding.level*shedLevelDecimals)/shedLevelDecimals, w)
	}
}

// advertiseShedLevel tells callers the level in the format of the settings, where it has changed. As a share it is the part
// of requests that a level admits where ranks are spread evenly.
func (c *Controller) advertiseShedLevel(level float64, w Executor) {
	value := level
	switch c.settings.ShedLevelFormat {
	case ShedLevelNone:
		return
	case ShedLevelThreshold:
	case ShedLevelShare:
		value = 1 - level
	}
	if value != c.shedding.advertised {
		w.SetShedLevel(value)
		c.shedding.advertised = value
	}
}
