package quartzpoint

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
)

// maxCgroupLimit is the value from which a control group's memory limit counts as unlimited: cgroup version 1 reports a
// huge number if there is no limit.
const maxCgroupLimit = 1 << 50

// memoryLimit returns the memory limit of the process in bytes, or 0 if there is none: the Go runtime's limit if one is
// set, otherwise the control group's.
func memoryLimit() uint64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return uint64(limit)
	}
	return cgroupMemoryLimit()
}

// cgroupMemoryLimit returns the memory limit of the process's control group in bytes, or 0 if there is none or it can't
// be read.
func cgroupMemoryLimit() uint64 {
	for _, path := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		limit, err := strconv.ParseUint(string(bytes.TrimSpace(raw)), 10, 64)
		if err == nil && limit < maxCgroupLimit {
			return limit
		}
	}
	return 0
}
