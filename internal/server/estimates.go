package server

import (
	"time"

	"quartzpoint/estimate"
)

const publishPeriod = time.Second // between two snapshots of the estimates

// estimates is the state of publishing the controller's estimates to peers and to disk.
type estimates struct {
	publish     func(snapshot estimate.Snapshot, at time.Duration) // nil if estimates are not published
	schema      estimate.Schema
	publishedAt time.Duration
}

// PublishEstimates makes the server call publish with the controller's estimates, at most once a second. origin
// identifies this server in them. publish runs on the event loop and must not block. PublishEstimates must be called
// before Run. It returns the schema of the snapshots that UsePeerEstimates accepts.
func (s *Server) PublishEstimates(origin uint64, publish func(snapshot estimate.Snapshot, at time.Duration)) estimate.Schema {
	digest := s.settings.Digest(s.limits.DynamicTables, s.limits.SkippableCalls)
	s.estimates.schema = s.controller.EstimateSchema(origin, digest, s.limits.DynamicTables)
	s.estimates.publish = publish
	return s.estimates.schema
}

// UsePeerEstimates passes the estimates of other servers to the controller; the snapshot must fit the schema. Any
// goroutine may call it.
func (s *Server) UsePeerEstimates(snapshot estimate.Snapshot) {
	receivedAt := s.Now()
	s.Submit(func() { s.controller.UsePeerEstimates(s.Now(), snapshot.Aged(s.Now()-receivedAt)) })
}

func (s *Server) publishEstimates(now time.Duration) {
	if s.estimates.publish != nil && now >= s.estimates.publishedAt+publishPeriod {
		s.estimates.publishedAt = now
		s.estimates.publish(s.controller.Estimates(now, s.estimates.schema), now)
	}
}
