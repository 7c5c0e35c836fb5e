package config

import (
	"fmt"
	"slices"
)

// Service is what the configuration file of the configuration service states.
type Service struct {
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
	Reach       string // at which this machine dials the other's replication, where that differs
}

// maxControlMachines bounds the list alone; a few machines agree on a change quickest, and five outlast two losses.
const maxControlMachines = 1024

// ReadService reads the file whole. The error joins all faults.
func ReadService(path string) (*Service, error) {
	service := &Service{}
	err := readFile(path, func(top *section) { service.read(top) })
	if err != nil {
		return nil, err
	}
	return service, nil
}

func notEmpty(text string) bool { return text != "" }

func (v *Service) read(top *section) {
	const anAddress = "an address and port without a name, as \"127.0.0.1:7500\", is allowed"
	v.Name = top.text("name", "", "the name of one of the machines is allowed", notEmpty)
	v.Data = top.text("data", "", "a path is allowed", notEmpty)
	v.KeyFile = top.text("key-file", "", "a path is allowed", notEmpty)
	var names []string
	for _, one := range top.list("machine", maxControlMachines) {
		m := ControlMachine{
			Name:        one.text("name", "", "a name is allowed", notEmpty),
			Zone:        one.text("zone", "", "a name is allowed", notEmpty),
			Replication: one.text("replication", "", anAddress, address),
			Sessions:    one.text("sessions", "", anAddress, address),
			Reach:       one.text("reach", "", anAddress, address),
		}
		for key, value := range map[string]string{"name": m.Name, "replication": m.Replication, "sessions": m.Sessions} {
			if _, stated := one.values[key]; !stated {
				one.fault(key, nil, "is needed")
			} else if key != "name" && value != "" && v.KeyFile == "" && !loopback(value) {
				one.fault(key, value, "without key-file only a loopback address is allowed")
			}
		}
		if slices.Contains(names, m.Name) {
			one.fault("name", m.Name, "is the name of another machine")
		}
		one.end()
		names = append(names, m.Name)
		v.Machines = append(v.Machines, m)
	}
	if len(v.Machines) == 0 {
		top.fault("machine", nil, "at least one [[machine]] is needed")
	}
	if v.Name != "" && !slices.Contains(names, v.Name) {
		top.fault("name", v.Name, fmt.Sprintf("is none of the machines, which are %v", names))
	}
	top.end()
}
