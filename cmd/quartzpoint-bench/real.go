package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"os"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
	"quartzpoint/rulecheck"
	"quartzpoint/scenario"
)

// errEmulatedOnly is the cause of the error for an incident that can only be emulated. Changes of the load are
// supported, since they are part of the arrivals, which are drawn beforehand.
var errEmulatedOnly = errors.New("not supported on real daemons; want kill, restart, deploy, pause, slow, neighbours or load")

// runFleet runs a drill on real daemons with one router in front, and checks the run against the four rules.
func runFleet(program, folder string, d *scenario.Drill, seed int64, load []harness.Arrival) (r harness.Result, report rulecheck.Report, err error) {
	for _, i := range d.Incidents {
		switch i.Kind {
		case scenario.KillServers, scenario.RestartServers, scenario.Deploy, scenario.PauseServers, scenario.SlowPools, scenario.Neighbours, scenario.ChangeLoad:
		default:
			return r, report, fmt.Errorf("%s: %s at %v: %w", d.Name, i.Kind, i.At, errEmulatedOnly)
		}
	}
	if folder, err = os.MkdirTemp(folder, "fleet"); err != nil {
		return r, report, err
	}
	f, err := harness.NewFleet(d.Fleet.Routes, d.Fleet.Servers, max(d.Fleet.RouterOptions.MaxAttempts, 1), func(i, incarnation int) (*harness.Daemon, error) {
		return harness.Start(program, folder, fmt.Sprintf("f%d-%d-%d", seed, i, incarnation), d.Fleet.Routes, d.Fleet.Machine, "")
	})
	if err != nil {
		return r, report, errors.Join(err, f.Close())
	}
	start, failed := time.Now(), make([]error, len(d.Incidents))
	var incidents sync.WaitGroup
	for n, i := range d.Incidents {
		incidents.Go(func() {
			time.Sleep(time.Until(start.Add(i.At)))
			failed[n] = injectReal(f, d, i, rand.New(rand.NewSource(seed+int64(n))))
		})
	}
	r, err = f.Run(load)
	incidents.Wait()
	return r, r.Check(f.Pools()...), errors.Join(append(failed, err, f.Close())...)
}

// incidentServers returns the indexes of the servers that an incident affects. If it affects neither one server nor one
// zone but a share of all servers, it draws them from rng.
func incidentServers(d *scenario.Drill, i scenario.Incident, rng *rand.Rand) (servers []int) {
	switch {
	case i.Server >= 0:
		return []int{i.Server}
	case i.Zone >= 0:
		for n := range d.Fleet.Servers {
			if n%d.Fleet.Zones == i.Zone {
				servers = append(servers, n)
			}
		}
		return servers
	}
	return rng.Perm(d.Fleet.Servers)[:max(1, int(math.Round(i.Share*float64(d.Fleet.Servers))))]
}

// injectReal injects an incident on real daemons. For incidents that change machines or pause servers it returns after
// their end; the fleet kills and restarts servers in the background.
func injectReal(f *harness.Fleet, d *scenario.Drill, i scenario.Incident, rng *rand.Rand) error {
	// change changes the machines of servers for the duration of the incident, or for good if it has none. Servers that
	// are down are skipped.
	change := func(servers []int, apply, revert func(m *harness.Machine)) {
		for _, update := range []func(m *harness.Machine){apply, revert} {
			for _, n := range servers {
				if daemon := f.Daemon(n); daemon != nil {
					daemon.Workers.Update(update)
				}
			}
			if i.Duration == 0 {
				return
			}
			time.Sleep(i.Duration)
		}
	}
	full := d.Fleet.Machine
	switch i.Kind {
	case scenario.KillServers:
		f.Kill(incidentServers(d, i, rng), i.Duration)
	case scenario.RestartServers:
		for _, n := range incidentServers(d, i, rng) {
			f.Restart(n)
		}
	case scenario.Deploy:
		for n := range d.Fleet.Servers {
			f.Restart(n)
			time.Sleep(i.Span)
		}
	case scenario.SlowPools:
		change(incidentServers(d, i, rng), func(m *harness.Machine) { m.Speed = full.Speed / i.Factor }, func(m *harness.Machine) { m.Speed = full.Speed })
	case scenario.Neighbours:
		change(incidentServers(d, i, rng), func(m *harness.Machine) { m.Cores = full.Cores * (1 - i.Factor) }, func(m *harness.Machine) { m.Cores = full.Cores })
	case scenario.PauseServers:
		var pauses sync.WaitGroup
		servers := incidentServers(d, i, rng)
		errs := make([]error, len(servers))
		for at, n := range servers {
			if daemon := f.Daemon(n); daemon != nil {
				pauses.Go(func() { errs[at] = daemon.Pause(i.Duration) })
			}
		}
		pauses.Wait()
		return errors.Join(errs...)
	default:
		// ChangeLoad, the only other kind that runFleet accepts. Nothing is injected, as the arrivals include the change.
	}
	return nil
}

func measuredShares(r harness.Result) outcomeShares {
	n := float64(max(r.Requests, 1))
	return outcomeShares{r.Goodput / max(r.OfferedValue, 1e-9), float64(r.Codes[50]) / n, float64(r.Codes[51]) / n}
}
