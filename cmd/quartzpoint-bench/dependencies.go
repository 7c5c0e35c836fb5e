package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// measureDependencies compares budgeted calls with the flat baseline, under the same arrivals and faults.
type measureDependencies struct {
	Daemon string        `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Flat   string        `default:"bin/quartzpoint-bench" help:"Path of the baseline's binary."`
	Seeds  int           `default:"10" help:"Number of runs of each scenario."`
	Span   time.Duration `default:"6s" help:"Duration of the load."`
	Only   string        `help:"Run this scenario only."`
	Rate   float64       `default:"80" help:"Requests per second."`
}

// scenarioResult is the result of one run of a scenario.
type scenarioResult struct {
	harness.Result
	dependencies [3]harness.DependencyStats
	err          error
}

// maxParallelScenarios is the number of scenarios that run at once, each with all its seeds, with budgets and with the
// flat baseline.
const maxParallelScenarios = 3

// run runs a scenario with one seed, with budgets or with the flat baseline.
func (m *measureDependencies) run(folder string, scenario faultScenario, flat bool, seed int64) (r scenarioResult) {
	routes := scenarioRoutes()
	load := harness.Arrivals(routes, m.Rate, m.Span, seed)
	var dependencies [3]*harness.Dependency
	slots, means := [3]int{24, 6, 16}, [3]time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond}
	for i := range dependencies {
		dependencies[i], r.err = harness.NewDependency(slots[i], means[i], 0.4, seed*10+int64(i), scenario.scripts[i])
		if r.err != nil {
			return r
		}
		defer dependencies[i].Close()
	}
	name := fmt.Sprintf("%s-%t-%d", strings.ReplaceAll(scenario.name, " ", "-"), flat, seed)
	config := fmt.Sprintf(scenarioConfig, folder+"/"+name+".sock",
		dependencies[tables].Address, dependencies[guests].Address, dependencies[waitlist].Address)
	machine := harness.Machine{Cores: 4, Speed: 1, MemoryKB: 64000}
	if scenario.overloaded {
		machine.Cores, machine.Speed = 2, 0.3
	}
	program, args := m.Daemon, []string{"serve"}
	if flat {
		program, args = m.Flat, []string{"flat"}
		config = strings.ReplaceAll(config, "share = ", "connections = 16\nshare = ") // the maximum instead of the default of 2, as the baseline does not limit its calls in flight
	}
	daemon, err := harness.StartWithArgs(program, args, folder, name, routes, machine, config)
	if err != nil {
		r.err = err
		return r
	}
	for _, d := range dependencies {
		d.RestartClock()
	}
	r.Result, r.err = harness.Run(daemon.Address, routes, load, int(seed))
	r.err = errors.Join(r.err, daemon.Stop())
	for i, d := range dependencies {
		r.dependencies[i] = d.Stats()
	}
	return r
}

// Run prints the table and returns an error if an objective is missed.
func (m *measureDependencies) Run() error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	scenarios := slices.DeleteFunc(faultScenarios(), func(s faultScenario) bool { return m.Only != "" && s.name != m.Only })
	comparisons := make([]comparison, len(scenarios))
	for first := 0; first < len(scenarios); first += maxParallelScenarios {
		var running sync.WaitGroup
		for i := first; i < min(first+maxParallelScenarios, len(scenarios)); i++ {
			comparisons[i] = comparison{scenarios[i], make([]scenarioResult, m.Seeds), make([]scenarioResult, m.Seeds)}
			for seed := range m.Seeds {
				running.Add(2)
				go func() {
					defer running.Done()
					comparisons[i].budgeted[seed] = m.run(folder, scenarios[i], false, int64(seed+1))
				}()
				go func() {
					defer running.Done()
					comparisons[i].flat[seed] = m.run(folder, scenarios[i], true, int64(seed+1))
				}()
			}
		}
		running.Wait()
	}
	return report(os.Stdout, comparisons, m.Seeds)
}
