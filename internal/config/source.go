package config

import "slices"

// maxControlEndpoints bounds the list of control machines of an app server.
const maxControlEndpoints = 1024

// Source is the configuration service that an app server takes its routes and tenants from.
type Source struct {
	Name      string // of the server, in the status of the service; empty: that of the platform's configuration
	Zone      string // of the server; endpoints of it are tried first
	Dir       string // where the version in force is stored; empty: nowhere
	KeyFile   string // shared secrets; empty: loopback addresses only
	Endpoints []ControlEndpoint
}

// ControlEndpoint is where an app server reaches a control machine.
type ControlEndpoint struct {
	Zone    string
	Address string
}

func readSource(s *section) *Source {
	source := &Source{
		Name:    s.stringValue("name", "", "a name is allowed", isNotEmpty),
		Zone:    s.stringValue("zone", "", "a name is allowed", isNotEmpty),
		Dir:     s.stringValue("dir", "", "a path is allowed", isNotEmpty),
		KeyFile: s.stringValue("key-file", "", "a path is allowed", isNotEmpty),
	}
	var addresses []string
	for _, table := range s.tables("machine", maxControlEndpoints) {
		endpoint := ControlEndpoint{
			Zone:    table.stringValue("zone", "", "a name is allowed", isNotEmpty),
			Address: table.stringValue("address", "", "an address and port without a name, as \"127.0.0.1:7600\", is allowed", isAddress),
		}
		switch {
		case !table.has("address"):
			table.addError("address", nil, "is needed")
		case slices.Contains(addresses, endpoint.Address) && endpoint.Address != "":
			table.addError("address", endpoint.Address, "stands twice in the list")
		case endpoint.Address != "" && source.KeyFile == "" && !isLoopback(endpoint.Address):
			table.addError("address", endpoint.Address, needsKeyFile)
		}
		table.rejectUnknown()
		addresses = append(addresses, endpoint.Address)
		source.Endpoints = append(source.Endpoints, endpoint)
	}
	if len(source.Endpoints) == 0 {
		s.addError("machine", nil, "at least one [[configuration.machine]] is needed")
	}
	s.rejectUnknown()
	return source
}
