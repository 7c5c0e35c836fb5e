package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/emulator"
	"quartzpoint/internal/testkit/harness"
)

// shortRoutes returns many routes, whose deadlines are many times shorter than the time for which the machine has a
// fault.
func shortRoutes() (routes []harness.Route) {
	const count = 12
	for i := range count {
		routes = append(routes, harness.Route{
			Name: fmt.Sprintf("class-%d", i), Value: float64(1 + i%4), Share: 1.0 / count, Spread: 0.3, AtMostOnce: i%3 == 0,
			LatencyTarget: 400 * time.Millisecond, Deadline: 400 * time.Millisecond, Work: time.Duration(20+5*i) * time.Millisecond,
		})
	}
	return routes
}

const (
	faultFrom    = 500 * time.Millisecond
	faultUntil   = 8500 * time.Millisecond
	overloadSpan = 9500 * time.Millisecond
)

// Report f19453: runs that lasted longer than twice their deadline were counted as ended though the worker pool had not
// reported their end. The capacity that they used was given to other runs a second time, and the pool failed under the
// overload.
func TestPoolSurvivesRunsThatOutliveTheirRequests(t *testing.T) {
	faults := map[string]func(w *harness.Workers, on bool){
		"slow": func(w *harness.Workers, on bool) {
			w.Update(func(m *harness.Machine) { m.Speed = map[bool]float64{true: 0.01, false: 1}[on] })
		},
		"hung": func(w *harness.Workers, on bool) { w.SetHung(on) },
		"hung, link lost": func(w *harness.Workers, on bool) {
			w.SetHung(on)
			w.CutLink()
		},
	}
	machines := map[string]harness.Machine{
		"few cores":     {Cores: 1, Speed: 1, MemoryKB: 1e6},
		"little memory": {Cores: 2, Speed: 1, MemoryKB: 8 * emulator.RunKB}, // fewer runs exhaust it than the cores survive
	}
	for _, preemption := range []string{emulator.PreemptionSuspend, emulator.PreemptionAbort, emulator.PreemptionNone} {
		for fault, set := range faults {
			for name, machine := range machines {
				t.Run(fmt.Sprintf("%s/%s/%s", preemption, fault, name), func(t *testing.T) {
					t.Parallel()
					machine.Preemption = preemption
					peak, log := runWithFault(t, machine, set)
					assert.LessOrEqual(t, peak.Runs, 1.0, "more runs than the pool survives at %v\n%s", peak.RunsAt, log)
					assert.LessOrEqual(t, peak.Memory, 1.0, "more memory used than the machine has at %v\n%s", peak.MemoryAt, log)
				})
			}
		}
	}
}

// runWithFault loads a real server whose pool has a fault from faultFrom until faultUntil. It returns the highest load
// of the pool, and the server's log.
func runWithFault(t *testing.T, machine harness.Machine, set func(w *harness.Workers, on bool)) (harness.PeakLoad, string) {
	routes := shortRoutes()
	daemon, err := harness.StartWithoutFile(builds["release"], t.TempDir(), "n1", routes, machine)
	require.NoError(t, err)
	t.Cleanup(func() { _ = daemon.Stop() })
	for at, on := range map[time.Duration]bool{faultFrom: true, faultUntil: false} {
		timer := time.AfterFunc(at, func() { set(daemon.Workers, on) })
		defer timer.Stop()
	}
	load := harness.Arrivals(routes, harness.Rate(routes, machine, 0.8), overloadSpan, 1)
	result, err := harness.Run(daemon.Address, routes, load, 1)
	require.NoError(t, err)
	report := result.Check(daemon.Workers)
	assert.Empty(t, report.Messages, "no other rule may be broken")
	assert.NotZero(t, result.Codes[20], "nothing was served")
	return daemon.Workers.PeakLoad(), daemon.Log()
}
