package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"quartzpoint/baseline"
	"quartzpoint/emulator"
	"quartzpoint/internal/testkit/experiment"
	"quartzpoint/scenario"
)

// measureEmulator compares the emulator with real daemons, measures its speed and compares policies over drills.
type measureEmulator struct {
	Daemon string   `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Seeds  int      `default:"10" help:"Number of runs of each script, both on real daemons and emulated."`
	Drills []string `default:"drills/calm.drill,drills/overload.drill,drills/slow-zone.drill,drills/bursts.drill,drills/pause.drill,drills/deploy-kill.drill" help:"Drills for the comparison of policies."`
	Rounds int      `default:"3" help:"Number of seeds for the comparison of policies."`
	Only   []string `help:"Run only these parts: real, speed, policies."`
}

// scripts returns the names and texts of the drills that run both on a real daemon and emulated. The router makes one
// attempt per request, so that the outcome of a request depends on the server only.
func scripts() [][2]string {
	const oneServer = "servers 1 zones 1 cores 2\nhabits round tries 1\nnetwork delay 50us lag 0s\n"
	return [][2]string{
		{"calm 60%", oneServer + "load 60% for 6s"},
		{"full 100%", oneServer + "load 100% for 6s"},
		{"over 130%", oneServer + "load 130% for 6s"},
		{"over 200%", oneServer + "load 200% for 6s"},
		{"booking 120%", "servers 1 zones 1 cores 4 mix booking\nhabits round tries 1\nnetwork delay 50us\nload 120% for 8s"},
		{"bursts", oneServer + "load 60% for 8s bursts 4 every 3s"},
		{"slow pool", oneServer + "load 70% for 7s\nat 2s for 2s slow server 0 by 3"},
		{"pause", oneServer + "load 60% for 7s\nat 2s for 1s pause server 0"},
		{"cold start", "servers 1 zones 1 cores 2 cold 30% warm 4s\nhabits round tries 1\nnetwork delay 50us\nload 90% for 7s"},
	}
}

// comparedRun holds the results of one run of a script, on real daemons and emulated.
type comparedRun struct {
	real, emulated outcomeShares
	violations     int // on both sides together; set by compareFleet only
}

// fleetScript is a rolling deploy of eight servers, during which a fifth of them is killed.
const (
	fleetName   = "deploy and kill, 8 servers"
	fleetScript = "servers 8 zones 2 cores 2\nhabits round tries 3\nnetwork delay 50us lag 0s\nload 100% for 9s\n" +
		"at 1s deploy each 800ms within 1.5s\nat 4s for 2s kill 20% of servers\n"
	fleetSeeds = 5
)

// startFleetRuns runs fleetScript with all its seeds in the background. The results and the joined errors are each sent
// once.
func (m *measureEmulator) startFleetRuns(folder string) (<-chan []comparedRun, <-chan error) {
	done, failed := make(chan []comparedRun, 1), make(chan error, 1)
	d, err := scenario.Parse(fleetName, fleetScript)
	if err != nil {
		done <- nil
		failed <- err
		return done, failed
	}
	go func() {
		runs, errs := make([]comparedRun, fleetSeeds), make([]error, fleetSeeds)
		var running sync.WaitGroup
		for seed := range fleetSeeds {
			running.Add(1)
			go func() {
				defer running.Done()
				runs[seed], errs[seed] = m.compareFleet(folder, d, int64(seed+1))
			}()
		}
		running.Wait()
		done <- runs
		failed <- errors.Join(errs...)
	}()
	return done, failed
}

// compareFleet runs a drill with one seed on real daemons and emulated. Unlike in real, unanswered requests are not
// violations, since an at-most-once request whose connection is closed by a kill is not retried.
func (m *measureEmulator) compareFleet(folder string, d *scenario.Drill, seed int64) (p comparedRun, err error) {
	load := d.Arrivals(seed)
	r, report, err := runFleet(m.Daemon, folder, d, seed, load)
	if err != nil {
		return p, err
	}
	e := d.EmulateLoad(emulator.QuartzpointPolicy, seed, load)
	return comparedRun{measuredShares(r), emulatedShares(e), r.DuplicateAnswers + report.Total() + e.Rules.Total()}, nil
}

func countViolations(runs []comparedRun) (n int) {
	for _, p := range runs {
		n += p.violations
	}
	return n
}

// outcomeShares holds the shares of requests that were rejected and aborted, and the share of the offered value that
// was served.
type outcomeShares struct{ goodput, rejected, aborted float64 }

// Run prints the tables and returns an error if an objective is missed.
func (m *measureEmulator) Run() error {
	var objectives []objective
	var summaries []string
	for _, part := range []struct {
		name string
		do   func() ([]objective, string, error)
	}{{"real", m.real}, {"speed", m.speed}, {"policies", m.policies}} {
		if len(m.Only) > 0 && !strings.Contains(strings.Join(m.Only, ","), part.name) {
			continue
		}
		more, summary, err := part.do()
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		objectives, summaries = append(objectives, more...), append(summaries, summary)
	}
	fmt.Printf("measure emulator: %s\n", strings.Join(summaries, ", "))
	return missedObjectives(objectives)
}

// real runs the same scripts and arrivals on real daemons and on emulated ones, and compares the outcomes.
func (m *measureEmulator) real() (objectives []objective, summary string, err error) {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fleets, fleetErr := m.startFleetRuns(folder)
	all := scripts()
	results := make([][]comparedRun, len(all))
	failed := make([]error, len(all)*m.Seeds)
	violations := make([]int, len(all))
	var running sync.WaitGroup
	var mu sync.Mutex
	for i, s := range all {
		d, err := scenario.Parse(s[0], s[1])
		if err != nil {
			return nil, "", err
		}
		results[i] = make([]comparedRun, m.Seeds)
		for seed := range m.Seeds {
			running.Add(1)
			go func() {
				defer running.Done()
				load := d.Arrivals(int64(seed + 1))
				r, report, err := runFleet(m.Daemon, folder, d, int64(1000*i+seed), load)
				failed[i*m.Seeds+seed] = err
				e := d.EmulateLoad(emulator.QuartzpointPolicy, int64(seed+1), load)
				results[i][seed] = comparedRun{measuredShares(r), emulatedShares(e), 0}
				mu.Lock()
				violations[i] += r.Unanswered + r.DuplicateAnswers + report.Total() + e.Rules.Total()
				mu.Unlock()
			}()
		}
	}
	running.Wait()
	fleet := <-fleets
	if err := errors.Join(append(failed, <-fleetErr)...); err != nil {
		return nil, "", err
	}
	all, results, violations = append(all, [2]string{fleetName}), append(results, fleet), append(violations, countViolations(fleet))
	return m.printComparison(all, results, violations)
}

// printComparison prints the mean shares of each script on real daemons and emulated, and returns the objectives.
func (m *measureEmulator) printComparison(all [][2]string, results [][]comparedRun, violations []int) (objectives []objective, summary string, err error) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "one server, %d seeds\thonoured: sockets\temulated\toff by\tdismissed: sockets\temulated\tgiven up: sockets\temulated\t\n", m.Seeds)
	maxDifference, totalViolations := 0.0, 0
	for i, s := range all {
		mean := func(figure func(p comparedRun) float64) float64 {
			var values []float64
			for _, p := range results[i] {
				values = append(values, figure(p))
			}
			return stat.Mean(values, nil)
		}
		realGoodput, emulatedGoodput := mean(func(p comparedRun) float64 { return p.real.goodput }), mean(func(p comparedRun) float64 { return p.emulated.goodput })
		realRejected, emulatedRejected := mean(func(p comparedRun) float64 { return p.real.rejected }), mean(func(p comparedRun) float64 { return p.emulated.rejected })
		realAborted, emulatedAborted := mean(func(p comparedRun) float64 { return p.real.aborted }), mean(func(p comparedRun) float64 { return p.emulated.aborted })
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.1f%%\t%.3f\t%.3f\t%.3f\t%.3f\t\n", s[0], realGoodput, emulatedGoodput, 100*(emulatedGoodput/realGoodput-1), realRejected, emulatedRejected, realAborted, emulatedAborted)
		difference := max(math.Abs(emulatedGoodput/realGoodput-1), math.Abs(realRejected-emulatedRejected), math.Abs(realAborted-emulatedAborted))
		maxDifference, totalViolations = max(maxDifference, difference), totalViolations+violations[i]
		objectives = append(objectives, objective{s[0] + ": maximum difference from sockets of the value served, relative, or of the share rejected or aborted", difference, 0, 0.05})
	}
	objectives = append(objectives, objective{"rules broken", float64(totalViolations), 0, 0})
	return objectives, fmt.Sprintf("off sockets by %.1f%% at the most, rules broken %d", 100*maxDifference, totalViolations), table.Flush()
}

func emulatedShares(r emulator.Result) outcomeShares {
	n := float64(max(r.Requests, 1))
	return outcomeShares{r.Goodput / max(r.OfferedValue, 1e-9), float64(r.Rejected) / n, float64(r.Aborted) / n}
}

// speed measures the time and memory of an emulation of a thousand servers and a million requests.
func (m *measureEmulator) speed() ([]objective, string, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	d, err := scenario.Parse("large", "servers 1000 zones 3 cores 4\nhabits random tries 3 budget 20% heeding\nload 80% for 10s\nat 4s for 4s kill 5% of servers")
	if err != nil {
		return nil, "", err
	}
	start := time.Now()
	r := d.Emulate(emulator.QuartzpointPolicy, 1)
	took := time.Since(start)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Printf("1,000 servers, %d requests on one processor: %v, %.0f events a second, %.0f MB, served %.3f of the value\n",
		r.Requests, took.Round(time.Millisecond), float64(r.Events)/took.Seconds(), float64(memory.Sys)/(1<<20), r.Goodput/r.OfferedValue)
	return []objective{
		{"tasks", float64(r.Requests), 1e6, math.Inf(1)}, {"seconds", took.Seconds(), 0, 60},
		{"memory, MB", float64(memory.Sys) / (1 << 20), 0, 4096}, {"rules broken", float64(r.Rules.Total()), 0, 0},
	}, fmt.Sprintf("a million tasks in %.1f s, %.2f million events a second", took.Seconds(), float64(r.Events)/took.Seconds()/1e6), nil
}

// policies runs the drills with all policies and prints their tables.
func (m *measureEmulator) policies() ([]objective, string, error) {
	type job struct {
		d      *scenario.Drill
		policy string
		seed   int64
	}
	var jobs []job
	for _, file := range m.Drills {
		d, err := readDrill(file)
		if err != nil {
			return nil, "", err
		}
		for _, policy := range append([]string{"quartzpoint"}, baseline.Names()...) {
			for seed := range m.Rounds {
				jobs = append(jobs, job{d, policy, int64(seed + 1)})
			}
		}
	}
	runs := make([]experiment.Run, len(jobs))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, j := range jobs {
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer running.Done()
			policy, _ := baseline.PolicyByName(j.policy) // the name is one of the registered ones
			runs[i] = experiment.RunDrill(j.d, j.policy, policy, j.seed)
			<-slots
		}()
	}
	running.Wait()
	cells := experiment.Cells(runs)
	if err := errors.Join(experiment.Table(os.Stdout, cells), experiment.Overall(os.Stdout, cells)); err != nil {
		return nil, "", err
	}
	violations := 0
	for _, c := range cells {
		if c.Policy == "quartzpoint" {
			for _, b := range c.Violations {
				violations += b
			}
		}
	}
	return []objective{{"rules broken by this project", float64(violations), 0, 0}}, fmt.Sprintf("%d drills by %d policies", len(m.Drills), 1+len(baseline.Names())), nil
}
