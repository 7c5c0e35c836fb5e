// Package reconcile decides which runs that were not reported to have ended must have ended all the same, by what the
// worker machine reports of its load.
//
// A run that was not reported to have ended may still hold a core and memory, and giving these to another run would
// overload the machine. Time proves nothing, as a slow or hung machine holds its runs for as long as it likes. Load
// readings do: the number of runnable processes is at least that of runnable runs, and the memory in use at least that of
// all runs. So where the tracked runs need more of both than the machine reports, as much of them has ended.
//
// It decides only: no I/O and no clock.
package reconcile

const (
	// minReadings is the number of consecutive readings that must prove an end. Exact readings would need one; these are
	// rounded, and taken by another program.
	minReadings = 3
	// minMemoryGap is the part of a run's memory by which the tracked runs must exceed the reading, which is rounded.
	minMemoryGap = 0.5
)

// Run is a tracked run at the moment of a reading: it started before, and its end was not reported by then.
type Run struct {
	ID           string
	MemoryKB     float64 // that it holds unless it has ended
	Runnable     bool    // unless it has ended or waits for a disk, it is on a core or waits for one
	MayHaveEnded bool    // its end is overdue, or it is not known to have started
}

// Readings are the machine's load at a moment.
type Readings struct {
	Runnable  float64 // processes on a core or waiting for one: runs and others
	MemoryKB  float64 // in use by all requests
	WaitingKB float64 // lower bound of the part of MemoryKB that requests without a run hold
}

// Reviewer remembers which runs the latest readings proved to have ended. The zero value is ready for use.
type Reviewer struct {
	evidence map[string]int // consecutive readings, by run
}

// Review takes a reading and the tracked runs of its moment, the oldest first, and returns the ids of those that are proven
// to have ended. The caller must stop tracking them.
func (r *Reviewer) Review(readings Readings, tracked []Run) (ended []string) {
	runnable, memoryKB := excess(readings, tracked)
	evidence := map[string]int{}
	for _, run := range tracked {
		if !run.MayHaveEnded || run.Runnable && runnable < 1 || memoryKB < minMemoryGap*run.MemoryKB {
			continue
		}
		if run.Runnable {
			runnable--
		}
		memoryKB -= run.MemoryKB
		if seen := r.evidence[run.ID] + 1; seen < minReadings {
			evidence[run.ID] = seen
		} else {
			ended = append(ended, run.ID)
		}
	}
	r.evidence = evidence
	return ended
}

// excess is by how much the tracked runs exceed the readings: in runnable runs, and in memory.
func excess(readings Readings, tracked []Run) (runnable, memoryKB float64) {
	runnable, memoryKB = -readings.Runnable, -max(readings.MemoryKB-readings.WaitingKB, 0)
	for _, run := range tracked {
		if run.Runnable {
			runnable++
		}
		memoryKB += run.MemoryKB
	}
	return runnable, memoryKB
}
