package quartzpoint

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
)

// maxCgroupLimit is the limit from which on a control group counts as unlimited: version 1 states a huge number for none.
const maxCgroupLimit = 1 << 50

// memoryLimit is the memory limit of the process in bytes, 0 if there is none.
func memoryLimit() uint64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return uint64(limit)
	}
	return cgroupMemoryLimit()
}

// cgroupMemoryLimit is the memory limit of the process's control group in bytes, 0 if there is none that can be read.
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
