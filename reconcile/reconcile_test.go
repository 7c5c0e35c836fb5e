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

// reviewRepeatedly returns what a number of equal readings proves.
func reviewRepeatedly(times int, readings Readings, tracked []Run) (ended []string) {
	var r Reviewer
	for range times {
		ended = append(ended, r.Review(readings, tracked)...)
	}
	return ended
}

// A run may have ended without a report. It is taken to have ended only where the readings prove it, several in a row.
func TestRunsAreOverOnlyWhereTheReadingsLeaveThemNoRoom(t *testing.T) {
	sure := Run{ID: "sure", MemoryKB: runKB, Runnable: true}
	atCall := Run{ID: "at call", MemoryKB: runKB, MayHaveEnded: true}
	cases := []struct {
		name     string
		readings Readings
		tracked  []Run
		ended    []string
	}{
		{"an idle machine", Readings{}, mayHaveEnded("a", "b"), []string{"a", "b"}},
		{"both still want a core", Readings{Runnable: 2, MemoryKB: 2 * runKB}, mayHaveEnded("a", "b"), nil},
		{"one of two is over", Readings{Runnable: 1, MemoryKB: runKB}, mayHaveEnded("a", "b"), []string{"a"}},
		{"off the cores, but its memory is in use: it waits for a disk", Readings{Runnable: 0, MemoryKB: runKB}, mayHaveEnded("a"), nil},
		{"memory free, but a core is wanted", Readings{Runnable: 1}, mayHaveEnded("a"), nil},
		{"what is held takes the memory", Readings{MemoryKB: 80, WaitingKB: 80}, mayHaveEnded("a"), []string{"a"}},
		{"more is held than was counted", Readings{MemoryKB: 80, WaitingKB: 20}, mayHaveEnded("a"), nil},
		{"a run that is sure is never over", Readings{}, []Run{sure}, nil},
		{"a run that is sure takes its part of the readings", Readings{Runnable: 1, MemoryKB: runKB}, append(mayHaveEnded("a"), sure), []string{"a"}},
		{"at a call it wants no core", Readings{Runnable: 7}, []Run{atCall}, []string{"at call"}},
		{"readings that are rounded", Readings{Runnable: 1, MemoryKB: 1.04 * runKB}, mayHaveEnded("a", "b"), []string{"a"}},
	}
	for _, c := range cases {
		assert.Equal(t, c.ended, reviewRepeatedly(minReadings, c.readings, c.tracked), c.name)
		assert.Empty(t, reviewRepeatedly(minReadings-1, c.readings, c.tracked), c.name)
	}
}

// A reading that leaves room for a run comes between others that do not. The evidence against the run starts again.
func TestAReadingThatLeavesRoomBeginsAnew(t *testing.T) {
	var r Reviewer
	for range 5 {
		for range minReadings - 1 {
			assert.Empty(t, r.Review(Readings{}, mayHaveEnded("a")))
		}
		assert.Empty(t, r.Review(Readings{Runnable: 1, MemoryKB: runKB}, mayHaveEnded("a")))
	}
	assert.Empty(t, r.Review(Readings{}, nil))
	assert.Empty(t, r.evidence, "a run that is not tracked any more is remembered")
}

// Machines have runs on cores and at disks, waiting requests and other work; some tracked runs have ended unseen. At least as
// many runs stay tracked as there are, and on an idle machine no run that may have ended does.
func TestTheBooksNeverFallBelowTheMachine(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		var r Reviewer
		live, tracked := rng.Intn(8), []Run(nil)
		for i := range live + rng.Intn(6) {
			tracked = append(tracked, Run{ID: fmt.Sprint(i), MemoryKB: runKB, Runnable: true, MayHaveEnded: rng.Float64() < 0.7})
		}
		rng.Shuffle(len(tracked), func(i, j int) { tracked[i], tracked[j] = tracked[j], tracked[i] })
		for range 50 {
			atDisk := rng.Intn(live + 1)
			heldKB := rng.Float64() * 300
			ended := r.Review(Readings{
				Runnable: float64(live-atDisk) + rng.Float64()*2,
				MemoryKB: float64(live)*runKB + heldKB, WaitingKB: heldKB * rng.Float64(),
			}, tracked)
			tracked = without(tracked, ended)
			assert.GreaterOrEqual(t, len(tracked), live, "seed %d", seed)
		}
		for range minReadings {
			tracked = without(tracked, r.Review(Readings{}, tracked))
		}
		for _, run := range tracked {
			assert.False(t, run.MayHaveEnded, "seed %d", seed)
		}
	}
}

func without(tracked []Run, ended []string) (left []Run) {
	for _, run := range tracked {
		found := false
		for _, id := range ended {
			found = found || id == run.ID
		}
		if !found {
			left = append(left, run)
		}
	}
	return left
}
