package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Series of one daemon. The first ones are completed with one of the suffixes that state the quantity on the x axis.
const (
	seriesStart         = "start ms"
	seriesResident      = "resident MB"
	seriesAfterReloads  = "resident MB after reloads"
	seriesIdle          = "idle core %"
	seriesReloadSame    = "reload without a change, cpu ms"
	seriesReloadChanged = "reload with one change, cpu ms"
	seriesFile          = "configuration file MB"

	byRoutes  = " by routes"
	byTenants = " by tenants"
	bySize    = " by % of the planned routes and tenants"

	seriesCheckQuiet  = "health check p99 ms, quiet" + bySize
	seriesCheckReload = "health check p99 ms, over a reload" + bySize

	seriesConnectionsMB   = "resident MB by connections"
	seriesConnectionsIdle = "idle core % by connections"
	seriesChecks          = "core %% by health checks a second, %d routes"
	seriesRequests        = "core %% by requests a second, %d routes"
	seriesAddedP50        = "added ms p50 by requests a second"
	seriesAddedP99        = "added ms p99 by requests a second"
	seriesDirectP99       = "direct ms p99 by requests a second"
)

const (
	reloadCount      = 5                     // before the memory after reloads is measured
	reloadTimeout    = 20 * time.Second      // for one reload
	tableConcurrency = 4                     // number of daemons whose tables are measured at the same time
	fewRoutes        = 2                     // of the smallest table
	checkConnections = 200                   // over which measureChecks distributes the health checks
	directWork       = 10 * time.Millisecond // of each request
	machineCores     = 8
	settleDelay      = 300 * time.Millisecond // after a start, so that the garbage of the start is collected
	checkInterval    = 2 * time.Millisecond   // between the health checks of timeChecks
	loadedRoutes     = 64                     // maximum number of routes of a load
	routeStride      = 8                      // distance between routes with the same idempotency; see routeSettings
	checkSpan        = 2 * time.Second        // of the health checks around a reload
	requestRepeats   = 3                      // measurements of each request rate
)

// DaemonBenchmark measures one real daemon at several sizes.
type DaemonBenchmark struct {
	Daemon string // path of the program
	Folder string // for configurations
	Seed   int64
	Small  bool // fewer series and shorter spans, but still the planned size
}

// Run runs all measurements. A few sizes of the daemon's tables are measured at the same time, everything else alone.
func (s *DaemonBenchmark) Run(ctx context.Context) (Points, error) {
	all := Points{}
	for _, part := range []func(context.Context) (Points, error){s.measureTables, s.measureConnections, s.measureChecks, s.measureRequests} {
		points, err := part(ctx)
		if err != nil {
			return nil, err
		}
		all.Merge(points)
	}
	return all, nil
}

// span returns the time over which a share of a core is measured.
func (s *DaemonBenchmark) span() time.Duration {
	if s.Small {
		return 400 * time.Millisecond
	}
	return 1500 * time.Millisecond
}

// sizeFractions are the points of a series, as fractions of the largest.
var sizeFractions = []float64{0, 0.25, 0.5, 0.75, 1}

// launch starts a daemon with these numbers of routes and tenants, but with fewRoutes routes at least.
func (s *DaemonBenchmark) launch(name string, routes, tenants int) (*harness.Daemon, error) {
	machine := harness.Machine{Cores: machineCores, Speed: 1, MemoryKB: 4e6}
	return harness.Launch(s.Daemon, nil, s.Folder, name, machine, "", func(listen, pool, members string) ([]byte, error) {
		return PlatformConfig(max(routes, fewRoutes), tenants, listen, pool, members)
	})
}

// tableSize is one size of a daemon's tables, and the suffix and the x of the series that it is measured for.
type tableSize struct {
	by              string
	x               float64
	routes, tenants int
}

// measureTables measures start, memory, idle time and reloads by routes, by tenants, and by both together.
func (s *DaemonBenchmark) measureTables(ctx context.Context) (Points, error) {
	var jobs []tableSize
	const routes, tenants = PlannedRoutes, PlannedTenants
	for _, fraction := range sizeFractions {
		jobs = append(jobs, tableSize{bySize, 100 * fraction, int(fraction * routes), int(fraction * tenants)})
		if s.Small {
			continue
		}
		jobs = append(jobs,
			tableSize{byRoutes, float64(max(int(fraction*routes), fewRoutes)), int(fraction * routes), 0},
			tableSize{byTenants, float64(int(fraction * tenants)), fewRoutes, int(fraction * tenants)})
	}
	var (
		mu    sync.Mutex
		all   = Points{}
		errs  []error
		group sync.WaitGroup
		slots = make(chan struct{}, tableConcurrency)
	)
	for i, job := range jobs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			points, err := s.measureTable(fmt.Sprintf("table%d", i), job)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(points)
			if err != nil {
				errs = append(errs, fmt.Errorf("%d routes, %d tenants: %w", job.routes, job.tenants, err))
			}
		})
	}
	group.Wait()
	return all, errors.Join(append(errs, ctx.Err())...)
}

// measureTable measures one size.
func (s *DaemonBenchmark) measureTable(name string, job tableSize) (points Points, err error) {
	began := time.Now()
	d, err := s.launch(name, job.routes, job.tenants)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	points = Points{}
	points.Add(seriesStart+job.by, job.x, float64(time.Since(began).Microseconds())/1000)
	if info, err := os.Stat(d.ConfigPath); err == nil {
		points.Add(seriesFile+job.by, job.x, float64(info.Size())/1e6)
	}
	time.Sleep(settleDelay)
	idle, err := coreShare(d.RunningPID(), s.span())
	if err != nil {
		return points, err
	}
	points.Add(seriesIdle+job.by, job.x, idle)
	resident, err := ResidentMB(d.RunningPID())
	if err != nil {
		return points, err
	}
	points.Add(seriesResident+job.by, job.x, resident)
	if job.by == bySize {
		if err := s.measureChecksDuringReload(d, job, points); err != nil {
			return points, err
		}
	}
	return points, s.measureReloads(d, job, points)
}

// measureReloads measures reloads that change nothing, and then one that changes a setting that can change without a
// restart.
func (s *DaemonBenchmark) measureReloads(d *harness.Daemon, job tableSize, points Points) error {
	var times []time.Duration
	for range reloadCount {
		spent, err := reload(d)
		if err != nil {
			return err
		}
		times = append(times, spent)
	}
	slices.Sort(times)
	points.Add(seriesReloadSame+job.by, job.x, milliseconds(times[len(times)/2]))
	if err := replaceInFile(d.ConfigPath, `"halt":"suspend"`, `"halt":"abort"`); err != nil {
		return err
	}
	spent, err := reload(d)
	if err != nil {
		return err
	}
	points.Add(seriesReloadChanged+job.by, job.x, milliseconds(spent))
	resident, err := ResidentMB(d.RunningPID())
	if err != nil {
		return err
	}
	points.Add(seriesAfterReloads+job.by, job.x, resident)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func replaceInFile(path, from, to string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)
}

// reload makes a daemon read its configuration again and returns the processor time that this took.
func reload(d *harness.Daemon) (time.Duration, error) {
	const reloadedMessage = `msg="configuration reloaded"`
	seen := strings.Count(d.Log(), reloadedMessage)
	before, err := CPU(d.RunningPID())
	if err != nil {
		return 0, err
	}
	if err := d.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	for end := time.Now().Add(reloadTimeout); strings.Count(d.Log(), reloadedMessage) == seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("no reload logged within %v", reloadTimeout)
		}
	}
	after, err := waitAtRest(d.RunningPID())
	return after - before, err
}

const (
	restPollInterval = 20 * time.Millisecond
	restCPU          = 2 * time.Millisecond // of a poll interval, below which a process counts as at rest
	restTimeout      = 2 * time.Second
)

// waitAtRest waits until a process uses little processor time, as it does once the garbage collection after a reload
// has finished, or until restTimeout has passed. It returns the processor time that the process has used by then.
func waitAtRest(pid int) (time.Duration, error) {
	last, err := CPU(pid)
	for began := time.Now(); err == nil && time.Since(began) < restTimeout; {
		time.Sleep(restPollInterval)
		var now time.Duration
		if now, err = CPU(pid); now-last < restCPU {
			return now, err
		}
		last = now
	}
	return last, err
}

// measureChecksDuringReload times health checks of a quiet daemon, and again while it reloads.
func (s *DaemonBenchmark) measureChecksDuringReload(d *harness.Daemon, job tableSize, points Points) error {
	quiet, err := timeChecks(d.Address, checkInterval, checkSpan/2, nil)
	if err != nil {
		return err
	}
	points.Add(seriesCheckQuiet, job.x, quantile(quiet, 0.99))
	var failed error
	reloading, err := timeChecks(d.Address, checkInterval, checkSpan, func() { _, failed = reload(d) })
	if err := errors.Join(err, failed); err != nil {
		return err
	}
	points.Add(seriesCheckReload, job.x, quantile(reloading, 0.99))
	return nil
}
