package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"quartzpoint/internal/testkit/harness"
)

// Series of the configuration service. The words after the last "by" of each name are the quantity on the x axis.
const (
	seriesPropagationP99   = "configuration: proposed to in force p99 s by changes a second"
	seriesPropagationWorst = "configuration: proposed to in force worst s by changes a second"
	seriesWatchBytes       = "configuration: bytes/s a server by changes a second"
	seriesWatchCore        = "configuration: core % a server by changes a second"
	seriesControlCore      = "configuration: core % of the busiest control machine by changes a second"
	seriesControlMB        = "configuration: resident MB of the largest control machine by changes a second"
	seriesSnapshotBytes    = "configuration: bytes of a whole document by % of the planned routes and tenants"
	seriesHealWorst        = "configuration: worst s from the heal of a cut to the newest everywhere by watchers"
	seriesZoneWorst        = "configuration: worst s until the newest in force by watchers started at once"
	seriesLeaderWorst      = "configuration: worst s from a change to in force, leader killed, by changes a second"
)

const (
	plannedChangeRate      = PlannedChangesPerDay / 86400.0
	appServers             = 3
	hollowWatchers         = 490
	watcherProcesses       = 4
	requestRate            = 150      // a second, to each app server
	markerTenant           = "marker" // each change sets the quota of this tenant to the change's marker; see propose
	propagationTarget      = 9 * time.Second
	quietPropagationTarget = time.Second
	maxSlowdown            = 1.2 // p99 latency of requests with changes, divided by that without changes
)

// Figure is one result with its objective.
type Figure struct {
	Name  string
	Value float64
	Max   float64 // objective; 0 for none
	Unit  string
}

// Missed reports whether there is an objective and the value is over it or not a number.
func (f Figure) Missed() bool { return f.Max > 0 && !(f.Value <= f.Max) }

// ConfigurationBenchmark measures the configuration service with real control machines, real app servers and hollow watchers.
type ConfigurationBenchmark struct {
	Daemon  string // path of the app server's program
	Service string // path of the configuration service's program
	Program string // path of a program that has a command watchers
	Folder  string
	Seed    int64
	Small   bool // a tenth of the tables and watchers, and shorter spans
}

func (c *ConfigurationBenchmark) scaled(full int) int {
	if c.Small {
		return full / 10
	}
	return full
}

func (c *ConfigurationBenchmark) scaledSpan(full time.Duration) time.Duration {
	if c.Small {
		return full / 4
	}
	return full
}

// Run runs all measurements and checks the recorded history. It returns an error if a measurement fails or the history
// is invalid.
func (c *ConfigurationBenchmark) Run(ctx context.Context) (figures []Figure, points Points, err error) {
	r := &configurationRun{ConfigurationBenchmark: c, appliedVersions: map[string]uint64{}}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { err = errors.Join(err, r.stop()) }()
	defer cancel()
	points = Points{}
	if err := r.start(ctx, points); err != nil {
		return nil, points, err
	}
	for _, phase := range []struct {
		name string
		run  func(context.Context, Points) ([]Figure, error)
	}{{"quiet", r.measureQuiet}, {"leader killed", r.measureLeaderLoss}, {"machine stopped", r.measureStoppedMachine}, {"cut", r.measurePartition}} {
		began := time.Now()
		more, err := phase.run(ctx, points)
		fmt.Fprintf(os.Stderr, "%s: %.1f s\n", phase.name, time.Since(began).Seconds())
		if err != nil {
			return figures, points, fmt.Errorf("%s: %w", phase.name, err)
		}
		figures = append(figures, more...)
	}
	r.recordServerEvents()
	r.mu.Lock()
	defer r.mu.Unlock()
	figures = append(figures, Figure{"changes accepted", float64(len(r.history.Accepted)), 0, ""},
		Figure{"times a version came into force", float64(len(r.history.Applied)), 0, ""})
	return figures, points, r.history.Check()
}

// propagationDelays returns the propagation delays of the accepted changes that were proposed in a span, in seconds.
func (r *configurationRun) propagationDelays(since, until time.Time) (seconds []float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, delay := range r.history.PropagationDelays(since, until) {
		seconds = append(seconds, delay.Seconds())
	}
	return seconds
}

// cumulativeUse is the processor time and traffic of watchers, control machines and servers up to a moment.
type cumulativeUse struct {
	at       time.Time
	bytes    int64 // sent and received by the watchers
	watchers time.Duration
	control  []time.Duration // by machine
	servers  time.Duration
}

func (r *configurationRun) use() (s cumulativeUse, err error) {
	s.at = time.Now()
	for _, c := range r.children {
		line, errAsk := c.ask(watcherCommand{})
		used, errCPU := CPU(c.cmd.Process.Pid)
		if err := errors.Join(errAsk, errCPU); err != nil {
			return s, err
		}
		s.bytes += line.Answer.Sent + line.Answer.Received
		s.watchers += used
	}
	for _, cmd := range r.service.cmds {
		used, err := CPU(cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.control = append(s.control, used)
	}
	for _, d := range r.servers {
		used, err := CPU(d.RunningPID())
		if err != nil {
			return s, err
		}
		s.servers += used
	}
	return s, nil
}

// measureRequests sends requests to all servers at the same rate for a span, and returns the latencies in milliseconds.
// It returns an error if a request is not served.
func (r *configurationRun) measureRequests(span time.Duration) (latencies []float64, err error) {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for i, d := range r.servers {
		load, routes := steadyLoad(requestRate, span, r.scaled(PlannedRoutes), r.Seed+int64(i))
		group.Go(func() {
			got, failed := harness.Run(d.Address, routes, load, 1)
			mu.Lock()
			defer mu.Unlock()
			if got.Codes[statusServed] < got.Requests {
				failed = errors.Join(failed, fmt.Errorf("app-%d: %d of %d requests served", i, got.Codes[statusServed], got.Requests))
			}
			err = errors.Join(err, failed)
			latencies = append(latencies, asMilliseconds(got.Latencies)...)
		})
	}
	group.Wait()
	return latencies, err
}

const (
	requestPairs        = 5           // of measurements of requests, one without a change and one with a change
	requestSpan         = time.Second // of each measurement; one change in two of these spans is over ten times the planned rate
	quietSpan           = 3 * time.Second
	quietChangeInterval = time.Second / 2 // between changes when there are no requests
)

// measureQuiet compares the latency of requests without and with changes. Then it measures, without requests, what
// changes cost and how long they take to propagate.
func (r *configurationRun) measureQuiet(ctx context.Context, points Points) ([]Figure, error) {
	slower, err := r.compareRequests(ctx)
	if err != nil {
		return nil, err
	}
	before, err := r.use()
	if err != nil {
		return nil, err
	}
	if err := r.proposeChanges(ctx, quietChangeInterval, r.scaledSpan(quietSpan), r.Seed); err != nil {
		return nil, err
	}
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	after, err := r.use()
	if err != nil {
		return nil, err
	}
	rate, delays := 1/quietChangeInterval.Seconds(), r.propagationDelays(before.at, after.at)
	seconds, watchers := after.at.Sub(before.at).Seconds(), float64(r.scaled(hollowWatchers))
	bytes := float64(after.bytes-before.bytes) / seconds / watchers
	core := 100 * (after.watchers - before.watchers).Seconds() / seconds / watchers
	servers := 100 * (after.servers - before.servers).Seconds() / seconds / appServers
	busiest, largest := 0.0, 0.0
	for i, cmd := range r.service.cmds {
		busiest = max(busiest, 100*(after.control[i]-before.control[i]).Seconds()/seconds)
		resident, err := ResidentMB(cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		largest = max(largest, resident)
	}
	points.Add(seriesPropagationP99, rate, quantile(delays, 0.99))
	points.Add(seriesPropagationWorst, rate, quantile(delays, 1))
	points.Add(seriesWatchBytes, rate, bytes)
	points.Add(seriesWatchCore, rate, core)
	points.Add(seriesControlCore, rate, busiest)
	points.Add(seriesControlMB, rate, largest)
	return append(slower,
		Figure{"quiet: changes a second, times the stated rate", rate / plannedChangeRate, 0, ""},
		Figure{"quiet: proposed to in force p50", quantile(delays, 0.5), 0, "s"},
		Figure{"quiet: proposed to in force p99", quantile(delays, 0.99), 0, "s"},
		Figure{"quiet: proposed to in force at the worst", quantile(delays, 1), quietPropagationTarget.Seconds(), "s"},
		Figure{"quiet: bytes a second and server", bytes, BudgetBytes, "B/s"},
		Figure{"quiet: core of a hollow server", core, 100 * BudgetCore, "%"},
		Figure{"quiet: core of a real server, all of it, without requests", servers, 100 * BudgetCore, "%"},
		Figure{"quiet: core of the busiest control machine", busiest, 0, "%"},
		Figure{"quiet: memory of the largest control machine", largest, 0, "MB"},
	), nil
}

// compareRequests measures requests in pairs of short spans, one without a change and one with a change, and compares
// the medians of the spans' p99 latencies. A stall of this machine affects one span only, whereas a change that slows
// requests affects each span that has one.
func (r *configurationRun) compareRequests(ctx context.Context) ([]Figure, error) {
	var baselineP99, changedP99, ratios []float64
	for pair := range requestPairs {
		without, err := r.measureRequests(requestSpan)
		if err != nil {
			return nil, err
		}
		var with []float64
		var failed error
		var group sync.WaitGroup
		group.Go(func() { with, failed = r.measureRequests(requestSpan) })
		err = r.proposeChanges(ctx, requestSpan, requestSpan/2, r.Seed+int64(pair))
		group.Wait()
		if err := errors.Join(err, failed); err != nil {
			return nil, err
		}
		baselineP99, changedP99 = append(baselineP99, quantile(without, 0.99)), append(changedP99, quantile(with, 0.99))
		ratios = append(ratios, changedP99[pair]/baselineP99[pair])
	}
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	return []Figure{
		{"requests: changes a second, times the stated rate", 1 / (2 * requestSpan).Seconds() / plannedChangeRate, 0, ""},
		{"requests: p99 without a change, median of looks", quantile(baselineP99, 0.5), 0, "ms"},
		{"requests: p99 with one, median of looks", quantile(changedP99, 0.5), 0, "ms"},
		{"requests: worst of the pairs", quantile(ratios, 1), 0, ""},
		{"requests: p99 with a change, times that without", quantile(changedP99, 0.5) / quantile(baselineP99, 0.5), maxSlowdown, ""},
	}, nil
}

// measureLeaderLoss kills the leader while changes are proposed, and starts it again.
func (r *configurationRun) measureLeaderLoss(ctx context.Context, points Points) ([]Figure, error) {
	const interval = 250 * time.Millisecond
	leader, err := r.service.Leader(ctx, func(int) bool { return true })
	if err != nil {
		return nil, err
	}
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(interval)
		r.service.KillMachine(leader)
	})
	err = r.proposeChanges(ctx, interval, r.scaledSpan(4*time.Second), r.Seed+1)
	group.Wait()
	if err != nil {
		return nil, err
	}
	if err := r.service.StartMachine(leader); err != nil {
		return nil, err
	}
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	worst := quantile(r.propagationDelays(began, time.Now()), 1)
	points.Add(seriesLeaderWorst, 1/interval.Seconds(), worst)
	return []Figure{{"leader killed: proposed to in force at the worst", worst, propagationTarget.Seconds(), "s"}}, nil
}

// measureStoppedMachine stops a machine that is not the leader with SIGSTOP, like one that hangs, restarts as many
// watchers as a zone has without state, and then lets the machine continue.
func (r *configurationRun) measureStoppedMachine(ctx context.Context, points Points) ([]Figure, error) {
	leader, err := r.service.Leader(ctx, func(int) bool { return true })
	if err != nil {
		return nil, err
	}
	stopped := (leader + 1) % ControlMachines
	began := time.Now()
	if err := r.service.Signal(stopped, syscall.SIGSTOP); err != nil {
		return nil, err
	}
	if err := r.proposeChanges(ctx, time.Second, r.scaledSpan(2*time.Second), r.Seed+2); err != nil {
		return nil, err
	}
	restartedAt := time.Now()
	restarted := r.scaled(ZoneServers)
	if err := r.restartWatchers(restarted); err != nil {
		return nil, err
	}
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	zone := time.Since(restartedAt)
	if err := r.proposeChanges(ctx, time.Second, r.scaledSpan(time.Second), r.Seed+3); err != nil {
		return nil, err
	}
	if err := r.service.Signal(stopped, syscall.SIGCONT); err != nil {
		return nil, err
	}
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	worst := quantile(r.propagationDelays(began, time.Now()), 1)
	points.Add(seriesZoneWorst, float64(restarted), zone.Seconds())
	return []Figure{
		{"machine stopped: proposed to in force at the worst", worst, propagationTarget.Seconds(), "s"},
		{fmt.Sprintf("%d watchers started at once: newest in force after", restarted), zone.Seconds(), propagationTarget.Seconds(), "s"},
	}, nil
}

// restartWatchers restarts watchers without state, distributed evenly over the processes.
func (r *configurationRun) restartWatchers(count int) error {
	var group errgroup.Group
	for i, c := range r.children {
		share := count*(i+1)/len(r.children) - count*i/len(r.children)
		group.Go(func() error {
			_, err := c.ask(watcherCommand{Restart: share})
			return err
		})
	}
	return group.Wait()
}

// measurePartition separates two machines and half of the watchers from the rest while changes are proposed, then heals
// the partition.
func (r *configurationRun) measurePartition(ctx context.Context, points Points) ([]Figure, error) {
	r.service.Partition()
	if _, err := r.service.Leader(ctx, func(i int) bool { return sideOfMachine(i) == majority }); err != nil {
		return nil, err
	}
	before := r.lastAccepted()
	if err := r.proposeChanges(ctx, time.Second, r.scaledSpan(20*time.Second), r.Seed+4); err != nil {
		return nil, err
	}
	stale := r.countStale(before)
	r.service.Heal()
	healed := time.Now()
	if err := r.waitApplied(ctx, r.lastAccepted()); err != nil {
		return nil, err
	}
	took := time.Since(healed).Seconds()
	points.Add(seriesHealWorst, float64(r.scaled(hollowWatchers)), took)
	return []Figure{
		{"cut: watchers that kept what they had", float64(stale), 0, ""},
		{"cut: newest in force everywhere after the heal", took, propagationTarget.Seconds(), "s"},
	}, nil
}

// countStale returns the number of watchers that have not applied a version later than this one.
func (r *configurationRun) countStale(version uint64) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, applied := range r.appliedVersions {
		if applied <= version {
			n++
		}
	}
	return n
}
