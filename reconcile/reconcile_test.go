package reconcile

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
)

const runKB = 100.0

// doubtful are runs on the cores that may be over.
func doubtful(ids ...string) (books []Run) {
	for _, id := range ids {
		books = append(books, Run{ID: id, MemoryKB: runKB, OnCores: true, Doubtful: true})
	}
	return books
}

// reviewed gives what a row of equal readings proves.
func reviewed(times int, readings Readings, books []Run) (over []string) {
	var r Reviewer
	for range times {
		over = append(over, r.Review(readings, books)...)
	}
	return over
}

func TestRunsAreOverOnlyWhereTheReadingsLeaveThemNoRoom(t *testing.T) {
	sure := Run{ID: "sure", MemoryKB: runKB, OnCores: true}
	atCall := Run{ID: "at call", MemoryKB: runKB, Doubtful: true}
	cases := []struct {
		name     string
		readings Readings
		books    []Run
		over     []string
	}{
		{"an idle machine", Readings{}, doubtful("a", "b"), []string{"a", "b"}},
		{"both still want a core", Readings{OnCores: 2, MemoryKB: 2 * runKB}, doubtful("a", "b"), nil},
		{"one of two is over", Readings{OnCores: 1, MemoryKB: runKB}, doubtful("a", "b"), []string{"a"}},
		{"off the cores, but its memory is in use: it waits for a disk", Readings{OnCores: 0, MemoryKB: runKB}, doubtful("a"), nil},
		{"memory free, but a core is wanted", Readings{OnCores: 1}, doubtful("a"), nil},
		{"what is held takes the memory", Readings{MemoryKB: 80, HeldKB: 80}, doubtful("a"), []string{"a"}},
		{"more is held than was counted", Readings{MemoryKB: 80, HeldKB: 20}, doubtful("a"), nil},
		{"a run that is sure is never over", Readings{}, []Run{sure}, nil},
		{"a run that is sure takes its part of the readings", Readings{OnCores: 1, MemoryKB: runKB}, append(doubtful("a"), sure), []string{"a"}},
		{"at a call it wants no core", Readings{OnCores: 7}, []Run{atCall}, []string{"at call"}},
		{"readings that are rounded", Readings{OnCores: 1, MemoryKB: 1.04 * runKB}, doubtful("a", "b"), []string{"a"}},
	}
	for _, c := range cases {
		assert.Equal(t, c.over, reviewed(proofsNeeded, c.readings, c.books), c.name)
		assert.Empty(t, reviewed(proofsNeeded-1, c.readings, c.books), c.name)
	}
}

func TestAReadingThatLeavesRoomBeginsAnew(t *testing.T) {
	var r Reviewer
	for range 5 {
		for range proofsNeeded - 1 {
			assert.Empty(t, r.Review(Readings{}, doubtful("a")))
		}
		assert.Empty(t, r.Review(Readings{OnCores: 1, MemoryKB: runKB}, doubtful("a")))
	}
	assert.Empty(t, r.Review(Readings{}, nil))
	assert.Empty(t, r.proofs, "a run that left the books is remembered")
}

// Machines with runs on cores, at disks, held requests and other work, and books that know some runs which are over: as
// many runs stay on the books as there are, and on an idle machine nothing else does.
func TestTheBooksNeverFallBelowTheMachine(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		var r Reviewer
		live, books := rng.Intn(8), []Run(nil)
		for i := range live + rng.Intn(6) {
			books = append(books, Run{ID: fmt.Sprint(i), MemoryKB: runKB, OnCores: true, Doubtful: rng.Float64() < 0.7})
		}
		rng.Shuffle(len(books), func(i, j int) { books[i], books[j] = books[j], books[i] })
		for range 50 {
			atDisk := rng.Intn(live + 1)
			heldKB := rng.Float64() * 300
			over := r.Review(Readings{
				OnCores:  float64(live-atDisk) + rng.Float64()*2,
				MemoryKB: float64(live)*runKB + heldKB, HeldKB: heldKB * rng.Float64(),
			}, books)
			books = without(books, over)
			assert.GreaterOrEqual(t, len(books), live, "seed %d", seed)
		}
		for range proofsNeeded {
			books = without(books, r.Review(Readings{}, books))
		}
		for _, run := range books {
			assert.False(t, run.Doubtful, "seed %d", seed)
		}
	}
}

func without(books []Run, over []string) (left []Run) {
	for _, run := range books {
		found := false
		for _, id := range over {
			found = found || id == run.ID
		}
		if !found {
			left = append(left, run)
		}
	}
	return left
}
