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

// What the slopes' series measure. Behind each stands "by" and what grew.
const (
	seriesStart        = "start ms"
	seriesResident     = "resident MB"
	seriesAfterReloads = "resident MB after reloads"
	seriesIdle         = "idle core %"
	seriesReloadSame   = "reload without a change, cpu ms"
	seriesReloadMoved  = "reload with one change, cpu ms"
	seriesFile         = "configuration file MB"

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
	reloads        = 5                // before the memory after reloads is read
	reloadTimeout  = 20 * time.Second // for one reload
	tablesAtOnce   = 4
	fewRoutes      = 2
	checkerConns   = 200
	directWork     = 10 * time.Millisecond // of each request
	machineCores   = 8
	settleDelay    = 300 * time.Millisecond // after a start, for what it left behind to be collected
	checkEach      = 2 * time.Millisecond
	loadedRoutes   = 64
	keyedEvery     = 8 // every eighth route may simply be repeated; see routeSettings
	checkedForSpan = 2 * time.Second
	requestRepeats = 3
)

// DaemonBenchmark measures one real daemon over several sizes.
type DaemonBenchmark struct {
	Daemon string // path of the program
	Folder string // for configurations
	Seed   int64
	Small  bool // fewer series and shorter looks, at the planned size all the same
}

// Run measures everything. The daemons' tables are measured a few at once, all else by itself.
func (s *DaemonBenchmark) Run(ctx context.Context) (Points, error) {
	all := Points{}
	for _, part := range []func(context.Context) (Points, error){s.tables, s.connections, s.checks, s.requests} {
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

// steps are the points of a series, in parts of the largest.
var steps = []float64{0, 0.25, 0.5, 0.75, 1}

// launch starts a daemon with so many routes and tenants.
func (s *DaemonBenchmark) launch(name string, routes, tenants int) (*harness.Daemon, error) {
	machine := harness.Machine{Cores: machineCores, Speed: 1, MemoryKB: 4e6}
	return harness.Launch(s.Daemon, nil, s.Folder, name, machine, "", func(listen, pool, members string) ([]byte, error) {
		return Site(max(routes, fewRoutes), tenants, listen, pool, members)
	})
}

// table is one size of a daemon's tables, and the series that it is a point of.
type table struct {
	by              string
	x               float64
	routes, tenants int
}

// tables measures start, memory, idle time and reloads by routes, by tenants, and by both together.
func (s *DaemonBenchmark) tables(ctx context.Context) (Points, error) {
	var jobs []table
	const routes, tenants = PlannedRoutes, PlannedTenants
	for _, step := range steps {
		jobs = append(jobs, table{bySize, 100 * step, int(step * routes), int(step * tenants)})
		if s.Small {
			continue
		}
		jobs = append(jobs,
			table{byRoutes, float64(max(int(step*routes), fewRoutes)), int(step * routes), 0},
			table{byTenants, float64(int(step * tenants)), fewRoutes, int(step * tenants)})
	}
	var (
		mu    sync.Mutex
		all   = Points{}
		errs  []error
		group sync.WaitGroup
		slots = make(chan struct{}, tablesAtOnce)
	)
	for i, job := range jobs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			points, err := s.table(fmt.Sprintf("table%d", i), job)
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

// table measures one size.
func (s *DaemonBenchmark) table(name string, job table) (points Points, err error) {
	began := time.Now()
	d, err := s.launch(name, job.routes, job.tenants)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	points = Points{}
	points.Add(seriesStart+job.by, job.x, float64(time.Since(began).Microseconds())/1000)
	if about, err := os.Stat(d.ConfigPath); err == nil {
		points.Add(seriesFile+job.by, job.x, float64(about.Size())/1e6)
	}
	time.Sleep(settleDelay)
	idle, err := coreShare(d.PID(), s.span())
	if err != nil {
		return points, err
	}
	points.Add(seriesIdle+job.by, job.x, idle)
	resident, err := ResidentMB(d.PID())
	if err != nil {
		return points, err
	}
	points.Add(seriesResident+job.by, job.x, resident)
	if job.by == bySize {
		if err := s.checksOverReload(d, job, points); err != nil {
			return points, err
		}
	}
	return points, s.reloads(d, job, points)
}

// reloads measures reloads that change nothing, and then one that changes a setting that may move in service.
func (s *DaemonBenchmark) reloads(d *harness.Daemon, job table, points Points) error {
	var took []time.Duration
	for range reloads {
		spent, err := reload(d)
		if err != nil {
			return err
		}
		took = append(took, spent)
	}
	slices.Sort(took)
	points.Add(seriesReloadSame+job.by, job.x, milliseconds(took[len(took)/2]))
	if err := rewrite(d.ConfigPath, `"halt":"suspend"`, `"halt":"abort"`); err != nil {
		return err
	}
	spent, err := reload(d)
	if err != nil {
		return err
	}
	points.Add(seriesReloadMoved+job.by, job.x, milliseconds(spent))
	resident, err := ResidentMB(d.PID())
	if err != nil {
		return err
	}
	points.Add(seriesAfterReloads+job.by, job.x, resident)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func rewrite(path, from, to string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)
}

// reload has a daemon read its configuration anew and gives the processor time that took.
func reload(d *harness.Daemon) (time.Duration, error) {
	const told = `msg="configuration reloaded"`
	seen := strings.Count(d.Log(), told)
	before, err := CPU(d.PID())
	if err != nil {
		return 0, err
	}
	if err := d.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	for end := time.Now().Add(reloadTimeout); strings.Count(d.Log(), told) == seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("no reload within %v", reloadTimeout)
		}
	}
	after, err := waitAtRest(d.PID())
	return after - before, err
}

const (
	restLook = 20 * time.Millisecond
	restCPU  = 2 * time.Millisecond // of a look in which a process counts as at rest
	restWait = 2 * time.Second
)

// waitAtRest waits until a process does little, as once the collector behind a reload is done, and gives the processor time
// that it has used by then.
func waitAtRest(pid int) (time.Duration, error) {
	last, err := CPU(pid)
	for began := time.Now(); err == nil && time.Since(began) < restWait; {
		time.Sleep(restLook)
		var now time.Duration
		if now, err = CPU(pid); now-last < restCPU {
			return now, err
		}
		last = now
	}
	return last, err
}

// checksOverReload times health checks on a quiet daemon, and again while it reloads.
func (s *DaemonBenchmark) checksOverReload(d *harness.Daemon, job table, points Points) error {
	quiet, err := timeChecks(d.Address, checkEach, checkedForSpan/2, nil)
	if err != nil {
		return err
	}
	points.Add(seriesCheckQuiet, job.x, quantile(quiet, 0.99))
	var failed error
	over, err := timeChecks(d.Address, checkEach, checkedForSpan, func() { _, failed = reload(d) })
	if err := errors.Join(err, failed); err != nil {
		return err
	}
	points.Add(seriesCheckReload, job.x, quantile(over, 0.99))
	return nil
}
