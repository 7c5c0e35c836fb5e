// Package reconcile decides which runs that were not reported to have ended are over all the same, by what the machine
// reads of itself.
//
// A run keeps its place on the books until its end is known, as what it holds of the machine would otherwise be given away
// twice. Time proves nothing: a slow or hung machine holds its runs for as long as it likes. Two facts prove an end: a
// report of it, and readings that leave no room for the run. The readings bound what runs from above: what wants a core is
// at least the runs on cores, and the memory in use at least that of all runs. So where the books have more on the cores
// and more in memory than the machine reads, that much of the books is over.
//
// It decides only: no I/O and no clock.
package reconcile

const (
	// minReadings is the number of readings in a row that must leave no room for a run. One would do if all were exact;
	// they are rounded, and told by another program.
	minReadings = 3
	// minMemoryGap is the part of a run's memory by which the books must be over the reading, which is rounded.
	minMemoryGap = 0.5
)

// Run is one on the books at the moment of a reading: begun before, and not reported to have ended by then.
type Run struct {
	ID           string
	MemoryKB     float64 // that it holds unless it is over
	Runnable     bool    // it wants a core unless it is over, or waits for a disk
	MayHaveEnded bool    // its end is overdue or its beginning not known, so it may be over
}

// Readings are those of the machine.
type Readings struct {
	Runnable  float64 // all that wants a core: runs and other work
	MemoryKB  float64 // in use by all requests
	WaitingKB float64 // of that, what requests that do not run take at the least
}

// Reviewer remembers which runs the latest readings left no room for. The zero value is ready for use.
type Reviewer struct {
	evidence map[string]int // by run, how many readings in a row
}

// Review takes a reading with the books of its moment, the oldest run first, and gives the runs that are proven to be
// over. They are to be taken off the books.
func (r *Reviewer) Review(readings Readings, tracked []Run) (ended []string) {
	cores, memory := excess(readings, tracked)
	evidence := map[string]int{}
	for _, run := range tracked {
		if !run.MayHaveEnded || run.Runnable && cores < 1 || memory < minMemoryGap*run.MemoryKB {
			continue
		}
		if run.Runnable {
			cores--
		}
		memory -= run.MemoryKB
		if seen := r.evidence[run.ID] + 1; seen < minReadings {
			evidence[run.ID] = seen
		} else {
			ended = append(ended, run.ID)
		}
	}
	r.evidence = evidence
	return ended
}

// excess are by how much the books are over the readings, in runs on the cores and in memory.
func excess(readings Readings, tracked []Run) (cores, memoryKB float64) {
	cores, memoryKB = -readings.Runnable, -max(readings.MemoryKB-readings.WaitingKB, 0)
	for _, run := range tracked {
		if run.Runnable {
			cores++
		}
		memoryKB += run.MemoryKB
	}
	return cores, memoryKB
}
