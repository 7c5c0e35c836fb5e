// Package settings decodes the platform's settings for a server. They are given as flat lines (the simulator's wire
// format) or as nested JSON (a configuration file). One table maps the platform's keys, which both forms share, to the
// typed settings that decisions use, and specifies the bounds of each.
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

// Settings contains the platform's settings, decoded and checked. It is immutable: a change of settings while the
// server runs creates a new value.
type Settings struct {
	Admission admission.Settings

	RoutersSendDeadlines bool // each request states how long its caller waits
	RoutersReportCancel  bool // routers report requests whose caller no longer waits

	readingNames []string // names of the worker pool's readings, in the order in which they are reported

	// fixed contains the settings that were given and need a restart to change, by the platform's key. Each value has
	// its canonical spelling, regardless of how it was written.
	fixed map[string]string
	// adjustable contains the settings that were given and may change while the server runs, by the platform's key.
	adjustable map[string]string
}

// FromAdmission returns the settings of a program that runs without a platform and sets them itself. gauges lists the
// platform's names of the readings, in the order in which they are reported.
func FromAdmission(a admission.Settings, gauges ...string) *Settings {
	s := &Settings{Admission: a, readingNames: gauges, fixed: map[string]string{}, adjustable: map[string]string{}}
	s.fixed[keyIdleTimeout] = fmt.Sprint(a.IdleTimeout)
	s.fixed[keyMemory] = fmt.Sprint(a.MemoryKB)
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
			s.fixed[fmt.Sprintf("services.%d.%s", i, field.key)] = fmt.Sprint(field.value)
		}
		s.fixed[fmt.Sprintf("%s.%d", keyCallsByClass, i)] = fmt.Sprint(route.CallsDependency)
		s.fixed[fmt.Sprintf("%s.%d", keySkipValueByClass, i)] = fmt.Sprint(route.SkipValueShare)
	}
	return s
}

// Len returns the number of settings that were given.
func (s *Settings) Len() int { return len(s.fixed) + len(s.adjustable) }

// MemoryKB returns the memory for requests in KiB, and whether it was given.
func (s *Settings) MemoryKB() (kb float64, given bool) {
	_, given = s.fixed[keyMemory]
	return s.Admission.MemoryKB, given
}

// CheckRequired returns an error if the settings have no routes. Otherwise it returns an error that joins a *FieldError
// for each required setting that is missing and each route name that is used twice.
func (s *Settings) CheckRequired() error {
	if len(s.Admission.Routes) == 0 {
		return errors.New("setting services: is missing or has no routes")
	}
	var errs []error
	firstIndex := map[string]int{}
	for i, route := range s.Admission.Routes {
		for _, key := range requiredOfRoute {
			path := fmt.Sprintf("services.%d.%s", i, key)
			if s.fixed[path] == "" {
				errs = append(errs, &FieldError{path, "is missing"})
			}
		}
		first, duplicate := firstIndex[route.Name]
		if duplicate && route.Name != "" {
			errs = append(errs, &FieldError{fmt.Sprintf("services.%d.name", i), fmt.Sprintf("%s is also the name of services.%d", route.Name, first)})
			continue
		}
		firstIndex[route.Name] = i
	}
	return errors.Join(errs...)
}

// Digest returns a hash of the settings on which estimates depend: servers with the same digest can use each other's
// estimates. withSkips is whether the server may run requests without their calls; if it is false, the values of
// answers without a call are omitted. dynamic is whether routes change while the server runs; if it is true, the
// settings of routes are omitted. The names and spellings in the digest must stay those of all earlier versions,
// because digests are compared between servers of different versions and with those stored on disk.
func (s *Settings) Digest(dynamic, withSkips bool) uint64 {
	var lines []string
	for key, value := range s.fixed {
		name, ofRoute := digestName(key)
		if name == "" || ofRoute && dynamic || strings.HasSuffix(name, ".skip-share") && !withSkips {
			continue
		}
		lines = append(lines, name+"="+value)
	}
	return estimate.Digest(lines)
}

// SetGauges copies the worker pool's readings, which are in the order that the settings specify, into their fields. If
// there are fewer readings than names, the other fields keep their values.
func (s *Settings) SetGauges(into *admission.Gauges, readings []float64) {
	for i, name := range s.readingNames[:min(len(readings), len(s.readingNames))] {
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

// Occupancy returns the readings of the machine's occupied resources: the runnable work (runs and reads of requests
// that need a core), and the share of memory in use. complete is false if the settings do not name both readings or
// there are too few readings.
func (s *Settings) Occupancy(readings []float64) (onCores, memory float64, complete bool) {
	cores, heap := slices.Index(s.readingNames, gaugeRunnable), slices.Index(s.readingNames, gaugeMemory)
	if cores < 0 || heap < 0 || max(cores, heap) >= len(readings) {
		return 0, 0, false
	}
	return readings[cores], readings[heap], true
}

// minLatencyTarget keeps a latency target above zero, because decisions divide by it.
const minLatencyTarget = time.Microsecond
