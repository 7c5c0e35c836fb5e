package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// The codes of answers in the protocol of the routers.
const (
	codeRejected = 50
	codeAborted  = 51
)

// The objectives, as ratios.
const (
	minRatioToFlat        = 1.3  // value served with one dependency slow, over that of the flat baseline
	minRatioToUndisturbed = 0.9  // value served with one dependency slow, over that without faults
	maxAttemptsInOutage   = 1.1  // attempts per call
	minNoCallRatio        = 0.98 // value served of the route without calls in an outage, over that without faults
)

// comparison holds the results of a scenario, by seed, with budgets and with the flat baseline.
type comparison struct {
	scenario       faultScenario
	budgeted, flat []scenarioResult
}

// median returns the median of a figure over the seeds.
func median(results []scenarioResult, figure func(seed int, r scenarioResult) float64) float64 {
	var values []float64
	for seed, r := range results {
		values = append(values, figure(seed, r))
	}
	slices.Sort(values)
	return stat.Quantile(0.5, stat.LinInterp, values, nil)
}

// dependencyReport collects the figures of the last line and the missed objectives.
type dependencyReport struct {
	missed                       []error
	ratioToFlat, ratioToBaseline float64 // with one dependency slow
	attempts                     float64 // attempts per call in an outage, the maximum of the scenarios
	repeatedEffects, lateAnswers int
}

// require records a missed objective unless holds is true.
func (d *dependencyReport) require(holds bool, format string, args ...any) {
	if !holds {
		d.missed = append(d.missed, fmt.Errorf(format, args...))
	}
}

// report prints a row for each scenario and a line of figures. The error joins the missed objectives.
func report(out io.Writer, comparisons []comparison, seeds int) error {
	for _, c := range comparisons {
		for seed := range c.budgeted {
			if err := errors.Join(c.budgeted[seed].err, c.flat[seed].err); err != nil {
				return fmt.Errorf("%s: %w", c.scenario.name, err)
			}
		}
	}
	d := &dependencyReport{}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "sockets, emulated, %d seeds; budgets / flat\thonoured\tover flat\tpartial\tgiven up\tdismissed\tlate\tguests' attempts\tp50 ms\tp99 ms\tno-call type\t\n", seeds)
	for _, c := range comparisons {
		d.countViolations(c)
		d.checkObjectives(c, c.print(table, comparisons))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	d.require(d.repeatedEffects == 0, "%d effects run twice", d.repeatedEffects)
	d.require(d.lateAnswers == 0, "%d late answers", d.lateAnswers)
	fmt.Fprintf(out, "measure dependencies: ten times slower %.2f of flat (aim 1.3), %.3f of undisturbed (aim 0.9); attempts a call in an outage %.2f (aim 1.1); effects run twice %d; late answers %d; seeds %d\n",
		d.ratioToFlat, d.ratioToBaseline, d.attempts, d.repeatedEffects, d.lateAnswers, seeds)
	return errors.Join(d.missed...)
}

// countViolations counts late answers and repeated effects, and records unanswered requests and those answered twice as
// missed objectives. None of these may occur.
func (d *dependencyReport) countViolations(c comparison) {
	for seed, r := range c.budgeted {
		d.require(r.Unanswered+r.DuplicateAnswers == 0, "%s, seed %d: %d unanswered, %d answered twice", c.scenario.name, seed+1, r.Unanswered, r.DuplicateAnswers)
		d.lateAnswers += r.LateAnswers
		for _, s := range r.dependencies {
			d.repeatedEffects += s.RepeatedRuns
		}
	}
}

// scenarioFigures holds the figures of a scenario that have objectives.
type scenarioFigures struct {
	ratioToFlat     float64 // value served over that of the flat baseline
	ratioToBaseline float64 // value served over that of the baseline scenario; 0 if it was not run
	hasBaseline     bool    // the baseline scenario was run
	attempts        float64 // at the guests, per slot-check
	noCallRatio     float64 // value served of the route without calls, over that of the baseline scenario; 1 if it was not run
}

// checkObjectives compares a scenario's figures with the objectives.
func (d *dependencyReport) checkObjectives(c comparison, f scenarioFigures) {
	switch c.scenario.name {
	case "one ten times slower":
		d.ratioToFlat, d.ratioToBaseline = f.ratioToFlat, f.ratioToBaseline
		d.require(f.ratioToFlat >= minRatioToFlat, "%s: served %.2f of the flat baseline's value, want at least 1.3", c.scenario.name, f.ratioToFlat)
		d.require(!f.hasBaseline || f.ratioToBaseline >= minRatioToUndisturbed, "%s: served %.3f of the value without faults, want at least 0.9", c.scenario.name, f.ratioToBaseline)
	case "total outage of one", "130%, outage of one":
		d.attempts = max(d.attempts, f.attempts)
		d.require(f.attempts <= maxAttemptsInOutage, "%s: %.2f attempts a call, want at most 1.1", c.scenario.name, f.attempts)
		d.require(f.noCallRatio >= minNoCallRatio, "%s: the route without calls served %.3f of its value without faults, want at least 0.98", c.scenario.name, f.noCallRatio)
	}
}

// baseline returns the results with budgets, by seed, of the scenario that this one is compared with, or nil if it was
// not run.
func (c comparison) baseline(comparisons []comparison) []scenarioResult {
	name := undisturbed
	if c.scenario.baseline != "" {
		name = c.scenario.baseline
	}
	for _, other := range comparisons {
		if other.scenario.name == name {
			return other.budgeted
		}
	}
	return nil
}

// print prints the row of a scenario and returns its figures.
func (c comparison) print(table io.Writer, comparisons []comparison) scenarioFigures {
	f := scenarioFigures{noCallRatio: 1, attempts: median(c.budgeted, guestAttempts)}
	f.ratioToFlat = median(c.budgeted, func(seed int, r scenarioResult) float64 { return r.Goodput / c.flat[seed].Goodput })
	if baseline := c.baseline(comparisons); baseline != nil {
		f.hasBaseline = true
		f.ratioToBaseline = median(c.budgeted, func(seed int, r scenarioResult) float64 { return r.Goodput / baseline[seed].Goodput })
		f.noCallRatio = median(c.budgeted, func(seed int, r scenarioResult) float64 {
			return r.GoodputByRoute[noCallRoute] / max(baseline[seed].GoodputByRoute[noCallRoute], 1)
		})
	}
	late := 0
	for _, r := range c.budgeted {
		late += r.LateAnswers
	}
	both := func(figure func(int, scenarioResult) float64) (budgeted, flat float64) {
		return median(c.budgeted, figure), median(c.flat, figure)
	}
	served, flatServed := both(func(_ int, r scenarioResult) float64 { return r.Goodput / r.OfferedValue })
	aborted, flatAborted := both(codeCount(codeAborted))
	rejected, flatRejected := both(codeCount(codeRejected))
	attempts, flatAttempts := both(guestAttempts)
	p50, flatP50 := both(quantileMillis(0.5))
	p99, flatP99 := both(quantileMillis(0.99))
	fmt.Fprintf(table, "%s\t%.3f / %.3f\t%.2f\t%.0f\t%.0f / %.0f\t%.0f / %.0f\t%d\t%.2f / %.2f\t%.0f / %.0f\t%.0f / %.0f\t%.3f\t\n",
		c.scenario.name, served, flatServed, f.ratioToFlat,
		median(c.budgeted, func(_ int, r scenarioResult) float64 { return float64(r.Partial) }),
		aborted, flatAborted, rejected, flatRejected, late,
		attempts, flatAttempts, p50, flatP50, p99, flatP99, f.noCallRatio)
	return f
}

// codeCount returns a figure: the number of answers with a code.
func codeCount(code byte) func(int, scenarioResult) float64 {
	return func(_ int, r scenarioResult) float64 { return float64(r.Codes[code]) }
}

// guestAttempts returns the attempts at the guests per started slot-check, each of which makes at most one first
// attempt there. The started slot-checks are counted as the attempts at the tables less the idempotency keys there,
// which only confirm-booking sends.
func guestAttempts(_ int, r scenarioResult) float64 {
	started := float64(r.dependencies[tables].Calls - r.dependencies[tables].DistinctKeys)
	return float64(r.dependencies[guests].Calls) / max(started, 1)
}

// quantileMillis returns a figure: a quantile, in milliseconds, of the latencies of the served requests.
func quantileMillis(quantile float64) func(int, scenarioResult) float64 {
	return func(_ int, r scenarioResult) float64 {
		if len(r.Latencies) == 0 {
			return 0
		}
		return float64(r.Latencies[int(quantile*float64(len(r.Latencies)-1))].Microseconds()) / 1000
	}
}
