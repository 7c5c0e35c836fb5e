package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"quartzpoint/internal/testkit/harness"
	"quartzpoint/scenario"
)

// workersCommand emulates the surroundings of real daemons in real time: worker pools, dependencies and membership.
type workersCommand struct {
	File   string `arg:"" help:"The drill whose fleet is emulated; its incidents of pools and dependencies are injected at their times."`
	Folder string `default:"." help:"Folder for the configuration files of the servers."`
}

// Run emulates the drill until its span is over or an interrupt arrives.
func (cmd *workersCommand) Run() (err error) {
	d, err := readDrill(cmd.File)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	membership, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("membership service: %w", err)
	}
	defer func() { _ = membership.Close() }()
	go discardReports(membership)
	var pools []*harness.Workers
	defer func() {
		for _, p := range pools {
			p.Close()
		}
	}()
	for n := range d.Fleet.Servers {
		p, err := harness.NewWorkers(d.Fleet.Machine)
		if err != nil {
			return err
		}
		pools = append(pools, p)
		if err := cmd.writeConfig(d, n, p.Address, membership.LocalAddr().String()); err != nil {
			return err
		}
	}
	start := time.Now()
	for _, definition := range d.Fleet.Dependencies {
		dependency, err := harness.NewDependency(definition.Slots, definition.Mean, definition.Spread, 1, dependencyScript(d, definition.Name))
		if err != nil {
			return err
		}
		defer dependency.Close()
		dependency.RestartClock()
		fmt.Printf("[dependencies.%s] address = %q\n", definition.Name, dependency.Address)
	}
	for _, i := range d.Incidents {
		go func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(i.At))):
			}
			if description := injectPoolIncident(pools, d, i); description != "" {
				fmt.Printf("%v: %s\n", i.At, description)
			}
		}()
	}
	fmt.Printf("emulating %q for %v; interrupt to stop\n", d.Title, d.Span)
	select {
	case <-ctx.Done(): // an interrupt is not an error
	case <-time.After(d.Span):
	}
	return nil
}

// writeConfig writes the platform configuration of one server, and prints the command that starts it.
func (cmd *workersCommand) writeConfig(d *scenario.Drill, server int, pool, membership string) error {
	listen, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", d.Name, server)
	raw, err := harness.PlatformConfig(name, listen, pool, membership, d.Fleet.Routes, d.Fleet.Machine)
	if err != nil {
		return err
	}
	path := filepath.Join(cmd.Folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	fmt.Printf("EDGE_CONFIG=%s quartzpoint serve    # listens at %s, pool %s\n", path, listen, pool)
	return nil
}

// failurePeriod is the period of a failing dependency, which rejects all calls in the first part of each period. The
// incident's factor is the length of that part, as a share of the period.
const failurePeriod = 100 * time.Millisecond

// dependencyScript returns the behaviour of a dependency according to the incidents of a drill.
func dependencyScript(d *scenario.Drill, name string) harness.BehaviourScript {
	return func(at time.Duration) (b harness.DependencyBehaviour) {
		for _, i := range d.Incidents {
			if i.Name != name || at < i.At || i.Duration > 0 && at >= i.At+i.Duration {
				continue
			}
			switch i.Kind {
			case scenario.StopDependency:
				b.Silent = true
			case scenario.SlowDependency:
				b.SlowFactor = i.Factor
			case scenario.FailDependency:
				b.Rejects = at%failurePeriod < time.Duration(i.Factor*float64(failurePeriod))
			default: // incident of another kind
			}
		}
		return b
	}
}

// pausedSpeed is the speed of a paused pool. It is not 0, because the speed is a divisor.
const pausedSpeed = 1e-9

// injectPoolIncident injects an incident of pools and returns its description. It ignores other incidents and returns
// an empty string for them.
func injectPoolIncident(pools []*harness.Workers, d *scenario.Drill, i scenario.Incident) string {
	full := d.Fleet.Machine
	change := func(apply, revert func(m *harness.Machine)) string {
		servers := incidentServers(d, i, rand.New(rand.NewSource(int64(i.At))))
		for _, n := range servers {
			pools[n].Update(apply)
		}
		if i.Duration > 0 {
			time.AfterFunc(i.Duration, func() {
				for _, n := range servers {
					pools[n].Update(revert)
				}
			})
		}
		return strings.TrimSpace(fmt.Sprintln(i.Kind, "of pools", servers))
	}
	restore := func(m *harness.Machine) { m.Speed, m.Cores = full.Speed, full.Cores }
	switch i.Kind {
	case scenario.SlowPools:
		return change(func(m *harness.Machine) { m.Speed = full.Speed / i.Factor }, restore)
	case scenario.Neighbours:
		return change(func(m *harness.Machine) { m.Cores = full.Cores * (1 - i.Factor) }, restore)
	case scenario.PauseServers:
		return change(func(m *harness.Machine) { m.Speed = pausedSpeed }, restore)
	default:
		return ""
	}
}

// discardReports reads and discards the reports of daemons until the socket is closed.
func discardReports(from net.PacketConn) {
	raw := make([]byte, 2048)
	for {
		if _, _, err := from.ReadFrom(raw); err != nil {
			return
		}
	}
}
