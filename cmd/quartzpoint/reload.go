package main

import (
	"os"
	"runtime/debug"
	"strings"

	"quartzpoint/internal/settings"
)

// largeSettingsCount is the number of settings above which the memory used to parse them is returned to the system at
// once.
const largeSettingsCount = 10_000

// reloadPlatformConfig reads the platform's configuration again, checks all of it as at the start, and applies what can
// change at run time: addresses, the time until the stop, and the settings that settings.Adjustable names. A file that
// is missing, incomplete or invalid changes nothing.
func (p *process) reloadPlatformConfig() {
	old := p.platform
	next, err := rereadPlatformConfig(os.Getenv("EDGE_CONFIG"), old)
	if err != nil {
		p.log.Warn("configuration reload failed, the old one stays in force", "error", err)
		return
	}
	var change settings.Change
	if next.settingsHash != old.settingsHash {
		change = old.settings.Compare(next.settings)
		if next.settings.Len() > largeSettingsCount {
			defer debug.FreeOSMemory()
		}
	}
	p.applyAddresses(next)
	if len(change.Adjusted) > 0 {
		adjusted := old.settings.WithAdjustable(next.settings)
		p.platform.settings = adjusted
		p.server.Submit(func() { p.server.Reconfigure(adjusted) })
	}
	p.platform.StopWithin = next.StopWithin
	p.platform.settingsHash = next.settingsHash
	if len(change.Fixed) > 0 {
		p.platform.settingsHash = 0 // no file holds exactly the settings in force, so a reload must parse those of any file
	}
	p.log.Info("configuration reloaded", "pool", next.PoolAddress, "members", next.MembershipAddress,
		"index", p.platform.DependencyAddress, "stop_ms", next.StopWithin.Milliseconds(), "moved", change.Adjusted,
		"only_with_a_restart", p.platform.needRestart(next, change.Fixed))
}

// applyAddresses switches the worker link, the membership reports and the calls to the addresses of next.
func (p *process) applyAddresses(next platformConfig) {
	if next.MembershipAddress != p.platform.MembershipAddress {
		p.reporter.SetAddress(next.MembershipAddress)
	}
	if next.PoolAddress != p.platform.PoolAddress {
		p.link.SetAddress(next.PoolAddress)
	}
	p.platform.MembershipAddress, p.platform.PoolAddress = next.MembershipAddress, next.PoolAddress
	if p.dependency != nil && next.DependencyAddress != "" && next.DependencyAddress != p.platform.DependencyAddress {
		p.dependency.SetAddress(next.DependencyAddress)
		p.platform.DependencyAddress = next.DependencyAddress
	}
}

// needRestart returns the keys of next that differ from those in force and apply only at a start; fixedSettings are the
// settings among them.
func (c platformConfig) needRestart(next platformConfig, fixedSettings []string) (keys []string) {
	for _, key := range []struct {
		name    string
		differs bool
	}{
		{"name", next.Name != c.Name},
		{"listen", next.Listen != c.Listen},
		{"limits", next.Limits != c.Limits},
		{"index", next.DependencyAddress != c.DependencyAddress},
		{"settings " + strings.Join(fixedSettings, ","), len(fixedSettings) > 0},
	} {
		if key.differs {
			keys = append(keys, key.name)
		}
	}
	return keys
}
