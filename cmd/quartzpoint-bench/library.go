package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"quartzpoint"
	"quartzpoint/cmd/quartzpoint-bench/fronts"
	"quartzpoint/internal/testkit/conformance"
	"quartzpoint/internal/testkit/harness"
)

// measureLibrary compares the library with the daemon, with baselines, and with its own cost.
type measureLibrary struct {
	Daemon string        `default:"bin/quartzpoint" help:"The daemon's program."`
	Seeds  int           `default:"10" help:"Runs of each."`
	Span   time.Duration `default:"6s" help:"Of each overload."`
}

const (
	labCores = 2
	overload = 1.5
)

// Run prints the tables and fails where an aim is missed.
func (m *measureLibrary) Run() error {
	cost, err := m.cost()
	if err != nil {
		return err
	}
	equal, err := m.equal()
	if err != nil {
		return err
	}
	ahead, err := m.ahead()
	if err != nil {
		return err
	}
	fmt.Printf("measure library: counts differ by %.2f%% at the most (aim 1), ahead of the best baseline %.2f (aim 1), p50 %.1f us (aim 5), %d allocations (aim 4), seeds %d\n",
		100*equal.differ, ahead.least, cost.median, cost.allocations, m.Seeds)
	return errors.Join(cost.short, equal.short, ahead.short)
}

type figures struct {
	median      float64
	allocations int64
	differ      float64
	least       float64
	short       error
}

// cost is that of the way through, with nothing to do.
func (m *measureLibrary) cost() (f figures, err error) {
	gate, err := quartzpoint.New(quartzpoint.Options{Routes: []quartzpoint.Route{{Name: "a"}}})
	if err != nil {
		return f, err
	}
	defer gate.Shutdown(context.Background())
	run := func(context.Context) error { return nil }
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "in process\tp50 us\tp99 us\ttasks a second\tallocations\t")
	const tasks = 200000
	for _, callers := range []int{1, 8} {
		var all sync.WaitGroup
		parts := make([]*hdrhistogram.Histogram, callers)
		began := time.Now()
		for i := range parts {
			parts[i] = hdrhistogram.New(1, int64(time.Second), 3)
			all.Add(1)
			go func() {
				defer all.Done()
				for range tasks / callers {
					begin := time.Now()
					_ = gate.Do(context.Background(), quartzpoint.Request{Route: "a"}, run) // dismissed ones count too
					_ = parts[i].RecordValue(int64(time.Since(begin)))
				}
			}()
		}
		all.Wait()
		passed := time.Since(began)
		for _, p := range parts[1:] {
			parts[0].Merge(p)
		}
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = gate.Do(context.Background(), quartzpoint.Request{Route: "a"}, run)
			}
		})
		p50 := float64(parts[0].ValueAtPercentile(50)) / 1000
		fmt.Fprintf(table, "Do, %d callers\t%.1f\t%.1f\t%.0f\t%d\t\n", callers, p50,
			float64(parts[0].ValueAtPercentile(99))/1000, tasks/passed.Seconds(), result.AllocsPerOp())
		if callers == 1 {
			f.median, f.allocations = p50, result.AllocsPerOp()
		}
	}
	if f.median > 5 || f.allocations > 4 {
		f.short = fmt.Errorf("a task costs %.1f us and %d allocations; 5 and 4 are aimed at", f.median, f.allocations)
	}
	return f, table.Flush()
}

// equal plays the conformance suite on all fronts.
func (m *measureLibrary) equal() (f figures, err error) {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(folder)
	starts := []struct {
		name  string
		start func(name string) (conformance.Front, error)
	}{
		{"daemon", func(name string) (conformance.Front, error) { return conformance.NewDaemon(m.Daemon, folder, name) }},
		{"library", func(string) (conformance.Front, error) { return fronts.NewLibrary() }},
		{"net/http", func(string) (conformance.Front, error) { return fronts.NewHTTP() }},
		{"gin", func(string) (conformance.Front, error) { return fronts.NewGin() }},
	}
	names := conformance.Cases(0)
	sums := make([][]conformance.Counts, len(starts))
	var mu sync.Mutex
	var failed []error
	const together = 5 // seeds at once: the fronts' own work must not crowd each other
	for first := 0; first < m.Seeds; first += together {
		var all sync.WaitGroup
		for seed := first; seed < min(first+together, m.Seeds); seed++ {
			for k, s := range starts {
				sums[k] = append(sums[k], make([]conformance.Counts, len(names))...)[:len(names)]
				for i, c := range conformance.Cases(int64(seed)) {
					if c.NeedsKeys && k == 0 {
						continue
					}
					all.Add(1)
					go func() {
						defer all.Done()
						n, err := play(s.start, fmt.Sprintf("f%d-%d-%d", k, seed, i), c)
						mu.Lock()
						defer mu.Unlock()
						failed = append(failed, err)
						to := &sums[k][i]
						to.Requests += n.Requests
						for o := range n.Outcomes {
							to.Outcomes[o] += n.Outcomes[o]
						}
						to.LateAnswers, to.RepeatedEffects, to.Runs = to.LateAnswers+n.LateAnswers, to.RepeatedEffects+n.RepeatedEffects, to.Runs+n.Runs
					}()
				}
			}
		}
		all.Wait()
	}
	if err := errors.Join(failed...); err != nil {
		return f, err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "honoured / dismissed / given up / left\tdaemon\tlibrary\tnet/http\tgin\t")
	var short []error
	total, differs := 0, [4]int{}
	for i, c := range names {
		fmt.Fprintf(table, "%s", c.Name)
		for k := range starts {
			n := sums[k][i]
			if n.Requests == 0 {
				fmt.Fprint(table, "\t-")
				continue
			}
			o := n.Outcomes
			fmt.Fprintf(table, "\t%d/%d/%d/%d", o[0], o[1], o[2], o[3])
			if wrong := o[conformance.Unanswered] + n.LateAnswers + n.RepeatedEffects; wrong > 0 {
				short = append(short, fmt.Errorf("%s, %s: %d missing, %d late, %d run twice", starts[k].name, c.Name, o[conformance.Unanswered], n.LateAnswers, n.RepeatedEffects))
			}
			against := sums[0][i]
			if against.Requests == 0 {
				against = sums[1][i]
			}
			for j := range o {
				differs[k] += max(o[j]-against.Outcomes[j], 0)
			}
		}
		total += sums[1][i].Requests
		fmt.Fprintln(table, "\t")
	}
	for k := range starts {
		f.differ = max(f.differ, float64(differs[k])/float64(total))
	}
	if f.differ > 0.01 {
		short = append(short, fmt.Errorf("counts differ by %.2f%%, 1%% is aimed at", 100*f.differ))
	}
	f.short = errors.Join(short...)
	return f, table.Flush()
}

func play(start func(string) (conformance.Front, error), name string, c conformance.Case) (n conformance.Counts, err error) {
	f, err := start(name)
	if err != nil {
		return n, err
	}
	defer f.Close()
	return conformance.Run(f, c)
}

// policy lets a task run, or says no.
type policy func(ctx context.Context, t *harness.Route, run func(context.Context) error) error

var errNo = errors.New("no")

// policies are the gate and what it is measured beside, each in fresh state.
func policies(types []harness.Route, each float64) (names []string, made map[string]func(*harness.Cores) (policy, func(), error)) {
	return []string{"gate", "none", "semaphore", "token bucket"}, map[string]func(*harness.Cores) (policy, func(), error){
		"gate": func(cores *harness.Cores) (policy, func(), error) {
			t := quartzpoint.Options{Cores: labCores, MemoryMB: 256, Gauges: func(int) quartzpoint.Gauges {
				cpu, crowd := cores.Load()
				return quartzpoint.Gauges{CPU: cpu, Runnable: crowd}
			}}
			for _, k := range types {
				t.Routes = append(t.Routes, quartzpoint.Route{Name: k.Name, Value: k.Value, LatencyTarget: k.LatencyTarget, Deadline: k.Deadline})
			}
			g, err := quartzpoint.New(t)
			if err != nil {
				return nil, nil, err
			}
			return func(ctx context.Context, k *harness.Route, run func(context.Context) error) error {
				return g.Do(ctx, quartzpoint.Request{Route: k.Name}, run)
			}, func() { _ = g.Shutdown(context.Background()) }, nil
		},
		"none": func(*harness.Cores) (policy, func(), error) {
			return func(ctx context.Context, _ *harness.Route, run func(context.Context) error) error { return run(ctx) }, func() {}, nil
		},
		"semaphore": func(*harness.Cores) (policy, func(), error) {
			slots := make(chan struct{}, 2*labCores)
			return func(ctx context.Context, _ *harness.Route, run func(context.Context) error) error {
				select {
				case slots <- struct{}{}:
					defer func() { <-slots }()
					return run(ctx)
				case <-ctx.Done():
					return errNo
				}
			}, func() {}, nil
		},
		"token bucket": func(*harness.Cores) (policy, func(), error) {
			bucket := rate.NewLimiter(rate.Limit(each), max(1, int(each/4)))
			return func(ctx context.Context, _ *harness.Route, run func(context.Context) error) error {
				if !bucket.Allow() {
					return errNo
				}
				return run(ctx)
			}, func() {}, nil
		},
	}
}

// ahead is the importance honoured in contract time at 150% of what the cores can do.
func (m *measureLibrary) ahead() (f figures, err error) {
	types := []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second, Share: 0.5, Work: 20 * time.Millisecond, Spread: 0.6},
		{Name: "confirm-booking", Value: 4, LatencyTarget: time.Second, Deadline: 3 * time.Second, Share: 0.3, Work: 30 * time.Millisecond, Spread: 0.6},
		{Name: "floor-refresh", Value: 1, LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second, Share: 0.2, Work: 100 * time.Millisecond, Spread: 0.6},
	}
	machine := harness.Machine{Cores: labCores, Speed: 1}
	full := harness.Rate(types, machine, 1)
	names, made := policies(types, full)
	results := map[string][]harness.Result{}
	var mu sync.Mutex
	var failed []error
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all sync.WaitGroup
	for _, name := range names {
		results[name] = make([]harness.Result, m.Seeds)
		for seed := range m.Seeds {
			all.Add(1)
			go func() {
				defer all.Done()
				cores := harness.NewCores(labCores)
				p, end, err := made[name](cores)
				if err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
					return
				}
				defer end()
				load := harness.Arrivals(types, overload*full, m.Span, int64(seed))
				results[name][seed] = within(types, load, cores, p)
			}()
		}
	}
	all.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if err := errors.Join(failed...); err != nil {
		return f, err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "one process, emulated cores at 150%%, %d seeds\thonoured\tworst\tgate over it, median\tworst\tp99 ms\tlate\t\n", m.Seeds)
	f.least = 9
	var short []error
	for _, name := range names {
		var honoured, over []float64
		var took []time.Duration
		late := 0
		for seed, r := range results[name] {
			honoured = append(honoured, r.Goodput/r.OfferedValue)
			over = append(over, results["gate"][seed].Goodput/max(r.Goodput, 1e-9))
			took = append(took, r.Latencies...)
			late += r.LateAnswers
		}
		slices.Sort(honoured)
		slices.Sort(over)
		slices.Sort(took)
		median, p99 := over[len(over)/2], took[len(took)*99/100]
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%d\t\n", name, honoured[len(honoured)/2], honoured[0], median, over[0],
			float64(p99.Milliseconds()), late)
		if name == "gate" {
			if late > 0 || p99 > 4*time.Second {
				short = append(short, fmt.Errorf("gate: %d late answers, p99 %v", late, p99))
			}
			continue
		}
		f.least = min(f.least, median)
		if over[0] <= 1 {
			short = append(short, fmt.Errorf("gate over %s: %.2f in the worst seed, over 1 is aimed at", name, over[0]))
		}
	}
	if err := table.Flush(); err != nil {
		return f, err
	}
	grown := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	fmt.Printf("heap after over before: %+.1f MB\n", grown/(1<<20))
	if grown > 32<<20 {
		short = append(short, fmt.Errorf("the heap grew by %.0f MB", grown/(1<<20)))
	}
	f.short = errors.Join(short...)
	return f, nil
}

// within plays a load inside this process.
func within(types []harness.Route, load []harness.Arrival, cores *harness.Cores, p policy) (r harness.Result) {
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for i := range load {
		a := &load[i]
		time.Sleep(time.Until(began.Add(a.At)))
		all.Add(1)
		go func() {
			defer all.Done()
			t := &types[a.Route]
			ctx, cancel := context.WithTimeout(context.Background(), t.Deadline)
			defer cancel()
			asked := time.Now()
			err := p(ctx, t, func(ctx context.Context) error { return cores.Work(ctx, a.Work) })
			took := time.Since(asked)
			mu.Lock()
			defer mu.Unlock()
			r.Requests++
			r.OfferedValue += t.Value
			r.Latencies = append(r.Latencies, took)
			if took > t.Deadline+50*time.Millisecond {
				r.LateAnswers++
			}
			if err == nil && took <= t.LatencyTarget {
				r.Goodput += t.Value
			}
		}()
	}
	all.Wait()
	return r
}
