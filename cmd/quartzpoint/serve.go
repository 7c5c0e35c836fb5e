package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"quartzpoint/internal/config"
	"quartzpoint/internal/frontend"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/registration"
	"quartzpoint/internal/server"
	"quartzpoint/internal/workerlink"
)

const (
	heapPart  = 0.7 // of the memory that the runtime may take before it collects at any price
	minHeap   = 16  // MiB of that: it maps 12 without a heap to speak of, and near its limit it does nothing but collect
	collects  = 25  // percent that the heap grows between collections, where the least is more than the part
	linkShare = 16  // part of the memory, as a divisor, that commands to the pool may take
)

// serving is the command that serves.
type serving struct {
	Config string `name:"config" aliases:"own" placeholder:"FILE" help:"The product's own file (TOML). Without it all that is set there is off."`
}

// limitMemory has the runtime keep to its part of the memory. Of little memory that is less than it takes at rest; there
// a small heap is had by collecting early, and not by collecting without end.
func limitMemory(bytes int) {
	part := int64(float64(bytes) * heapPart)
	if part < minHeap<<20 {
		part = minHeap << 20
		debug.SetGCPercent(collects)
	}
	debug.SetMemoryLimit(part)
}

// Run serves until the notice to leave, and to the end of it.
func (cmd *serving) Run(log *slog.Logger) error {
	// Before all else: unheard, each of them ends the process. Parted, so that no row of SIGHUP crowds out the notice.
	notice, anew := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(anew, syscall.SIGHUP)
	s, err := told(os.Getenv("EDGE_CONFIG"))
	ours := &config.Config{}
	if cmd.Config != "" {
		read, fault := config.Read(cmd.Config)
		ours, err = read, errors.Join(err, fault)
	}
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(s.Limits.cores())
	limitMemory(s.Limits.memory())

	seed := int64(s.Seed)
	counts := invariant.New(log)
	bounds := s.bounds()
	bounds.DynamicTables = ours.Configuration != nil
	owner, err := server.New(s.settings, seed, bounds, counts, log)
	if err != nil {
		return err
	}
	reporter := registration.New(s.Name, s.Members, log)
	routers, err := frontend.Listen(s.Listen, owner, s.bounds(), counts, log)
	if err != nil {
		return err
	}
	link := workerlink.New(s.Pool, s.Limits.megabytes()<<20/linkShare, log, counts.Count, owner.Wake)
	owner.Attach(link, routers)
	calls := calling(s, owner, link, counts, log)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	manager, err := newLeaseManager(ours, seed, log)
	if err != nil {
		return fmt.Errorf("configuration file %s: %w", cmd.Config, err)
	}
	composer, err := startComposer(ctx, ours, s.Limits.megabytes()<<20, seed, owner, counts, log)
	if err != nil {
		return err
	}
	watcher, tables, err := newConfigWatcher(ours.Configuration, s.Name, s.Limits.memory(), owner, seed, log)
	if err != nil {
		return fmt.Errorf("configuration file %s: %w", cmd.Config, err)
	}
	defer tables.close()
	told := operatorAnswers{owner: owner, composer: composer, leaseManager: manager, watcher: watcher}
	if err := told.listen(ctx, ours.ControlSocket); err != nil {
		return err
	}
	var kept *statePersistence
	if ours.State != nil || ours.Peers != nil {
		if kept, err = openState(ours.State, owner, counts, log); err != nil {
			return err
		}
		defer kept.close()
	}
	exchanging, err := startPeerExchange(ctx, ours.Peers, owner, kept, seed, counts, log)
	if err != nil {
		return err
	}
	leaseCtx, giveUp := context.WithCancel(ctx) // at the notice to leave, duties are given up first
	if manager != nil {
		exchanging.server.SetVoteHandler(manager.HandleVote)
		go manager.Run(leaseCtx)
	}
	if watcher != nil {
		go watcher.Run(ctx)
	}
	go reporter.Run(ctx, registration.ReportInterval)
	go link.Run(ctx)
	failed := make(chan error, 1)
	go func() {
		if err := routers.Serve(); err != nil {
			failed <- err
		}
	}()
	log.Info("serving", "name", s.Name, "listen", s.Listen, "pool", s.Pool, "members", s.Members,
		"cores", s.Limits.Cores, "memory_mb", s.Limits.MemoryMB, "sockets", s.Limits.Sockets)
	var stop atomic.Int64 // nanoseconds, as stated last
	stop.Store(int64(s.Stop))
	// One goroutine each: the notice must not wait until a new configuration has been read, as the stop does not.
	go func() {
		for range anew {
			s = s.again(link, calls, reporter, owner, log)
			stop.Store(int64(s.Stop))
			exchanging.reloadKeys(log)
		}
	}()
	ended := make(chan error, 1) // why it left without a notice, nil with one
	go func() {
		var why error
		select {
		case <-notice:
		case why = <-failed: // what was read is still answered
			log.Error("no more connections, leaving", "error", why)
		}
		ended <- why
		giveUp()
		reporter.SetDraining()
		owner.Drain(time.Duration(stop.Load()))
	}()
	owner.Run()
	counts.Report()
	return <-ended
}
