// Package config reads the configuration file of the app server: TOML, with a section for each subsystem. All sections
// are optional; a subsystem without its section is off. All errors of a file are reported at once, each with file,
// line, key, value and what is allowed. The package also reads the file of the configuration service (ControlService).
package config

import (
	"fmt"

	"quartzpoint/classpool"
)

// Config is the content of the app server's configuration file.
type Config struct {
	Peers         *Peers              // nil: no exchange with peers
	ControlSocket string              // path of the socket for operators' queries; empty: none
	Dependencies  []Dependency        // services that requests may call
	Routes        []RoutePlan         // routes whose requests consist of calls
	State         *State              // nil: no state is stored for the next start
	Pools         []classpool.Options // empty: no pools; validated but not used in decisions yet
	Lease         *Lease              // nil: no leases
	Configuration *Source             // nil: routes and tenants are always those of the platform's configuration
}

// FieldError is one error in a file.
type FieldError struct {
	File    string
	Line    int // line of the key or, without the key, of its section; 0 if the file has neither
	Key     string
	Value   string // empty if the key is missing
	Allowed string // what is allowed, or what is wrong
}

// Error returns the error on one line.
func (e *FieldError) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Value == "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s: %s", at, e.Key, e.Value, e.Allowed)
}

// Read reads and parses a file. The error joins all FieldErrors.
func Read(path string) (*Config, error) {
	c := &Config{}
	if err := readFile(path, c.read); err != nil {
		return nil, err
	}
	return c, nil
}

// Parse parses the content of a file; path is used in errors only. The error joins all FieldErrors.
func Parse(path string, raw []byte) (*Config, error) {
	c := &Config{}
	if err := parse(path, raw, c.read); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) read(top *section) {
	if peers := top.subsection("peers"); peers != nil {
		c.Peers = readPeers(peers)
	}
	if control := top.subsection("control"); control != nil {
		c.ControlSocket = control.stringValue("socket", "", "a path is allowed", isNotEmpty)
		control.rejectUnknown()
	}
	if dependencies := top.subsection("dependencies"); dependencies != nil {
		c.Dependencies = readDependencies(dependencies)
	}
	if routes := top.subsection("types"); routes != nil {
		c.Routes = readRoutes(routes, c.Dependencies)
	}
	if state := top.subsection("state"); state != nil {
		c.State = readState(state)
	}
	if pools := top.subsection("pools"); pools != nil {
		c.Pools = readPools(pools)
	}
	if lease := top.subsection("lease"); lease != nil {
		c.Lease = readLease(lease, c.Peers)
	}
	if source := top.subsection("configuration"); source != nil {
		c.Configuration = readSource(source)
	}
	top.rejectUnknown()
}
