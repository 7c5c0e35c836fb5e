package soak

import (
	"fmt"
	"os"
	"path/filepath"
)

// Totals sum up runs.
type Totals struct {
	Faults, Processes, Requests, Served, Refused, Failed, Unanswered int
}

// Add takes in a run.
func (t *Totals) Add(h *History) {
	t.Faults += len(h.Plan.Faults)
	t.Processes += len(h.Lives)
	t.Requests += len(h.Requests)
	for _, r := range h.Requests {
		switch {
		case len(r.Answer) == 0:
			t.Unanswered++
		case r.Answer[0].Code == CodeServed:
			t.Served++
		case r.Answer[0].Code == CodeRefused:
			t.Refused++
		default:
			t.Failed++
		}
	}
}

// Line tells of a run in one line.
func Line(h *History, broken []Violation, failed error) string {
	var t Totals
	t.Add(h)
	crowd, memory, killed := 0.0, 0.0, 0
	for _, life := range h.Lives {
		crowd, memory = max(crowd, life.Strain.Runs), max(memory, life.Strain.Memory)
		if life.ByKill && life.Killed.IsZero() {
			killed++
		}
	}
	line := fmt.Sprintf("seed %d: %d servers, %s, %d faults, %d requests, %.2f served, crowd %.2f, memory %.2f, %d calls %.2f, %d left by kill, late %v: ",
		h.Plan.Seed, h.Plan.Servers, h.Plan.Machine.Halt, len(h.Plan.Faults), t.Requests, float64(t.Served)/max(1, float64(t.Requests)),
		crowd, memory, h.CallsIn, h.Calls.Runs, killed, h.Lateness)
	if failed != nil {
		return line + "failed"
	}
	return line + fmt.Sprintf("%d violations", len(broken))
}

// WriteLogs leaves what each process logged in a folder.
func WriteLogs(folder string, h *History) error {
	into := filepath.Join(folder, fmt.Sprintf("seed-%d", h.Plan.Seed))
	if err := os.MkdirAll(into, 0o700); err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	for _, life := range h.Lives {
		name := filepath.Join(into, fmt.Sprintf("server-%d-life-%d.log", life.Server, life.Number))
		if err := os.WriteFile(name, []byte(life.Log), 0o600); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	return nil
}
