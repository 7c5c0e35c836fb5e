package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/testkit/harness"
)

// measurePeers compares newcomers that borrow with cold twins under the same arrivals.
type measurePeers struct {
	Daemon string        `default:"bin/quartzpoint" help:"The daemon's program."`
	Seeds  int           `default:"10" help:"Pairs of groups."`
	Group  int           `default:"8" help:"Newcomers in a group; what they did is added up, as one alone is swayed by a few tasks."`
	Warm   time.Duration `default:"12s" help:"For which the running peer is under load before."`
	Span   time.Duration `default:"10s" help:"Of the newcomers' load."`
	Load   float64       `default:"1.2" help:"Share of what the pool can do."`
	Cores  float64       `default:"4" help:"Of each emulated pool."`
}

// pairResult is what one seed gave.
type pairResult struct {
	fresh, old, young float64   // honoured over the cold twin's
	twins             float64   // the same of a second cold twin
	more, twinsMore   []float64 // started more than the cold twin at each moment, with the old view and of the twin
	asked, askedTwins float64   // honoured over that of an unasked one
	askBytes          float64
	asks              int // answered
	askTook           time.Duration
	broken            []string
}

const (
	sampleEach = 250 * time.Millisecond
	askEach    = 100 * time.Millisecond
	oldAge     = 5 * time.Minute
	youngAge   = 10 * time.Second
	slow       = 1.0 / 3
	heavy      = 1.3 // load of those that are asked, and of their twins
)

// Run prints the table and fails where an aim is missed.
func (m *measurePeers) Run() error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	results := make([]pairResult, m.Seeds)
	failed := make([]error, m.Seeds)
	var all sync.WaitGroup
	for i := range results {
		all.Add(1)
		go func() {
			defer all.Done()
			results[i], failed[i] = m.pair(folder, int64(i+1))
		}()
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return m.tell(results)
}

// group is a number of daemons of one kind, each under its own load.
type group struct {
	name    string
	machine harness.Machine
	own     string
	ownOf   func(i int) (string, error) // in its place, of each
	share   float64                     // of what the pools of full speed can do
	seed    int64                       // groups of one seed have the same loads

	listens bool                    // each at a peers' address of its own
	up      func(d *harness.Daemon) // called with each that serves

	daemons []*harness.Daemon
	began   time.Time
	results []harness.Result
}

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

func (g *group) run(span time.Duration, full harness.Machine) error {
	types := harness.BookingRoutes()
	g.results = make([]harness.Result, len(g.daemons))
	failed := make([]error, len(g.daemons))
	g.began = time.Now()
	var running sync.WaitGroup
	for i, d := range g.daemons {
		load := harness.Arrivals(types, harness.Rate(types, full, g.share), span, 1000*g.seed+int64(i))
		running.Add(1)
		go func() {
			defer running.Done()
			g.results[i], failed[i] = harness.Run(d.Address, types, load, i+1)
		}()
	}
	running.Wait()
	return errors.Join(failed...)
}

func (g *group) stop() error {
	failed := make([]error, len(g.daemons))
	var over sync.WaitGroup
	for i, d := range g.daemons {
		over.Add(1)
		go func() {
			defer over.Done()
			failed[i] = d.Stop()
		}()
	}
	over.Wait()
	return errors.Join(failed...)
}

func (g *group) honoured() (sum float64) {
	for _, r := range g.results {
		sum += r.Honoured
	}
	return sum
}

// broken tells which rules were broken in the group.
func (g *group) broken() (words []string) {
	for i, r := range g.results {
		_, twice := g.daemons[i].Workers.Started()
		if r.Unanswered+r.Twice+r.Late+twice > 0 {
			words = append(words, fmt.Sprintf("%s: %d of %d unanswered, %d answered twice, %d late, %d run twice",
				g.name, r.Unanswered, r.Tasks, r.Twice, r.Late, twice))
		}
	}
	return words
}

// startedBy is how many tasks the group had started at a moment of its load.
func (g *group) startedBy(at time.Duration) (n int) {
	for _, d := range g.daemons {
		started, _ := d.Workers.Started()
		for _, s := range started {
			if s <= at+g.began.Sub(d.Workers.Began()) {
				n++
			}
		}
	}
	return n
}

// startedMore is by how many tasks one group had started more than another, at each sampled moment.
func startedMore(a, b *group, span time.Duration) (more []float64) {
	for at := sampleEach; at <= span; at += sampleEach {
		more = append(more, float64(a.startedBy(at)-b.startedBy(at)))
	}
	return more
}

// together starts groups, runs them side by side, and ends them.
func (m *measurePeers) together(folder string, full harness.Machine, groups []*group, sizes ...int) error {
	defer func() {
		for _, g := range groups {
			g.stop()
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
		running.Add(1)
		go func() {
			defer running.Done()
			failed[i] = g.run(m.Span, full)
		}()
	}
	running.Wait()
	return errors.Join(failed...)
}

func (m *measurePeers) pair(folder string, seed int64) (p pairResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, KB: 16000 * m.Cores}
	slower := full
	slower.Speed *= slow
	peerAt, err := harness.FreeAddress()
	if err != nil {
		return p, err
	}
	asks := func(address string) string { return fmt.Sprintf("[peers]\nask = [%q]\n", address) }

	// The newcomers beside a peer that has run for a while and runs on.
	peer := &group{
		name: "peer", machine: full, own: fmt.Sprintf("[peers]\nlisten = %q\n", peerAt), share: m.Load, seed: seed + 500,
	}
	defer func() { err = errors.Join(err, peer.stop()) }()
	if err := peer.start(m, folder, 1); err != nil {
		return p, err
	}
	peerOver := make(chan error, 1)
	go func() { peerOver <- peer.run(m.Warm+m.Span, full) }()
	time.Sleep(m.Warm)
	snapshot, err := peersync.Fetch(context.Background(), peerAt, nil)
	if err != nil {
		return p, errors.Join(err, <-peerOver)
	}
	cold := &group{name: "cold", machine: full, share: m.Load, seed: seed}
	fresh := &group{name: "fresh", machine: full, own: asks(peerAt), share: m.Load, seed: seed}
	err = m.together(folder, full, []*group{cold, fresh}, m.Group)
	if err = errors.Join(err, <-peerOver); err != nil {
		return p, err
	}

	// What the peer saw, told minutes later to newcomers on slower machines; and one that is asked all the time.
	played := map[time.Duration]string{}
	for _, age := range []time.Duration{oldAge, youngAge} {
		giver, err := peersync.Listen("127.0.0.1:0", nil, func() time.Duration { return time.Hour },
			invariant.New(slog.New(slog.DiscardHandler)))
		if err != nil {
			return p, err
		}
		giver.Publish(snapshot, time.Hour-age)
		giver.Serve()
		defer giver.Close()
		played[age] = giver.Address()
	}
	slowGroup := func(name, own string) *group {
		return &group{name: name, machine: slower, own: own, share: m.Load, seed: seed}
	}
	slowCold, slowTwin := slowGroup("slow-cold", ""), slowGroup("slow-twin", "")
	old, young := slowGroup("slow-old", asks(played[oldAge])), slowGroup("slow-young", asks(played[youngAge]))
	unasked := &group{name: "unasked", machine: full, share: heavy, seed: seed}
	unaskedTwin := &group{name: "unasked-twin", machine: full, share: heavy, seed: seed}
	asked := &group{name: "asked", machine: full, listens: true, share: heavy, seed: seed}
	fewer := max(1, m.Group*3/8)
	took, quit := make(chan []time.Duration, fewer), make(chan struct{})
	asked.up = func(d *harness.Daemon) { go func() { took <- askOften(d.Peers, quit) }() }
	groups := []*group{unasked, unaskedTwin, asked, slowCold, slowTwin, old, young}
	err = m.together(folder, full, groups, fewer)
	close(quit)
	if err != nil {
		return p, err
	}
	var times []time.Duration
	for range fewer {
		times = append(times, <-took...)
	}
	slices.Sort(times)
	if len(times) == 0 {
		return p, errors.New("no ask was answered")
	}
	for _, g := range append(groups, peer, cold, fresh) {
		p.broken = append(p.broken, g.broken()...)
	}
	p.fresh = fresh.honoured() / cold.honoured()
	p.old = old.honoured() / slowCold.honoured()
	p.young = young.honoured() / slowCold.honoured()
	p.twins = slowTwin.honoured() / slowCold.honoured()
	p.more, p.twinsMore = startedMore(old, slowCold, m.Span), startedMore(slowTwin, slowCold, m.Span)
	p.asked, p.askedTwins = asked.honoured()/unasked.honoured(), unaskedTwin.honoured()/unasked.honoured()
	p.askTook, p.asks, p.askBytes = times[len(times)/2], len(times), float64(peersync.Size(snapshot))
	return p, nil
}

// askOften asks ten times a second until quit and gives what the answered ones took.
func askOften(address string, quit <-chan struct{}) (took []time.Duration) {
	tick := time.NewTicker(askEach)
	defer tick.Stop()
	for {
		select {
		case <-quit:
			return took
		case <-tick.C:
			begin := time.Now()
			if _, err := peersync.Fetch(context.Background(), address, nil); err == nil {
				took = append(took, time.Since(begin))
			}
		}
	}
}

// aim is a figure with what it must reach.
type aim struct {
	what        string
	value       float64
	least, most float64
}

// excess is by how many standard errors a group is ahead of its cold twins, over the seeds, at the moment at which
// that is most. The errors are those of both kinds of pairs together, as at most moments one alone has few.
func excess(results []pairResult) (most, tasks float64) {
	n := float64(len(results))
	for at := range results[0].more {
		var sum, squares float64
		for _, r := range results {
			sum += r.more[at]
			squares += r.more[at]*r.more[at]/2 + r.twinsMore[at]*r.twinsMore[at]/2
		}
		if squares > 0 && sum/math.Sqrt(squares) > most {
			most, tasks = sum/math.Sqrt(squares), sum/n
		}
	}
	return most, tasks
}

// certain is the number of standard errors by which a figure must miss its aim before it is said to: twins on
// sockets differ by the moments at which things are read.
const certain = 3.5

func (m *measurePeers) tell(results []pairResult) error {
	column := func(of func(pairResult) float64) (values []float64) {
		for _, r := range results {
			values = append(values, of(r))
		}
		slices.Sort(values)
		return values
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "sockets, emulated workers, %d seeds of %d newcomers, load %.0f%%\tmedian\tworst\tbest\t\n",
		m.Seeds, m.Group, 100*m.Load)
	line := func(what string, of func(pairResult) float64) (v []float64, median float64) {
		v = column(of)
		median = stat.Quantile(0.5, stat.LinInterp, v, nil)
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t\n", what, median, v[0], v[len(v)-1])
		return v, median
	}
	fresh, freshMedian := line("fresh view, honoured over cold", func(r pairResult) float64 { return r.fresh })
	old, _ := line("view of 5 min, pool at a third: honoured over cold", func(r pairResult) float64 { return r.old })
	twins, _ := line("  a second cold twin (noise)", func(r pairResult) float64 { return r.twins })
	young, _ := line("view of 10 s, pool at a third: honoured over cold", func(r pairResult) float64 { return r.young })
	asked, _ := line("asked 10 times a second at 130%: over unasked", func(r pairResult) float64 { return r.asked })
	askedTwins, _ := line("  a second unasked twin (noise)", func(r pairResult) float64 { return r.askedTwins })
	took := column(func(r pairResult) float64 { return float64(r.askTook.Microseconds()) / 1000 })
	asks := column(func(r pairResult) float64 { return float64(r.asks) })
	fmt.Fprintf(table, "one ask, ms: %.0f bytes of view, %.0f or more answered a seed\t%.2f\t%.2f\t%.2f\t\n",
		results[0].askBytes, asks[0], stat.Quantile(0.5, stat.LinInterp, took, nil), took[len(took)-1], took[0])
	broken := 0
	for i, r := range results {
		for _, words := range r.broken {
			broken++
			fmt.Fprintf(table, "seed %d: %s\t\t\t\t\n", i+1, words)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	// A mean is held to 1 less what chance explains, which the twins tell.
	mean := func(v, twins []float64) (mean, least float64) {
		return stat.Mean(v, nil), 1 - certain*stat.StdDev(append(slices.Clone(v), twins...), nil)/math.Sqrt(float64(len(v)))
	}
	oldMean, oldLeast := mean(old, twins)
	youngMean, youngLeast := mean(young, twins)
	askedMean, askedLeast := mean(asked, askedTwins)
	ahead, tasks := excess(results)
	fmt.Printf("view of 5 min: ahead of cold in started tasks by %.1f standard errors at the most (%.1f tasks a group)\n", ahead, tasks)
	fmt.Printf("measure peers: fresh %.3f (worst %.3f), old mean %.3f (chance down to %.3f), started ahead %.1f errors, "+
		"asked mean %.3f (chance down to %.3f), rules broken %d, seeds %d\n",
		freshMedian, fresh[0], oldMean, oldLeast, ahead, askedMean, askedLeast, broken, m.Seeds)
	return missedAims([]aim{
		{"fresh view, median", freshMedian, 1, math.Inf(1)}, {"fresh view, worst seed", fresh[0], 0.98, math.Inf(1)},
		{"old view, mean", oldMean, oldLeast, math.Inf(1)}, {"old view, started ahead", ahead, 0, certain},
		{"young view, mean", youngMean, youngLeast, math.Inf(1)},
		{"asked, mean", askedMean, askedLeast, math.Inf(1)}, {"rules broken", float64(broken), 0, 0},
	})
}
