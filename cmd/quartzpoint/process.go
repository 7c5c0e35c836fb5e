package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/dependency"
	"quartzpoint/internal/frontend"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/leasing"
	"quartzpoint/internal/registration"
	"quartzpoint/internal/server"
	"quartzpoint/internal/workerlink"
)

// linkMemoryDivisor divides the program's memory; the quotient is the maximum size of the commands queued for the
// worker pool.
const linkMemoryDivisor = 16

// process is a serving process: the event loop and the components around it that read, write and run requests.
type process struct {
	platform platformConfig
	file     *config.Config // the product's own configuration file; empty without one
	log      *slog.Logger
	counters *invariant.Counters

	server     *server.Server
	frontend   *frontend.Frontend
	link       *workerlink.Link
	dependency *dependency.Caller // nil without one
	reporter   *registration.Reporter

	// Configured by file.
	leaseManager *leasing.Manager     // nil without [lease]
	watcher      *configwatch.Watcher // nil without [configuration]
	tableUpdater *tableUpdater        // nil without [configuration]
	state        *statePersistence    // nil with neither [state] nor [peers]
	peers        *peerExchange        // not nil once the services have started; without [peers] it exchanges nothing
}

// newProcess builds the event loop, its front end and its worker link. It starts to listen for routers, but serves
// nothing yet.
func newProcess(platform platformConfig, file *config.Config, log *slog.Logger) (*process, error) {
	p := &process{platform: platform, file: file, log: log, counters: invariant.New(log)}
	limits := platform.serverLimits()
	limits.DynamicTables = file.Configuration != nil
	var err error
	if p.server, err = server.New(platform.settings, p.seed(), limits, p.counters, log); err != nil {
		return nil, err
	}
	p.reporter = registration.New(platform.Name, platform.MembershipAddress, log)
	if p.frontend, err = frontend.Listen(platform.Listen, p.server, limits, p.counters, log); err != nil {
		return nil, err
	}
	maxQueuedBytes := platform.Limits.memoryMB() << 20 / linkMemoryDivisor
	p.link = workerlink.New(platform.PoolAddress, maxQueuedBytes, log, p.counters.Count, p.server.Wake)
	p.server.Attach(p.link, p.frontend)
	p.dependency = p.newDependencyCaller()
	return p, nil
}

func (p *process) seed() int64 { return int64(p.platform.Seed) }

// newDependencyCaller creates the caller of the dependency that the configuration names, and attaches it to the server.
// Without a dependency it returns nil, and requests of routes that call one are rejected.
func (p *process) newDependencyCaller() *dependency.Caller {
	if unserved := p.server.UnservedRoutes(); len(unserved) > 0 {
		p.log.Warn("routes that call a dependency are rejected because the configuration names none", "types", unserved)
	}
	if p.platform.DependencyAddress == "" {
		return nil
	}
	caller := dependency.New(p.platform.DependencyAddress, p.platform.callSockets(), p.log, p.counters.Count, p.server.HandleCallEnd)
	p.server.SetDependency(caller, p.link)
	return caller
}

// startServices starts the services that the product's own file configures. path is the file's path, for errors. All of
// them end with ctx or close.
func (p *process) startServices(ctx context.Context, path string) (err error) {
	memoryMB := p.platform.Limits.memoryMB()
	if p.leaseManager, err = newLeaseManager(p.file, p.seed(), p.log); err != nil {
		return fmt.Errorf("configuration file %s: %w", path, err)
	}
	composer, err := startComposer(ctx, p.file, memoryMB<<20, p.seed(), p.server, p.counters, p.log)
	if err != nil {
		return err
	}
	p.watcher, p.tableUpdater, err = newConfigWatcher(
		p.file.Configuration, p.platform.Name, p.platform.Limits.memoryBytes(), p.server, p.seed(), p.log)
	if err != nil {
		return fmt.Errorf("configuration file %s: %w", path, err)
	}
	control := controlHandler{server: p.server, composer: composer, leaseManager: p.leaseManager, watcher: p.watcher}
	if err := control.listen(ctx, p.file.ControlSocket); err != nil {
		return err
	}
	if p.file.State != nil || p.file.Peers != nil {
		if p.state, err = openState(p.file.State, p.server, p.counters, p.log); err != nil {
			return err
		}
	}
	p.peers, err = startPeerExchange(ctx, p.file.Peers, p.server, p.state, p.seed(), p.counters, p.log)
	return err
}

// close closes the stores, in the reverse order of their opening.
func (p *process) close() {
	if p.state != nil {
		p.state.close()
	}
	p.tableUpdater.close()
}

// serve serves until a stop signal arrives or the front end fails, and returns after the drain. It returns the front
// end's error.
func (p *process) serve(ctx context.Context, signals stopSignals) error {
	leaseCtx, releaseLeases := context.WithCancel(ctx)
	if p.leaseManager != nil {
		p.peers.server.SetVoteHandler(p.leaseManager.HandleVote)
		go p.leaseManager.Run(leaseCtx)
	}
	var watch *backgroundTask
	if p.watcher != nil {
		watch = startTask(ctx, p.watcher.Run)
	}
	go p.reporter.Run(ctx, registration.ReportInterval)
	go p.link.Run(ctx)
	failed := make(chan error, 1)
	go func() {
		if err := p.frontend.Serve(); err != nil {
			failed <- err
		}
	}()
	p.log.Info("serving", "name", p.platform.Name, "listen", p.platform.Listen, "pool", p.platform.PoolAddress,
		"members", p.platform.MembershipAddress, "cores", p.platform.Limits.Cores, "memory_mb", p.platform.Limits.MemoryMB,
		"sockets", p.platform.Limits.Sockets)
	var stopWithin atomic.Int64 // nanoseconds, of the configuration in force
	stopWithin.Store(int64(p.platform.StopWithin))
	// Reload and stop have a goroutine each: a stop must not wait until a new configuration has been read.
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals.reload:
				p.reloadPlatformConfig()
				stopWithin.Store(int64(p.platform.StopWithin))
				p.peers.reloadKeys(p.log)
			}
		}
	}()
	result := make(chan error, 1) // nil after a stop signal
	go func() {
		var err error
		select {
		case <-signals.stop:
		case err = <-failed: // requests already read are still answered
			p.log.Error("listener failed, draining", "error", err)
		}
		result <- err
		releaseLeases() // first, as this server must no longer act under its leases; others get them only once they have expired
		watch.stop()    // early, so that its writes are on disk long before the store is closed
		p.reporter.SetDraining()
		p.server.Drain(time.Duration(stopWithin.Load()))
	}()
	p.server.Run()
	if !watch.wait(watchStopTimeout) {
		p.log.Warn("configuration: the watch had not ended when the drain did", "waited", watchStopTimeout)
	}
	p.counters.Report()
	return <-result
}
