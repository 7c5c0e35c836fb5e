// Package reconcile decides which runs must have ended although their end was not reported, by the load that the worker
// machine reports.
//
// A run whose end was not reported may still use a core and memory, and giving these to another run would overload the
// machine. Elapsed time proves nothing, because a slow or hung machine may keep its runs for any time. Load readings
// do: the number of runnable processes is at least that of runnable runs, and the memory in use is at least that of all
// runs. So if the tracked runs need more of both than the machine reports, runs that account for the excess have ended.
// For a run that needs no core, such as one that waits at a call, the memory alone decides.
//
// It does no I/O and reads no clock.
package reconcile

const (
	// minReadings is the number of consecutive readings that must prove an end. One exact reading would be enough, but
	// these are rounded and taken by another program.
	minReadings = 3
	// minMemoryGap is the fraction of a run's memory by which the tracked runs must exceed the reading, because the
	// reading is rounded.
	minMemoryGap = 0.5
)

// Run is a run that is tracked at the time of a reading: it started before the reading, and its end had not been
// reported by then.
type Run struct {
	ID           string
	MemoryKB     float64 // in use unless the run has ended
	Runnable     bool    // on a core or waiting for one, unless the run has ended or waits for a disk
	MayHaveEnded bool    // its end is overdue, or it is not known to have started
}

// Readings is the load of the machine at one moment.
type Readings struct {
	Runnable float64 // processes on a core or waiting for one, runs and others
	MemoryKB float64 // in use by all requests
	QueuedKB float64 // lower bound of the part of MemoryKB that requests without a run use
}

// Reconciler counts, for each run, the latest consecutive readings that prove its end. The zero value is ready for use.
type Reconciler struct {
	evidence map[string]int // consecutive readings that prove the end, by run id
}

// Reconcile takes a reading and the runs tracked at its time, oldest first, and returns the ids of the runs that are
// proven to have ended. The caller must stop tracking these.
func (r *Reconciler) Reconcile(readings Readings, tracked []Run) (ended []string) {
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
		if count := r.evidence[run.ID] + 1; count < minReadings {
			evidence[run.ID] = count
		} else {
			ended = append(ended, run.ID)
		}
	}
	r.evidence = evidence
	return ended
}

// excess returns by how much the tracked runs exceed the readings, in runnable runs and in memory.
func excess(readings Readings, tracked []Run) (runnable, memoryKB float64) {
	runnable, memoryKB = -readings.Runnable, -max(readings.MemoryKB-readings.QueuedKB, 0)
	for _, run := range tracked {
		if run.Runnable {
			runnable++
		}
		memoryKB += run.MemoryKB
	}
	return runnable, memoryKB
}
