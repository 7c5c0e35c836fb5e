package config

import (
	"slices"
	"time"
)

const (
	mostPeers    = 1024
	totalDefault = 300 * time.Millisecond
)

// Peers says with which servers knowledge is exchanged.
type Peers struct {
	Listen  string        // where others may ask; empty: nobody may
	Ask     []string      // whom this server asks at its start
	Total   time.Duration // for which it waits for all of them
	KeyFile string        // shared secrets; empty: loopback addresses only
}

func readPeers(s *section) *Peers {
	const anAddress = "an address and port without a name, as \"127.0.0.1:7400\","
	p := &Peers{
		Listen:  s.text("listen", "", anAddress+" is allowed", address),
		Ask:     s.texts("ask", mostPeers, anAddress, address),
		Total:   s.span("total", totalDefault, 10*time.Millisecond, 10*time.Second),
		KeyFile: s.text("key-file", "", "a path is allowed", func(t string) bool { return t != "" }),
	}
	if p.KeyFile == "" {
		const only = "without key-file only a loopback address is allowed"
		if p.Listen != "" && !loopback(p.Listen) {
			s.fault("listen", p.Listen, only)
		}
		for _, a := range p.Ask {
			if !loopback(a) {
				s.fault("ask", a, only)
			}
		}
	}
	if p.Listen != "" && slices.Contains(p.Ask, p.Listen) {
		s.fault("ask", p.Listen, "is this server's own address")
	}
	s.end()
	return p
}
