package admission

import "time"

// Reason is why a request was answered without a result. It is for logs: no decision depends on it.
type Reason int

// The reasons.
const (
	ReasonNone        Reason = iota
	ReasonNoTime             // it could not be done in time behind what is ahead of it
	ReasonExpired            // its time was over while it was held or ran
	ReasonMemory             // there is no memory for it
	ReasonDraining           // it came after the grace of the notice, or the stop is near
	ReasonRunsFail           // most runs of this server fail
	ReasonCallUnclear        // its call may have had its effect, and must not be made again
)

var reasonTexts = map[Reason]string{
	ReasonNone:        "not stated",
	ReasonNoTime:      "no time left behind what is ahead",
	ReasonExpired:     "time is over",
	ReasonMemory:      "no memory left",
	ReasonDraining:    "draining",
	ReasonRunsFail:    "most runs fail here",
	ReasonCallUnclear: "call of unknown outcome",
}

func (r Reason) String() string { return reasonTexts[r] }

// Reason is why the request was answered without a result, once it was.
func (r *Request) Reason() Reason { return r.reason }

// expiry is the reason of a request whose time is over: its own, or the server's.
func (c *Controller) expiry(request *Request) Reason {
	if c.stopAt > 0 && request.wanted == c.stopAt {
		return ReasonDraining
	}
	return ReasonExpired
}

// Occupancy is what the server has on its books for the machine.
type Occupancy struct {
	Held           int     // requests that wait for a start
	OnCores        int     // runs on the cores, those included whose requests are answered
	InFlight       int     // runs on the cores, at calls and waiting for them
	Answered       int     // of those in flight, the ones whose requests are answered
	Limit          float64 // on those in flight
	MaxConcurrency float64 // runs on the cores and at calls that are ever allowed
	UsedKB         float64 // memory of all that is held, in flight and kept
	MaxKB          float64 // memory that is ever planned for
}

// Occupancy sums up the books at a moment of the clock of rounds.
func (c *Controller) Occupancy(now time.Duration) Occupancy {
	c.now = max(c.now, now)
	in, on, _ := c.counts()
	sum := Occupancy{
		Held: len(c.hold), OnCores: int(on), InFlight: int(in), Limit: c.limit, MaxConcurrency: c.crowdRoom(),
		UsedKB: c.used(), MaxKB: c.memory,
	}
	for _, request := range c.active {
		if request.settled && request.phase != echoing {
			sum.Answered++
		}
	}
	return sum
}
