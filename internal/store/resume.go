package store

import (
	"quartzpoint/internal/server"
)

// Restore has a server that does not run yet go on from what its folder held. What was learned counts as a peer's word
// does.
func Restore(s *server.Server, had Recovered) {
	s.Restore(had.keyRecords())
	if had.Estimates.Fresh() {
		s.UsePeerEstimates(had.Estimates)
	}
}

// RestoreLate has a running server take in the numbers of a folder that could not be read at the start. What was learned
// is not: the server has seen for itself by then, or has its peers' word.
func RestoreLate(s *server.Server, had Recovered) {
	s.Post(func() { s.Restore(had.keyRecords()) })
}

func (r Recovered) keyRecords() []server.KeyRecord {
	known := make([]server.KeyRecord, len(r.Keys))
	for i, n := range r.Keys {
		known[i] = server.KeyRecord{Key: n.Key, Shape: n.Shape, Remaining: n.ExpiresAt - r.ReadAt, Served: n.Served, Result: n.Result}
	}
	return known
}
