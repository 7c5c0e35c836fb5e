package admission

import (
	"time"

	"quartzpoint/estimate"
)

// sightSpan is the number of runs that what is handed out looks back on: enough for a mean, and gone soon
// after a change.
const sightSpan = 32

// EstimateSchema tells which views this server can use; moving says that its routes come and go.
func (c *Controller) EstimateSchema(origin uint64, moving bool) estimate.Frame {
	f := estimate.Frame{Terms: estimate.Digest(c.terms, moving), Origin: origin, Moving: moving}
	for _, t := range c.Routes {
		f.Types = append(f.Types, t.Name)
		f.Outer = append(f.Outer, t.Deadline)
	}
	return f
}

// Estimates is what this server has seen itself up to a moment. Core times are told as on a warm server.
func (c *Controller) Estimates(now time.Duration, f estimate.Frame) estimate.View {
	v := estimate.View{Origin: f.Origin, Terms: f.Terms}
	v.Pace, v.Calls = c.paceSeen.tell(now), c.callSeen.tell(now)
	for _, t := range c.Routes {
		v.Types = append(v.Types, estimate.TypeView{
			Name: t.Name, Core: t.coreSample.tell(now), Run: t.runSample.tell(now),
		})
	}
	if calls := c.called.sum(now); calls[0]+calls[2] > 0 {
		all := calls[0] + calls[2]
		v.Refused = estimate.Estimate{Mean: calls[2] / all, Samples: all, Age: time.Second}
	}
	if came := c.known.sum(now); came[0] > 0 {
		v.Returns = estimate.Estimate{Mean: came[1] / came[0], Samples: came[0], Age: customerSpan / 2}
	}
	return v
}

// UsePeerEstimates takes in what others have learned, in the place of what was borrowed before. The view must have
// passed Frame.Fit for this server; its routes are known by their names, as some may have come or gone since.
func (c *Controller) UsePeerEstimates(now time.Duration, v estimate.View) {
	told := make(map[string]estimate.Estimate, len(v.Types))
	for _, t := range v.Types {
		told[t.Name] = t.Core
	}
	for _, t := range c.Routes {
		t.peerCore = lent{told: told[t.Name], kind: estimate.CoreTime, at: now}
	}
	c.lentPace = lent{told: v.Pace, kind: estimate.Pace, at: now}
	c.lentCalls = lent{told: v.Calls, kind: estimate.CallTime, at: now}
	c.lentReturns = lent{told: v.Returns, kind: estimate.Returning, at: now}
	c.borrowed = true
	c.weighLent(now)
}
