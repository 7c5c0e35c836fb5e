package config

import "slices"

// maxWatched bounds the control machines that a server is told of.
const maxWatched = 1024

// Configuration says which service the routes and tenants come from.
type Configuration struct {
	Name     string // by which operators know the server; empty: that of the platform's configuration
	Zone     string // of the server; control machines of it are asked first
	Dir      string // where the last configuration in force is kept
	KeyFile  string // shared secrets; empty: loopback addresses only
	Machines []WatchedMachine
}

// WatchedMachine is a control machine as an app server knows it.
type WatchedMachine struct {
	Zone    string
	Address string
}

func readConfiguration(s *section) *Configuration {
	c := &Configuration{
		Name:    s.text("name", "", "a name is allowed", notEmpty),
		Zone:    s.text("zone", "", "a name is allowed", notEmpty),
		Dir:     s.text("dir", "", "a path is allowed", notEmpty),
		KeyFile: s.text("key-file", "", "a path is allowed", notEmpty),
	}
	var known []string
	for _, one := range s.list("machine", maxWatched) {
		m := WatchedMachine{
			Zone:    one.text("zone", "", "a name is allowed", notEmpty),
			Address: one.text("address", "", "an address and port without a name, as \"127.0.0.1:7600\", is allowed", address),
		}
		switch _, stated := one.values["address"]; {
		case !stated:
			one.fault("address", nil, "is needed")
		case slices.Contains(known, m.Address) && m.Address != "":
			one.fault("address", m.Address, "stands twice in the list")
		case m.Address != "" && c.KeyFile == "" && !loopback(m.Address):
			one.fault("address", m.Address, "without key-file only a loopback address is allowed")
		}
		one.end()
		known = append(known, m.Address)
		c.Machines = append(c.Machines, m)
	}
	if len(c.Machines) == 0 {
		s.fault("machine", nil, "at least one [[configuration.machine]] is needed")
	}
	s.end()
	return c
}
