package server

import (
	"time"

	"quartzpoint/estimate"
)

const publishPeriod = time.Second // between two snapshots of the estimates

// estimates are what the controller learned, as it is published to peers and to the disk.
type estimates struct {
	publish     func(snapshot estimate.Snapshot, at time.Duration) // nil where nobody asks for them
	schema      estimate.Schema
	publishedAt time.Duration
}

// PublishEstimates has publish called with what the controller learned, once a second at most. publish runs on the event loop
// and must not block. It is for before Run. The schema says which snapshots UsePeerEstimates takes.
func (s *Server) PublishEstimates(origin uint64, publish func(snapshot estimate.Snapshot, at time.Duration)) estimate.Schema {
	digest := s.settings.Digest(s.limits.DynamicTables, s.limits.SkippableCalls)
	s.estimates.schema = s.controller.EstimateSchema(origin, digest, s.limits.DynamicTables)
	s.estimates.publish = publish
	return s.estimates.schema
}

// UsePeerEstimates has the controller use what other servers learned; the snapshot must fit the schema. Any goroutine may
// call it.
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
