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

// SystemClock returns a function that reads the clocks of this machine. The machine is identified by /etc/machine-id or,
// if that is missing or empty, by its host name. If the id of the machine or of the boot cannot be read, it stays
// unknown, and package recovery makes the weakest assumptions about ages.
func SystemClock() func() recovery.Timestamp {
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	base := recovery.Timestamp{BootID: strings.TrimSpace(string(boot))}
	if id, err := os.ReadFile("/etc/machine-id"); err == nil && len(id) > 0 {
		base.MachineID = xxhash.Sum64(id)
	} else if name, err := os.Hostname(); err == nil {
		base.MachineID = xxhash.Sum64String(name)
	}
	return func() recovery.Timestamp {
		now := base
		now.Wall = time.Duration(time.Now().UnixNano())
		var sinceBoot unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) == nil {
			now.SinceBoot = time.Duration(sinceBoot.Nano())
		}
		return now
	}
}

// RandomID returns a random id, for a file or a server.
func RandomID() uint64 {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return binary.LittleEndian.Uint64(id[:])
}
