package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzpoint"
)

const (
	// keyedEach is the number of requests of which one has an idempotency key. If all had one, each would hold its slot
	// under the limit until its record is durable, and rounds would get longer by what is in flight.
	keyedEach      = 20
	roundsWarmUp   = 100 * time.Millisecond // left out: the heap grows and pages are touched for the first time
	roundsSpan     = 400 * time.Millisecond
	roundsCallers  = 4
	roundsInterval = time.Millisecond // between the requests of one caller
	maxRound       = time.Second      // of the histogram
)

func newRoundHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxRound), 3) }

// rounds compares how long rounds of decisions take with a state directory and without, under the same load in process.
func (m *measureState) rounds(root string, table *tabwriter.Writer) (partResult, error) {
	// The 99th percentiles of two runs differ by a tenth, so the rounds of all runs are taken together. The runs with and
	// without alternate, so that a drift of the machine affects both.
	with, without := newRoundHistogram(), newRoundHistogram()
	var withP99, withoutP99 []float64
	for seed := range m.Seeds {
		for k := range 2 {
			all, p99s, state := without, &withoutP99, (seed+k)%2 == 0
			if state {
				all, p99s = with, &withP99
			}
			times, err := m.roundsOf(filepath.Join(root, fmt.Sprintf("rounds-%d", seed)), state, int64(seed))
			if err != nil {
				return partResult{}, err
			}
			all.Merge(times)
			*p99s = append(*p99s, float64(times.ValueAtQuantile(99))/1e3)
		}
	}
	printQuantiles(table, fmt.Sprintf("p99 of rounds with the folder, us, by run (in process, 1 of %d numbered)", keyedEach), withP99)
	printQuantiles(table, "p99 of rounds without, us, by run", withoutP99)
	ratio := float64(with.ValueAtQuantile(99)) / float64(without.ValueAtQuantile(99))
	fmt.Fprintf(table, "  of all %d and %d rounds: over without\t%.3f\t\t\t\n", with.TotalCount(), without.TotalCount(), ratio)
	return partResult{[]objective{{"p99 of rounds over without", ratio, 0, 1.05}}, fmt.Sprintf("rounds %.3f", ratio)}, nil
}

// roundsOf measures the rounds of one gate under load.
func (m *measureState) roundsOf(dir string, withState bool, seed int64) (*hdrhistogram.Histogram, error) {
	times := newRoundHistogram()
	terms := childTerms(nil)
	start := time.Now()
	terms.ObserveRound = func(took time.Duration) {
		if time.Since(start) > roundsWarmUp {
			_ = times.RecordValue(int64(min(took, maxRound))) // in the histogram's range
		}
	}
	if withState {
		terms.State = &quartzpoint.State{Dir: dir}
	}
	gate, err := quartzpoint.New(terms)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), roundsSpan)
	defer cancel()
	var all sync.WaitGroup
	for caller := range roundsCallers {
		all.Add(1)
		go func() {
			defer all.Done()
			sendSteadily(ctx, gate, seed, caller)
		}()
	}
	all.Wait()
	leaving, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return times, gate.Shutdown(leaving)
}

// sendSteadily sends requests at a fixed pace until ctx ends, so that the load does not depend on how long a commit takes.
func sendSteadily(ctx context.Context, gate *quartzpoint.Gate, seed int64, caller int) {
	tick := time.NewTicker(roundsInterval)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		<-tick.C
		open.Add(1)
		task := quartzpoint.Request{Route: "look-up"}
		if i%keyedEach == 0 {
			task = quartzpoint.Request{Route: "pay", IdempotencyKey: fmt.Sprintf("%d-%d-%d", seed, caller, i)}
		}
		go func() {
			defer open.Done()
			_, _ = gate.DoOnce(context.Background(), task, // only the rounds are measured, not the outcomes
				func(context.Context) ([]byte, error) { return []byte(task.IdempotencyKey), nil })
		}()
	}
}
