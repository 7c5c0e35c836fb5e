package config

import (
	"slices"
	"time"
)

const (
	maxPeers         = 1024
	defaultFirstWait = 300 * time.Millisecond
)

// Peers configures the exchange of estimates with other servers.
type Peers struct {
	Listen    string        // address at which peers poll this server; empty: it is not polled
	Addresses []string      // of the peers that this server polls when it starts
	FirstWait time.Duration // longest wait for the first answers of all of them
	KeyFile   string        // file of the shared secrets; empty: loopback addresses only
}

func readPeers(s *section) *Peers {
	const allowed = "an IP address and port, such as \"127.0.0.1:7400\","
	p := &Peers{
		Listen:    s.stringValue("listen", "", allowed+" is allowed", isAddress),
		Addresses: s.stringList("ask", maxPeers, allowed, isAddress),
		FirstWait: s.duration("total", defaultFirstWait, 10*time.Millisecond, 10*time.Second),
		KeyFile:   s.stringValue("key-file", "", "a path is allowed", isNotEmpty),
	}
	if p.KeyFile == "" {
		if p.Listen != "" && !isLoopback(p.Listen) {
			s.addError("listen", p.Listen, needsKeyFile)
		}
		for _, address := range p.Addresses {
			if !isLoopback(address) {
				s.addError("ask", address, needsKeyFile)
			}
		}
	}
	if p.Listen != "" && slices.Contains(p.Addresses, p.Listen) {
		s.addError("ask", p.Listen, "is this server's own address")
	}
	s.rejectUnknown()
	return p
}
