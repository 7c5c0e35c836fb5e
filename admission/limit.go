package admission

// How many requests run at once: the in-flight limit of docs/design.md, and the room that memory and cores leave.

import (
	"math"
)

// mayStart is the gate of the design: under the limit, or beyond it while the cores have room to spare. The
// departure: room is a core with no run on it now, not a gauge below 70%. That gauge looks half a second
// back, so with runs away at calls a server full of held work kept a sixth of its cores idle. It acts only
// while runs wait at calls or disk, and could harm where those all come back at once; crowdRoom bounds that.
func (c *Controller) mayStart(request *Request) bool {
	in, on, parked := c.counts()
	if in-parked+1 > c.crowdRoom() || c.used()+request.HeldKB*(c.factor-1) > c.memory {
		return false
	}
	// Reads share the cores with runs. When they heap up, in a burst or on a cold server, each task is old
	// before it is known, and most are then read in vain; so reading goes first. At most one task a core is
	// read at a time, so some runs always go on. It could harm where reads are many but short.
	if on+c.reads >= c.cores*readCrowd {
		return false
	}
	return in < math.Floor(c.limit) || on < c.cores && c.gauges.Memory < softMemory
}

// counts are the tasks in flight, those of them on the cores, and those that wait for room for their call.
func (c *Controller) counts() (in, on, parked float64) {
	for _, request := range c.active {
		if request.phase != echoing {
			in++
		}
		if request.phase == running || request.phase == over {
			on++
		}
		if request.phase == wantsCall {
			parked++
		}
	}
	return in, on, parked
}

// used is the memory spoken for, with the reads that may come before the next round.
func (c *Controller) used() float64 {
	kb := float64(len(c.numbers)) * c.numberKB
	for _, request := range c.hold {
		kb += request.HeldKB
	}
	for _, request := range c.active {
		if request.phase == echoing {
			kb += request.HeldKB
		} else {
			kb += request.HeldKB * c.factor
		}
	}
	return kb
}

// crowdRoom is how many may be on the cores or at a call without the cores ever being crowded past what the
// server survives, even if all came back from their calls at once; a run that waits for room for its call
// comes back only by a call placed within it. A cold server is taken to be as cold as stated.
func (c *Controller) crowdRoom() float64 {
	return crowdShare * (1 + (c.settings.MaxRunnablePerCore-1)*c.speed()) * c.cores
}

// speed is the part of its speed that the server is taken to have, as it warms up from a cold start.
func (c *Controller) speed() float64 {
	return min(1, c.coldShare+(1-c.coldShare)*float64(c.now-c.began)/c.warmUp)
}

// calibrate is the design's pass over the limit.
func (c *Controller) calibrate(w Executor) {
	c.calibrated = c.now
	if c.event {
		c.limit *= backoff
	} else {
		c.limit++
	}
	c.event = false
	c.limit = max(min(c.limit, c.ceiling()), c.cores)
	c.closeIdle(w)
}

// ceiling is the lower of a multiple of the cores and what memory allows at the mean running size.
func (c *Controller) ceiling() float64 {
	runs, kb := 0.0, 0.0
	for _, request := range c.active {
		if request.phase != echoing {
			runs++
			kb += request.HeldKB * c.factor
		}
	}
	most := mostPerCore * c.cores
	if runs > 0 {
		most = min(most, (c.memory-c.used()+kb)/(kb/runs))
	}
	return most
}
