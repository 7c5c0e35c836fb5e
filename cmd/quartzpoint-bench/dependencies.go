package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"quartzpoint/internal/testkit/harness"
)

// measureDependencies compares budgeted calls with the flat baseline, under the same arrivals and scripts.
type measureDependencies struct {
	Daemon string        `default:"bin/quartzpoint" help:"The daemon's program."`
	Flat   string        `default:"bin/quartzpoint-bench" help:"The baseline's program."`
	Seeds  int           `default:"10" help:"Runs of each script."`
	Span   time.Duration `default:"6s" help:"Of the load."`
	Only   string        `help:"One script alone."`
	Rate   float64       `default:"80" help:"Tasks a second."`
}

const (
	tables   = iota // needed by all
	guests          // by slot-check, which can do without
	waitlist        // by confirm-booking, with effects
)

// faultScenario is a script for the three dependencies.
type faultScenario struct {
	name       string
	scripts    [3]harness.Script
	overloaded bool   // workers at 130% by the type that needs no call
	baseline   string // the trial that it is compared with; undisturbed where none is named
}

func always(m harness.Mood) harness.Script { return func(time.Duration) harness.Mood { return m } }

// between is a mood between two moments.
func moodBetween(from, to time.Duration, m harness.Mood) harness.Script {
	return func(at time.Duration) harness.Mood {
		if at >= from && at < to {
			return m
		}
		return harness.Mood{}
	}
}

func faultScenarios() []faultScenario {
	return []faultScenario{
		{name: "undisturbed"},
		{name: "one ten times slower", scripts: [3]harness.Script{guests: always(harness.Mood{Slow: 10})}},
		{name: "total outage of one", scripts: [3]harness.Script{guests: always(harness.Mood{Errors: true})}},
		{name: "one silent for 3 s", scripts: [3]harness.Script{guests: moodBetween(time.Second, 4*time.Second, harness.Mood{Silent: true})}},
		{name: "two: silence and errors", scripts: [3]harness.Script{guests: moodBetween(time.Second, 4*time.Second, harness.Mood{Silent: true}),
			waitlist: moodBetween(time.Second, 4*time.Second, harness.Mood{Errors: true})}},
		{name: "flaps each second", scripts: [3]harness.Script{guests: func(at time.Duration) harness.Mood {
			return harness.Mood{Errors: int(at/time.Second)%2 == 1}
		}}},
		{name: "garbage for 2 s", scripts: [3]harness.Script{guests: moodBetween(time.Second, 3*time.Second, harness.Mood{Garbage: true})}},
		{name: "effects answered late", scripts: [3]harness.Script{waitlist: moodBetween(time.Second, 4*time.Second, harness.Mood{Late: 3 * time.Second})}},
		{name: "restart, slow at first", scripts: [3]harness.Script{guests: func(at time.Duration) harness.Mood {
			return harness.Mood{Down: at >= time.Second && at < 2*time.Second, Slow: max(1, 6-2*(at-2*time.Second).Seconds())}
		}}},
		{name: "130%, undisturbed", overloaded: true},
		{name: "130%, outage of one", overloaded: true, baseline: "130%, undisturbed",
			scripts: [3]harness.Script{guests: always(harness.Mood{Errors: true})}},
	}
}

const scenarioConfig = `
[control]
socket = %q
[dependencies.tables]
address = %q
share = 24
[dependencies.guests]
address = %q
share = 12
[dependencies.waitlist]
address = %q
share = 16
[types.slot-check]
reserve = "30ms"
[[types.slot-check.calls]]
name = "table-map"
dependency = "tables"
needed = true
importance = 8
expected = "20ms"
second-attempt = true
hedge = true
[[types.slot-check.calls]]
name = "guest-profile"
dependency = "guests"
importance = 2
expected = "30ms"
second-attempt = true
[types.confirm-booking]
reserve = "30ms"
[[types.confirm-booking.calls]]
name = "hold"
dependency = "tables"
needed = true
importance = 4
expected = "20ms"
effect = "numbered"
second-attempt = true
[[types.confirm-booking.calls]]
name = "deposit"
dependency = "waitlist"
after = ["hold"]
needed = true
importance = 4
expected = "40ms"
effect = "at-most-once"
`

// The types of the drills: two are made of calls, one is run by the pool and needs none.
func scenarioRoutes() []harness.Route {
	return []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 800 * time.Millisecond, Deadline: 2 * time.Second, Share: 0.6,
			Work: time.Millisecond, Composed: true},
		{Name: "confirm-booking", Value: 4, LatencyTarget: 1500 * time.Millisecond, Deadline: 3 * time.Second, Once: true,
			Share: 0.15, Work: time.Millisecond, Composed: true},
		{Name: "guest-note", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 0.25,
			Work: 40 * time.Millisecond, Spread: 0.5},
	}
}

// scenarioResult is what one run gave.
type scenarioResult struct {
	harness.Result
	seen [3]harness.Seen
	err  error
}

func (m *measureDependencies) run(folder string, d faultScenario, flat bool, seed int64) (r scenarioResult) {
	types := scenarioRoutes()
	load := harness.Arrivals(types, m.Rate, m.Span, seed)
	var deps [3]*harness.Dependency
	slots, means := [3]int{24, 6, 16}, [3]time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond}
	for i := range deps {
		if deps[i], r.err = harness.NewDependency(slots[i], means[i], 0.4, seed*10+int64(i), d.scripts[i]); r.err != nil {
			return r
		}
		defer deps[i].Close()
	}
	name := fmt.Sprintf("%s-%t-%d", strings.ReplaceAll(d.name, " ", "-"), flat, seed)
	own := fmt.Sprintf(scenarioConfig, folder+"/"+name+".sock", deps[0].Address, deps[1].Address, deps[2].Address)
	machine := harness.Machine{Cores: 4, Speed: 1, KB: 64000}
	if d.overloaded {
		machine.Cores, machine.Speed = 2, 0.3
	}
	program, args := m.Daemon, []string{"serve"}
	if flat {
		program, args = m.Flat, []string{"flat"}
		own = strings.ReplaceAll(own, "share = ", "connections = 16\nshare = ") // nothing bounds its calls
	}
	daemon, err := harness.StartAs(program, args, folder, name, types, machine, own)
	if err != nil {
		r.err = err
		return r
	}
	for _, dep := range deps {
		dep.Begin()
	}
	r.Result, r.err = harness.Run(daemon.Address, types, load, int(seed))
	r.err = errors.Join(r.err, daemon.Stop())
	for i, dep := range deps {
		r.seen[i] = dep.Seen()
	}
	return r
}

// Run prints the table and fails where an aim is missed.
func (m *measureDependencies) Run() error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	all := slices.DeleteFunc(faultScenarios(), func(d faultScenario) bool { return m.Only != "" && d.name != m.Only })
	budgets, flats := make([][]scenarioResult, len(all)), make([][]scenarioResult, len(all))
	const together = 3 // scripts at once
	for first := 0; first < len(all); first += together {
		var running sync.WaitGroup
		for i := first; i < min(first+together, len(all)); i++ {
			budgets[i], flats[i] = make([]scenarioResult, m.Seeds), make([]scenarioResult, m.Seeds)
			for seed := range m.Seeds {
				for _, isFlat := range []bool{false, true} {
					running.Add(1)
					go func() {
						defer running.Done()
						into := &budgets[i][seed]
						if isFlat {
							into = &flats[i][seed]
						}
						*into = m.run(folder, all[i], isFlat, int64(seed+1))
					}()
				}
			}
		}
		running.Wait()
	}
	return m.report(all, budgets, flats)
}

func median(results []scenarioResult, of func(int, scenarioResult) float64) float64 {
	var v []float64
	for i, r := range results {
		v = append(v, of(i, r))
	}
	slices.Sort(v)
	return stat.Quantile(0.5, stat.LinInterp, v, nil)
}

func (m *measureDependencies) report(all []faultScenario, budgets, flats [][]scenarioResult) error {
	var short []error
	aim := func(holds bool, words string, of ...any) {
		if !holds {
			short = append(short, fmt.Errorf(words, of...))
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "sockets, emulated, %d seeds; budgets / flat\thonoured\tover flat\tpartial\tgiven up\tdismissed\tlate\tguests' attempts\tp50 ms\tp99 ms\tno-call type\t\n", m.Seeds)
	var slowOver, slowOf, outage float64
	twice, late := 0, 0
	for i, d := range all {
		b, f := budgets[i], flats[i]
		beside := "undisturbed"
		if d.baseline != "" {
			beside = d.baseline
		}
		quiet := slices.IndexFunc(all, func(d faultScenario) bool { return d.name == beside })
		for k := range b {
			if err := errors.Join(b[k].err, f[k].err); err != nil {
				return fmt.Errorf("%s: %w", d.name, err)
			}
			aim(b[k].Unanswered+b[k].Twice == 0, "%s, seed %d: %d unanswered, %d answered twice", d.name, k+1, b[k].Unanswered, b[k].Twice)
			late += b[k].Late
			for _, s := range b[k].seen {
				twice += s.Twice
			}
		}
		honoured := func(_ int, r scenarioResult) float64 { return r.Honoured / r.Offered }
		count := func(code byte) func(int, scenarioResult) float64 {
			return func(_ int, r scenarioResult) float64 { return float64(r.Codes[code]) }
		}
		over := median(b, func(k int, r scenarioResult) float64 { return r.Honoured / f[k].Honoured })
		// Calls of the guests over the slot-checks that were started: each makes one first attempt there at the most.
		attempts := func(_ int, r scenarioResult) float64 {
			started := float64(r.seen[tables].Calls - r.seen[tables].Numbers)
			return float64(r.seen[guests].Calls) / max(started, 1)
		}
		q := func(p float64) func(int, scenarioResult) float64 {
			return func(_ int, r scenarioResult) float64 {
				if len(r.Took) == 0 {
					return 0
				}
				return float64(r.Took[int(p*float64(len(r.Took)-1))].Microseconds()) / 1000
			}
		}
		none := func(_ int, r scenarioResult) float64 { return r.ByType[2] }
		noneOver := 1.0
		if quiet >= 0 {
			noneOver = median(b, func(k int, r scenarioResult) float64 { return none(k, r) / max(budgets[quiet][k].ByType[2], 1) })
		}
		fmt.Fprintf(table, "%s\t%.3f / %.3f\t%.2f\t%.0f\t%.0f / %.0f\t%.0f / %.0f\t%d\t%.2f / %.2f\t%.0f / %.0f\t%.0f / %.0f\t%.3f\t\n",
			d.name, median(b, honoured), median(f, honoured), over,
			median(b, func(_ int, r scenarioResult) float64 { return float64(r.Partial) }),
			median(b, count(51)), median(f, count(51)), median(b, count(50)), median(f, count(50)),
			func() (n int) {
				for _, r := range b {
					n += r.Late
				}
				return n
			}(),
			median(b, attempts), median(f, attempts), median(b, q(0.5)), median(f, q(0.5)), median(b, q(0.99)), median(f, q(0.99)),
			noneOver)
		switch d.name {
		case "one ten times slower":
			slowOver = over
			if quiet >= 0 {
				slowOf = median(b, func(k int, r scenarioResult) float64 { return r.Honoured / budgets[quiet][k].Honoured })
			}
			aim(slowOver >= 1.3, "%s: %.2f of the baseline, 1.3 is aimed at", d.name, slowOver)
			aim(quiet < 0 || slowOf >= 0.9, "%s: %.3f of undisturbed, 0.9 is aimed at", d.name, slowOf)
		case "total outage of one", "130%, outage of one":
			outage = max(outage, median(b, attempts))
			aim(median(b, attempts) <= 1.1, "%s: %.2f attempts a call, 1.1 is aimed at", d.name, median(b, attempts))
			aim(noneOver >= 0.98, "%s: the type without calls at %.3f of undisturbed, 0.98 is aimed at", d.name, noneOver)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	aim(twice == 0, "%d effects run twice", twice)
	aim(late == 0, "%d late answers", late)
	fmt.Printf("measure dependencies: ten times slower %.2f of flat (aim 1.3), %.3f of undisturbed (aim 0.9); attempts a call in an outage %.2f (aim 1.1); effects run twice %d; late answers %d; seeds %d\n",
		slowOver, slowOf, outage, twice, late, m.Seeds)
	return errors.Join(short...)
}
