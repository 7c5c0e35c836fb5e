package store

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"quartzpoint/recovery"
)

// SystemClock reads the clocks of this machine, and finds its mark and the boot's. Where these can't be read they are
// unknown, and recovery takes what it finds for as old as may be.
func SystemClock() func() recovery.Timestamp {
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	here := recovery.Timestamp{BootID: strings.TrimSpace(string(boot))}
	if id, err := os.ReadFile("/etc/machine-id"); err == nil && len(id) > 0 {
		here.MachineID = xxhash.Sum64(id)
	} else if name, err := os.Hostname(); err == nil {
		here.MachineID = xxhash.Sum64String(name)
	}
	return func() recovery.Timestamp {
		now := here
		now.Wall = time.Duration(time.Now().UnixNano())
		var up unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) == nil {
			now.SinceBoot = time.Duration(up.Nano())
		}
		return now
	}
}

// RandomID draws an id for a file.
func RandomID() uint64 {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return binary.LittleEndian.Uint64(id[:])
}
