package admission

// What becomes of knowledge that is borrowed. It stands beside what was seen here and never in it: it is not
// handed on, own samples outweigh it as they come, and once it is old (estimate.MaxAge) nothing of it is
// left, so that the server decides as a cold one does. It never moves the limit, the room for calls or the
// level: it tells how long work takes, not how much to let in. view.go takes it in and hands it out.

import (
	"time"

	"quartzpoint/estimate"
)

const (
	scaleDoubt  = 2.0 // runs' worth of trust that servers are as fast here as where the view was seen
	scaleLeast  = 0.5 // borrowed times are never taken for less than this part of what was told
	scaleMost   = 8.0
	overrunning = 2.0 // a run that has taken this many times what was told is a sample before its end
)

// lent is an estimate that another server told.
type lent struct {
	told   estimate.Estimate
	kind   estimate.Kind
	at     time.Duration // when it was borrowed
	weight float64       // in own samples, as it stood at the last alarm
}

func (l *lent) weigh(now time.Duration) bool {
	e := l.told
	e.Age += now - l.at
	l.weight = e.Weight(l.kind)
	return l.weight > 0
}

// weighLent lets what is borrowed grow old, and sets it against the machine that it is used on: where own
// runs took longer than was told, of whatever type, all that was told is taken for as much longer. It answers
// a view from before a zone was lost, or of faster servers. It could harm where one type alone has grown
// dearer; own samples of the others then put that right.
func (c *Controller) weighLent(now time.Duration) {
	if !c.borrowed {
		return
	}
	c.borrowed = false
	took, told := 0.0, 0.0
	for _, t := range c.Routes {
		if t.peerCore.weigh(now) {
			c.borrowed = true
			trust := scaleDoubt / float64(len(c.Routes)) * t.peerCore.told.Mean
			took += t.coreSample.mean*t.coreSample.count + trust
			told += t.peerCore.told.Mean*t.coreSample.count + trust
		}
	}
	for _, request := range c.active {
		spent := request.onCore.Seconds() * c.speed()
		if of := &request.Route.peerCore; of.weight > 0 && spent > overrunning*of.told.Mean {
			took += spent
			told += of.told.Mean
		}
	}
	c.lentScale = 1.0
	if told > 0 {
		c.lentScale = min(max(took/told, scaleLeast), scaleMost)
	}
	for _, l := range []*lent{&c.lentPace, &c.lentCalls, &c.lentReturns} {
		c.borrowed = l.weigh(now) || c.borrowed
	}
}

// prior is what is expected before the latest runs are looked at, from own runs and what is borrowed, and the
// number of runs that it is trusted for. What stands in the place of own runs while there are none counts as
// one, so that what is borrowed fades into it as it grows old.
func (c *Controller) prior(own trend, l *lent) (mean, trust float64) {
	if l.weight == 0 {
		return own.mean, doubt
	}
	told, seen := l.told.Mean*c.lentScale/c.speed(), max(own.count, 1)
	if own.mean == 0 {
		seen = 0
	}
	return (own.mean*seen + told*l.weight) / (seen + l.weight), doubt + l.weight*l.weight/(own.count+l.weight)
}

// lentCallTime is what calls are told to take, until the first of this server's own has come back. It only
// ever has a server wait longer, or go on without a call sooner.
func (c *Controller) lentCallTime() float64 {
	if c.callUsual.count > 0 || c.lentCalls.weight == 0 {
		return 0
	}
	return c.lentCalls.told.Mean
}
