package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzpoint"
)

const (
	overheadRoute    = "a"
	overheadRequests = 200000 // divided among the callers

	// The objectives for a request of a single caller.
	maxMedianMicros = 5 // microseconds
	maxAllocations  = 4
)

// overheadResult is the cost of a request without work for a single caller.
type overheadResult struct {
	medianMicros float64 // microseconds
	allocations  int64   // per request
	missed       error   // the missed objectives, nil for none
}

// measureOverhead measures the cost of Gate.Do for a run that does nothing, for one and for several callers, and prints
// a table.
func measureOverhead() (result overheadResult, err error) {
	gate, err := quartzpoint.New(quartzpoint.Options{Routes: []quartzpoint.Route{{Name: overheadRoute}}})
	if err != nil {
		return result, fmt.Errorf("start a gate: %w", err)
	}
	defer func() { _ = gate.Shutdown(context.Background()) }()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "in process\tp50 us\tp99 us\ttasks a second\tallocations\t")
	for _, callers := range []int{1, 8} {
		latencies, elapsed := timeRequests(gate, callers)
		allocations := countAllocations(gate)
		medianMicros := float64(latencies.ValueAtPercentile(50)) / 1000
		fmt.Fprintf(table, "Do, %d callers\t%.1f\t%.1f\t%.0f\t%d\t\n", callers, medianMicros,
			float64(latencies.ValueAtPercentile(99))/1000, overheadRequests/elapsed.Seconds(), allocations)
		if callers == 1 {
			result.medianMicros, result.allocations = medianMicros, allocations
		}
	}
	if result.medianMicros > maxMedianMicros || result.allocations > maxAllocations {
		result.missed = fmt.Errorf("a request costs %.1f us and %d allocations; want at most %d and %d",
			result.medianMicros, result.allocations, maxMedianMicros, maxAllocations)
	}
	return result, table.Flush()
}

// timeRequests sends overheadRequests from concurrent callers. It returns the latencies in nanoseconds and the elapsed
// time.
func timeRequests(gate *quartzpoint.Gate, callers int) (latencies *hdrhistogram.Histogram, elapsed time.Duration) {
	var running sync.WaitGroup
	byCaller := make([]*hdrhistogram.Histogram, callers)
	start := time.Now()
	for caller := range byCaller {
		byCaller[caller] = hdrhistogram.New(1, int64(time.Second), 3)
		running.Add(1)
		go func() {
			defer running.Done()
			for range overheadRequests / callers {
				sentAt := time.Now()
				_ = gate.Do(context.Background(), quartzpoint.Request{Route: overheadRoute}, doNothing) // rejected requests count too
				_ = byCaller[caller].RecordValue(int64(time.Since(sentAt)))
			}
		}()
	}
	running.Wait()
	elapsed = time.Since(start)
	for _, other := range byCaller[1:] {
		byCaller[0].Merge(other)
	}
	return byCaller[0], elapsed
}

// countAllocations returns the heap allocations per request.
func countAllocations(gate *quartzpoint.Gate) int64 {
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = gate.Do(context.Background(), quartzpoint.Request{Route: overheadRoute}, doNothing)
		}
	}).AllocsPerOp()
}

func doNothing(context.Context) error { return nil }
