package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"syscall"
	"time"

	"quartzpoint/internal/testkit/faultnet"
	"quartzpoint/internal/testkit/harness"
)

const (
	restartWait  = 150 * time.Millisecond // from the end of a process to the start of the next
	linkCutEvery = 60 * time.Millisecond
	reloadEvery  = 30 * time.Millisecond
	garbageEvery = 10 * time.Millisecond
	crowdStays   = 2 * time.Second
	starvedEvery = 40 * time.Millisecond
)

// slot is the place of one server, whose process may change.
type slot struct {
	number int

	mu      sync.Mutex
	daemon  *harness.Daemon
	proxy   *faultnet.Proxy // between the process and its pool
	life    *Life
	lives   int
	healing sync.Mutex // one fault at a time replaces the process
}

// current is where the server's process listens, and its life; nil while there is none.
func (s *slot) current() (address string, life *Life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return "", nil
	}
	return s.daemon.Address, s.life
}

// process is what runs at a slot now; nil while nothing does.
func (s *slot) process() (*harness.Daemon, *faultnet.Proxy, *Life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return nil, nil, nil
	}
	return s.daemon, s.proxy, s.life
}

// player plays one run.
type player struct {
	program string
	folder  string
	history *History
	plan    *Plan
	slots   []*slot
	shared  *harness.HTTPDependency
}

// Play plays a run and gives what was recorded.
func Play(ctx context.Context, program, folder string, plan Plan) (*History, error) {
	h := &History{Plan: plan}
	p := &player{program: program, folder: folder, history: h, plan: &h.Plan}
	var err error
	if p.shared, err = harness.NewHTTPDependency(plan.Shared.Slots, plan.Shared.Took, plan.Shared.Linger, plan.Shared.Survives, plan.Shared.Over); err != nil {
		return h, err
	}
	defer p.shared.Close()
	for number := range plan.Servers {
		s := &slot{number: number}
		p.slots = append(p.slots, s)
		if err := p.start(s); err != nil {
			return h, errors.Join(err, p.end())
		}
	}
	watched := make(chan struct{})
	go h.watchLateness(watched)
	go p.watchStarvation(watched)
	defer close(watched)

	done := make(chan struct{})
	var senders, faults sync.WaitGroup
	for n := range plan.Servers * plan.Senders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			newSender(h, p.slots[n%plan.Servers], n+1, plan.Seed<<16+int64(n)).run(done)
		}()
	}
	failed := make([]error, len(plan.Faults))
	begin := time.Now()
	for n, fault := range plan.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			if sleep(ctx, time.Until(begin.Add(fault.At))) {
				failed[n] = p.inject(ctx, fault, rand.New(rand.NewSource(plan.Seed+int64(n)+1)))
			}
		}()
	}
	sleep(ctx, plan.Span)
	faults.Wait()
	err = p.end() // clients send until the end
	close(done)
	senders.Wait()
	h.Calls, h.CallsIn = p.shared.Strain()
	return h, errors.Join(append(failed, err)...)
}

// watchStarvation books how long each process has waited for a core, until done is closed.
func (p *player) watchStarvation(done <-chan struct{}) {
	ticker := time.NewTicker(starvedEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, s := range p.slots {
			daemon, _, life := s.process()
			if life == nil {
				continue
			}
			total, err := harness.CPUWaitTime(daemon.ProcessID())
			if err != nil {
				continue // it has ended
			}
			p.history.change(func() { life.Starved = append(life.Starved, Wait{time.Now(), total}) })
		}
	}
}

// sleep waits, and tells whether it was not ended before.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// start starts the next process of a slot, with a pool of its own.
func (p *player) start(s *slot) error {
	var proxy *faultnet.Proxy
	name := fmt.Sprintf("s%d-%d", s.number, s.lives)
	daemon, err := harness.Launch(p.program, nil, p.folder, name, p.plan.Machine, "", func(listen, pool, members string) ([]byte, error) {
		var err error
		if proxy, err = faultnet.New(pool); err != nil {
			return nil, err
		}
		return p.plan.configuration(name, listen, proxy.Addr(), members, p.shared.Address)
	})
	if err != nil {
		return err
	}
	calling := map[string]bool{}
	for _, c := range p.plan.Classes {
		calling[c.Name] = c.Calls
	}
	if p.plan.Calls() {
		daemon.Workers.SetCallingHandlers(calling)
	}
	daemon.Workers.SetEndurance(p.plan.Endurance)
	life := &Life{Server: s.number, Number: s.lives}
	p.history.change(func() { p.history.Lives = append(p.history.Lives, life) })
	s.mu.Lock()
	s.daemon, s.proxy, s.life = daemon, proxy, life
	s.lives++
	s.mu.Unlock()
	return nil
}

// close books the end of a process and ends what stood round it.
func (p *player) close(s *slot, exit int, byKill bool) error {
	daemon, proxy, life := s.process()
	s.mu.Lock()
	s.life = nil
	s.mu.Unlock()
	strain, runs, log := daemon.Workers.Strain(), daemon.Workers.RunStarts(), daemon.Log()
	p.history.change(func() {
		life.Ended, life.Exit, life.ByKill = time.Now(), exit, byKill
		life.Strain, life.Runs, life.Log = strain, runs, log
	})
	err := daemon.Stop()
	proxy.Close()
	return err
}

// kill ends a process and its pool as a crash does.
func (p *player) kill(s *slot) error {
	daemon, _, life := s.process()
	p.history.change(func() { life.Killed = time.Now() })
	if err := daemon.Crash(); err != nil {
		return err
	}
	return p.close(s, 0, true)
}

// leave has a process leave, and kills it at the earliest that is allowed.
func (p *player) leave(s *slot) error {
	daemon, _, life := s.process()
	p.history.change(func() { life.Notice = time.Now() })
	exit, killed, err := daemon.ShutdownWithin(p.plan.KillAfter())
	if err != nil {
		return err
	}
	return p.close(s, exit, killed)
}

// end has all processes leave.
func (p *player) end() error {
	failed := make([]error, len(p.slots))
	var over sync.WaitGroup
	for n, s := range p.slots {
		if _, _, life := s.process(); life == nil {
			continue
		}
		over.Add(1)
		go func() {
			defer over.Done()
			failed[n] = p.leave(s)
		}()
	}
	over.Wait()
	return errors.Join(failed...)
}

// inject has a fault happen, to its end. A server whose process is being replaced has none to be hurt.
func (p *player) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	s := p.slots[f.Server]
	daemon, proxy, life := s.process()
	if life == nil {
		return nil
	}
	until := time.Now().Add(f.For)
	switch f.Kind {
	case Hang:
		daemon.Workers.SetHung(true)
		sleep(ctx, f.For)
		daemon.Workers.SetHung(false)
	case Slow:
		daemon.Workers.Update(func(m *harness.Machine) { m.Speed = p.plan.Machine.Speed / f.Size })
		sleep(ctx, f.For)
		daemon.Workers.Update(func(m *harness.Machine) { m.Speed = p.plan.Machine.Speed })
	case CutLink:
		for time.Now().Before(until) {
			proxy.Cut()
			proxy.Heal()
			sleep(ctx, linkCutEvery)
		}
	case StallLink:
		proxy.Stall(faultnet.Up)
		sleep(ctx, f.For/4)
		proxy.Cut()
		proxy.Heal()
	case StopServer:
		return p.stop(ctx, s, f.For)
	case Kill:
		return p.replace(ctx, s, p.kill)
	case Roll:
		return p.replace(ctx, s, p.leave)
	case Reload:
		for time.Now().Before(until) {
			if daemon.Signal(syscall.SIGHUP) != nil {
				return nil // it has ended meanwhile
			}
			sleep(ctx, reloadEvery)
		}
	case SlowCalls:
		p.shared.SetSlowFactor(f.Size)
		sleep(ctx, f.For)
		p.shared.SetSlowFactor(1)
	case ShutCalls:
		p.shared.SetUnresponsive(true)
		sleep(ctx, f.For)
		p.shared.SetUnresponsive(false)
	case Crowd:
		crowd(ctx, daemon.Address, int(f.Size))
	case Garbage:
		for time.Now().Before(until) {
			garbage(daemon.Address, rng)
			sleep(ctx, garbageEvery)
		}
	}
	return nil
}

// stop has a process stand still; its pool works on.
func (p *player) stop(ctx context.Context, s *slot, span time.Duration) error {
	if !s.healing.TryLock() {
		return nil
	}
	defer s.healing.Unlock()
	daemon, _, life := s.process()
	if life == nil {
		return nil
	}
	from := time.Now()
	if err := daemon.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stopping server %d: %w", s.number, err)
	}
	sleep(ctx, span)
	err := daemon.Signal(syscall.SIGCONT)
	p.history.change(func() { life.Stopped = append(life.Stopped, Span{from, time.Now()}) })
	return err
}

// replace ends the process of a slot, and starts the next.
func (p *player) replace(ctx context.Context, s *slot, end func(*slot) error) error {
	if !s.healing.TryLock() {
		return nil
	}
	defer s.healing.Unlock()
	if _, _, life := s.process(); life == nil {
		return nil
	}
	if err := end(s); err != nil {
		return err
	}
	sleep(ctx, restartWait)
	return p.start(s)
}

// crowd opens connections that say nothing, and keeps them for a while.
func crowd(ctx context.Context, address string, count int) {
	var open []net.Conn
	for range count {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			open = append(open, c)
		}
	}
	sleep(ctx, crowdStays)
	for _, c := range open {
		c.Close()
	}
}

// garbage is one bad client: what can't be read, a frame that is too long, or the beginning of a request.
func garbage(address string, rng *rand.Rand) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	whole := harness.Frame(10, 1, "body", "op", "class-0", "call", fmt.Sprintf("%016x", rng.Uint64()), "ttl", "-1")
	texts := [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 10}, whole[:1+rng.Intn(len(whole)-1)], whole}
	_, _ = c.Write(texts[rng.Intn(len(texts))])
}
