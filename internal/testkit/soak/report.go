package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Totals are counts over soak runs.
type Totals struct {
	Faults, Processes, Requests, Served, Rejected, Aborted, Unanswered int

	drainMargins []time.Duration
	killed       int // processes killed after their notice
}

// DrainSummary describes the distribution of the time from the end of a shutdown to the earliest allowed kill, and
// states how many processes had to be killed.
func (t *Totals) DrainSummary() string {
	margins := slices.Sorted(slices.Values(t.drainMargins))
	if len(margins) == 0 {
		return "no drains"
	}
	at := func(share float64) time.Duration {
		return margins[int(share*float64(len(margins)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d drains ended before the kill by %v at the least, %v, %v and %v at the 1st, 10th and 50th in 100; %d had to be killed",
		len(margins), at(0), at(0.01), at(0.1), at(0.5), t.killed)
}

// Add adds the counts of a soak run.
func (t *Totals) Add(h *History) {
	t.Faults += len(h.Plan.Faults)
	t.Processes += len(h.Incarnations)
	t.Requests += len(h.Requests)
	for _, incarnation := range h.Incarnations {
		margin, known := incarnation.drainMargin(h.Plan.KillAfter())
		switch {
		case !known:
		case incarnation.Killed:
			t.killed++
		default:
			t.drainMargins = append(t.drainMargins, margin)
		}
	}
	for _, r := range h.Requests {
		switch {
		case len(r.Answers) == 0:
			t.Unanswered++
		case r.Answers[0].Code == CodeServed:
			t.Served++
		case r.Answers[0].Code == CodeRejected:
			t.Rejected++
		default:
			t.Aborted++
		}
	}
}

// Summary describes a soak run in one line. It ends in "failed" if err is not nil, otherwise in "N violations".
func Summary(h *History, violations []Violation, err error) string {
	var t Totals
	t.Add(h)
	runs, memory, killed := 0.0, 0.0, 0
	for _, incarnation := range h.Incarnations {
		runs, memory = max(runs, incarnation.PeakLoad.Runs), max(memory, incarnation.PeakLoad.Memory)
		if incarnation.Killed && incarnation.KilledAt.IsZero() {
			killed++
		}
	}
	line := fmt.Sprintf("seed %d: %d servers, %s, %d faults, %d requests, %.2f served, crowd %.2f, memory %.2f, %d calls %.2f, %d left by kill, late %v: ",
		h.Plan.Seed, h.Plan.Servers, h.Plan.Machine.Preemption, len(h.Plan.Faults), t.Requests, float64(t.Served)/max(1, float64(t.Requests)),
		runs, memory, h.Calls, h.DependencyPeakLoad.Runs, killed, h.TimerLateness)
	if err != nil {
		return line + "failed"
	}
	return line + fmt.Sprintf("%d violations", len(violations))
}

// WriteLogs writes the log of each process to a directory in dir that is named after the seed.
func WriteLogs(dir string, h *History) error {
	logDir := filepath.Join(dir, fmt.Sprintf("seed-%d", h.Plan.Seed))
	if err := os.MkdirAll(logDir, 0o700); err != nil {
		return fmt.Errorf("write logs: %w", err)
	}
	for _, incarnation := range h.Incarnations {
		name := filepath.Join(logDir, fmt.Sprintf("server-%d-life-%d.log", incarnation.Server, incarnation.Number))
		if err := os.WriteFile(name, []byte(incarnation.Log), 0o600); err != nil {
			return fmt.Errorf("write logs: %w", err)
		}
	}
	return nil
}
