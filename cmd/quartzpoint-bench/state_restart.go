package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/store"
	"quartzpoint/internal/testkit/harness"
	"quartzpoint/recovery"
)

// restart compares servers that start from a state directory with cold ones, under the same arrivals.
func (m *measureState) restart(root string, table *tabwriter.Writer) (partResult, error) {
	results, failed := make([]restartResult, m.Seeds), make([]error, m.Seeds)
	var running sync.WaitGroup
	for i := range results {
		running.Add(1)
		go func() {
			defer running.Done()
			results[i], failed[i] = m.compareRestarts(root, int64(i+1))
		}()
	}
	running.Wait()
	if err := errors.Join(failed...); err != nil {
		return partResult{}, err
	}
	return m.reportRestarts(results, table), nil
}

// restartResult holds, for one seed, the values served by groups over those of their cold twins, and at each sampled
// moment the requests that groups started in excess of their cold twins. The fields named after twins compare two cold
// groups, so they show the noise. stale, recent and slowTwins are of slower pools.
type restartResult struct {
	fresh, twins, stale, recent, slowTwins               float64
	staleExtraStarts, recentExtraStarts, twinExtraStarts []float64
	violations                                           []string // messages on violated rules
}

func (m *measureState) reportRestarts(results []restartResult, table *tabwriter.Writer) partResult {
	column := func(figure func(restartResult) float64) (values []float64) {
		for _, r := range results {
			values = append(values, figure(r))
		}
		return values
	}
	fmt.Fprintf(table, "restarts: sockets, emulated workers, %d seeds of %d servers, load %.0f%%\t\t\t\t\n", m.Seeds, m.Group, 100*m.Load)
	fresh, worst := printQuantiles(table, "killed and started again, value served over cold in 10 s", column(func(r restartResult) float64 { return r.fresh }))
	printQuantiles(table, "  a second cold twin (noise)", column(func(r restartResult) float64 { return r.twins }))
	printQuantiles(table, "state directory of 5 min, pool at a third: over cold", column(func(r restartResult) float64 { return r.stale }))
	printQuantiles(table, "recent state directory, pool at a third: over cold", column(func(r restartResult) float64 { return r.recent }))
	printQuantiles(table, "  a second cold twin (noise)", column(func(r restartResult) float64 { return r.slowTwins }))
	var stale, recent []peersResult
	violations := 0
	for i, r := range results {
		stale = append(stale, peersResult{extraStarts: r.staleExtraStarts, twinExtraStarts: r.twinExtraStarts})
		recent = append(recent, peersResult{extraStarts: r.recentExtraStarts, twinExtraStarts: r.twinExtraStarts})
		for _, message := range r.violations {
			violations++
			fmt.Fprintf(table, "seed %d: %s\t\t\t\t\n", i+1, message)
		}
	}
	staleExcess, staleRequests := maxExcess(stale)
	recentExcess, recentRequests := maxExcess(recent)
	fmt.Fprintf(table, "largest lead over cold in started requests, standard errors (requests a group): stale %.1f (%.1f), recent %.1f (%.1f)\t\t\t\t\n",
		staleExcess, staleRequests, recentExcess, recentRequests)
	return partResult{[]objective{
		{"restart, value served over cold, median", fresh, 1, math.Inf(1)}, {"stale state directory, lead in started requests", staleExcess, 0, maxStandardErrors},
		{"recent state directory with slower pools, lead in started requests", recentExcess, 0, maxStandardErrors}, {"rules broken", float64(violations), 0, 0},
	}, fmt.Sprintf("restart %.3f (worst %.3f), old ahead %.1f, young ahead %.1f errors, rules broken %d",
		fresh, worst, staleExcess, recentExcess, violations)}
}

// stateCopies creates the state directories of a seed's groups from the one that a killed server left.
type stateCopies struct {
	root   string
	seed   int64
	source string // state directory of the killed server
}

func stateSection(dir string) string { return fmt.Sprintf("[state]\ndir = %q\n", dir) }

func (c stateCopies) path(name string, server int) string {
	return filepath.Join(c.root, fmt.Sprintf("%s-%d-%d", name, c.seed, server))
}

// copied returns a function that gives a server of a group an exact copy of the source directory, and returns the
// server's configuration.
func (c stateCopies) copied(name string) func(server int) (string, error) {
	return func(server int) (string, error) {
		dir := c.path(name, server)
		return stateSection(dir), errors.Join(os.CopyFS(dir, os.DirFS(c.source)), os.Chmod(dir, 0o700))
	}
}

// aged returns a function that gives a server of a group a directory with estimates that were written age ago, and
// returns the server's configuration.
func (c stateCopies) aged(name string, estimates estimate.Snapshot, age time.Duration) func(server int) (string, error) {
	return func(server int) (string, error) {
		dir := c.path(name, server)
		return stateSection(dir), writeAged(dir, estimates, age)
	}
}

// compareRestarts runs the groups of one seed and compares them.
func (m *measureState) compareRestarts(root string, seed int64) (r restartResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, MemoryKB: 16000 * m.Cores}
	slower := full
	slower.Speed *= slowFactor
	peers := &measurePeers{Daemon: m.Daemon, Span: m.Span, Group: m.Group}
	copies := stateCopies{root: root, seed: seed, source: filepath.Join(root, fmt.Sprintf("warm-%d", seed))}
	if err := m.warmAndKill(peers, root, copies.source, full, seed); err != nil {
		return r, err
	}
	estimates, err := readEstimates(copies.source)
	if err != nil {
		return r, err
	}
	newGroup := func(name string, machine harness.Machine, configFor func(int) (string, error)) *group {
		return &group{name: name, machine: machine, configFor: configFor, load: m.Load, seed: seed}
	}
	cold, twin := newGroup("s-cold", full, nil), newGroup("s-twin", full, nil)
	fresh := newGroup("s-fresh", full, copies.copied("s-fresh"))
	slowCold, slowTwin := newGroup("s-slow-cold", slower, nil), newGroup("s-slow-twin", slower, nil)
	stale := newGroup("s-slow-old", slower, copies.aged("s-old", estimates, staleAge))
	recent := newGroup("s-slow-young", slower, copies.aged("s-young", estimates, 0))
	groups := []*group{cold, fresh, twin, slowCold, slowTwin, stale, recent}
	if err := peers.runGroups(root, full, groups, m.Group, m.Group, max(1, m.Group/2)); err != nil {
		return r, err
	}
	for _, g := range groups {
		r.violations = append(r.violations, g.violations()...)
	}
	coldGoodput := 0.0 // of as many cold servers as the twin group has, which may be fewer
	for i := range twin.results {
		coldGoodput += cold.results[i].Goodput
	}
	r.fresh, r.twins = fresh.goodput()/cold.goodput(), twin.goodput()/coldGoodput
	r.stale, r.recent = stale.goodput()/slowCold.goodput(), recent.goodput()/slowCold.goodput()
	r.slowTwins = slowTwin.goodput() / slowCold.goodput()
	r.staleExtraStarts, r.recentExtraStarts = extraStarts(stale, slowCold, m.Span), extraStarts(recent, slowCold, m.Span)
	r.twinExtraStarts = extraStarts(slowTwin, slowCold, m.Span)
	return r, nil
}

// warmAndKill runs a server under load that writes its state to dir, and kills it, so that it writes nothing at a
// shutdown.
func (m *measureState) warmAndKill(peers *measurePeers, root, dir string, machine harness.Machine, seed int64) error {
	warm := &group{name: "warm", machine: machine, config: stateSection(dir), load: m.Load, seed: seed + 500}
	if err := warm.start(peers, root, 1); err != nil {
		return errors.Join(err, warm.stop())
	}
	done := make(chan error, 1)
	go func() { done <- warm.run(m.Warm, machine) }()
	time.Sleep(m.Warm)
	if err := warm.daemons[0].Kill(); err != nil {
		return err
	}
	<-done // its error is expected, as the server was killed
	return nil
}

// readEstimates returns the estimates in a state directory.
func readEstimates(path string) (snapshot estimate.Snapshot, err error) {
	dir, err := datadir.Open(path, true)
	if err != nil {
		return snapshot, err
	}
	report, err := store.Inspect(dir, recovery.Environment{Now: store.SystemClock()()}, stateMB<<20)
	if err = errors.Join(err, dir.Close()); err != nil {
		return snapshot, err
	}
	if report.Estimates == nil {
		return snapshot, errors.New("the killed server stored no estimates")
	}
	return *report.Estimates, nil
}

// writeAged creates a state directory as a server would have left it age ago.
func writeAged(dir string, snapshot estimate.Snapshot, age time.Duration) error {
	options := storeOptions(dir, 0)
	clock := options.Clock
	options.PersistKeys = false
	options.Clock = func() recovery.Timestamp {
		now := clock()
		now.Wall, now.SinceBoot = now.Wall-age, now.SinceBoot-age
		return now
	}
	s, _, err := store.New(options)
	if err != nil {
		return err
	}
	for i := range snapshot.Routes { // the age at the writing is capped, so that the directory's clock alone accounts for age
		snapshot.Routes[i].Core.Age = min(snapshot.Routes[i].Core.Age, time.Second)
	}
	s.SaveEstimates(snapshot)
	return s.Close()
}
