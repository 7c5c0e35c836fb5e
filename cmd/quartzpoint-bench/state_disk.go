package main

import (
	"fmt"
	"log/slog"
	"math"
	"path/filepath"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/store"
)

const (
	commitCallers   = 256 // each waits until its record is durable before it sends the next
	commitSpan      = time.Second
	recoveredKeys   = 100_000 // in the large state directory
	queuedKeys      = 1000    // number of keys that writeManyKeys records before it waits until they are durable
	durablePollWait = 100 * time.Microsecond
)

func storeOptions(dir string, commitInterval time.Duration) store.Options {
	quiet := slog.New(slog.DiscardHandler)
	return store.Options{
		OpenDir: datadir.Opener(dir), Clock: store.SystemClock(), NewID: store.RandomID, MaxBytes: stateMB << 20,
		CommitInterval: commitInterval, PersistKeys: true, Counts: invariant.New(quiet), Log: quiet, OnDurable: func() {},
	}
}

func waitDurable(s *store.Store, mark uint64) {
	for s.DurableMark() < mark {
		time.Sleep(durablePollWait)
	}
}

// disk measures group commits and the start from a large state directory.
func (m *measureState) disk(root string, table *tabwriter.Writer) (partResult, error) {
	var result partResult
	for _, interval := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		rateObjective, err := measureCommits(filepath.Join(root, "commit-"+interval.String()), interval, table)
		if err != nil {
			return partResult{}, err
		}
		result.objectives = append(result.objectives, rateObjective)
	}
	dir := filepath.Join(root, "many")
	if err := writeManyKeys(dir); err != nil {
		return partResult{}, err
	}
	size, err := dirSize(dir)
	if err != nil {
		return partResult{}, err
	}
	start := time.Now()
	s, recovered, err := store.New(storeOptions(dir, 0))
	if err != nil {
		return partResult{}, err
	}
	took := time.Since(start)
	if err := s.Close(); err != nil {
		return partResult{}, err
	}
	if len(recovered.Keys) != recoveredKeys {
		return partResult{}, fmt.Errorf("recovered %d of %d keys", len(recovered.Keys), recoveredKeys)
	}
	fmt.Fprintf(table, "start with %d keys, %.1f MB: ms\t%.0f\t\t\t\n", recoveredKeys, float64(size)/(1<<20), float64(took.Milliseconds()))
	result.objectives = append(result.objectives, objective{"start, s", took.Seconds(), 0, 2}, objective{"bytes on disk", float64(size), 1, stateMB << 20})
	result.summary = fmt.Sprintf("start %d ms", took.Milliseconds())
	return result, nil
}

// measureCommits has concurrent callers record keys for commitSpan, and prints how many records became durable and how
// long the callers waited for them. The objective is on the durable records a second, as commitSpan is one second.
func measureCommits(dir string, interval time.Duration, table *tabwriter.Writer) (objective, error) {
	s, _, err := store.New(storeOptions(dir, interval))
	if err != nil {
		return objective{}, err
	}
	var durable atomic.Int64
	waits := hdrhistogram.New(1, 10_000_000, 3) // microseconds
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(commitSpan)
	for caller := range commitCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := 0; time.Now().Before(end); i++ {
				start := time.Now()
				waitDurable(s, s.RecordStart(fmt.Sprintf("pay\x00%d-%d", caller, i), 1, time.Minute))
				durable.Add(1)
				mu.Lock()
				_ = waits.RecordValue(time.Since(start).Microseconds()) // within the histogram's range
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	if err := s.Close(); err != nil {
		return objective{}, err
	}
	fmt.Fprintf(table, "commit interval %v: %d records a second by %d callers, wait ms p50, p99, max\t%.1f\t%.1f\t%.1f\t\n",
		interval, durable.Load(), commitCallers,
		float64(waits.ValueAtQuantile(50))/1e3, float64(waits.ValueAtQuantile(99))/1e3, float64(waits.Max())/1e3)
	return objective{"records a second", float64(durable.Load()), 1000, math.Inf(1)}, nil
}

// writeManyKeys creates a state directory with recoveredKeys keys.
func writeManyKeys(dir string) error {
	s, _, err := store.New(storeOptions(dir, 0))
	if err != nil {
		return err
	}
	for i := range recoveredKeys {
		if mark := s.RecordStart(fmt.Sprintf("pay\x00%d", i), 1, time.Hour); i%queuedKeys == queuedKeys-1 {
			waitDurable(s, mark)
		}
	}
	return s.Close()
}
