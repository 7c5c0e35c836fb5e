package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// schedstatWaitField is the index of the field of /proc/PID/task/TID/schedstat that contains the time spent waiting for
// a core, in nanoseconds.
const schedstatWaitField = 1

// CPUWaitTime returns the total time for which the threads of a process were ready to run but had no core. Threads that
// have ended are not counted. The error wraps os.ErrNotExist if there is no such process.
func CPUWaitTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("process %d: no schedstat: %w", pid, os.ErrNotExist)
	}
	total := time.Duration(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(raw))
		if len(fields) <= schedstatWaitField {
			return 0, fmt.Errorf("process %d: schedstat %q has too few fields", pid, raw)
		}
		waited, err := strconv.ParseInt(fields[schedstatWaitField], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("process %d: parse schedstat %q: %w", pid, raw, err)
		}
		total += time.Duration(waited)
	}
	return total, nil
}
