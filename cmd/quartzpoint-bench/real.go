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

// errNotReal ends the error of an incident that can only be emulated. Incidents of the load are in the
// arrivals, which are drawn beforehand.
var errNotReal = errors.New("is not played on real daemons; kill, restart, deploy, pause, slow, neighbours and load are")

// playFleet plays a drill on real daemons behind one router, and holds what happened against the four rules.
func playFleet(program, folder string, d *scenario.Drill, seed int64, load []harness.Arrival) (r harness.Result, found rulecheck.Report, err error) {
	for _, i := range d.Incidents {
		switch i.Kind {
		case scenario.KillServers, scenario.RestartServers, scenario.Deploy, scenario.PauseServers, scenario.SlowPools, scenario.Neighbours, scenario.ChangeLoad:
		default:
			return r, found, fmt.Errorf("%s: %s at %v %w", d.Name, i.Kind, i.At, errNotReal)
		}
	}
	if folder, err = os.MkdirTemp(folder, "fleet"); err != nil {
		return r, found, err
	}
	f, err := harness.NewFleet(d.Fleet.Routes, d.Fleet.Servers, max(d.Fleet.RouterOptions.MaxAttempts, 1), func(i, life int) (*harness.Daemon, error) {
		return harness.Start(program, folder, fmt.Sprintf("f%d-%d-%d", seed, i, life), d.Fleet.Routes, d.Fleet.Machine, "")
	})
	if err != nil {
		return r, found, errors.Join(err, f.Close())
	}
	began, failed := time.Now(), make([]error, len(d.Incidents))
	var incidents sync.WaitGroup
	for n, i := range d.Incidents {
		incidents.Add(1)
		go func() {
			defer incidents.Done()
			time.Sleep(time.Until(began.Add(i.At)))
			failed[n] = happenReal(f, d, i, rand.New(rand.NewSource(seed+int64(n))))
		}()
	}
	r, err = f.Run(load)
	incidents.Wait()
	return r, r.Check(f.Pools()...), errors.Join(append(failed, err, f.Close())...)
}

// meant are the servers that an incident means.
func meant(d *scenario.Drill, i scenario.Incident, chance *rand.Rand) (numbers []int) {
	switch {
	case i.Server >= 0:
		return []int{i.Server}
	case i.Zone >= 0:
		for n := range d.Fleet.Servers {
			if n%d.Fleet.Zones == i.Zone {
				numbers = append(numbers, n)
			}
		}
		return numbers
	}
	return chance.Perm(d.Fleet.Servers)[:max(1, int(math.Round(i.Share*float64(d.Fleet.Servers))))]
}

func happenReal(f *harness.Fleet, d *scenario.Drill, i scenario.Incident, chance *rand.Rand) error {
	// change changes machines for the incident's span; one that is down has nothing to change.
	change := func(numbers []int, to, back func(m *harness.Machine)) {
		for _, what := range []func(m *harness.Machine){to, back} {
			for _, n := range numbers {
				if one := f.Daemon(n); one != nil {
					one.Workers.Update(what)
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
		f.Kill(meant(d, i, chance), i.Duration)
	case scenario.RestartServers:
		for _, n := range meant(d, i, chance) {
			f.Restart(n)
		}
	case scenario.Deploy:
		for n := range d.Fleet.Servers {
			f.Restart(n)
			time.Sleep(i.Span)
		}
	case scenario.SlowPools:
		change(meant(d, i, chance), func(m *harness.Machine) { m.Speed = full.Speed / i.Factor }, func(m *harness.Machine) { m.Speed = full.Speed })
	case scenario.Neighbours:
		change(meant(d, i, chance), func(m *harness.Machine) { m.Cores = full.Cores * (1 - i.Factor) }, func(m *harness.Machine) { m.Cores = full.Cores })
	case scenario.PauseServers:
		var all sync.WaitGroup
		numbers := meant(d, i, chance)
		failed := make([]error, len(numbers))
		for at, n := range numbers {
			if one := f.Daemon(n); one != nil {
				all.Add(1)
				go func() {
					defer all.Done()
					failed[at] = one.Pause(i.Duration)
				}()
			}
		}
		all.Wait()
		return errors.Join(failed...)
	}
	return nil
}

func realParts(r harness.Result) parts {
	n := float64(max(r.Requests, 1))
	return parts{r.Goodput / max(r.OfferedValue, 1e-9), float64(r.Codes[50]) / n, float64(r.Codes[51]) / n}
}
