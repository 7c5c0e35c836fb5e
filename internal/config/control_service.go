package config

import (
	"fmt"
	"slices"
)

// maxControlMachines limits the list; three or five machines are usual.
const maxControlMachines = 1024

// ControlService is the content of the configuration service's own file.
type ControlService struct {
	Name     string // of this machine; empty if the file is only read to reach the machines
	Data     string // directory of the replicated log
	KeyFile  string // file of the shared secrets; empty: loopback addresses only
	Machines []ControlMachine
}

// ControlMachine is a machine of the configuration service.
type ControlMachine struct {
	Name        string
	Zone        string
	Replication string // address of its replicated log, which also identifies it among all machines
	Sessions    string // address for watchers and operators
	DialAddress string // address at which this machine dials the other's replicated log; empty: Replication
}

// ReadControlService reads and parses the configuration service's file. The error joins all FieldErrors.
func ReadControlService(path string) (*ControlService, error) {
	service := &ControlService{}
	if err := readFile(path, service.read); err != nil {
		return nil, err
	}
	return service, nil
}

func (c *ControlService) read(top *section) {
	c.Name = top.stringValue("name", "", "the name of one of the machines is allowed", isNotEmpty)
	c.Data = top.stringValue("data", "", "a path is allowed", isNotEmpty)
	c.KeyFile = top.stringValue("key-file", "", "a path is allowed", isNotEmpty)
	var names []string
	for _, table := range top.tables("machine", maxControlMachines) {
		m := readControlMachine(table, c.KeyFile != "")
		if slices.Contains(names, m.Name) {
			table.addError("name", m.Name, "is the name of another machine")
		}
		table.rejectUnknown()
		names = append(names, m.Name)
		c.Machines = append(c.Machines, m)
	}
	if len(c.Machines) == 0 {
		top.addError("machine", nil, "at least one [[machine]] is needed")
	}
	if c.Name != "" && !slices.Contains(names, c.Name) {
		top.addError("name", c.Name, fmt.Sprintf("is not one of the machines, which are %v", names))
	}
	top.rejectUnknown()
}

func readControlMachine(s *section, hasKeys bool) ControlMachine {
	const allowed = "an IP address and port, such as \"127.0.0.1:7500\", is allowed"
	m := ControlMachine{
		Name:        s.stringValue("name", "", "a name is allowed", isNotEmpty),
		Zone:        s.stringValue("zone", "", "a name is allowed", isNotEmpty),
		Replication: s.stringValue("replication", "", allowed, isAddress),
		Sessions:    s.stringValue("sessions", "", allowed, isAddress),
		DialAddress: s.stringValue("reach", "", allowed, isAddress),
	}
	if !s.has("name") {
		s.addError("name", nil, "is missing")
	}
	checkAddress := func(key, address string) {
		switch {
		case !s.has(key):
			s.addError(key, nil, "is missing")
		case address != "" && !hasKeys && !isLoopback(address):
			s.addError(key, address, needsKeyFile)
		}
	}
	checkAddress("replication", m.Replication)
	checkAddress("sessions", m.Sessions)
	return m
}
