package admission

import (
	"time"

	"quartzpoint/estimate"
)

// Estimates of peers are kept apart from the measurements of this server: they are not passed on, own samples outweigh
// them as they accumulate, and from estimate.MaxAge on they have no weight. They predict how long work and calls take
// and how often routers return; they never directly move the in-flight limit, the capacity for calls or the shed level.

const (
	scalePriorRuns = 2.0 // weight, in runs, of the assumption that this machine is as fast as those of the peers
	minPeerScale   = 0.5
	maxPeerScale   = 8.0
	overrunFactor  = 2.0 // multiple of the peers' estimate above which an unfinished run counts as a sample
)

// peerEstimate is an estimate received from peers.
type peerEstimate struct {
	estimate   estimate.Estimate
	kind       estimate.Kind
	receivedAt time.Duration
	weight     float64 // in own samples, as of the last tick; 0 for none
}

// reweigh sets the weight according to the estimate's age and reports whether any is left.
func (e *peerEstimate) reweigh(now time.Duration) bool {
	aged := e.estimate
	aged.Age += now - e.receivedAt
	e.weight = aged.Weight(e.kind)
	return e.weight > 0
}

// peerScale relates the estimates of peers to the machine on which they are used.
type peerScale struct {
	present bool    // some estimate has a weight above 0
	scale   float64 // ratio of own core times to the peers' estimates of them
}

// agePeerEstimates sets the weights of all peer estimates according to their age at time now. It also sets the scale,
// which applies to the core time estimates of every route: the ratio of own core times to the peers' estimates of them,
// over all routes together. An unfinished run counts once its core time exceeds overrunFactor times the estimate.
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

// prior returns the value that is expected before recent runs are considered, from this server's own mean and the
// peers' estimate, and its weight in runs. While there are no own runs, own.mean is an assumed value, or 0 if there is
// none. The assumed value counts as one run, so that it gradually replaces the peers' estimate as that ages.
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

// EstimateSchema returns the schema of snapshots that this server can use: those of servers with the same settings
// digest. dynamic states that routes are added and removed while the server runs.
func (c *Controller) EstimateSchema(origin, settingsDigest uint64, dynamic bool) estimate.Schema {
	schema := estimate.Schema{SettingsDigest: settingsDigest, Origin: origin, Dynamic: dynamic}
	for _, route := range c.Routes {
		schema.Routes = append(schema.Routes, route.Name)
		schema.Deadlines = append(schema.Deadlines, route.Deadline)
	}
	return schema
}

// Estimates returns what this server itself has measured up to time now. Core times are converted to those of a warm
// server.
func (c *Controller) Estimates(now time.Duration, schema estimate.Schema) estimate.Snapshot {
	snapshot := estimate.Snapshot{Origin: schema.Origin, SettingsDigest: schema.SettingsDigest}
	snapshot.HintRatio, snapshot.Calls = c.work.hintSample.estimate(now), c.calls.sample.estimate(now)
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

// UsePeerEstimates replaces the estimates of peers by those of a snapshot. The snapshot must have passed
// Schema.Validate for this server; its routes are matched by name, as routes may have been added or removed since.
func (c *Controller) UsePeerEstimates(now time.Duration, snapshot estimate.Snapshot) {
	core := make(map[string]estimate.Estimate, len(snapshot.Routes))
	for _, route := range snapshot.Routes {
		core[route.Name] = route.Core
	}
	for _, route := range c.Routes {
		route.peerCoreSeconds = peerEstimate{estimate: core[route.Name], kind: estimate.CoreTime, receivedAt: now}
	}
	c.work.peerHintRatio = peerEstimate{estimate: snapshot.HintRatio, kind: estimate.HintRatio, receivedAt: now}
	c.calls.peerSeconds = peerEstimate{estimate: snapshot.Calls, kind: estimate.CallTime, receivedAt: now}
	c.connections.peerReturnRatio = peerEstimate{estimate: snapshot.ReturnRatio, kind: estimate.ReturnRatio, receivedAt: now}
	c.peers.present = true
	c.agePeerEstimates(now)
}
