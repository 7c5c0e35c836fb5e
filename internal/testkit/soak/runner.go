package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"quartzpoint/internal/testkit/faultnet"
	"quartzpoint/internal/testkit/harness"
)

const cpuWaitInterval = 40 * time.Millisecond

// server is one server of a soak run. Faults may replace its process.
type server struct {
	number int

	mu           sync.Mutex
	daemon       *harness.Daemon
	proxy        *faultnet.Proxy // between the process and its worker pool
	incarnation  *Incarnation
	incarnations int
	replacing    sync.Mutex // held by the fault that pauses or replaces the process
}

// current returns the address and incarnation of the running process; incarnation is nil if there is none.
func (s *server) current() (address string, incarnation *Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return "", nil
	}
	return s.daemon.Address, s.incarnation
}

// process returns the running process with its proxy and incarnation, which are nil if there is none.
func (s *server) process() (*harness.Daemon, *faultnet.Proxy, *Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return nil, nil, nil
	}
	return s.daemon, s.proxy, s.incarnation
}

// runner carries out one plan.
type runner struct {
	program     string
	dir         string // for the configuration files of the servers
	history     *History
	plan        *Plan
	servers     []*server
	dependency  *harness.HTTPDependency
	senderCount atomic.Int64 // senders created so far
}

// Run carries out a plan and returns its history. With an error it still returns what was recorded.
func Run(ctx context.Context, program, dir string, plan Plan) (*History, error) {
	h := &History{Plan: plan}
	r := &runner{program: program, dir: dir, history: h, plan: &h.Plan}
	var err error
	if r.dependency, err = harness.NewHTTPDependency(plan.Dependency.Slots, plan.Dependency.ServiceTime, plan.Dependency.Linger, plan.Dependency.MaxCalls, plan.Dependency.Window); err != nil {
		return h, err
	}
	defer func() { _ = r.dependency.Close() }()
	for number := range plan.Servers {
		s := &server{number: number}
		r.servers = append(r.servers, s)
		if err := r.start(s); err != nil {
			return h, errors.Join(err, r.shutdownAll())
		}
	}
	stopMonitors := make(chan struct{})
	go h.recordTimerLateness(stopMonitors)
	go r.recordCPUWaits(stopMonitors)
	defer close(stopMonitors)

	done := make(chan struct{})
	var senders, faults sync.WaitGroup
	for n := range plan.Servers * plan.Senders {
		number := r.nextSender()
		senders.Go(func() {
			newSender(h, r.servers[n%plan.Servers], number, plan.Seed<<16+int64(n)).run(done)
		})
	}
	faultErrs := make([]error, len(plan.Faults))
	start := time.Now()
	for n, fault := range plan.Faults {
		faults.Go(func() {
			if sleep(ctx, time.Until(start.Add(fault.At))) {
				faultErrs[n] = r.inject(ctx, fault, rand.New(rand.NewSource(plan.Seed+int64(n)+1)))
			}
		})
	}
	sleep(ctx, plan.Span)
	faults.Wait()
	err = r.shutdownAll() // senders send until all servers have ended
	close(done)
	senders.Wait()
	h.DependencyPeakLoad, h.Calls = r.dependency.PeakLoad()
	return h, errors.Join(append(faultErrs, err)...)
}

// recordCPUWaits samples the time that each process has waited for a core. It returns when done is closed.
func (r *runner) recordCPUWaits(done <-chan struct{}) {
	ticker := time.NewTicker(cpuWaitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, s := range r.servers {
			daemon, _, incarnation := s.process()
			if incarnation == nil {
				continue
			}
			total, err := harness.CPUWaitTime(daemon.LastPID())
			if err != nil {
				continue // the process has ended
			}
			r.history.update(func() { incarnation.CPUWaits = append(incarnation.CPUWaits, CPUWait{time.Now(), total}) })
		}
	}
}

// sleep waits until a span has passed or the context ends, and reports whether the span has passed.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// start starts the next process of a server, with a worker pool of its own.
func (r *runner) start(s *server) error {
	var proxy *faultnet.Proxy
	name := fmt.Sprintf("s%d-%d", s.number, s.incarnations)
	daemon, err := harness.Launch(r.program, nil, r.dir, name, r.plan.Machine, "", func(listen, pool, membership string) ([]byte, error) {
		var err error
		if proxy, err = faultnet.New(pool); err != nil {
			return nil, err
		}
		return r.plan.platformConfig(name, listen, proxy.Addr(), membership, r.dependency.Address)
	})
	if err != nil {
		return err
	}
	callingHandlers := map[string]bool{}
	for _, route := range r.plan.Routes {
		callingHandlers[route.Name] = route.Calls
	}
	if r.plan.HasCalls() {
		daemon.Workers.SetCallingHandlers(callingHandlers)
	}
	daemon.Workers.SetLoadLimit(r.plan.LoadLimit)
	incarnation := &Incarnation{Server: s.number, Number: s.incarnations}
	r.history.update(func() { r.history.Incarnations = append(r.history.Incarnations, incarnation) })
	s.mu.Lock()
	s.daemon, s.proxy, s.incarnation = daemon, proxy, incarnation
	s.incarnations++
	s.mu.Unlock()
	return nil
}

// recordEnd records the end of a process and closes its worker pool, membership service and proxy.
func (r *runner) recordEnd(s *server, exitCode int, killed bool) error {
	daemon, proxy, incarnation := s.process()
	s.mu.Lock()
	s.incarnation = nil
	s.mu.Unlock()
	peakLoad, runs, log := daemon.Workers.PeakLoad(), daemon.Workers.RunStarts(), daemon.Log()
	r.history.update(func() {
		incarnation.EndedAt, incarnation.ExitCode, incarnation.Killed = time.Now(), exitCode, killed
		incarnation.PeakLoad, incarnation.Runs, incarnation.Log = peakLoad, runs, log
	})
	return errors.Join(daemon.Stop(), proxy.Close())
}

// kill ends a process with SIGKILL, and closes its worker pool.
func (r *runner) kill(s *server) error {
	daemon, _, incarnation := s.process()
	r.history.update(func() { incarnation.KilledAt = time.Now() })
	if err := daemon.Crash(); err != nil {
		return err
	}
	return r.recordEnd(s, 0, true)
}

// shutdown shuts a process down gracefully, and kills it if it has not ended after Plan.KillAfter.
func (r *runner) shutdown(s *server) error {
	daemon, _, incarnation := s.process()
	r.history.update(func() { incarnation.NotifiedAt = time.Now() })
	exit, killed, err := daemon.ShutdownWithin(r.plan.KillAfter())
	return errors.Join(err, r.recordEnd(s, exit, killed)) // the end is recorded even after an error, so that the history contains the log of the process
}

// nextSender returns a number that no other sender has.
func (r *runner) nextSender() int { return int(r.senderCount.Add(1)) }

// shutdownAll shuts down all running processes at once.
func (r *runner) shutdownAll() error {
	errs := make([]error, len(r.servers))
	var running sync.WaitGroup
	for n, s := range r.servers {
		if _, _, incarnation := s.process(); incarnation == nil {
			continue
		}
		running.Go(func() { errs[n] = r.shutdown(s) })
	}
	running.Wait()
	return errors.Join(errs...)
}
