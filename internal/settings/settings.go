// Package settings decodes the settings that the platform starts a server under. They come as flat lines (the simulator's
// wire) or as nested JSON (a configuration); one table maps the platform's keys, of both forms, to the typed settings that
// decisions read, and states the bounds of each.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"quartzpoint/admission"
	"quartzpoint/estimate"
)

// Settings are the platform's settings, decoded and checked. A value is not changed once it is made: settings that change
// while a server runs make a new one.
type Settings struct {
	Admission admission.Settings

	RoutersSendDeadlines bool // each request says how long its caller waits
	RoutersReportCancel  bool // routers report requests that nobody waits for any more

	gauges []string // names of the pool's readings, in their order

	// stated holds the settings that were stated and need a restart to change, by the platform's key: the value in one
	// spelling, however it was written.
	stated map[string]string
	// adjustable holds those that were stated and may change in service, by the platform's key.
	adjustable map[string]string
}

// FromAdmission are the settings of a program that has no platform, and states them itself. gauges names the readings in
// the order in which they come, by the platform's names.
func FromAdmission(a admission.Settings, gauges ...string) *Settings {
	s := &Settings{Admission: a, gauges: gauges, stated: map[string]string{}, adjustable: map[string]string{}}
	s.stated[keyIdleTimeout] = fmt.Sprint(a.IdleTimeout)
	s.stated[keyMemory] = fmt.Sprint(a.MemoryKB)
	for i, route := range a.Routes {
		for _, field := range []struct {
			key   string
			value any
		}{
			{"name", route.Name},
			{"gain", route.Value},
			{"idempotency", digestIdempotency[route.Idempotency]},
			{"goal-time", route.LatencyTarget},
			{"deadline", route.Deadline},
			{"dedup-window", route.DedupWindow},
		} {
			s.stated[fmt.Sprintf("services.%d.%s", i, field.key)] = fmt.Sprint(field.value)
		}
		s.stated[fmt.Sprintf("%s.%d", keyCallsByClass, i)] = fmt.Sprint(route.CallsDependency)
		s.stated[fmt.Sprintf("%s.%d", keySkipValueByClass, i)] = fmt.Sprint(route.SkipValueShare)
	}
	return s
}

// Len is the number of settings that were stated.
func (s *Settings) Len() int { return len(s.stated) + len(s.adjustable) }

// MemoryKB is the memory for requests in KiB, and whether it was stated.
func (s *Settings) MemoryKB() (kb float64, stated bool) {
	_, stated = s.stated[keyMemory]
	return s.Admission.MemoryKB, stated
}

// Missing joins what a server can't do without and the settings do not state, or state twice.
func (s *Settings) Missing() error {
	if len(s.Admission.Routes) == 0 {
		return errors.New("setting services: is missing, or names no traffic type")
	}
	var faults []error
	firstOf := map[string]int{}
	for i, route := range s.Admission.Routes {
		for _, key := range requiredOfRoute {
			path := fmt.Sprintf("services.%d.%s", i, key)
			if s.stated[path] == "" {
				faults = append(faults, &Fault{path, "is missing"})
			}
		}
		first, duplicate := firstOf[route.Name]
		if duplicate && route.Name != "" {
			faults = append(faults, &Fault{fmt.Sprintf("services.%d.name", i), fmt.Sprintf("%s is the name of services.%d", route.Name, first)})
			continue
		}
		firstOf[route.Name] = i
	}
	return errors.Join(faults...)
}

// Digest is over the settings on which estimates depend: servers with the same digest can use each other's. withSkips says
// whether the server lets requests go on without their calls. Where routes come and go in service (dynamic), they are left
// out. The names and spellings under the digest are those of all versions before: they are compared between servers of
// different versions, and with what is on disk.
func (s *Settings) Digest(dynamic, withSkips bool) uint64 {
	var lines []string
	for key, value := range s.stated {
		name, ofRoute := digestName(key)
		if name == "" || ofRoute && dynamic || strings.HasSuffix(name, ".skip-share") && !withSkips {
			continue
		}
		lines = append(lines, name+"="+value)
	}
	return estimate.Digest(lines)
}

// Gauges puts the pool's readings, in the order that the settings name, into their fields. Where fewer come than were
// named, the rest keep what they had.
func (s *Settings) Gauges(into *admission.Gauges, readings []float64) {
	for i, name := range s.gauges[:min(len(readings), len(s.gauges))] {
		switch name {
		case gaugeCPU:
			into.CPU = readings[i]
		case gaugeRunnable:
			into.Runnable = readings[i]
		case gaugeMemory:
			into.Memory = readings[i]
		case gaugeConnections:
			into.Connections = readings[i]
		}
	}
}

// Occupied are the readings of what is taken of the machine: all that wants a core, and the share of memory in use.
// complete is false where the settings do not name both, or too few readings came.
func (s *Settings) Occupied(readings []float64) (onCores, memory float64, complete bool) {
	cores, heap := slices.Index(s.gauges, gaugeRunnable), slices.Index(s.gauges, gaugeMemory)
	if cores < 0 || heap < 0 || max(cores, heap) >= len(readings) {
		return 0, 0, false
	}
	return readings[cores], readings[heap], true
}

// minLatencyTarget keeps a latency target above zero: decisions divide by it.
const minLatencyTarget = time.Microsecond
