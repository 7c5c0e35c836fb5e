package config

import (
	"fmt"
	"slices"
)

// ControlService is what the configuration file of the configuration service states.
type ControlService struct {
	Name     string // of this machine; empty where the file is only read to ask the others
	Data     string // folder of the replicated log
	KeyFile  string // shared secrets; empty: loopback addresses only
	Machines []ControlMachine
}

// ControlMachine is one machine of the configuration service.
type ControlMachine struct {
	Name        string
	Zone        string
	Replication string // address by which the machines reach each other
	Sessions    string // address that watchers and operators ask
	DialAddress string // at which this machine dials the other's replication, where that differs
}

// maxControlMachines bounds the list alone; a few machines agree on a change quickest, and five outlast two losses.
const maxControlMachines = 1024

// ReadControlService reads the file whole. The error joins all faults.
func ReadControlService(path string) (*ControlService, error) {
	service := &ControlService{}
	err := readFile(path, func(top *section) { service.read(top) })
	if err != nil {
		return nil, err
	}
	return service, nil
}

func isNotEmpty(text string) bool { return text != "" }

func (c *ControlService) read(top *section) {
	const anAddress = "an address and port without a name, as \"127.0.0.1:7500\", is allowed"
	c.Name = top.stringValue("name", "", "the name of one of the machines is allowed", isNotEmpty)
	c.Data = top.stringValue("data", "", "a path is allowed", isNotEmpty)
	c.KeyFile = top.stringValue("key-file", "", "a path is allowed", isNotEmpty)
	var names []string
	for _, one := range top.tables("machine", maxControlMachines) {
		m := ControlMachine{
			Name:        one.stringValue("name", "", "a name is allowed", isNotEmpty),
			Zone:        one.stringValue("zone", "", "a name is allowed", isNotEmpty),
			Replication: one.stringValue("replication", "", anAddress, isAddress),
			Sessions:    one.stringValue("sessions", "", anAddress, isAddress),
			DialAddress: one.stringValue("reach", "", anAddress, isAddress),
		}
		for key, value := range map[string]string{"name": m.Name, "replication": m.Replication, "sessions": m.Sessions} {
			if _, present := one.values[key]; !present {
				one.addError(key, nil, "is needed")
			} else if key != "name" && value != "" && c.KeyFile == "" && !isLoopback(value) {
				one.addError(key, value, "without key-file only a loopback address is allowed")
			}
		}
		if slices.Contains(names, m.Name) {
			one.addError("name", m.Name, "is the name of another machine")
		}
		one.rejectUnknown()
		names = append(names, m.Name)
		c.Machines = append(c.Machines, m)
	}
	if len(c.Machines) == 0 {
		top.addError("machine", nil, "at least one [[machine]] is needed")
	}
	if c.Name != "" && !slices.Contains(names, c.Name) {
		top.addError("name", c.Name, fmt.Sprintf("is none of the machines, which are %v", names))
	}
	top.rejectUnknown()
}
