package admission

import (
	"time"

	"quartzpoint/estimate"
)

// Estimates of other servers stand beside what was measured here and never in it: they are not passed on, own samples
// outweigh them as they come, and from estimate.MaxAge on nothing of them is left. They say how long work takes; they never
// move the in-flight limit, the capacity for calls or the shed level.

const (
	scalePriorRuns = 2.0 // runs that "servers are as fast here as there" counts for
	minPeerScale   = 0.5
	maxPeerScale   = 8.0
	overrunFactor  = 2.0 // times the peers' estimate from which on an unfinished run counts as a sample
)

// peerEstimate is an estimate of other servers.
type peerEstimate struct {
	estimate   estimate.Estimate
	kind       estimate.Kind
	receivedAt time.Duration
	weight     float64 // in own samples, at the last tick; 0 for none
}

// reweigh sets the weight by the estimate's age, and says whether any is left.
func (e *peerEstimate) reweigh(now time.Duration) bool {
	aged := e.estimate
	aged.Age += now - e.receivedAt
	e.weight = aged.Weight(e.kind)
	return e.weight > 0
}

// peerScale sets the estimates of peers against the machine that they are used on.
type peerScale struct {
	present bool    // some estimate has a weight
	scale   float64 // own times over the peers' estimates
}

// agePeerEstimates reweighs all estimates of peers by their age at a moment. Where own runs took longer than the peers' estimates, of
// whatever route, all their estimates are taken for as much longer.
func (c *Controller) agePeerEstimates(now time.Duration) {
	if !c.peers.present {
		return
	}
	c.peers.present = false
	measured, estimated := 0.0, 0.0
	for _, route := range c.Routes {
		if route.peerCoreSeconds.reweigh(now) {
			c.peers.present = true
			prior := scalePriorRuns / float64(len(c.Routes)) * route.peerCoreSeconds.estimate.Mean
			measured += route.coreSample.mean*route.coreSample.count + prior
			estimated += route.peerCoreSeconds.estimate.Mean*route.coreSample.count + prior
		}
	}
	for _, request := range c.active {
		spent := request.coreTime.Seconds() * c.speed()
		if peer := &request.Route.peerCoreSeconds; peer.weight > 0 && spent > overrunFactor*peer.estimate.Mean {
			measured += spent
			estimated += peer.estimate.Mean
		}
	}
	c.peers.scale = 1.0
	if estimated > 0 {
		c.peers.scale = min(max(measured/estimated, minPeerScale), maxPeerScale)
	}
	for _, peer := range []*peerEstimate{&c.work.peerHintRatio, &c.calls.peerSeconds, &c.connections.peerReturnRatio} {
		c.peers.present = peer.reweigh(now) || c.peers.present
	}
}

// prior is what is expected before the recent runs are looked at, from the own mean and the peers', and the number of runs
// that it counts for. The guess that stands in while there are no own runs counts as one run, so that the peers' estimate
// fades into it as it ages.
func (c *Controller) prior(own movingMean, peer *peerEstimate) (mean, runs float64) {
	if peer.weight == 0 {
		return own.mean, priorRuns
	}
	estimated, samples := peer.estimate.Mean*c.peers.scale/c.speed(), max(own.count, 1)
	if own.mean == 0 {
		samples = 0
	}
	return (own.mean*samples + estimated*peer.weight) / (samples + peer.weight), priorRuns + peer.weight*peer.weight/(own.count+peer.weight)
}

// EstimateSchema says which snapshots this server can use: those of servers with the same settings digest. dynamic says
// that routes come and go while it runs.
func (c *Controller) EstimateSchema(origin, settingsDigest uint64, dynamic bool) estimate.Schema {
	schema := estimate.Schema{SettingsDigest: settingsDigest, Origin: origin, Dynamic: dynamic}
	for _, route := range c.Routes {
		schema.Routes = append(schema.Routes, route.Name)
		schema.Deadlines = append(schema.Deadlines, route.Deadline)
	}
	return schema
}

// Estimates is what this server has measured itself up to a moment. Core times are given as on a warm server.
func (c *Controller) Estimates(now time.Duration, schema estimate.Schema) estimate.Snapshot {
	snapshot := estimate.Snapshot{Origin: schema.Origin, SettingsDigest: schema.SettingsDigest}
	snapshot.Pace, snapshot.Calls = c.work.hintSample.estimate(now), c.calls.sample.estimate(now)
	for _, route := range c.Routes {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{
			Name: route.Name, Core: route.coreSample.estimate(now), Run: route.runSample.estimate(now),
		})
	}
	calls := callTotalsOf(c.calls.outcomes.sum(now))
	if all := calls.returned + calls.rejected; all > 0 {
		snapshot.RejectRatio = estimate.Estimate{Mean: calls.rejected / all, Samples: all, Age: callOutcomeMeanAge}
	}
	if requests := c.connections.requests.sum(now); requests[0] > 0 {
		snapshot.ReturnRatio = estimate.Estimate{Mean: requests[1] / requests[0], Samples: requests[0], Age: reuseEstimateMeanAge}
	}
	return snapshot
}

// UsePeerEstimates takes in what other servers measured, in the place of what was taken in before. The snapshot must have
// passed Schema.Validate for this server; its routes are known by their names, as some may have come or gone since.
func (c *Controller) UsePeerEstimates(now time.Duration, snapshot estimate.Snapshot) {
	core := make(map[string]estimate.Estimate, len(snapshot.Routes))
	for _, route := range snapshot.Routes {
		core[route.Name] = route.Core
	}
	for _, route := range c.Routes {
		route.peerCoreSeconds = peerEstimate{estimate: core[route.Name], kind: estimate.CoreTime, receivedAt: now}
	}
	c.work.peerHintRatio = peerEstimate{estimate: snapshot.Pace, kind: estimate.Pace, receivedAt: now}
	c.calls.peerSeconds = peerEstimate{estimate: snapshot.Calls, kind: estimate.CallTime, receivedAt: now}
	c.connections.peerReturnRatio = peerEstimate{estimate: snapshot.ReturnRatio, kind: estimate.ReturnRatio, receivedAt: now}
	c.peers.present = true
	c.agePeerEstimates(now)
}
