package admission

import (
	"math"
	"time"
)

// The shed level asks callers to hold back requests: those with a rank below it, or a fraction of all. It rises with
// the fraction of work that is shed, or with the time that requests wait unread, and falls once both are small.

const (
	shedLevelRise     = 0.05 // rise per move if all work is shed
	shedLevelFall     = 0.02 // fall per move
	tolerableShed     = 0.05 // fraction of the work that may be shed without a rise
	maxShedLevel      = 0.95 // requests of the highest rank are never held back altogether
	unreadWeight      = 3.0  // overload per latency target that requests wait unread on average: a third of one counts like shedding all work
	halfWeightSamples = 4.0  // number of samples that gets half of the full weight
	shedWindow        = time.Second
	shedWindowParts   = 10
	shedLevelSteps    = 100 // per unit: answers carry hundredths
)

// shedLevel holds the shed level and the measurements that move it.
type shedLevel struct {
	level      float64      // from 0 to maxShedLevel
	advertised float64      // value that answers carry, in the format of the settings
	work       *slidingSums // core seconds of the requests read, and of the requests shed; both only with a rank of at least the level
	unread     *slidingSums // requests read, and the sum of the fractions that addRead counts
}

func newShedLevel() shedLevel {
	return shedLevel{
		work:   newSlidingSums(shedWindow, shedWindowParts),
		unread: newSlidingSums(shedWindow, shedWindowParts),
	}
}

// addRead counts a request that was read, and the fraction of its latency target for which it waited unread. The
// fraction is at most 1, so that one request that claims to be old does not count as a backlog of many.
func (s *shedLevel) addRead(now time.Duration, request *Request) {
	s.unread.add(now, 1, min(1, float64(now-request.Arrived)/float64(request.Route.LatencyTarget)))
}

// addOffered counts the work of a request that was read. The caller leaves out requests with a rank below the level.
func (s *shedLevel) addOffered(now, work time.Duration) { s.work.add(now, work.Seconds()) }

// addShed counts the work of a request that was shed. The caller leaves out requests with a rank below the level.
func (s *shedLevel) addShed(now, work time.Duration) { s.work.add(now, 0, work.Seconds()) }

// move moves the level according to the work shed and the time spent unread in the window. While CPU use is below
// cpuSoftLimit, the level falls in any case.
func (s *shedLevel) move(now time.Duration, cpu float64) {
	work, unread := s.work.sum(now), s.unread.sum(now)
	offered, shed := work[0], work[1]
	read, unreadTargets := unread[0], unread[1]
	overload := min(1, max(shed/max(offered, 1e-9), unreadWeight*unreadTargets/max(read, 1)))
	// A small server reads few requests in the window: if one of two is shed, that does not show that half are too
	// many.
	overload *= read / (read + halfWeightSamples)
	change := shedLevelRise * (overload*overload - tolerableShed*tolerableShed)
	if change < 0 || cpu < cpuSoftLimit {
		change = -shedLevelFall
	}
	s.level = min(max(s.level+change, 0), maxShedLevel)
}

// moveShedLevel moves the level every ticksPerLevelMove ticks and advertises it. A draining server keeps the level
// until the grace is over, as requests that arrive within it may still run, and then asks for no more requests.
func (c *Controller) moveShedLevel(executor Executor) {
	switch {
	case c.drain.begun():
		if c.drain.pastGrace(c.now, c.settings.Grace) {
			c.advertiseShedLevel(1, executor)
		}
	case c.ticks%ticksPerLevelMove == 0:
		c.shedding.move(c.now, c.gauges.CPU)
		c.advertiseShedLevel(math.Round(c.shedding.level*shedLevelSteps)/shedLevelSteps, executor)
	}
}

// advertiseShedLevel passes the level to callers in the format of the settings, if it has changed. As a share it is the
// fraction of requests that the level admits if ranks are evenly distributed.
func (c *Controller) advertiseShedLevel(level float64, executor Executor) {
	value := level
	switch c.settings.ShedLevelFormat {
	case ShedLevelNone:
		return
	case ShedLevelThreshold:
	case ShedLevelShare:
		value = 1 - level
	}
	if value != c.shedding.advertised {
		executor.SetShedLevel(value)
		c.shedding.advertised = value
	}
}
