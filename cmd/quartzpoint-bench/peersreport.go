package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// objective is a figure and the range that it must be in.
type objective struct {
	name     string
	value    float64
	min, max float64
}

// maxExcess returns the largest mean lead of a group over its cold twin in started requests, over all sampled moments:
// as a multiple of its standard error over the seeds, and in requests. The standard error is estimated from the
// differences between the group and its cold twin together with those between two cold twins, since at most moments one
// of the two sets alone has few differences that are not 0.
func maxExcess(results []peersResult) (maximum, requests float64) {
	n := float64(len(results))
	for at := range results[0].extraStarts {
		var sum, squares float64
		for _, r := range results {
			sum += r.extraStarts[at]
			squares += r.extraStarts[at]*r.extraStarts[at]/2 + r.twinExtraStarts[at]*r.twinExtraStarts[at]/2
		}
		if squares > 0 && sum/math.Sqrt(squares) > maximum {
			maximum, requests = sum/math.Sqrt(squares), sum/n
		}
	}
	return maximum, requests
}

// maxStandardErrors is the number of standard errors by which a figure may be out of its range by chance: twin groups of
// real daemons differ by the moments at which these read their inputs.
const maxStandardErrors = 3.5

// sortedMedian returns the median of sorted values.
func sortedMedian(sorted []float64) float64 { return stat.Quantile(0.5, stat.LinInterp, sorted, nil) }

// sortedFigure returns the values of a figure over all seeds, sorted.
func sortedFigure(results []peersResult, get func(peersResult) float64) (values []float64) {
	for _, r := range results {
		values = append(values, get(r))
	}
	slices.Sort(values)
	return values
}

// meanAndNoiseFloor returns the mean of a ratio over the seeds, and the lowest mean that can be a ratio of 1 with noise:
// maxStandardErrors standard errors below 1. The standard error is estimated from the values together with twins, the
// same ratio between two groups of the same kind.
func meanAndNoiseFloor(values, twins []float64) (mean, floor float64) {
	spread := stat.StdDev(append(slices.Clone(values), twins...), nil)
	return stat.Mean(values, nil), 1 - maxStandardErrors*spread/math.Sqrt(float64(len(values)))
}

// report prints the figures of all seeds and returns an error for those out of their range.
func (m *measurePeers) report(results []peersResult) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "sockets, emulated workers, %d seeds of %d newcomers, load %.0f%%\tmedian\tworst\tbest\t\n",
		m.Seeds, m.Group, 100*m.Load)
	line := func(name string, get func(peersResult) float64) []float64 {
		values := sortedFigure(results, get)
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t\n", name, sortedMedian(values), values[0], values[len(values)-1])
		return values
	}
	fresh := line("fresh snapshot, value served over cold", func(r peersResult) float64 { return r.fresh })
	stale := line("snapshot of 5 min, pool at a third: value served over cold", func(r peersResult) float64 { return r.stale })
	twins := line("  a second cold twin (noise)", func(r peersResult) float64 { return r.twins })
	recent := line("snapshot of 10 s, pool at a third: value served over cold", func(r peersResult) float64 { return r.recent })
	polled := line("polled 10 times a second at 130%: over unpolled", func(r peersResult) float64 { return r.polled })
	unpolledTwins := line("  a second unpolled twin (noise)", func(r peersResult) float64 { return r.unpolledTwins })
	violations, err := printFetches(table, results)
	if err != nil {
		return err
	}
	staleMean, staleFloor := meanAndNoiseFloor(stale, twins)
	recentMean, recentFloor := meanAndNoiseFloor(recent, twins)
	polledMean, polledFloor := meanAndNoiseFloor(polled, unpolledTwins)
	lead, requests := maxExcess(results)
	fmt.Printf("snapshot of 5 min: ahead of cold in started requests by at most %.1f standard errors (%.1f requests a group)\n", lead, requests)
	fmt.Printf("measure peers: fresh %.3f (worst %.3f), old mean %.3f (chance down to %.3f), started ahead %.1f errors, "+
		"asked mean %.3f (chance down to %.3f), rules broken %d, seeds %d\n",
		sortedMedian(fresh), fresh[0], staleMean, staleFloor, lead, polledMean, polledFloor, violations, m.Seeds)
	return missedObjectives([]objective{
		{"fresh snapshot, median", sortedMedian(fresh), 1, math.Inf(1)}, {"fresh snapshot, worst seed", fresh[0], 0.98, math.Inf(1)},
		{"stale snapshot, mean", staleMean, staleFloor, math.Inf(1)}, {"stale snapshot, lead in started requests", lead, 0, maxStandardErrors},
		{"recent snapshot, mean", recentMean, recentFloor, math.Inf(1)},
		{"polled, mean", polledMean, polledFloor, math.Inf(1)}, {"rules broken", float64(violations), 0, 0},
	})
}

// printFetches prints the rows of the cost of a fetch and of the violated rules, and flushes the table. It returns the
// number of violations.
func printFetches(table *tabwriter.Writer, results []peersResult) (violations int, err error) {
	durations := sortedFigure(results, func(r peersResult) float64 { return float64(r.fetchDuration.Microseconds()) / 1000 })
	answered := sortedFigure(results, func(r peersResult) float64 { return float64(r.fetches) })
	fmt.Fprintf(table, "one fetch, ms: %.0f bytes of snapshot, %.0f or more answered a seed\t%.2f\t%.2f\t%.2f\t\n",
		results[0].snapshotBytes, answered[0], sortedMedian(durations), durations[len(durations)-1], durations[0])
	for i, r := range results {
		for _, message := range r.violations {
			violations++
			fmt.Fprintf(table, "seed %d: %s\t\t\t\t\n", i+1, message)
		}
	}
	if err := table.Flush(); err != nil {
		return violations, fmt.Errorf("print table: %w", err)
	}
	return violations, nil
}
