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

// platformConfig is the platform's configuration after validation.
type platformConfig struct {
	Name              string
	Listen            string // address for routers
	PoolAddress       string // address of the worker pool
	MembershipAddress string
	DependencyAddress string // address of the dependency that runs may call; empty without one
	Seed              uint64
	StopWithin        time.Duration // time from the stop signal to the stop
	Limits            programLimits
	settings          *settings.Settings
	routeTimeouts     map[string]time.Duration // by route; an answer after its timeout has no value
	settingsHash      uint64                   // hash of the settings' text; text that has not changed is not parsed again
}

// programLimits are the resources that the program itself may use. Each may be any number above 0.
type programLimits struct{ Cores, MemoryMB, Sockets float64 }

// Larger limits are reduced to these, which no machine has, so that the numbers of bytes and descriptors fit their
// types.
const (
	maxMemoryMB = 1 << 24
	maxSockets  = 1 << 24
)

const (
	minSockets        = 2 // with fewer no connection is possible
	callSocketDivisor = 8 // the descriptors divided by this are the maximum for calls to the dependency
)

// cores returns the number of cores that the runtime may use, at least 1 and at most those of the machine: more are of
// no use, and the runtime allocates memory for each.
func (l programLimits) cores() int { return int(max(1, min(l.Cores, float64(runtime.NumCPU())))) }

func (l programLimits) memoryBytes() int { return int(min(l.MemoryMB, maxMemoryMB) * (1 << 20)) }

// memoryMB returns the memory in whole MB, and at least 1: with 0 nothing could be stored.
func (l programLimits) memoryMB() int { return max(1, l.memoryBytes()>>20) }

// sockets returns the number of descriptors.
func (l programLimits) sockets() int { return int(max(minSockets, min(l.Sockets, maxSockets))) }

// readPlatformConfig reads the platform's configuration and the environment variables that override parts of it, and
// checks that a server can be built from it. The start, a reload and the check command all use it. The returned error
// joins all errors in the file.
func readPlatformConfig(path string) (platformConfig, error) {
	return rereadPlatformConfig(path, platformConfig{})
}

// rereadPlatformConfig is readPlatformConfig with the result of an earlier read. Settings whose text has not changed
// are not parsed again: they are most of the file, and parsing those of a large site takes long.
func rereadPlatformConfig(path string, previous platformConfig) (c platformConfig, err error) {
	if path == "" {
		return c, errors.New("EDGE_CONFIG names no configuration file; see quartzpoint --help")
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
			f.addError("seed", "want a hexadecimal number of 64 bits, got %s", seed)
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

// readSettings parses the settings and checks that a server can be built from them.
func (f *platformFile) readSettings(c *platformConfig) {
	if !f.has("settings") {
		f.addMissing("settings", "want an object")
		return
	}
	parsed, err := settings.FromJSON(f.keys["settings"])
	if err == nil {
		err = parsed.CheckRequired()
	}
	if err != nil {
		all := []error{err}
		if joined, ok := err.(interface{ Unwrap() []error }); ok { // each error gets its own line
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

// serverLimits returns the program's limits, and the features that its front end and its workers support.
func (c platformConfig) serverLimits() server.Limits {
	return server.Limits{
		MemoryMB: c.Limits.memoryMB(), Sockets: max(minSockets, c.Limits.sockets()-c.callSockets()),
		Keys: true, Tenants: true, Calls: c.DependencyAddress != "", EarlyKill: true,
	}
}

// callSockets returns the number of descriptors that calls to the dependency may use.
func (c platformConfig) callSockets() int {
	if c.DependencyAddress == "" {
		return 0
	}
	return max(1, c.Limits.sockets()/callSocketDivisor)
}
