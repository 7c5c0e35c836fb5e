package emulator

import (
	"math"
	"math/rand"
	"time"

	"quartzpoint/admission"
	"quartzpoint/rulecheck"
)

// dependency is a system that runs call: so many calls at once, the others wait in line.
type dependency struct {
	Dependency
	world  *World
	number int
	chance *rand.Rand
	slow   float64
	errors float64 // share of calls that it turns away
	stops  bool    // answers nothing
	busy   int
	line   []*call
}

// call is one in the hands of a dependency. Its server's patience ends before it does, at times; its slot is then still
// taken.
type call struct {
	told  func(outcome admission.Outcome, took time.Duration)
	began time.Duration
	over  bool
}

// mostLine bounds the line: what is behind it is turned away, as by a full backlog.
const mostLine = 10_000

func (d *dependency) take(patience time.Duration, told func(outcome admission.Outcome, took time.Duration)) {
	w := d.world
	c := &call{told: told, began: w.now}
	w.after(patience, func() { d.end(c, admission.Unknown) })
	w.rules.Take(rulecheck.Event{Kind: rulecheck.CallsOpen, At: w.now, Server: d.number,
		Value: float64(d.busy+len(d.line)) / (dependencySurvives * float64(d.Slots))})
	switch {
	case d.errors > 0 && d.chance.Float64() < d.errors, len(d.line) >= mostLine:
		w.after(w.way(), func() { d.end(c, admission.NotRun) })
	case d.stops:
	case d.busy < d.Slots:
		d.work(c)
	default:
		d.line = append(d.line, c)
	}
}

// dependencySurvives is the number of calls in hand, over the slots, at which a dependency still gets on.
const dependencySurvives = 8.0

func (d *dependency) work(c *call) {
	w := d.world
	d.busy++
	sigma := math.Sqrt(math.Log1p(d.Spread * d.Spread))
	took := d.slow * float64(d.Mean) * math.Exp(d.chance.NormFloat64()*sigma-sigma*sigma/2)
	w.after(time.Duration(took), func() {
		d.busy--
		if !d.stops {
			d.end(c, admission.Succeeded)
		}
		d.goOn()
	})
}

// goOn works on those in line for which there is a slot.
func (d *dependency) goOn() {
	for len(d.line) > 0 && d.busy < d.Slots {
		next := d.line[0]
		d.line = d.line[1:]
		if !next.over { // else nobody waits for it
			d.work(next)
		}
	}
}

func (d *dependency) end(c *call, outcome admission.Outcome) {
	if !c.over {
		c.over = true
		c.told(outcome, d.world.now-c.began)
	}
}
