package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// group is a number of daemons of one kind, each with its own load. The i-th daemons of groups with the same seed and
// load get the same arrivals.
type group struct {
	name      string
	machine   harness.Machine
	config    string                      // configuration file
	configFor func(i int) (string, error) // returns the configuration file of each daemon, in place of config
	load      float64                     // as a share of the capacity of pools at full speed
	seed      int64

	servesPeers bool                    // each daemon listens for peers; replaces config
	onServing   func(d *harness.Daemon) // called with each daemon that has started

	daemons   []*harness.Daemon
	startedAt time.Time
	results   []harness.Result
}

// start starts size daemons.
func (g *group) start(m *measurePeers, folder string, size int) error {
	for i := range size {
		name := fmt.Sprintf("%s-%d-%d", g.name, g.seed, i)
		peers, config := "", g.config
		if g.servesPeers {
			var err error
			if peers, err = harness.FreeAddress(); err != nil {
				return err
			}
			config = fmt.Sprintf("[peers]\nlisten = %q\n", peers)
		}
		if g.configFor != nil {
			var err error
			if config, err = g.configFor(i); err != nil {
				return err
			}
		}
		d, err := harness.Start(m.Daemon, folder, name, harness.BookingRoutes(), g.machine, config)
		if err != nil {
			return err
		}
		if d.Peers = peers; g.onServing != nil {
			g.onServing(d)
		}
		g.daemons = append(g.daemons, d)
	}
	return nil
}

// run sends each daemon its load, and waits until all loads have ended.
func (g *group) run(span time.Duration, full harness.Machine) error {
	routes := harness.BookingRoutes()
	g.results = make([]harness.Result, len(g.daemons))
	failed := make([]error, len(g.daemons))
	g.startedAt = time.Now()
	var running sync.WaitGroup
	for i, d := range g.daemons {
		load := harness.Arrivals(routes, harness.Rate(routes, full, g.load), span, 1000*g.seed+int64(i))
		running.Go(func() { g.results[i], failed[i] = harness.Run(d.Address, routes, load, i+1) })
	}
	running.Wait()
	return errors.Join(failed...)
}

// stop stops all daemons.
func (g *group) stop() error {
	failed := make([]error, len(g.daemons))
	var stopping sync.WaitGroup
	for i, d := range g.daemons {
		stopping.Go(func() { failed[i] = d.Stop() })
	}
	stopping.Wait()
	return errors.Join(failed...)
}

// goodput returns the value that the group served.
func (g *group) goodput() (sum float64) {
	for _, r := range g.results {
		sum += r.Goodput
	}
	return sum
}

// violations returns a message for each daemon of the group with requests that were unanswered, answered twice,
// answered late or run twice.
func (g *group) violations() (messages []string) {
	for i, r := range g.results {
		_, repeated := g.daemons[i].Workers.StartOffsets()
		if r.Unanswered+r.DuplicateAnswers+r.LateAnswers+repeated > 0 {
			messages = append(messages, fmt.Sprintf("%s: %d of %d unanswered, %d answered twice, %d late, %d run twice",
				g.name, r.Unanswered, r.Requests, r.DuplicateAnswers, r.LateAnswers, repeated))
		}
	}
	return messages
}

// startedBy returns the number of requests that the group had started by a time since the start of its load.
func (g *group) startedBy(at time.Duration) (n int) {
	for _, d := range g.daemons {
		started, _ := d.Workers.StartOffsets()
		for _, s := range started {
			if s <= at+g.startedAt.Sub(d.Workers.StartedAt()) {
				n++
			}
		}
	}
	return n
}

// extraStarts returns, for each sampled moment, the number of requests that group a had started in excess of group b.
func extraStarts(a, b *group, span time.Duration) (extra []float64) {
	for at := sampleInterval; at <= span; at += sampleInterval {
		extra = append(extra, float64(a.startedBy(at)-b.startedBy(at)))
	}
	return extra
}

// runGroups starts groups, runs their loads concurrently and stops the groups. sizes are the numbers of daemons by
// group; the last applies to all further groups.
func (m *measurePeers) runGroups(folder string, full harness.Machine, groups []*group, sizes ...int) error {
	defer func() {
		for _, g := range groups {
			_ = g.stop()
		}
	}()
	for i, g := range groups {
		if err := g.start(m, folder, sizes[min(i, len(sizes)-1)]); err != nil {
			return err
		}
	}
	failed := make([]error, len(groups))
	var running sync.WaitGroup
	for i, g := range groups {
		running.Go(func() { failed[i] = g.run(m.Span, full) })
	}
	running.Wait()
	return errors.Join(failed...)
}
