package admission

import (
	"time"

	"quartzpoint/estimate"
)

// sightSpan is the number of runs that what is handed out looks back on: enough for a mean, and gone soon
// after a change.
const sightSpan = 32

// EstimateSchema says which snapshots this server can use: those of servers with the same settings digest. dynamic says
// that routes come and go while it runs.
func (c *Controller) EstimateSchema(origin, settingsDigest uint64, dynamic bool) estimate.Schema {
	schema := estimate.Schema{SettingsDigest: settingsDigest, Origin: origin, Dynamic: dynamic}
	for _, t := range c.Routes {
		schema.Routes = append(schema.Routes, t.Name)
		schema.Deadlines = append(schema.Deadlines, t.Deadline)
	}
	return schema
}

// Estimates is what this server has seen itself up to a moment. Core times are told as on a warm server.
func (c *Controller) Estimates(now time.Duration, schema estimate.Schema) estimate.Snapshot {
	snapshot := estimate.Snapshot{Origin: schema.Origin, SettingsDigest: schema.SettingsDigest}
	snapshot.Pace, snapshot.Calls = c.paceSeen.tell(now), c.callSeen.tell(now)
	for _, t := range c.Routes {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{
			Name: t.Name, Core: t.coreSample.tell(now), Run: t.runSample.tell(now),
		})
	}
	if calls := c.called.sum(now); calls[0]+calls[2] > 0 {
		all := calls[0] + calls[2]
		snapshot.RejectRatio = estimate.Estimate{Mean: calls[2] / all, Samples: all, Age: time.Second}
	}
	if came := c.known.sum(now); came[0] > 0 {
		snapshot.ReturnRatio = estimate.Estimate{Mean: came[1] / came[0], Samples: came[0], Age: customerSpan / 2}
	}
	return snapshot
}

// UsePeerEstimates takes in what others have learned, in the place of what was borrowed before. The view must have
// passed Frame.Fit for this server; its routes are known by their names, as some may have come or gone since.
func (c *Controller) UsePeerEstimates(now time.Duration, snapshot estimate.Snapshot) {
	told := make(map[string]estimate.Estimate, len(snapshot.Routes))
	for _, t := range snapshot.Routes {
		told[t.Name] = t.Core
	}
	for _, t := range c.Routes {
		t.peerCore = lent{told: told[t.Name], kind: estimate.CoreTime, at: now}
	}
	c.lentPace = lent{told: snapshot.Pace, kind: estimate.Pace, at: now}
	c.lentCalls = lent{told: snapshot.Calls, kind: estimate.CallTime, at: now}
	c.lentReturns = lent{told: snapshot.ReturnRatio, kind: estimate.ReturnRatio, at: now}
	c.borrowed = true
	c.weighLent(now)
}
