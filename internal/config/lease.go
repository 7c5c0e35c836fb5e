package config

import (
	"time"

	"quartzpoint/lease"
)

const (
	maxLeases            = 64
	defaultLeaseDuration = 2 * time.Second
	defaultMaxClockDrift = 0.01 // fraction by which the rates of two clocks may differ
)

// Lease contains the names of the leases that this server requests, and their common settings. Only one server of the
// fleet may hold a lease at a time. This server and those under [peers] vote; a majority grants a lease.
type Lease struct {
	Names  []string
	Config lease.Config
}

func readLease(s *section, peers *Peers) *Lease {
	l := &Lease{
		Names: s.stringList("duties", maxLeases, "a lease name that is not empty", isNotEmpty),
		Config: lease.Config{
			Duration:      s.duration("lease", defaultLeaseDuration, 100*time.Millisecond, time.Minute),
			MaxClockDrift: s.float("drift", defaultMaxClockDrift, 0.2),
		},
	}
	if !s.has("duties") {
		s.addError("duties", nil, "the list of lease names is missing")
	}
	if peers == nil || len(peers.Addresses) == 0 || peers.Listen == "" {
		s.addError("", nil, "needs [peers] with this server's address in listen and the other voters' addresses in ask")
	} else {
		l.Config.Voters = len(peers.Addresses) + 1
	}
	s.rejectUnknown()
	return l
}
