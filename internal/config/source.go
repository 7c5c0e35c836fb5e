package config

import "slices"

// maxControlEndpoints limits the list of configuration service machines that an app server uses.
const maxControlEndpoints = 1024

// Source configures the configuration service from which an app server gets its routes and tenants.
type Source struct {
	Name      string // of the server, in the status of the service; empty: the name in the platform's configuration
	Zone      string // of the server; endpoints in the same zone are tried first
	Dir       string // directory in which the version in force is stored; empty: it is not stored
	KeyFile   string // file of the shared secrets; empty: loopback addresses only
	Endpoints []ControlEndpoint
}

// ControlEndpoint is a machine of the configuration service as an app server reaches it.
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
			Address: table.stringValue("address", "", "an IP address and port, such as \"127.0.0.1:7600\", is allowed", isAddress),
		}
		switch {
		case !table.has("address"):
			table.addError("address", nil, "is missing")
		case slices.Contains(addresses, endpoint.Address) && endpoint.Address != "":
			table.addError("address", endpoint.Address, "is listed twice")
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
