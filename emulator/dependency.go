package emulator

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
	"quartzpoint/rulecheck"
	"quartzpoint/saturate"
)

// dependency is a service that is called by runs. It works on Slots calls at once; further calls are queued.
type dependency struct {
	Dependency
	world        *World
	number       int
	rng          *rand.Rand
	slowFactor   float64
	errorRate    float64 // fraction of calls that it rejects
	unresponsive bool    // accepts calls and never answers them
	inFlight     int
	queue        []*call
}

// call is a call in flight at a dependency. It occupies its slot until its work is done, even after the server's
// timeout.
type call struct {
	onEnd     func(outcome admission.Outcome, took time.Duration)
	startedAt time.Duration
	ended     bool
}

// maxQueue is the queue length at which a dependency rejects calls, as with a full connection backlog.
const maxQueue = 10_000

// handle takes a call from a server. onEnd is called once: at the end of the call, or after the timeout if that is
// earlier.
func (d *dependency) handle(timeout time.Duration, onEnd func(outcome admission.Outcome, took time.Duration)) {
	w := d.world
	c := &call{onEnd: onEnd, startedAt: w.now}
	w.after(timeout, func() { d.end(c, admission.Unknown) })
	w.rules.Add(rulecheck.Event{Kind: rulecheck.DependencyLoad, At: w.now, Server: d.number,
		Value: float64(d.inFlight+len(d.queue)) / (survivedCallsPerSlot * float64(d.Slots))})
	switch {
	case d.errorRate > 0 && d.rng.Float64() < d.errorRate, len(d.queue) >= maxQueue:
		w.after(w.networkDelay(), func() { d.end(c, admission.NotRun) })
	case d.unresponsive:
	case d.inFlight < d.Slots:
		d.startCall(c)
	default:
		d.queue = append(d.queue, c)
	}
}

// survivedCallsPerSlot is the number of calls per slot, in flight or queued, that a dependency survives. More are
// reported as a violation of rule 4 of package rulecheck; the emulated dependency does not fail.
const survivedCallsPerSlot = 8.0

func (d *dependency) startCall(c *call) {
	w := d.world
	d.inFlight++
	sigma := math.Sqrt(math.Log1p(d.Spread * d.Spread))
	took := d.slowFactor * float64(d.Mean) * math.Exp(d.rng.NormFloat64()*sigma-sigma*sigma/2)
	w.after(saturate.Nanoseconds(took), func() {
		d.inFlight--
		if !d.unresponsive {
			d.end(c, admission.Succeeded)
		}
		d.serveQueue()
	})
}

// serveQueue starts queued calls while slots are free.
func (d *dependency) serveQueue() {
	for len(d.queue) > 0 && d.inFlight < d.Slots {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if !next.ended { // nobody waits for it after its timeout
			d.startCall(next)
		}
	}
}

// end reports the end of a call, unless it was reported before.
func (d *dependency) end(c *call, outcome admission.Outcome) {
	if !c.ended {
		c.ended = true
		c.onEnd(outcome, d.world.now-c.startedAt)
	}
}
