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

// emulating is the command that plays, in real time, what stands round real daemons.
type emulating struct {
	File   string `arg:"" help:"The drill whose fleet is played; its incidents of pools and dependencies come when they are due."`
	Folder string `default:"." help:"Where each server's configuration is written."`
}

// Run plays until the drill's span is over, or an interrupt.
func (cmd *emulating) Run() (err error) {
	d, err := readDrill(cmd.File)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	members, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	defer members.Close()
	go reports(members)
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
		listen, err := harness.FreeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d", d.Name, n)
		raw, err := harness.PlatformConfig(name, listen, p.Address, members.LocalAddr().String(), d.Fleet.Routes, d.Fleet.Machine)
		if err != nil {
			return err
		}
		path := filepath.Join(cmd.Folder, name+".json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
		fmt.Printf("EDGE_CONFIG=%s quartzpoint serve    # listens at %s, pool %s\n", path, listen, p.Address)
	}
	began := time.Now()
	for _, dep := range d.Fleet.Dependencies {
		one, err := harness.NewDependency(dep.Slots, dep.Mean, dep.Spread, 1, moodOf(d, dep.Name))
		if err != nil {
			return err
		}
		defer one.Close()
		one.RestartClock()
		fmt.Printf("[dependencies.%s] address = %q\n", dep.Name, one.Address)
	}
	for _, i := range d.Incidents {
		go func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(began.Add(i.At))):
			}
			if what := poolIncident(pools, d, i); what != "" {
				fmt.Printf("%v: %s\n", i.At, what)
			}
		}()
	}
	fmt.Printf("playing %q for %v; interrupt to end\n", d.Title, d.Span)
	select {
	case <-ctx.Done():
		return nil // as asked
	case <-time.After(d.Span):
		return nil
	}
}

const failEach = 100 * time.Millisecond

// moodOf is how a dependency does by the incidents of a drill.
func moodOf(d *scenario.Drill, name string) harness.BehaviourScript {
	return func(at time.Duration) (m harness.DependencyBehaviour) {
		for _, i := range d.Incidents {
			if i.Name != name || at < i.At || i.Duration > 0 && at >= i.At+i.Duration {
				continue
			}
			switch i.Kind {
			case scenario.StopDependency:
				m.Silent = true
			case scenario.SlowDependency:
				m.SlowFactor = i.Factor
			case scenario.FailDependency:
				m.Rejects = at%failEach < time.Duration(i.Factor*float64(failEach)) // for that part of the time
			}
		}
		return m
	}
}

// poolIncident has an incident of pools come about, and says so.
func poolIncident(pools []*harness.Workers, d *scenario.Drill, i scenario.Incident) string {
	full := d.Fleet.Machine
	change := func(to, back func(m *harness.Machine)) string {
		numbers := meant(d, i, rand.New(rand.NewSource(int64(i.At))))
		for _, n := range numbers {
			pools[n].Update(to)
		}
		if i.Duration > 0 {
			time.AfterFunc(i.Duration, func() {
				for _, n := range numbers {
					pools[n].Update(back)
				}
			})
		}
		return strings.TrimSpace(fmt.Sprintln(i.Kind, "of pools", numbers))
	}
	whole := func(m *harness.Machine) { m.Speed, m.Cores = full.Speed, full.Cores }
	switch i.Kind {
	case scenario.SlowPools:
		return change(func(m *harness.Machine) { m.Speed = full.Speed / i.Factor }, whole)
	case scenario.Neighbours:
		return change(func(m *harness.Machine) { m.Cores = full.Cores * (1 - i.Factor) }, whole)
	case scenario.PauseServers:
		return change(func(m *harness.Machine) { m.Speed = 1e-9 }, whole)
	}
	return ""
}

// reports reads what daemons tell the membership service; nobody is listed.
func reports(from net.PacketConn) {
	raw := make([]byte, 2048)
	for {
		if _, _, err := from.ReadFrom(raw); err != nil {
			return
		}
	}
}
