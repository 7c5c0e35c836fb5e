package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// CPU returns the processor time that a process has used so far, summed over its running threads.
func CPU(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("process %d: no schedstat: %w", pid, os.ErrNotExist)
	}
	var total time.Duration
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(raw), " ")
		spent, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("process %d: schedstat %q: %w", pid, raw, err)
		}
		total += time.Duration(spent)
	}
	return total, nil
}

// ResidentMB returns the resident memory of a process, in MiB.
func ResidentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("process %d: %w", pid, err)
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		rest, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
		if err != nil {
			return 0, fmt.Errorf("process %d: %q: %w", pid, line, err)
		}
		return kb / 1024, nil
	}
	return 0, fmt.Errorf("process %d: no VmRSS", pid)
}

// coreShare returns the share of a core that a process uses during a span, in percent. It returns after the span.
func coreShare(pid int, span time.Duration) (float64, error) {
	began := time.Now()
	before, err := CPU(pid)
	if err != nil {
		return 0, err
	}
	time.Sleep(span)
	after, err := CPU(pid)
	if err != nil {
		return 0, err
	}
	return 100 * (after - before).Seconds() / time.Since(began).Seconds(), nil
}
