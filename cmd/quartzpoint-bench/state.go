package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"

	"quartzpoint"
	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/store"
	"quartzpoint/internal/testkit/harness"
	"quartzpoint/recovery"
)

// measureState measures what a folder of state is worth and what it costs.
type measureState struct {
	Daemon string        `default:"bin/quartzpoint" help:"The daemon's program."`
	Seeds  int           `default:"10" help:"Pairs of groups."`
	Group  int           `default:"8" help:"Restarted servers in a group."`
	Warm   time.Duration `default:"11s" help:"For which the server before is under load."`
	Span   time.Duration `default:"10s" help:"Of the load after the restart."`
	Load   float64       `default:"1.2" help:"Share of what the pool can do."`
	Cores  float64       `default:"4" help:"Of each emulated pool."`
	Kills  int           `default:"304" help:"Processes killed, over eight lanes."`
	Only   []string      `help:"Only these parts: kills, rounds, disk, restart."`
}

const (
	lanes      = 8
	callers    = 8 // of a gate
	recoverAll = 100_000
	stateMB    = 64
	// numberedEach is the number of tasks of which one is numbered, where rounds are compared. With all of them numbered
	// each holds a place under the limit for as long as its entry is on the way, and rounds get longer by what is held.
	numberedEach = 20
	roundsWarm   = 100 * time.Millisecond
)

// Run prints the table and fails where an aim is missed.
func (m *measureState) Run() error {
	root, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(root)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "what\tmedian\tworst\tbest\t")
	var aims []aim
	var words []string
	for _, part := range []struct {
		name string
		do   func(root string, table *tabwriter.Writer) ([]aim, string, error)
	}{{"kills", m.kills}, {"disk", m.disk}, {"rounds", m.rounds}, {"restart", m.restart}} {
		if len(m.Only) > 0 && !slices.Contains(m.Only, part.name) {
			continue
		}
		more, said, err := part.do(root, table)
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		aims, words = append(aims, more...), append(words, said)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("measure state: %s, seeds %d\n", strings.Join(words, ", "), m.Seeds)
	return short(aims)
}

// short are the aims that were missed.
func short(aims []aim) error {
	var missed []error
	for _, a := range aims {
		if !(a.value >= a.least && a.value <= a.most) {
			missed = append(missed, fmt.Errorf("%s: %.3f, from %.3f to %.3f is aimed at", a.what, a.value, a.least, a.most))
		}
	}
	return errors.Join(missed...)
}

// row prints the figures of all seeds and gives their median and the least.
func row(table *tabwriter.Writer, what string, values []float64) (median, least float64) {
	values = slices.Sorted(slices.Values(values))
	median = stat.Quantile(0.5, stat.LinInterp, values, nil)
	fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t\n", what, median, values[0], values[len(values)-1])
	return median, values[0]
}

// stateChild is the process that kills are measured on: a gate whose numbered tasks append to a file.
type stateChild struct {
	Dir string `arg:""`
}

// childLost is its exit code where an effect came twice, was not known, or a result was another.
const childLost = 7

func childTerms(state *quartzpoint.State) quartzpoint.Terms {
	return quartzpoint.Terms{Cores: 4, MemoryMB: 256, State: state, Types: []quartzpoint.Type{
		{Name: "pay", Repeats: quartzpoint.Numbered, Contract: 2 * time.Second, Window: time.Hour},
	}, Gauges: func(running int) quartzpoint.Gauges { return quartzpoint.Gauges{Crowd: min(float64(running), 4)} }}
}

// Run repeats what earlier processes did, and goes on until it is killed.
func (cmd *stateChild) Run() error {
	path := filepath.Join(cmd.Dir, "effects")
	before, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	effects, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	gate, err := quartzpoint.New(childTerms(&quartzpoint.State{Dir: filepath.Join(cmd.Dir, "state"), Commit: time.Millisecond}))
	if err != nil {
		return err
	}
	lost := func(words string, of ...any) {
		fmt.Fprintf(os.Stderr, words+"\n", of...)
		os.Exit(childLost)
	}
	ask := func(number string, run func()) ([]byte, error) {
		return gate.DoOnce(context.Background(), quartzpoint.Task{Type: "pay", Number: number}, func(context.Context) ([]byte, error) {
			run()
			return []byte("result of " + number), nil
		})
	}
	old := strings.Fields(string(before))
	var all sync.WaitGroup
	for c := range callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := c; i < len(old); i += callers { // every number that had its effect is asked for again
				got, err := ask(old[i], func() { lost("%s ran twice", old[i]) })
				if err == nil && string(got) != "result of "+old[i] {
					lost("%s: result %q", old[i], got)
				}
			}
			for i := 0; ; i++ {
				number := fmt.Sprintf("%d-%d-%d", os.Getpid(), c, i)
				if _, err := ask(number, func() { fmt.Fprintln(effects, number) }); err != nil {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	all.Wait()
	return nil
}

// kills has processes killed at moments drawn by a seed, in their start too.
func (m *measureState) kills(root string, table *tabwriter.Writer) ([]aim, string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	var bad, effects, most atomic.Int64
	failed := make([]error, lanes)
	var all sync.WaitGroup
	for lane := range lanes {
		all.Add(1)
		go func() {
			defer all.Done()
			dir := filepath.Join(root, fmt.Sprintf("kills-%d", lane))
			failed[lane] = os.Mkdir(dir, 0o700)
			rng := rand.New(rand.NewSource(int64(lane)))
			for kill := 0; kill < m.Kills/lanes && failed[lane] == nil; kill++ {
				var said strings.Builder
				child := exec.Command(self, "state-child", dir)
				child.Stderr = &said
				if failed[lane] = child.Start(); failed[lane] != nil {
					return
				}
				time.Sleep(time.Duration(rng.Intn(250)) * time.Millisecond)
				_ = child.Process.Kill()
				_ = child.Wait()
				switch code := child.ProcessState.ExitCode(); code {
				case -1:
				case childLost:
					bad.Add(1)
					fmt.Fprintf(os.Stderr, "lane %d kill %d: %s", lane, kill, said.String())
				default:
					failed[lane] = fmt.Errorf("child ended with %d: %s", code, said.String())
				}
				if size, err := sizeOf(filepath.Join(dir, "state")); err == nil && size > most.Load() {
					most.Store(size)
				}
			}
			raw, _ := os.ReadFile(filepath.Join(dir, "effects"))
			lines := strings.Fields(string(raw))
			effects.Add(int64(len(lines)))
			slices.Sort(lines)
			bad.Add(int64(len(lines) - len(slices.Compact(lines))))
		}()
	}
	all.Wait()
	kills := m.Kills / lanes * lanes
	fmt.Fprintf(table, "kills (real processes): %d, effects %d, wrong %d, most bytes %d\t\t\t\t\n", kills, effects.Load(), bad.Load(), most.Load())
	return []aim{
		{"kills", float64(kills), 300, math.Inf(1)}, {"effects lost or run twice", float64(bad.Load()), 0, 0},
		{"effects", float64(effects.Load()), float64(kills), math.Inf(1)}, {"bytes on disk", float64(most.Load()), 1, stateMB << 20},
	}, fmt.Sprintf("kills %d, wrong %d", kills, bad.Load()), errors.Join(failed...)
}

func sizeOf(dir string) (sum int64, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if about, err := e.Info(); err == nil { // else it went meanwhile
			sum += about.Size()
		}
	}
	return sum, err
}

func storeTerms(dir string, commit time.Duration) store.Options {
	quiet := slog.New(slog.DiscardHandler)
	return store.Options{
		OpenDir: datadir.Opener(dir), Clock: store.SystemClock(), NewID: store.RandomID, MaxBytes: stateMB << 20, CommitInterval: commit,
		PersistKeys: true, Counts: invariant.New(quiet), Log: quiet, OnDurable: func() {},
	}
}

// disk measures group commits and the time of a start.
func (m *measureState) disk(root string, table *tabwriter.Writer) (aims []aim, said string, err error) {
	for _, commit := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		s, _, err := store.New(storeTerms(filepath.Join(root, "commit-"+commit.String()), commit))
		if err != nil {
			return nil, "", err
		}
		const many = 256 // callers, each of which waits for its entry
		var kept atomic.Int64
		waits := hdrhistogram.New(1, 10_000_000, 3)
		var mu sync.Mutex
		var all sync.WaitGroup
		end := time.Now().Add(time.Second)
		for c := range many {
			all.Add(1)
			go func() {
				defer all.Done()
				for i := 0; time.Now().Before(end); i++ {
					began := time.Now()
					for mark := s.RecordStart(fmt.Sprintf("pay\x00%d-%d", c, i), 1, time.Minute); s.DurableMark() < mark; {
						time.Sleep(100 * time.Microsecond)
					}
					kept.Add(1)
					mu.Lock()
					_ = waits.RecordValue(time.Since(began).Microseconds()) // in its range
					mu.Unlock()
				}
			}()
		}
		all.Wait()
		s.Close()
		fmt.Fprintf(table, "commit of %v: %d entries a second by %d callers, wait ms p50, p99, most\t%.1f\t%.1f\t%.1f\t\n", commit, kept.Load(), many,
			float64(waits.ValueAtQuantile(50))/1e3, float64(waits.ValueAtQuantile(99))/1e3, float64(waits.Max())/1e3)
		aims = append(aims, aim{"entries a second", float64(kept.Load()), 1000, math.Inf(1)})
	}
	dir := filepath.Join(root, "many")
	s, _, err := store.New(storeTerms(dir, 0))
	if err != nil {
		return nil, "", err
	}
	for i := range recoverAll {
		if mark := s.RecordStart(fmt.Sprintf("pay\x00%d", i), 1, time.Hour); i%1000 == 999 {
			for s.DurableMark() < mark {
				time.Sleep(100 * time.Microsecond)
			}
		}
	}
	s.Close()
	size, err := sizeOf(dir)
	if err != nil {
		return nil, "", err
	}
	began := time.Now()
	s, had, err := store.New(storeTerms(dir, 0))
	if err != nil {
		return nil, "", err
	}
	took := time.Since(began)
	s.Close()
	if len(had.Keys) != recoverAll {
		return nil, "", fmt.Errorf("%d of %d entries came back", len(had.Keys), recoverAll)
	}
	fmt.Fprintf(table, "start with %d entries, %.1f MB: ms\t%.0f\t\t\t\n", recoverAll, float64(size)/(1<<20), float64(took.Milliseconds()))
	aims = append(aims, aim{"start, s", took.Seconds(), 0, 2}, aim{"bytes on disk", float64(size), 1, stateMB << 20})
	return aims, fmt.Sprintf("start %d ms", took.Milliseconds()), nil
}

// rounds compares how long rounds of decisions take with the folder and without, under the same load in process.
func (m *measureState) rounds(root string, table *tabwriter.Writer) ([]aim, string, error) {
	// One run's 99th percentile differs from the next one's by a tenth, so those of all runs are taken together. They come
	// in turn, so that a drift of the machine falls on both.
	with, without := hdrhistogram.New(1, 1_000_000_000, 3), hdrhistogram.New(1, 1_000_000_000, 3)
	var on, off []float64
	for seed := range m.Seeds {
		for k := range 2 {
			all, each, state := without, &off, (seed+k)%2 == 0
			if state {
				all, each = with, &on
			}
			times, err := m.roundsOf(filepath.Join(root, fmt.Sprintf("rounds-%d", seed)), state, int64(seed))
			if err != nil {
				return nil, "", err
			}
			all.Merge(times)
			*each = append(*each, float64(times.ValueAtQuantile(99))/1e3)
		}
	}
	row(table, fmt.Sprintf("p99 of rounds with the folder, us, by run (in process, 1 of %d numbered)", numberedEach), on)
	row(table, "p99 of rounds without, us, by run", off)
	over := float64(with.ValueAtQuantile(99)) / float64(without.ValueAtQuantile(99))
	fmt.Fprintf(table, "  of all %d and %d rounds: over without\t%.3f\t\t\t\n", with.TotalCount(), without.TotalCount(), over)
	return []aim{{"p99 of rounds over without", over, 0, 1.05}}, fmt.Sprintf("rounds %.3f", over), nil
}

func (m *measureState) roundsOf(dir string, with bool, seed int64) (times *hdrhistogram.Histogram, err error) {
	times = hdrhistogram.New(1, 1_000_000_000, 3)
	terms := childTerms(nil)
	begun := time.Now()
	terms.Rounds = func(took time.Duration) {
		if time.Since(begun) > roundsWarm { // not those of a heap that grows and pages that are touched first
			_ = times.RecordValue(min(int64(took), 1_000_000_000))
		}
	}
	if with {
		terms.State = &quartzpoint.State{Dir: dir}
	}
	gate, err := quartzpoint.New(terms)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for c := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			// At a steady pace, so that both see the same tasks a second whatever a commit takes.
			tick := time.NewTicker(time.Millisecond)
			defer tick.Stop()
			var open sync.WaitGroup
			defer open.Wait()
			for i := 0; ctx.Err() == nil; i++ {
				<-tick.C
				open.Add(1)
				task := quartzpoint.Task{Type: "look-up"}
				if i%numberedEach == 0 {
					task = quartzpoint.Task{Type: "pay", Number: fmt.Sprintf("%d-%d-%d", seed, c, i)}
				}
				go func() {
					defer open.Done()
					_, _ = gate.DoOnce(context.Background(), task, // what becomes of each is measured elsewhere
						func(context.Context) ([]byte, error) { return []byte(task.Number), nil })
				}()
			}
		}()
	}
	all.Wait()
	end, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return times, gate.Leave(end)
}

// restart compares servers that go on from a folder with cold ones, under the same arrivals.
func (m *measureState) restart(root string, table *tabwriter.Writer) ([]aim, string, error) {
	results, failed := make([]stateResult, m.Seeds), make([]error, m.Seeds)
	var all sync.WaitGroup
	for i := range results {
		all.Add(1)
		go func() {
			defer all.Done()
			results[i], failed[i] = m.pair(root, int64(i+1))
		}()
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return nil, "", err
	}
	column := func(of func(stateResult) float64) (values []float64) {
		for _, r := range results {
			values = append(values, of(r))
		}
		return values
	}
	fmt.Fprintf(table, "restarts: sockets, emulated workers, %d seeds of %d servers, load %.0f%%\t\t\t\t\n", m.Seeds, m.Group, 100*m.Load)
	fresh, worst := row(table, "killed and started again, honoured over cold in 10 s", column(func(r stateResult) float64 { return r.fresh }))
	row(table, "  a second cold twin (noise)", column(func(r stateResult) float64 { return r.twins }))
	row(table, "folder of 5 min, pool at a third: over cold", column(func(r stateResult) float64 { return r.old }))
	row(table, "folder of now, pool at a third: over cold", column(func(r stateResult) float64 { return r.young }))
	row(table, "  a second cold twin (noise)", column(func(r stateResult) float64 { return r.slowTwins }))
	var old, young []pairResult
	broken := 0
	for i, r := range results {
		old = append(old, pairResult{more: r.oldMore, twinsMore: r.twinsMore})
		young = append(young, pairResult{more: r.youngMore, twinsMore: r.twinsMore})
		for _, words := range r.broken {
			broken++
			fmt.Fprintf(table, "seed %d: %s\t\t\t\t\n", i+1, words)
		}
	}
	oldAhead, oldTasks := excess(old)
	youngAhead, youngTasks := excess(young)
	fmt.Fprintf(table, "started ahead of cold at the most, standard errors (tasks a group): old %.1f (%.1f), young %.1f (%.1f)\t\t\t\t\n",
		oldAhead, oldTasks, youngAhead, youngTasks)
	return []aim{
			{"restart, honoured over cold, median", fresh, 1, math.Inf(1)}, {"old folder started ahead", oldAhead, 0, certain},
			{"young folder in a slower world started ahead", youngAhead, 0, certain}, {"rules broken", float64(broken), 0, 0},
		}, fmt.Sprintf("restart %.3f (worst %.3f), old ahead %.1f, young ahead %.1f errors, rules broken %d",
			fresh, worst, oldAhead, youngAhead, broken), nil
}

type stateResult struct {
	fresh, twins, old, young, slowTwins float64
	oldMore, youngMore, twinsMore       []float64
	broken                              []string
}

func (m *measureState) pair(root string, seed int64) (r stateResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, KB: 16000 * m.Cores}
	slower := full
	slower.Speed *= slow
	peers := &measurePeers{Daemon: m.Daemon, Span: m.Span, Group: m.Group}
	section := func(dir string) string { return fmt.Sprintf("[state]\ndir = %q\n", dir) }

	warmDir := filepath.Join(root, fmt.Sprintf("warm-%d", seed))
	warm := &group{name: "warm", machine: full, own: section(warmDir), share: m.Load, seed: seed + 500}
	if err := warm.start(peers, root, 1); err != nil {
		return r, errors.Join(err, warm.stop())
	}
	over := make(chan error, 1)
	go func() { over <- warm.run(m.Warm, full) }()
	time.Sleep(m.Warm)
	if err := warm.daemons[0].Kill(); err != nil { // a crash: nothing is written at its end
		return r, err
	}
	<-over // of a server that was killed
	left, err := leftIn(warmDir)
	if err != nil {
		return r, err
	}
	copied := func(name string) func(int) (string, error) {
		return func(i int) (string, error) {
			dir := filepath.Join(root, fmt.Sprintf("%s-%d-%d", name, seed, i))
			return section(dir), errors.Join(os.CopyFS(dir, os.DirFS(warmDir)), os.Chmod(dir, 0o700))
		}
	}
	aged := func(name string, age time.Duration) func(int) (string, error) {
		return func(i int) (string, error) {
			dir := filepath.Join(root, fmt.Sprintf("%s-%d-%d", name, seed, i))
			return section(dir), writeAged(dir, left, age)
		}
	}
	cold := &group{name: "s-cold", machine: full, share: m.Load, seed: seed}
	twin := &group{name: "s-twin", machine: full, share: m.Load, seed: seed}
	fresh := &group{name: "s-fresh", machine: full, ownOf: copied("s-fresh"), share: m.Load, seed: seed}
	slowGroup := func(name string, ownOf func(int) (string, error)) *group {
		return &group{name: name, machine: slower, ownOf: ownOf, share: m.Load, seed: seed}
	}
	slowCold, slowTwin := slowGroup("s-slow-cold", nil), slowGroup("s-slow-twin", nil)
	old, young := slowGroup("s-slow-old", aged("s-old", oldAge)), slowGroup("s-slow-young", aged("s-young", 0))
	groups := []*group{cold, fresh, twin, slowCold, slowTwin, old, young}
	if err := peers.together(root, full, groups, m.Group, m.Group, max(1, m.Group/2)); err != nil {
		return r, err
	}
	for _, g := range groups {
		r.broken = append(r.broken, g.broken()...)
	}
	half := 0.0
	for i := range twin.results {
		half += cold.results[i].Honoured
	}
	r.fresh, r.twins = fresh.honoured()/cold.honoured(), twin.honoured()/half
	r.old, r.young = old.honoured()/slowCold.honoured(), young.honoured()/slowCold.honoured()
	r.slowTwins = slowTwin.honoured() / slowCold.honoured()
	r.oldMore, r.youngMore = startedMore(old, slowCold, m.Span), startedMore(young, slowCold, m.Span)
	r.twinsMore = startedMore(slowTwin, slowCold, m.Span)
	return r, nil
}

// leftIn is what a folder holds of what was learned.
func leftIn(dir string) (snapshot estimate.Snapshot, err error) {
	in, err := datadir.Open(dir, true)
	if err != nil {
		return snapshot, err
	}
	defer in.Close()
	report, err := store.Inspect(in, recovery.Environment{Now: store.SystemClock()()}, stateMB<<20)
	if err != nil {
		return snapshot, err
	}
	if report.Estimates == nil {
		return snapshot, errors.New("the server before left no view")
	}
	return *report.Estimates, nil
}

// writeAged makes a folder as a server would have left it so long ago.
func writeAged(dir string, snapshot estimate.Snapshot, age time.Duration) error {
	terms := storeTerms(dir, 0)
	clock := terms.Clock
	terms.PersistKeys = false
	terms.Clock = func() recovery.Timestamp {
		now := clock()
		now.Wall, now.SinceBoot = now.Wall-age, now.SinceBoot-age
		return now
	}
	s, _, err := store.New(terms)
	if err != nil {
		return err
	}
	for i := range snapshot.Routes { // as young as it was left: the time since is the folder's
		snapshot.Routes[i].Core.Age = min(snapshot.Routes[i].Core.Age, time.Second)
	}
	s.SaveEstimates(snapshot)
	s.Close()
	return nil
}
