package config

import (
	"time"

	"quartzpoint/lease"
)

const (
	maxDuties            = 64
	defaultLeaseDuration = 2 * time.Second
	defaultMaxClockDrift = 0.01 // part by which two clocks' rates may differ
)

// Lease names the duties that only one server of the fleet may hold at a time, and the settings of their leases. This
// server and those under [peers] vote; a majority grants a lease.
type Lease struct {
	Duties []string
	Config lease.Config
}

func readLease(s *section, peers *Peers) *Lease {
	l := &Lease{
		Duties: s.stringList("duties", maxDuties, "names of duties, different and not empty, are allowed", isNotEmpty),
		Config: lease.Config{
			Duration:      s.duration("lease", defaultLeaseDuration, 100*time.Millisecond, time.Minute),
			MaxClockDrift: s.float("drift", defaultMaxClockDrift, 0.2),
		},
	}
	if !s.has("duties") {
		s.addError("duties", nil, "the names of the duties held by lease are needed")
	}
	if peers == nil || len(peers.Addresses) == 0 || peers.Listen == "" {
		s.addError("", nil, "needs [peers] with listen, where this server votes, and the servers that vote, under ask")
	} else {
		l.Config.Voters = len(peers.Addresses) + 1
	}
	s.rejectUnknown()
	return l
}
