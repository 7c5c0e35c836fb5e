package config

import (
	"time"

	"quartzpoint/lease"
)

const (
	maxDuties            = 64
	defaultLeaseDuration = 2 * time.Second
	defaultMaxClockDrift = 0.01
)

// Lease names the duties that one server of the fleet alone may hold, and the terms of their grants. The
// servers named under [peers] vote, with this one; a majority grants.
type Lease struct {
	Duties []string
	Config lease.Config
}

func readLease(s *section, peers *Peers) *Lease {
	l := &Lease{
		Duties: s.stringList("duties", maxDuties, "names of duties, different and not empty, are allowed", func(t string) bool {
			return t != ""
		}),
		Config: lease.Config{
			Duration:      s.duration("lease", defaultLeaseDuration, 100*time.Millisecond, time.Minute),
			MaxClockDrift: s.float("drift", defaultMaxClockDrift, 0, 0.2),
		},
	}
	if _, present := s.values["duties"]; !present {
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
