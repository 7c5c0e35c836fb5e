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
	"syscall"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/rig"
)

// Series of the configuration service's run; the last number of each name is what grew.
const (
	seriesLagP99        = "configuration: proposed to in force p99 s by changes a second"
	seriesLagWorst      = "configuration: proposed to in force worst s by changes a second"
	seriesWatchBytes    = "configuration: bytes/s a server by changes a second"
	seriesWatchCore     = "configuration: core % a server by changes a second"
	seriesControlCore   = "configuration: core % of the busiest control machine by changes a second"
	seriesControlMB     = "configuration: resident MB of the largest control machine by changes a second"
	seriesSnapshotBytes = "configuration: bytes of a whole document by % of the planned routes and tenants"
	seriesHealWorst     = "configuration: worst s from the heal of a cut to the newest everywhere by watchers"
	seriesZoneWorst     = "configuration: worst s until the newest in force by watchers started at once"
	seriesLeaderWorst   = "configuration: worst s from a change to in force, leader killed, by changes a second"
)

const (
	plannedPerSecond = PlannedChanges / 86400.0
	appServers       = 3
	hollowWatchers   = 490
	watcherProcesses = 4
	requestRate      = 150 // a second and app server
	markerTenant     = "marker"
	aimInForce       = 9 * time.Second
	aimQuiet         = time.Second
	aimSlower        = 1.2 // of a request's p99
)

// Figure is one result with its aim.
type Figure struct {
	Name  string
	Value float64
	Most  float64 // that is aimed at; 0 for none
	Unit  string
}

// Missed tells whether the aim is missed.
func (f Figure) Missed() bool { return f.Most > 0 && !(f.Value <= f.Most) }

// Configuration measures the configuration service with real control machines, real app servers and hollow watchers.
type Configuration struct {
	Daemon  string // the app server's program
	Service string // the service's
	Program string // that has a command watchers
	Folder  string
	Seed    int64
	Small   bool // a tenth of the tables and watchers, shorter spans
}

// configurationRun is one run.
type configurationRun struct {
	*Configuration
	service  *Service
	children []*watcherChild
	servers  []*rig.Daemon
	recorder *configwatch.Watcher

	mu      sync.Mutex
	history History
	newest  map[string]uint64 // in force, by server
	marker  float64
}

// watcherChild is a process of hollow watchers.
type watcherChild struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	answers chan watcherLine
	side    side
	count   int
}

func (c *Configuration) part(whole int) int {
	if c.Small {
		return whole / 10
	}
	return whole
}

func (c *Configuration) span(whole time.Duration) time.Duration {
	if c.Small {
		return whole / 4
	}
	return whole
}

// Run measures everything and checks the recorded history.
func (c *Configuration) Run(ctx context.Context) (figures []Figure, points Points, err error) {
	r := &configurationRun{Configuration: c, newest: map[string]uint64{}}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { err = errors.Join(err, r.stop()) }()
	defer cancel()
	points = Points{}
	if err := r.begin(ctx, points); err != nil {
		return nil, points, err
	}
	for _, phase := range []struct {
		name string
		run  func(context.Context, Points) ([]Figure, error)
	}{{"quiet", r.quiet}, {"leader killed", r.leaderLost}, {"machine stopped", r.machineStopped}, {"cut", r.cut}} {
		began := time.Now()
		more, err := phase.run(ctx, points)
		fmt.Fprintf(os.Stderr, "%s: %.1f s\n", phase.name, time.Since(began).Seconds())
		if err != nil {
			return figures, points, fmt.Errorf("%s: %w", phase.name, err)
		}
		figures = append(figures, more...)
	}
	r.serverEvents()
	r.mu.Lock()
	defer r.mu.Unlock()
	figures = append(figures, Figure{"changes accepted", float64(len(r.history.Accepted)), 0, ""},
		Figure{"times a version came into force", float64(len(r.history.InForce)), 0, ""})
	return figures, points, r.history.Check()
}

// begin starts everything and has the whole tables in force everywhere.
func (r *configurationRun) begin(ctx context.Context, points Points) (err error) {
	if r.service, err = StartService(r.Configuration.Service, r.Folder); err != nil {
		return err
	}
	if _, err := r.service.Leader(ctx, func(int) bool { return true }); err != nil {
		return err
	}
	site, err := Site(r.part(PlannedRoutes), r.part(PlannedTenants), "", "", "")
	if err != nil {
		return err
	}
	whole, err := configuration.ReadChange(site)
	if err != nil {
		return err
	}
	if err := r.propose(ctx, whole); err != nil {
		return err
	}
	document := configuration.NewDocument()
	document.Accept(whole)
	points.Add(seriesSnapshotBytes, 100*float64(r.part(PlannedRoutes))/PlannedRoutes, float64(len(document.Snapshot())))
	r.record(ctx)
	for i := range watcherProcesses {
		count := r.part(hollowWatchers)*(i+1)/watcherProcesses - r.part(hollowWatchers)*i/watcherProcesses
		at := []side{majority, minority}[i%2]
		if err := r.startWatchers(i, count, at); err != nil {
			return err
		}
	}
	for i := range appServers {
		if err := r.startServer(i); err != nil {
			return err
		}
	}
	_, err = r.everywhere(ctx, 1)
	return err
}

// record follows the service from version 0 without faults, as the history of what was.
func (r *configurationRun) record(ctx context.Context) {
	machines := []configwatch.Machine{}
	for _, address := range r.service.sessions {
		machines = append(machines, configwatch.Machine{Address: address})
	}
	marker := 0.0
	r.recorder = &configwatch.Watcher{
		Name: "recorder", Machines: machines, Keys: r.service.keys, Document: configuration.NewDocument(), Seed: r.Seed, Log: discard,
		Apply: func(_ context.Context, delta configuration.Delta, _ *configuration.Document) error {
			if stated := delta.Tenants[markerTenant]; stated != nil {
				marker = stated.Rate
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.history.Steps = append(r.history.Steps, Step{delta.Version, delta.Digest, marker})
			return nil
		},
	}
	go r.recorder.Run(ctx)
}

// propose has a change accepted, with the next marker, and records that.
func (r *configurationRun) propose(ctx context.Context, change configuration.Change) error {
	ctx, cancel := context.WithTimeout(ctx, 2*aimInForce)
	defer cancel()
	r.marker++
	if change.Tenants == nil {
		change.Tenants = map[string]*configuration.Tenant{}
	}
	change.Tenants[markerTenant] = &configuration.Tenant{Rate: r.marker}
	change.ID = fmt.Sprintf("measured-%g", r.marker)
	proposed := time.Now()
	version, err := configwatch.Propose(ctx, r.service.sessions, r.service.keys, change)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Accepted = append(r.history.Accepted, Accepted{r.marker, version, proposed})
	return nil
}

// changes has one route changed every so often over a span.
func (r *configurationRun) changes(ctx context.Context, each, span time.Duration, seed int64) error {
	chance := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < span && ctx.Err() == nil; {
		next := time.Now().Add(each)
		place := 1 + keyedEvery*chance.Intn(r.part(PlannedRoutes)/keyedEvery)
		route := &configuration.Route{
			LatencyTarget: 900_000, Deadline: 3_000_000 + int64(chance.Intn(1000)), Value: 1, Idempotency: configuration.Retryable,
		}
		if err := r.propose(ctx, configuration.Change{Routes: map[string]*configuration.Route{RouteName(place): route}}); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return ctx.Err()
}

// startWatchers starts a process of hollow watchers.
func (r *configurationRun) startWatchers(place, count int, at side) error {
	first := place * r.part(hollowWatchers)
	c := &watcherChild{cmd: exec.Command(r.Program, "watchers"), answers: make(chan watcherLine, 1), side: at, count: count}
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
		r.newest[watcherName(first+i)] = 0
	}
	r.mu.Unlock()
	go r.read(c, out)
	return json.NewEncoder(in).Encode(WatcherSpec{
		First: first, Count: count, Zone: string(at), Machines: r.service.Watched(at), Key: serviceKey, Seed: r.Seed + int64(place),
	})
}

func watcherName(place int) string { return fmt.Sprintf("hollow-%d", place) }

// read takes what a process of watchers writes.
func (r *configurationRun) read(c *watcherChild, from io.Reader) {
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
		r.history.InForce = append(r.history.InForce, InForce{
			name, line.Event.Version, line.Event.Digest, time.Unix(0, line.Event.At), line.Event.Started,
		})
		r.newest[name] = line.Event.Version
		r.mu.Unlock()
	}
	close(c.answers)
}

// ask sends a command and waits for its answer.
func (c *watcherChild) ask(command watcherCommand) (watcherLine, error) {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return watcherLine{}, fmt.Errorf("watchers: %w", err)
	}
	line, open := <-c.answers
	if !open {
		return line, errors.New("watchers: the process has ended")
	}
	return line, nil
}

// startServer starts a real app server that follows the service.
func (r *configurationRun) startServer(i int) error {
	name := fmt.Sprintf("app-%d", i)
	own := fmt.Sprintf("[configuration]\nname = %q\nzone = %q\nkey-file = %q\ndir = %q\n", name, majority, r.service.keyFile(),
		filepath.Join(r.Folder, name+"-kept"))
	for _, m := range r.service.Watched(majority) {
		own += fmt.Sprintf("[[configuration.machine]]\nzone = %q\naddress = %q\n", m.Zone, m.Address)
	}
	machine := rig.Machine{Cores: machineCores, Speed: 1, KB: 4e6}
	d, err := rig.Launch(r.Daemon, []string{"serve"}, r.Folder, name, machine, own, func(listen, pool, members string) ([]byte, error) {
		return Site(r.part(PlannedRoutes), r.part(PlannedTenants), listen, pool, members)
	})
	if err != nil {
		return err
	}
	r.servers = append(r.servers, d)
	return nil
}

var inForceLine = regexp.MustCompile(`time=(\S+) level=INFO msg="configuration: in force" version=(\d+)`)

// versionOf is what a real server logged last as in force.
func versionOf(d *rig.Daemon) uint64 {
	all := inForceLine.FindAllStringSubmatch(d.Log(), -1)
	if len(all) == 0 {
		return 0
	}
	version, _ := strconv.ParseUint(all[len(all)-1][2], 10, 64) // digits
	return version
}

// serverEvents takes what the real servers logged into the history.
func (r *configurationRun) serverEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	digests := map[uint64]configuration.Digest{}
	for _, step := range r.history.Steps {
		digests[step.Version] = step.Digest
	}
	for i, d := range r.servers {
		for _, found := range inForceLine.FindAllStringSubmatch(d.Log(), -1) {
			version, _ := strconv.ParseUint(found[2], 10, 64) // digits
			at, err := time.Parse(time.RFC3339Nano, found[1])
			if err != nil {
				continue
			}
			// A server logs no digest; its watcher compared the content with that of the delta.
			r.history.InForce = append(r.history.InForce, InForce{fmt.Sprintf("app-%d", i), version, digests[version], at, false})
		}
	}
}

// everywhere waits until a version, or a later one, is in force at all, and gives how long that took.
func (r *configurationRun) everywhere(ctx context.Context, version uint64) (time.Duration, error) {
	const patience = 40 * time.Second
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		behind := []string{}
		r.mu.Lock()
		for name, at := range r.newest {
			if at < version {
				behind = append(behind, name)
			}
		}
		if steps := r.history.Steps; len(steps) == 0 || steps[len(steps)-1].Version < version {
			behind = append(behind, "recorder")
		}
		r.mu.Unlock()
		for i, d := range r.servers {
			if versionOf(d) < version {
				behind = append(behind, fmt.Sprintf("app-%d", i))
			}
		}
		switch {
		case len(behind) == 0:
			return time.Since(began), nil
		case time.Since(began) > patience || ctx.Err() != nil:
			slices.Sort(behind)
			return 0, fmt.Errorf("version %d not in force after %v at %d servers, %s among them", version, patience, len(behind), behind[0])
		}
	}
}

// accepted is the newest accepted version.
func (r *configurationRun) accepted() uint64 {
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

// lags are those of the changes accepted in a span, in seconds.
func (r *configurationRun) lags(since, until time.Time) (seconds []float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, lag := range r.history.Lags(since, until) {
		seconds = append(seconds, lag.Seconds())
	}
	return seconds
}

// spent is what watchers, control machines and real servers have used so far.
type spent struct {
	at       time.Time
	bytes    int64
	watchers time.Duration
	control  []time.Duration
	servers  time.Duration
}

func (r *configurationRun) spent() (s spent, err error) {
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
		used, err := CPU(d.PID())
		if err != nil {
			return s, err
		}
		s.servers += used
	}
	return s, nil
}

// requests sends the same load to all real servers over a span and gives how long each request took, in milliseconds.
func (r *configurationRun) requests(span time.Duration) (took []float64, err error) {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for i, d := range r.servers {
		load, types := steadyLoad(requestRate, span, r.part(PlannedRoutes), r.Seed+int64(i))
		group.Go(func() {
			got, failed := rig.Run(d.Address, types, load, 1)
			mu.Lock()
			defer mu.Unlock()
			if got.Codes[honoured] < got.Tasks {
				failed = errors.Join(failed, fmt.Errorf("app-%d: %d of %d requests honoured", i, got.Codes[honoured], got.Tasks))
			}
			err = errors.Join(err, failed)
			took = append(took, asMilliseconds(got.Took)...)
		})
	}
	group.Wait()
	return took, err
}

// quiet measures requests without changes and with them, and what the changes cost.
func (r *configurationRun) quiet(ctx context.Context, points Points) ([]Figure, error) {
	const each = time.Second
	span := r.span(5 * time.Second)
	start, err := r.spent()
	if err != nil {
		return nil, err
	}
	calm, err := r.requests(span)
	if err != nil {
		return nil, err
	}
	before, err := r.spent()
	if err != nil {
		return nil, err
	}
	var busy []float64
	var failed error
	var group sync.WaitGroup
	group.Go(func() { busy, failed = r.requests(span) })
	err = r.changes(ctx, each, span, r.Seed)
	group.Wait()
	if err := errors.Join(err, failed); err != nil {
		return nil, err
	}
	if _, err := r.everywhere(ctx, r.accepted()); err != nil {
		return nil, err
	}
	after, err := r.spent()
	if err != nil {
		return nil, err
	}
	rate := 1 / each.Seconds()
	lags := r.lags(before.at, after.at)
	seconds, watchers := after.at.Sub(before.at).Seconds(), float64(r.part(hollowWatchers))
	bytes := float64(after.bytes-before.bytes) / seconds / watchers
	core := 100 * (after.watchers - before.watchers).Seconds() / seconds / watchers
	servers := 100 * ((after.servers-before.servers).Seconds()/seconds - (before.servers-start.servers).Seconds()/before.at.Sub(start.at).Seconds()) / appServers
	busiest, largest := 0.0, 0.0
	for i, cmd := range r.service.cmds {
		busiest = max(busiest, 100*(after.control[i]-before.control[i]).Seconds()/seconds)
		resident, err := ResidentMB(cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		largest = max(largest, resident)
	}
	points.Add(seriesLagP99, rate, quantile(lags, 0.99))
	points.Add(seriesLagWorst, rate, quantile(lags, 1))
	points.Add(seriesWatchBytes, rate, bytes)
	points.Add(seriesWatchCore, rate, core)
	points.Add(seriesControlCore, rate, busiest)
	points.Add(seriesControlMB, rate, largest)
	quietP99, busyP99 := quantile(calm, 0.99), quantile(busy, 0.99)
	return []Figure{
		{"quiet: changes a second, times the stated rate", rate / plannedPerSecond, 0, ""},
		{"quiet: proposed to in force p50", quantile(lags, 0.5), 0, "s"},
		{"quiet: proposed to in force p99", quantile(lags, 0.99), 0, "s"},
		{"quiet: proposed to in force at the worst", quantile(lags, 1), aimQuiet.Seconds(), "s"},
		{"quiet: bytes a second and server", bytes, BudgetBytes, "B/s"},
		{"quiet: core of a hollow server", core, 100 * BudgetCore, "%"},
		{"quiet: core of a real server, over that without changes", servers, 100 * BudgetCore, "%"},
		{"quiet: core of the busiest control machine", busiest, 0, "%"},
		{"quiet: memory of the largest control machine", largest, 0, "MB"},
		{"quiet: request p99 without changes", quietP99, 0, "ms"},
		{"quiet: request p99 with changes, times that", busyP99 / quietP99, aimSlower, ""},
	}, nil
}

// leaderLost kills the leader while changes are proposed, and starts it again.
func (r *configurationRun) leaderLost(ctx context.Context, points Points) ([]Figure, error) {
	const each = 250 * time.Millisecond
	leader, err := r.service.Leader(ctx, func(int) bool { return true })
	if err != nil {
		return nil, err
	}
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(each)
		r.service.KillMachine(leader)
	})
	err = r.changes(ctx, each, r.span(5*time.Second), r.Seed+1)
	group.Wait()
	if err != nil {
		return nil, err
	}
	if err := r.service.StartMachine(leader); err != nil {
		return nil, err
	}
	if _, err := r.everywhere(ctx, r.accepted()); err != nil {
		return nil, err
	}
	worst := quantile(r.lags(began, time.Now()), 1)
	points.Add(seriesLeaderWorst, 1/each.Seconds(), worst)
	return []Figure{{"leader killed: proposed to in force at the worst", worst, aimInForce.Seconds(), "s"}}, nil
}

// machineStopped stops a machine that does not lead, as one that hangs, has a zone's watchers start with nothing
// meanwhile, and lets the machine go on.
func (r *configurationRun) machineStopped(ctx context.Context, points Points) ([]Figure, error) {
	leader, err := r.service.Leader(ctx, func(int) bool { return true })
	if err != nil {
		return nil, err
	}
	stopped := (leader + 1) % ControlMachines
	began := time.Now()
	if err := r.service.Signal(stopped, syscall.SIGSTOP); err != nil {
		return nil, err
	}
	if err := r.changes(ctx, time.Second, r.span(2*time.Second), r.Seed+2); err != nil {
		return nil, err
	}
	restarted := time.Now()
	back := r.part(ZoneServers)
	if _, err := r.children[0].ask(watcherCommand{Restart: back}); err != nil {
		return nil, err
	}
	if _, err := r.everywhere(ctx, r.accepted()); err != nil {
		return nil, err
	}
	zone := time.Since(restarted)
	if err := r.changes(ctx, time.Second, r.span(2*time.Second), r.Seed+3); err != nil {
		return nil, err
	}
	if err := r.service.Signal(stopped, syscall.SIGCONT); err != nil {
		return nil, err
	}
	if _, err := r.everywhere(ctx, r.accepted()); err != nil {
		return nil, err
	}
	worst := quantile(r.lags(began, time.Now()), 1)
	points.Add(seriesZoneWorst, float64(back), zone.Seconds())
	return []Figure{
		{"machine stopped: proposed to in force at the worst", worst, aimInForce.Seconds(), "s"},
		{fmt.Sprintf("%d watchers started at once: newest in force after", back), zone.Seconds(), aimInForce.Seconds(), "s"},
	}, nil
}

// cut parts two of the machines and half of the watchers from the rest while changes go on, and heals that.
func (r *configurationRun) cut(ctx context.Context, points Points) ([]Figure, error) {
	r.service.Cut()
	if _, err := r.service.Leader(ctx, func(i int) bool { return sideOf(i) == majority }); err != nil {
		return nil, err
	}
	before := r.accepted()
	if err := r.changes(ctx, time.Second, r.span(20*time.Second), r.Seed+4); err != nil {
		return nil, err
	}
	stale := r.behind(before)
	r.service.Heal()
	healed := time.Now()
	if _, err := r.everywhere(ctx, r.accepted()); err != nil {
		return nil, err
	}
	took := time.Since(healed).Seconds()
	points.Add(seriesHealWorst, float64(r.part(hollowWatchers)), took)
	return []Figure{
		{"cut: watchers that kept what they had", float64(stale), 0, ""},
		{"cut: newest in force everywhere after the heal", took, aimInForce.Seconds(), "s"},
	}, nil
}

// behind is how many watchers have no later version in force than one.
func (r *configurationRun) behind(version uint64) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.newest {
		if at <= version {
			n++
		}
	}
	return n
}
