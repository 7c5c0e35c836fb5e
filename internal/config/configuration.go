package config

import "slices"

// maxControlEndpoints bounds the control machines that a server is told of.
const maxControlEndpoints = 1024

// ConfigSource says which service the routes and tenants come from.
type ConfigSource struct {
	Name     string // by which operators know the server; empty: that of the platform's configuration
	Zone     string // of the server; control machines of it are asked first
	Dir      string // where the last configuration in force is kept
	KeyFile  string // shared secrets; empty: loopback addresses only
	Machines []ControlEndpoint
}

// ControlEndpoint is a control machine as an app server knows it.
type ControlEndpoint struct {
	Zone    string
	Address string
}

func readConfigSource(s *section) *ConfigSource {
	c := &ConfigSource{
		Name:    s.stringValue("name", "", "a name is allowed", isNotEmpty),
		Zone:    s.stringValue("zone", "", "a name is allowed", isNotEmpty),
		Dir:     s.stringValue("dir", "", "a path is allowed", isNotEmpty),
		KeyFile: s.stringValue("key-file", "", "a path is allowed", isNotEmpty),
	}
	var addresses []string
	for _, one := range s.tables("machine", maxControlEndpoints) {
		m := ControlEndpoint{
			Zone:    one.stringValue("zone", "", "a name is allowed", isNotEmpty),
			Address: one.stringValue("address", "", "an address and port without a name, as \"127.0.0.1:7600\", is allowed", isAddress),
		}
		switch _, present := one.values["address"]; {
		case !present:
			one.addError("address", nil, "is needed")
		case slices.Contains(addresses, m.Address) && m.Address != "":
			one.addError("address", m.Address, "stands twice in the list")
		case m.Address != "" && c.KeyFile == "" && !isLoopback(m.Address):
			one.addError("address", m.Address, "without key-file only a loopback address is allowed")
		}
		one.rejectUnknown()
		addresses = append(addresses, m.Address)
		c.Machines = append(c.Machines, m)
	}
	if len(c.Machines) == 0 {
		s.addError("machine", nil, "at least one [[configuration.machine]] is needed")
	}
	s.rejectUnknown()
	return c
}
