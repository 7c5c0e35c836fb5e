package config

import (
	"slices"
	"time"
)

const (
	maxPeers           = 1024
	defaultPeerTimeout = 300 * time.Millisecond
)

// Peers says with which servers knowledge is exchanged.
type Peers struct {
	Listen    string        // where others may ask; empty: nobody may
	Addresses []string      // whom this server asks at its start
	Timeout   time.Duration // for which it waits for all of them
	KeyFile   string        // shared secrets; empty: loopback addresses only
}

func readPeers(s *section) *Peers {
	const anAddress = "an address and port without a name, as \"127.0.0.1:7400\","
	p := &Peers{
		Listen:    s.stringValue("listen", "", anAddress+" is allowed", isAddress),
		Addresses: s.stringList("ask", maxPeers, anAddress, isAddress),
		Timeout:   s.duration("total", defaultPeerTimeout, 10*time.Millisecond, 10*time.Second),
		KeyFile:   s.stringValue("key-file", "", "a path is allowed", func(t string) bool { return t != "" }),
	}
	if p.KeyFile == "" {
		const only = "without key-file only a loopback address is allowed"
		if p.Listen != "" && !isLoopback(p.Listen) {
			s.addError("listen", p.Listen, only)
		}
		for _, a := range p.Addresses {
			if !isLoopback(a) {
				s.addError("ask", a, only)
			}
		}
	}
	if p.Listen != "" && slices.Contains(p.Addresses, p.Listen) {
		s.addError("ask", p.Listen, "is this server's own address")
	}
	s.rejectUnknown()
	return p
}
