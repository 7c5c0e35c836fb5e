package reconcile

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

const runKB = 100.0

// mayHaveEnded returns runnable runs that may have ended.
func mayHaveEnded(ids ...string) (tracked []Run) {
	for _, id := range ids {
		tracked = append(tracked, Run{ID: id, MemoryKB: runKB, Runnable: true, MayHaveEnded: true})
	}
	return tracked
}

// reconcileRepeatedly returns the runs that a number of equal readings prove to have ended.
func reconcileRepeatedly(times int, readings Readings, tracked []Run) (ended []string) {
	var r Reconciler
	for range times {
		ended = append(ended, r.Reconcile(readings, tracked)...)
	}
	return ended
}

// A run may have ended without a report. It counts as ended only if several consecutive readings prove it.
func TestRunsEndOnlyIfReadingsProveIt(t *testing.T) {
	notOverdue := Run{ID: "not overdue", MemoryKB: runKB, Runnable: true}
	atCall := Run{ID: "at call", MemoryKB: runKB, MayHaveEnded: true}
	cases := []struct {
		name     string
		readings Readings
		tracked  []Run
		ended    []string
	}{
		{"an idle machine", Readings{}, mayHaveEnded("a", "b"), []string{"a", "b"}},
		{"both still use a core", Readings{Runnable: 2, MemoryKB: 2 * runKB}, mayHaveEnded("a", "b"), nil},
		{"one of two has ended", Readings{Runnable: 1, MemoryKB: runKB}, mayHaveEnded("a", "b"), []string{"a"}},
		{"on no core, but its memory is in use: it waits for a disk", Readings{Runnable: 0, MemoryKB: runKB}, mayHaveEnded("a"), nil},
		{"its memory is free, but a core is in use", Readings{Runnable: 1}, mayHaveEnded("a"), nil},
		{"the memory in use is that of waiting requests", Readings{MemoryKB: 80, QueuedKB: 80}, mayHaveEnded("a"), []string{"a"}},
		{"waiting requests may use more than the lower bound", Readings{MemoryKB: 80, QueuedKB: 20}, mayHaveEnded("a"), nil},
		{"a run that is not overdue never counts as ended", Readings{}, []Run{notOverdue}, nil},
		{"a run that is not overdue accounts for its part of the readings", Readings{Runnable: 1, MemoryKB: runKB}, append(mayHaveEnded("a"), notOverdue), []string{"a"}},
		{"a run that waits for a call needs no core", Readings{Runnable: 7}, []Run{atCall}, []string{"at call"}},
		{"rounded readings", Readings{Runnable: 1, MemoryKB: 1.04 * runKB}, mayHaveEnded("a", "b"), []string{"a"}},
	}
	for _, c := range cases {
		assert.Equal(t, c.ended, reconcileRepeatedly(minReadings, c.readings, c.tracked), c.name)
		assert.Empty(t, reconcileRepeatedly(minReadings-1, c.readings, c.tracked), c.name)
	}
}

// Readings that prove the end of a run alternate with readings that do not. The count of consecutive readings restarts
// each time.
func TestContraryReadingRestartsCount(t *testing.T) {
	var r Reconciler
	for range 5 {
		for range minReadings - 1 {
			assert.Empty(t, r.Reconcile(Readings{}, mayHaveEnded("a")))
		}
		assert.Empty(t, r.Reconcile(Readings{Runnable: 1, MemoryKB: runKB}, mayHaveEnded("a")))
	}
	assert.Empty(t, r.Reconcile(Readings{}, nil))
	assert.Empty(t, r.evidence, "the count of a run that is no longer tracked is kept")
}

// Machines have runs on cores and at disks, waiting requests and other work; some tracked runs have ended without a
// report. The number of tracked runs never falls below that of live runs, and on an idle machine no run that may have
// ended stays tracked.
func TestTrackedRunsCoverLiveRuns(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		var r Reconciler
		live, tracked := rng.Intn(8), []Run(nil)
		for i := range live + rng.Intn(6) {
			tracked = append(tracked, Run{ID: fmt.Sprint(i), MemoryKB: runKB, Runnable: true, MayHaveEnded: rng.Float64() < 0.7})
		}
		rng.Shuffle(len(tracked), func(i, j int) { tracked[i], tracked[j] = tracked[j], tracked[i] })
		for range 50 {
			atDisk := rng.Intn(live + 1)
			queuedKB := rng.Float64() * 300
			ended := r.Reconcile(Readings{
				Runnable: float64(live-atDisk) + rng.Float64()*2,
				MemoryKB: float64(live)*runKB + queuedKB, QueuedKB: queuedKB * rng.Float64(),
			}, tracked)
			tracked = without(tracked, ended)
			assert.GreaterOrEqual(t, len(tracked), live, "seed %d", seed)
		}
		for range minReadings {
			tracked = without(tracked, r.Reconcile(Readings{}, tracked))
		}
		for _, run := range tracked {
			assert.False(t, run.MayHaveEnded, "seed %d", seed)
		}
	}
}

func without(tracked []Run, ended []string) (remaining []Run) {
	for _, run := range tracked {
		found := false
		for _, id := range ended {
			found = found || id == run.ID
		}
		if !found {
			remaining = append(remaining, run)
		}
	}
	return remaining
}
