package store

import (
	"quartzpoint/internal/server"
)

// Resume has a server that does not run yet go on from what its folder held. What was learned counts as a peer's word
// does.
func Resume(s *server.Server, had Recovered) {
	s.RestoreKeys(had.known())
	if had.View.Fresh() {
		s.UsePeerEstimates(had.View)
	}
}

// ResumeLate has a running server take in the numbers of a folder that could not be read at the start. What was learned
// is not: the server has seen for itself by then, or has its peers' word.
func ResumeLate(s *server.Server, had Recovered) {
	s.Submit(func() { s.RestoreKeys(had.known()) })
}

func (r Recovered) known() []server.KeyRecord {
	known := make([]server.KeyRecord, len(r.Numbers))
	for i, n := range r.Numbers {
		known[i] = server.KeyRecord{Key: n.Key, Fingerprint: n.Shape, Remaining: n.Until - r.At, Served: n.Honoured, Result: n.Result}
	}
	return known
}
