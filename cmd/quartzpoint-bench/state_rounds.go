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
	// requestsPerKeyed is the number of requests of which one has an idempotency key. If all had one, each would stay
	// in flight until its record is durable, and the number in flight would lengthen the rounds.
	requestsPerKeyed = 20
	roundsWarmUp     = 100 * time.Millisecond // not recorded: the heap grows and pages are touched for the first time
	roundsSpan       = 400 * time.Millisecond
	roundsCallers    = 4
	roundsInterval   = time.Millisecond // between the requests of one caller
	maxRound         = time.Second      // maximum of the histogram
)

func newRoundHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxRound), 3) }

// rounds compares the duration of rounds with a state directory and without, under the same load in process.
func (m *measureState) rounds(root string, table *tabwriter.Writer) (partResult, error) {
	// The 99th percentiles of two runs differ by a tenth, so the rounds of all runs are merged. Runs with and without a
	// state directory alternate, so that a drift of the machine's speed affects both.
	with, without := newRoundHistogram(), newRoundHistogram()
	var withP99, withoutP99 []float64
	for seed := range m.Seeds {
		for k := range 2 {
			all, p99s, state := without, &withoutP99, (seed+k)%2 == 0
			if state {
				all, p99s = with, &withP99
			}
			times, err := m.measureRounds(filepath.Join(root, fmt.Sprintf("rounds-%d", seed)), state, int64(seed))
			if err != nil {
				return partResult{}, err
			}
			all.Merge(times)
			*p99s = append(*p99s, float64(times.ValueAtQuantile(99))/1e3)
		}
	}
	printQuantiles(table, fmt.Sprintf("p99 of rounds with a state directory, us, by run (in process, 1 of %d requests with a key)", requestsPerKeyed), withP99)
	printQuantiles(table, "p99 of rounds without, us, by run", withoutP99)
	ratio := float64(with.ValueAtQuantile(99)) / float64(without.ValueAtQuantile(99))
	fmt.Fprintf(table, "  of all %d and %d rounds: over without\t%.3f\t\t\t\n", with.TotalCount(), without.TotalCount(), ratio)
	return partResult{[]objective{{"p99 of rounds over without", ratio, 0, 1.05}}, fmt.Sprintf("rounds %.3f", ratio)}, nil
}

// measureRounds returns the durations of the rounds of one gate under load.
func (m *measureState) measureRounds(dir string, withState bool, seed int64) (*hdrhistogram.Histogram, error) {
	times := newRoundHistogram()
	options := childOptions(nil)
	start := time.Now()
	options.ObserveRound = func(took time.Duration) {
		if time.Since(start) > roundsWarmUp {
			_ = times.RecordValue(int64(min(took, maxRound))) // within the histogram's range
		}
	}
	if withState {
		options.State = &quartzpoint.State{Dir: dir}
	}
	gate, err := quartzpoint.New(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), roundsSpan)
	defer cancel()
	var running sync.WaitGroup
	for caller := range roundsCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			sendSteadily(ctx, gate, seed, caller)
		}()
	}
	running.Wait()
	shutdownCtx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return times, gate.Shutdown(shutdownCtx)
}

// sendSteadily sends requests at a fixed rate until ctx ends, so that the load does not depend on the duration of a
// commit.
func sendSteadily(ctx context.Context, gate *quartzpoint.Gate, seed int64, caller int) {
	tick := time.NewTicker(roundsInterval)
	defer tick.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		<-tick.C
		pending.Add(1)
		request := quartzpoint.Request{Route: "look-up"} // not in the options, so it gets the defaults of a route
		if i%requestsPerKeyed == 0 {
			request = quartzpoint.Request{Route: "pay", IdempotencyKey: fmt.Sprintf("%d-%d-%d", seed, caller, i)}
		}
		go func() {
			defer pending.Done()
			_, _ = gate.DoOnce(context.Background(), request, // only the rounds are measured, so the outcome does not matter
				func(context.Context) ([]byte, error) { return []byte(request.IdempotencyKey), nil })
		}()
	}
}
