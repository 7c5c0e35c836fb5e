package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
)

// platformConfig is the platform's configuration, checked.
type platformConfig struct {
	Name              string
	Listen            string // address for routers
	PoolAddress       string // of the worker pool
	MembershipAddress string
	DependencyAddress string // of the dependency that runs call, empty without one
	Seed              uint64
	StopWithin        time.Duration // of the stop signal
	Limits            programLimits
	settings          *settings.Settings
	routeTimeouts     map[string]time.Duration // by route: past it an answer earns nothing
	settingsHash      uint64                   // of the settings' text: one that has not changed is not read again
}

// programLimits are what the program itself may use. Each may be any number above 0.
type programLimits struct{ Cores, MemoryMB, Sockets float64 }

// Larger limits, which no machine has, count as these: bytes and descriptors still fit their types.
const (
	maxMemoryMB = 1 << 24
	maxSockets  = 1 << 24
)

const (
	minSockets        = 2 // with fewer there is no connection at all
	callSocketDivisor = 8 // calls to the dependency take at most this part of the descriptors
)

// cores is how many the runtime may use. More than the machine has are of no use, and the runtime keeps memory for each.
func (l programLimits) cores() int { return int(max(1, min(l.Cores, float64(runtime.NumCPU())))) }

func (l programLimits) memoryBytes() int { return int(min(l.MemoryMB, maxMemoryMB) * (1 << 20)) }

// memoryMB is the memory in whole MB; a part of one counts as one, as with none nothing could be kept.
func (l programLimits) memoryMB() int { return max(1, l.memoryBytes()>>20) }

// sockets is the number of descriptors.
func (l programLimits) sockets() int { return int(max(minSockets, min(l.Sockets, maxSockets))) }

// readPlatformConfig reads the platform's configuration and the two variables that override a part of it, and checks that a
// server could be made for it. The start, a reload and the check command all use it. The error joins all errors in the file.
func readPlatformConfig(path string) (platformConfig, error) {
	return rereadPlatformConfig(path, platformConfig{})
}

// rereadPlatformConfig is readPlatformConfig behind an earlier reading. Settings whose text is the same are not read again:
// they are most of the file, and reading those of a large site takes long.
func rereadPlatformConfig(path string, previous platformConfig) (c platformConfig, err error) {
	if path == "" {
		return c, errors.New("EDGE_CONFIG names no configuration; see quartzpoint --help")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	f := platformFile{path: path}
	if err := json.Unmarshal(raw, &f.keys); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.Name = f.stringValue("name", "EDGE_NAME")
	c.Listen = f.stringValue("listen", "EDGE_LISTEN")
	f.checkAddress("listen", c.Listen, false)
	c.PoolAddress = f.stringValue("pool", "")
	f.checkAddress("pool", c.PoolAddress, true)
	c.MembershipAddress = f.stringValue("members", "")
	f.checkAddress("members", c.MembershipAddress, true)
	if f.has("index") {
		c.DependencyAddress = f.stringValue("index", "")
		f.checkAddress("index", c.DependencyAddress, true)
	}
	if seed := f.stringValue("seed", ""); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			f.addError("seed", "%s is no hexadecimal number of 64 bits", seed)
		}
	}
	stopMS := f.positiveNumber("stop_ms")
	c.StopWithin = time.Duration(min(stopMS, float64(settings.MaxDuration/time.Millisecond)) * float64(time.Millisecond))
	c.Limits = programLimits{f.positiveNumber("limits.cores"), f.positiveNumber("limits.memory_mb"), f.positiveNumber("limits.sockets")}
	if c.settingsHash = xxhash.Sum64(f.keys["settings"]); previous.settings != nil && c.settingsHash == previous.settingsHash {
		c.settings, c.routeTimeouts = previous.settings, previous.routeTimeouts
	} else {
		f.readSettings(&c)
	}
	return c, errors.Join(f.errs...)
}

// readSettings reads the settings and checks that a server could be made for them.
func (f *platformFile) readSettings(c *platformConfig) {
	if !f.has("settings") {
		f.addMissing("settings", "an object")
		return
	}
	parsed, err := settings.FromJSON(f.keys["settings"])
	if err == nil {
		err = parsed.CheckRequired()
	}
	if err != nil {
		all := []error{err}
		if joined, ok := err.(interface{ Unwrap() []error }); ok { // each on a line of its own
			all = joined.Unwrap()
		}
		for _, err := range all {
			f.errs = append(f.errs, fmt.Errorf("configuration %s: %w", f.path, err))
		}
		return
	}
	built, err := server.New(parsed, int64(c.Seed), c.serverLimits(), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		f.errs = append(f.errs, fmt.Errorf("configuration %s: settings: %w", f.path, err))
		return
	}
	c.settings, c.routeTimeouts = parsed, built.RouteTimeouts()
}

// serverLimits are the limits of the program, and what its front end and its workers support.
func (c platformConfig) serverLimits() server.Limits {
	return server.Limits{
		MemoryMB: c.Limits.memoryMB(), Sockets: max(minSockets, c.Limits.sockets()-c.callSockets()),
		Keys: true, Tenants: true, Calls: c.DependencyAddress != "", EarlyKill: true,
	}
}

// callSockets is the number of descriptors that calls to the dependency may use.
func (c platformConfig) callSockets() int {
	if c.DependencyAddress == "" {
		return 0
	}
	return max(1, c.Limits.sockets()/callSocketDivisor)
}
