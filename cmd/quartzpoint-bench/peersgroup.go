package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// group is a number of daemons of one kind, each under its own load. Groups of one seed have the same loads.
type group struct {
	name    string
	machine harness.Machine
	own     string                      // configuration file
	ownOf   func(i int) (string, error) // configuration file of each, instead of own
	share   float64                     // load, as a part of what pools of full speed can do
	seed    int64

	listens bool                    // each has an address for peers, instead of own
	up      func(d *harness.Daemon) // called with each once it serves

	daemons []*harness.Daemon
	began   time.Time
	results []harness.Result
}

// start starts size daemons.
func (g *group) start(m *measurePeers, folder string, size int) error {
	for i := range size {
		name := fmt.Sprintf("%s-%d-%d", g.name, g.seed, i)
		peers, own := "", g.own
		if g.listens {
			var err error
			if peers, err = harness.FreeAddress(); err != nil {
				return err
			}
			own = fmt.Sprintf("[peers]\nlisten = %q\n", peers)
		}
		if g.ownOf != nil {
			var err error
			if own, err = g.ownOf(i); err != nil {
				return err
			}
		}
		d, err := harness.Start(m.Daemon, folder, name, harness.BookingRoutes(), g.machine, own)
		if err != nil {
			return err
		}
		if d.Peers = peers; g.up != nil {
			g.up(d)
		}
		g.daemons = append(g.daemons, d)
	}
	return nil
}

// run plays the load of each daemon until all loads are over.
func (g *group) run(span time.Duration, full harness.Machine) error {
	routes := harness.BookingRoutes()
	g.results = make([]harness.Result, len(g.daemons))
	failed := make([]error, len(g.daemons))
	g.began = time.Now()
	var running sync.WaitGroup
	for i, d := range g.daemons {
		load := harness.Arrivals(routes, harness.Rate(routes, full, g.share), span, 1000*g.seed+int64(i))
		running.Go(func() { g.results[i], failed[i] = harness.Run(d.Address, routes, load, i+1) })
	}
	running.Wait()
	return errors.Join(failed...)
}

// stop ends all daemons.
func (g *group) stop() error {
	failed := make([]error, len(g.daemons))
	var stopping sync.WaitGroup
	for i, d := range g.daemons {
		stopping.Go(func() { failed[i] = d.Stop() })
	}
	stopping.Wait()
	return errors.Join(failed...)
}

// honoured is the value that the group served.
func (g *group) honoured() (sum float64) {
	for _, r := range g.results {
		sum += r.Goodput
	}
	return sum
}

// broken names the rules that were broken in the group.
func (g *group) broken() (words []string) {
	for i, r := range g.results {
		_, twice := g.daemons[i].Workers.StartOffsets()
		if r.Unanswered+r.DuplicateAnswers+r.LateAnswers+twice > 0 {
			words = append(words, fmt.Sprintf("%s: %d of %d unanswered, %d answered twice, %d late, %d run twice",
				g.name, r.Unanswered, r.Requests, r.DuplicateAnswers, r.LateAnswers, twice))
		}
	}
	return words
}

// startedBy is how many requests the group had started at a moment of its load.
func (g *group) startedBy(at time.Duration) (n int) {
	for _, d := range g.daemons {
		started, _ := d.Workers.StartOffsets()
		for _, s := range started {
			if s <= at+g.began.Sub(d.Workers.StartedAt()) {
				n++
			}
		}
	}
	return n
}

// startedMore is by how many requests one group had started more than another, at each sampled moment.
func startedMore(a, b *group, span time.Duration) (more []float64) {
	for at := sampleInterval; at <= span; at += sampleInterval {
		more = append(more, float64(a.startedBy(at)-b.startedBy(at)))
	}
	return more
}

// together starts groups, runs them side by side, and ends them. sizes are those of the groups, the last for all that follow.
func (m *measurePeers) together(folder string, full harness.Machine, groups []*group, sizes ...int) error {
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
