package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// objective is a figure with the range that it must be in.
type objective struct {
	what        string
	value       float64
	least, most float64
}

// excess is by how many standard errors a group is ahead of its cold twins, over the seeds, at the moment at which that is
// most, and by how many requests. The errors are those of both kinds of pairs together, as at most moments one alone has few.
func excess(results []pairResult) (most, requests float64) {
	n := float64(len(results))
	for at := range results[0].more {
		var sum, squares float64
		for _, r := range results {
			sum += r.more[at]
			squares += r.more[at]*r.more[at]/2 + r.twinsMore[at]*r.twinsMore[at]/2
		}
		if squares > 0 && sum/math.Sqrt(squares) > most {
			most, requests = sum/math.Sqrt(squares), sum/n
		}
	}
	return most, requests
}

// certain is the number of standard errors by which a figure must miss its range to count as a miss: twins on sockets differ
// by the moments at which things are read.
const certain = 3.5

// sortedMedian is the median of sorted values.
func sortedMedian(sorted []float64) float64 { return stat.Quantile(0.5, stat.LinInterp, sorted, nil) }

// column returns a figure of all seeds, sorted.
func column(results []pairResult, get func(pairResult) float64) (values []float64) {
	for _, r := range results {
		values = append(values, get(r))
	}
	slices.Sort(values)
	return values
}

// chance returns the mean of a figure, and what it may fall to by chance: 1 less the standard errors that the figure and its
// twins show.
func chance(values, twins []float64) (mean, lowest float64) {
	spread := stat.StdDev(append(slices.Clone(values), twins...), nil)
	return stat.Mean(values, nil), 1 - certain*spread/math.Sqrt(float64(len(values)))
}

// report prints the figures of all seeds and returns an error for those out of their range.
func (m *measurePeers) report(results []pairResult) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "sockets, emulated workers, %d seeds of %d newcomers, load %.0f%%\tmedian\tworst\tbest\t\n",
		m.Seeds, m.Group, 100*m.Load)
	line := func(name string, get func(pairResult) float64) []float64 {
		values := column(results, get)
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t\n", name, sortedMedian(values), values[0], values[len(values)-1])
		return values
	}
	fresh := line("fresh view, honoured over cold", func(r pairResult) float64 { return r.fresh })
	old := line("view of 5 min, pool at a third: honoured over cold", func(r pairResult) float64 { return r.old })
	twins := line("  a second cold twin (noise)", func(r pairResult) float64 { return r.twins })
	young := line("view of 10 s, pool at a third: honoured over cold", func(r pairResult) float64 { return r.young })
	asked := line("asked 10 times a second at 130%: over unasked", func(r pairResult) float64 { return r.asked })
	askedTwins := line("  a second unasked twin (noise)", func(r pairResult) float64 { return r.askedTwins })
	broken, err := printFetches(table, results)
	if err != nil {
		return err
	}
	oldMean, oldLowest := chance(old, twins)
	youngMean, youngLowest := chance(young, twins)
	askedMean, askedLowest := chance(asked, askedTwins)
	ahead, requests := excess(results)
	fmt.Printf("view of 5 min: ahead of cold in started tasks by %.1f standard errors at the most (%.1f tasks a group)\n", ahead, requests)
	fmt.Printf("measure peers: fresh %.3f (worst %.3f), old mean %.3f (chance down to %.3f), started ahead %.1f errors, "+
		"asked mean %.3f (chance down to %.3f), rules broken %d, seeds %d\n",
		sortedMedian(fresh), fresh[0], oldMean, oldLowest, ahead, askedMean, askedLowest, broken, m.Seeds)
	return missedObjectives([]objective{
		{"fresh view, median", sortedMedian(fresh), 1, math.Inf(1)}, {"fresh view, worst seed", fresh[0], 0.98, math.Inf(1)},
		{"old view, mean", oldMean, oldLowest, math.Inf(1)}, {"old view, started ahead", ahead, 0, certain},
		{"young view, mean", youngMean, youngLowest, math.Inf(1)},
		{"asked, mean", askedMean, askedLowest, math.Inf(1)}, {"rules broken", float64(broken), 0, 0},
	})
}

// printFetches ends the table with the cost of a fetch and the rules that were broken, of which it returns the number.
func printFetches(table *tabwriter.Writer, results []pairResult) (broken int, err error) {
	took := column(results, func(r pairResult) float64 { return float64(r.askTook.Microseconds()) / 1000 })
	answered := column(results, func(r pairResult) float64 { return float64(r.asks) })
	fmt.Fprintf(table, "one ask, ms: %.0f bytes of view, %.0f or more answered a seed\t%.2f\t%.2f\t%.2f\t\n",
		results[0].askBytes, answered[0], sortedMedian(took), took[len(took)-1], took[0])
	for i, r := range results {
		for _, words := range r.broken {
			broken++
			fmt.Fprintf(table, "seed %d: %s\t\t\t\t\n", i+1, words)
		}
	}
	if err := table.Flush(); err != nil {
		return broken, fmt.Errorf("print table: %w", err)
	}
	return broken, nil
}
