package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"quartzpoint/internal/testkit/harness"
)

const (
	overloadCores  = 2
	overloadFactor = 1.5                   // offered load over the capacity of the cores
	lateSlack      = 50 * time.Millisecond // after the deadline; an answer up to then is not late

	// The objectives.
	minGoodputRatio = 1 // exclusive
	maxGateP99      = 4 * time.Second
	maxHeapGrowth   = 32 << 20 // bytes

	maxShownRatio = 9. // upper bound of policiesResult.minGoodputRatio
)

// policiesResult is the result of comparePolicies.
type policiesResult struct {
	minGoodputRatio float64 // the library's goodput over that of a baseline, median of the seeds, minimum of the baselines, at most maxShownRatio
	missed          error   // the missed objectives, nil for none
}

// policySummary is the result of a policy over all seeds. The slices are sorted.
type policySummary struct {
	served    []float64       // goodput as a share of the offered value, by run
	ratios    []float64       // the library's goodput over the policy's, by seed
	latencies []time.Duration // of all requests of all runs, including rejected ones
	late      int             // answers later than lateSlack after the deadline
}

// comparePolicies runs the same overloads with each policy, and prints a table of the goodput and the growth of the
// heap.
func (m *measureLibrary) comparePolicies() (result policiesResult, err error) {
	heapBefore := heapBytes()
	runs, err := m.runPolicies(overloadRoutes())
	heapGrowth := heapBytes() - heapBefore
	if err != nil {
		return result, err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "one process, emulated cores at 150%%, %d seeds\thonoured\tworst\tgate over it, median\tworst\tp99 ms\tlate\t\n", m.Seeds)
	result.minGoodputRatio = maxShownRatio
	var missed []error
	for _, name := range comparedPolicies {
		summary := summarize(runs[name], runs[gatePolicy])
		summary.print(table, name)
		missed = append(missed, summary.check(name))
		if name != gatePolicy {
			result.minGoodputRatio = min(result.minGoodputRatio, summary.medianRatio())
		}
	}
	if err := table.Flush(); err != nil {
		return result, err
	}
	fmt.Printf("heap growth: %+.1f MB\n", heapGrowth/(1<<20))
	if heapGrowth > maxHeapGrowth {
		missed = append(missed, fmt.Errorf("the heap grew by %.0f MB, want at most %d MB", heapGrowth/(1<<20), maxHeapGrowth>>20))
	}
	result.missed = errors.Join(missed...)
	return result, nil
}

// overloadRoutes returns the routes of the overloads.
func overloadRoutes() []harness.Route {
	return []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second, Share: 0.5, Work: 20 * time.Millisecond, Spread: 0.6},
		{Name: "confirm-booking", Value: 4, LatencyTarget: time.Second, Deadline: 3 * time.Second, Share: 0.3, Work: 30 * time.Millisecond, Spread: 0.6},
		{Name: "floor-refresh", Value: 1, LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second, Share: 0.2, Work: 100 * time.Millisecond, Spread: 0.6},
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// runPolicies runs each policy with each seed, all at once, each with its own emulated cores. It returns the results by
// name of the policy, then by seed.
func (m *measureLibrary) runPolicies(routes []harness.Route) (map[string][]harness.Result, error) {
	capacity := harness.Rate(routes, harness.Machine{Cores: overloadCores, Speed: 1}, 1)
	results := map[string][]harness.Result{}
	var mu sync.Mutex // guards failures
	var failures []error
	var running sync.WaitGroup
	for _, name := range comparedPolicies {
		bySeed := make([]harness.Result, m.Seeds)
		results[name] = bySeed
		for seed := range m.Seeds {
			running.Add(1)
			go func() {
				defer running.Done()
				cores := harness.NewCores(overloadCores)
				policy, shutdown, err := newPolicy(name, routes, cores, capacity)
				if err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
					return
				}
				defer shutdown()
				load := harness.Arrivals(routes, overloadFactor*capacity, m.Span, int64(seed))
				bySeed[seed] = runInProcess(routes, load, cores, policy)
			}()
		}
	}
	running.Wait()
	return results, errors.Join(failures...)
}

// runInProcess sends a load to a policy in real time, and waits until every request has ended. Latencies of the result
// are those of all requests, in the order in which they ended.
func runInProcess(routes []harness.Route, load []harness.Arrival, cores *harness.Cores, policy admissionPolicy) (result harness.Result) {
	var mu sync.Mutex // guards result
	var running sync.WaitGroup
	start := time.Now()
	for i := range load {
		arrival := &load[i]
		time.Sleep(time.Until(start.Add(arrival.At)))
		running.Add(1)
		go func() {
			defer running.Done()
			route := &routes[arrival.Route]
			ctx, cancel := context.WithTimeout(context.Background(), route.Deadline)
			defer cancel()
			sentAt := time.Now()
			err := policy(ctx, route, func(ctx context.Context) error { return cores.Work(ctx, arrival.Work) })
			latency := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			result.Requests++
			result.OfferedValue += route.Value
			result.Latencies = append(result.Latencies, latency)
			if latency > route.Deadline+lateSlack {
				result.LateAnswers++
			}
			if err == nil && latency <= route.LatencyTarget {
				result.Goodput += route.Value
			}
		}()
	}
	running.Wait()
	return result
}

// summarize returns the summary of a policy's runs. gateRuns are the library's runs with the same seeds.
func summarize(runs, gateRuns []harness.Result) (s policySummary) {
	for seed, r := range runs {
		s.served = append(s.served, r.Goodput/r.OfferedValue)
		s.ratios = append(s.ratios, gateRuns[seed].Goodput/max(r.Goodput, 1e-9))
		s.latencies = append(s.latencies, r.Latencies...)
		s.late += r.LateAnswers
	}
	slices.Sort(s.served)
	slices.Sort(s.ratios)
	slices.Sort(s.latencies)
	return s
}

func (s *policySummary) medianRatio() float64 { return s.ratios[len(s.ratios)/2] }

func (s *policySummary) p99() time.Duration { return s.latencies[len(s.latencies)*99/100] }

// print prints a row of the table.
func (s *policySummary) print(table io.Writer, name string) {
	fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%d\t\n", name, s.served[len(s.served)/2], s.served[0],
		s.medianRatio(), s.ratios[0], float64(s.p99().Milliseconds()), s.late)
}

// check returns an error for a missed objective: the library's answers must be in time and the p99 of its latencies
// within maxGateP99, and its goodput must be above that of each baseline with each seed.
func (s *policySummary) check(name string) error {
	if name == gatePolicy {
		if s.late > 0 || s.p99() > maxGateP99 {
			return fmt.Errorf("gate: %d late answers, p99 %v; want no late answers and a p99 of at most %v", s.late, s.p99(), maxGateP99)
		}
		return nil
	}
	if s.ratios[0] <= minGoodputRatio {
		return fmt.Errorf("gate over %s: goodput ratio %.2f with the worst seed, want more than %d", name, s.ratios[0], minGoodputRatio)
	}
	return nil
}
