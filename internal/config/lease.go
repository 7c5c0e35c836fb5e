package config

import (
	"time"

	"quartzpoint/lease"
)

const (
	mostDuties   = 64
	leaseDefault = 2 * time.Second
	driftDefault = 0.01
)

// Lease names the duties that one server of the fleet alone may hold, and the terms of their grants. The
// servers named under [peers] vote, with this one; a majority grants.
type Lease struct {
	Duties []string
	Config lease.Config
}

func readLease(s *section, peers *Peers) *Lease {
	l := &Lease{
		Duties: s.texts("duties", mostDuties, "names of duties, different and not empty, are allowed", func(t string) bool {
			return t != ""
		}),
		Config: lease.Config{
			Duration:      s.span("lease", leaseDefault, 100*time.Millisecond, time.Minute),
			MaxClockDrift: s.number("drift", driftDefault, 0, 0.2),
		},
	}
	if _, stated := s.values["duties"]; !stated {
		s.fault("duties", nil, "the names of the duties held by lease are needed")
	}
	if peers == nil || len(peers.Ask) == 0 || peers.Listen == "" {
		s.fault("", nil, "needs [peers] with listen, where this server votes, and the servers that vote, under ask")
	} else {
		l.Config.Voters = len(peers.Ask) + 1
	}
	s.end()
	return l
}
