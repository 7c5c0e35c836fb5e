package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/testkit/harness"
)

// configurationRun is the state of one run of the benchmark.
type configurationRun struct {
	*ConfigurationBenchmark
	service  *Service
	children []*watcherProcess
	servers  []*harness.Daemon
	recorder *configwatch.Watcher

	mu              sync.Mutex
	history         History
	appliedVersions map[string]uint64 // by watcher name
	marker          float64           // of the latest proposed change
}

// watcherProcess is a process that runs hollow watchers.
type watcherProcess struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	answers chan watcherLine
	side    side
	count   int
}

// start starts all processes and waits until every server has applied the complete configuration.
func (r *configurationRun) start(ctx context.Context, points Points) (err error) {
	if r.service, err = StartService(r.Service, r.Folder); err != nil {
		return err
	}
	if _, err := r.service.Leader(ctx, func(int) bool { return true }); err != nil {
		return err
	}
	platformConfig, err := PlatformConfig(r.scaled(PlannedRoutes), r.scaled(PlannedTenants), "", "", "")
	if err != nil {
		return err
	}
	full, err := configuration.ParseChange(platformConfig)
	if err != nil {
		return err
	}
	if err := r.propose(ctx, full); err != nil {
		return err
	}
	document := configuration.NewDocument()
	document.Accept(full)
	points.Add(seriesSnapshotBytes, 100*float64(r.scaled(PlannedRoutes))/PlannedRoutes, float64(len(document.Snapshot())))
	r.recordHistory(ctx)
	for i := range watcherProcesses {
		count := r.scaled(hollowWatchers)*(i+1)/watcherProcesses - r.scaled(hollowWatchers)*i/watcherProcesses
		zone := []side{majority, minority}[i%2]
		if err := r.startWatchers(i, count, zone); err != nil {
			return err
		}
	}
	for i := range appServers {
		if err := r.startServer(i); err != nil {
			return err
		}
	}
	err = r.waitApplied(ctx, 1)
	return err
}

// recordHistory starts a watcher that follows the service from version 0 over links without faults, and records the
// reference history.
func (r *configurationRun) recordHistory(ctx context.Context) {
	machines := []configwatch.Endpoint{}
	for _, address := range r.service.sessions {
		machines = append(machines, configwatch.Endpoint{Address: address})
	}
	marker := 0.0
	r.recorder = &configwatch.Watcher{
		Name: "recorder", Endpoints: machines, Keys: r.service.keys, Document: configuration.NewDocument(), Seed: r.Seed, Logger: discardLog,
		Apply: func(_ context.Context, delta configuration.Delta, _ *configuration.Document) error {
			if tenant := delta.Tenants[markerTenant]; tenant != nil {
				marker = tenant.QuotaRPS
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.history.Versions = append(r.history.Versions, RecordedVersion{delta.Version, delta.Digest, marker})
			return nil
		},
	}
	go r.recorder.Run(ctx)
}

// propose proposes a change with the next marker, and records its acceptance.
func (r *configurationRun) propose(ctx context.Context, change configuration.Change) error {
	ctx, cancel := context.WithTimeout(ctx, 2*propagationTarget)
	defer cancel()
	r.marker++
	if change.Tenants == nil {
		change.Tenants = map[string]*configuration.Tenant{}
	}
	change.Tenants[markerTenant] = &configuration.Tenant{QuotaRPS: r.marker}
	change.ID = fmt.Sprintf("measured-%g", r.marker)
	proposed := time.Now()
	version, err := configwatch.Propose(ctx, r.service.sessions, r.service.keys, change)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Accepted = append(r.history.Accepted, AcceptedChange{r.marker, version, proposed})
	return nil
}

// proposeChanges proposes a change of one random route at each interval until a span has passed.
func (r *configurationRun) proposeChanges(ctx context.Context, interval, span time.Duration, seed int64) error {
	rng := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < span && ctx.Err() == nil; {
		next := time.Now().Add(interval)
		index := 1 + routeStride*rng.Intn(r.scaled(PlannedRoutes)/routeStride)
		route := &configuration.Route{
			LatencyTarget: 900_000, Deadline: 3_000_000 + int64(rng.Intn(1000)), Value: 1, Idempotency: configuration.Retryable,
		}
		if err := r.propose(ctx, configuration.Change{Routes: map[string]*configuration.Route{RouteName(index): route}}); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return ctx.Err()
}

// startWatchers starts a process that runs hollow watchers of one zone.
func (r *configurationRun) startWatchers(process, count int, zone side) error {
	first := process * r.scaled(hollowWatchers)
	c := &watcherProcess{cmd: exec.Command(r.Program, "watchers"), answers: make(chan watcherLine, 1), side: zone, count: count}
	c.cmd.Stderr = os.Stderr
	in, errIn := c.cmd.StdinPipe()
	out, errOut := c.cmd.StdoutPipe()
	if err := errors.Join(errIn, errOut, c.cmd.Start()); err != nil {
		return fmt.Errorf("watchers: %w", err)
	}
	c.in = in
	r.children = append(r.children, c)
	r.mu.Lock()
	for i := range count {
		r.appliedVersions[watcherName(first+i)] = 0
	}
	r.mu.Unlock()
	go r.readLines(c, out)
	return json.NewEncoder(in).Encode(WatcherSpec{
		First: first, Count: count, Zone: string(zone), Machines: r.service.Endpoints(zone), Key: serviceKey, Seed: r.Seed + int64(process),
	})
}

func watcherName(index int) string { return fmt.Sprintf("hollow-%d", index) }

// readLines reads the output of a watcher process until it ends. It records the events and passes the answers to ask.
func (r *configurationRun) readLines(c *watcherProcess, from io.Reader) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		var line watcherLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Answer != nil {
			c.answers <- line
			continue
		}
		name := watcherName(line.Event.Watcher)
		r.mu.Lock()
		r.history.Applied = append(r.history.Applied, AppliedVersion{
			name, line.Event.Version, line.Event.Digest, time.Unix(0, line.Event.At), line.Event.Started,
		})
		r.appliedVersions[name] = line.Event.Version
		r.mu.Unlock()
	}
	close(c.answers)
}

// ask sends a command to the process and returns its answer.
func (c *watcherProcess) ask(command watcherCommand) (watcherLine, error) {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return watcherLine{}, fmt.Errorf("watchers: %w", err)
	}
	line, open := <-c.answers
	if !open {
		return line, errors.New("watchers: the process has ended")
	}
	return line, nil
}

// startServer starts a real app server that follows the configuration service.
func (r *configurationRun) startServer(i int) error {
	name := fmt.Sprintf("app-%d", i)
	ownConfig := fmt.Sprintf("[configuration]\nname = %q\nzone = %q\nkey-file = %q\ndir = %q\n", name, majority, r.service.keyFile(),
		filepath.Join(r.Folder, name+"-kept"))
	for _, m := range r.service.Endpoints(majority) {
		ownConfig += fmt.Sprintf("[[configuration.machine]]\nzone = %q\naddress = %q\n", m.Zone, m.Address)
	}
	machine := harness.Machine{Cores: machineCores, Speed: 1, MemoryKB: 4e6}
	d, err := harness.Launch(r.Daemon, []string{"serve"}, r.Folder, name, machine, ownConfig, func(listen, pool, members string) ([]byte, error) {
		return PlatformConfig(r.scaled(PlannedRoutes), r.scaled(PlannedTenants), listen, pool, members)
	})
	if err != nil {
		return err
	}
	r.servers = append(r.servers, d)
	return nil
}

var appliedLine = regexp.MustCompile(`time=(\S+) level=INFO msg="configuration: in force" version=(\d+)`)

// loggedVersion returns the version that a server logged last as applied, 0 if none.
func loggedVersion(d *harness.Daemon) uint64 {
	all := appliedLine.FindAllStringSubmatch(d.Log(), -1)
	if len(all) == 0 {
		return 0
	}
	version, _ := strconv.ParseUint(all[len(all)-1][2], 10, 64) // the pattern matches digits only
	return version
}

// recordServerEvents adds the versions that the servers logged as applied to the history.
func (r *configurationRun) recordServerEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	digests := map[uint64]configuration.Digest{}
	for _, recorded := range r.history.Versions {
		digests[recorded.Version] = recorded.Digest
	}
	for i, d := range r.servers {
		for _, found := range appliedLine.FindAllStringSubmatch(d.Log(), -1) {
			version, _ := strconv.ParseUint(found[2], 10, 64) // the pattern matches digits only
			at, err := time.Parse(time.RFC3339Nano, found[1])
			if err != nil {
				continue
			}
			// A server logs no digest. The history's is taken, since the server's watcher has compared the digest of its
			// content with that of the delta.
			r.history.Applied = append(r.history.Applied, AppliedVersion{fmt.Sprintf("app-%d", i), version, digests[version], at, false})
		}
	}
}

// waitApplied waits until all servers, the watchers and the recorder have applied a version or a later one. It returns
// an error after 40 seconds.
func (r *configurationRun) waitApplied(ctx context.Context, version uint64) error {
	const timeout = 40 * time.Second
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		stale := []string{}
		r.mu.Lock()
		for name, applied := range r.appliedVersions {
			if applied < version {
				stale = append(stale, name)
			}
		}
		if recorded := r.history.Versions; len(recorded) == 0 || recorded[len(recorded)-1].Version < version {
			stale = append(stale, "recorder")
		}
		r.mu.Unlock()
		for i, d := range r.servers {
			if loggedVersion(d) < version {
				stale = append(stale, fmt.Sprintf("app-%d", i))
			}
		}
		switch {
		case len(stale) == 0:
			return nil
		case time.Since(began) > timeout || ctx.Err() != nil:
			slices.Sort(stale)
			return fmt.Errorf("version %d not applied after %v by %d servers, including %s", version, timeout, len(stale), stale[0])
		}
	}
}

// lastAccepted returns the latest accepted version.
func (r *configurationRun) lastAccepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Accepted[len(r.history.Accepted)-1].Version
}

func (r *configurationRun) stop() (err error) {
	for _, c := range r.children {
		_ = c.in.Close()
		err = errors.Join(err, c.cmd.Wait())
	}
	for _, d := range r.servers {
		err = errors.Join(err, d.Stop())
	}
	if r.service != nil {
		err = errors.Join(err, r.service.Stop())
	}
	return err
}
