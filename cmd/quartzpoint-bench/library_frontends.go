package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"

	"quartzpoint/cmd/quartzpoint-bench/fronts"
	"quartzpoint/internal/testkit/conformance"
)

const (
	// concurrentSeeds is the number of seeds that run at once. With more, the front ends would delay each other by
	// their own work.
	concurrentSeeds = 5
	// maxDifferencePercent is the objective for frontEndsResult.maxDifference, in percent.
	maxDifferencePercent = 1
)

// frontEnd is one of the compared ways in which requests reach the admission decisions.
type frontEnd struct {
	name        string
	carriesKeys bool // supports idempotency keys
	// start starts an instance. The name is unique among the instances.
	start func(name string) (conformance.FrontEnd, error)
}

// frontEndsResult is the result of compareFrontEnds.
type frontEndsResult struct {
	maxDifference float64 // share of requests whose outcome differs from the reference front end, maximum of the front ends
	missed        error   // the missed objectives, nil for none
}

// frontEndTotals holds the counts summed over all seeds, by index of the front end, then of the case.
type frontEndTotals [][]conformance.Counts

// compareFrontEnds runs the conformance cases on all front ends and prints a table of their outcomes.
func (m *measureLibrary) compareFrontEnds() (result frontEndsResult, err error) {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return result, fmt.Errorf("create a folder for the daemons: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	frontEnds := []frontEnd{
		{"daemon", false, func(name string) (conformance.FrontEnd, error) { return conformance.NewDaemon(m.Daemon, folder, name) }},
		{"library", true, func(string) (conformance.FrontEnd, error) { return fronts.NewLibrary() }},
		{"net/http", true, func(string) (conformance.FrontEnd, error) { return fronts.NewHTTP() }},
		{"gin", true, func(string) (conformance.FrontEnd, error) { return fronts.NewGin() }},
	}
	totals, err := m.runConformance(frontEnds)
	if err != nil {
		return result, err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	violations := printOutcomes(table, frontEnds, totals)
	result.maxDifference = totals.maxDifference()
	if result.maxDifference > maxDifferencePercent/100. {
		violations = append(violations, fmt.Errorf("counts differ by %.2f%%, want at most %d%%", 100*result.maxDifference, maxDifferencePercent))
	}
	result.missed = errors.Join(violations...)
	return result, table.Flush()
}

// runConformance runs all cases with all seeds, each on a new instance of each front end.
func (m *measureLibrary) runConformance(frontEnds []frontEnd) (frontEndTotals, error) {
	totals := make(frontEndTotals, len(frontEnds))
	for f := range totals {
		totals[f] = make([]conformance.Counts, len(conformance.Cases(0)))
	}
	var mu sync.Mutex // guards totals and failures
	var failures []error
	for firstSeed := 0; firstSeed < m.Seeds; firstSeed += concurrentSeeds {
		var running sync.WaitGroup
		for seed := firstSeed; seed < min(firstSeed+concurrentSeeds, m.Seeds); seed++ {
			for f, front := range frontEnds {
				for i, c := range conformance.Cases(int64(seed)) {
					if c.NeedsKeys && !front.carriesKeys {
						continue
					}
					running.Add(1)
					go func() {
						defer running.Done()
						counts, err := runCase(front, fmt.Sprintf("f%d-%d-%d", f, seed, i), c)
						mu.Lock()
						defer mu.Unlock()
						failures = append(failures, err)
						addCounts(&totals[f][i], counts)
					}()
				}
			}
		}
		running.Wait()
	}
	return totals, errors.Join(failures...)
}

// runCase runs a case on a new instance of a front end.
func runCase(front frontEnd, instance string, c conformance.Case) (counts conformance.Counts, err error) {
	f, err := front.start(instance)
	if err != nil {
		return counts, fmt.Errorf("start %s: %w", front.name, err)
	}
	defer f.Close()
	return conformance.Run(f, c)
}

func addCounts(total *conformance.Counts, counts conformance.Counts) {
	total.Requests += counts.Requests
	for outcome := range counts.Outcomes {
		total.Outcomes[outcome] += counts.Outcomes[outcome]
	}
	total.LateAnswers += counts.LateAnswers
	total.RepeatedRuns += counts.RepeatedRuns
	total.Runs += counts.Runs
}

// printOutcomes prints a row for each case, with "-" for a front end that did not run it. It returns an error for each
// cell with requests that were unanswered, answered late or run twice.
func printOutcomes(table io.Writer, frontEnds []frontEnd, totals frontEndTotals) (violations []error) {
	fmt.Fprint(table, "honoured / dismissed / given up / left")
	for _, front := range frontEnds {
		fmt.Fprintf(table, "\t%s", front.name)
	}
	fmt.Fprintln(table, "\t")
	for i, c := range conformance.Cases(0) {
		fmt.Fprintf(table, "%s", c.Name)
		for f, front := range frontEnds {
			n := totals[f][i]
			if n.Requests == 0 {
				fmt.Fprint(table, "\t-")
				continue
			}
			fmt.Fprintf(table, "\t%d/%d/%d/%d", n.Outcomes[conformance.Served], n.Outcomes[conformance.Rejected],
				n.Outcomes[conformance.Aborted], n.Outcomes[conformance.Canceled])
			unanswered := n.Outcomes[conformance.Unanswered]
			if unanswered+n.LateAnswers+n.RepeatedRuns > 0 {
				violations = append(violations, fmt.Errorf("%s, %s: %d unanswered, %d late, %d run twice", front.name, c.Name, unanswered, n.LateAnswers, n.RepeatedRuns))
			}
		}
		fmt.Fprintln(table, "\t")
	}
	return violations
}

// maxDifference compares each front end with the first. A case that the first did not run is compared with the second,
// which runs all. It returns the number of requests with another outcome as a share of all requests, the maximum of the
// front ends.
func (t frontEndTotals) maxDifference() (maximum float64) {
	requests, differences := 0, make([]int, len(t))
	for i := range t[0] {
		reference := t[0][i]
		if reference.Requests == 0 {
			reference = t[1][i]
		}
		requests += t[1][i].Requests
		for f := range t {
			if t[f][i].Requests == 0 {
				continue
			}
			for outcome, count := range t[f][i].Outcomes {
				differences[f] += max(count-reference.Outcomes[outcome], 0)
			}
		}
	}
	for _, differing := range differences {
		maximum = max(maximum, float64(differing)/float64(requests))
	}
	return maximum
}
