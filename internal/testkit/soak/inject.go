package soak

import (
	"context"
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
	restartDelay        = 150 * time.Millisecond // between the end of a process and the start of the next
	linkCutInterval     = 60 * time.Millisecond
	reloadInterval      = 30 * time.Millisecond
	garbageInterval     = 10 * time.Millisecond
	maxSignalInterval   = 250 * time.Millisecond
	idleConnectionsTime = 2 * time.Second
)

// inject carries out a fault, and returns at its end. It skips a fault of a server without a running process.
func (r *runner) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	s := r.servers[f.Server]
	daemon, proxy, incarnation := s.process()
	if incarnation == nil {
		return nil
	}
	until := time.Now().Add(f.Duration)
	switch f.Kind {
	case Hang:
		daemon.Workers.SetHung(true)
		sleep(ctx, f.Duration)
		daemon.Workers.SetHung(false)
	case Slow:
		daemon.Workers.Update(func(m *harness.Machine) { m.Speed = r.plan.Machine.Speed / f.Size })
		sleep(ctx, f.Duration)
		daemon.Workers.Update(func(m *harness.Machine) { m.Speed = r.plan.Machine.Speed })
	case CutLink:
		for time.Now().Before(until) {
			proxy.Cut()
			proxy.Heal()
			sleep(ctx, linkCutInterval)
		}
	case StallLink:
		proxy.Stall(faultnet.Up)
		sleep(ctx, f.Duration/4)
		proxy.Cut()
		proxy.Heal()
	case PauseServer:
		return r.pause(ctx, s, f.Duration)
	case Kill:
		return r.replace(ctx, s, r.kill)
	case GracefulRestart:
		return r.replace(ctx, s, r.shutdown)
	case Reload:
		for time.Now().Before(until) {
			if daemon.Signal(syscall.SIGHUP) != nil {
				return nil // the process has ended
			}
			sleep(ctx, reloadInterval)
		}
	case SlowCalls:
		r.dependency.SetSlowFactor(f.Size)
		sleep(ctx, f.Duration)
		r.dependency.SetSlowFactor(1)
	case UnresponsiveCalls:
		r.dependency.SetUnresponsive(true)
		sleep(ctx, f.Duration)
		r.dependency.SetUnresponsive(false)
	case IdleConnections:
		openIdleConnections(ctx, daemon.Address, int(f.Size))
	case SignalSeries:
		return r.replace(ctx, s, func(s *server) error { return r.shutdownUnderSignals(s, rng) })
	case Burst:
		r.burst(s, int(f.Size), rng)
	case Garbage:
		for time.Now().Before(until) {
			sendGarbage(daemon.Address, rng)
			sleep(ctx, garbageInterval)
		}
	}
	return nil
}

// pause pauses a process for a span. Its worker pool continues. It does nothing if another fault pauses or replaces the
// process.
func (r *runner) pause(ctx context.Context, s *server, span time.Duration) error {
	if !s.replacing.TryLock() {
		return nil
	}
	defer s.replacing.Unlock()
	daemon, _, incarnation := s.process()
	if incarnation == nil {
		return nil
	}
	from := time.Now()
	if err := daemon.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause server %d: %w", s.number, err)
	}
	sleep(ctx, span)
	err := daemon.Signal(syscall.SIGCONT)
	r.history.update(func() { incarnation.Pauses = append(incarnation.Pauses, Span{from, time.Now()}) })
	return err
}

// replace ends the process of a server with end and starts the next. It does nothing if another fault pauses or replaces
// the process.
func (r *runner) replace(ctx context.Context, s *server, end func(*server) error) error {
	if !s.replacing.TryLock() {
		return nil
	}
	defer s.replacing.Unlock()
	if _, _, incarnation := s.process(); incarnation == nil {
		return nil
	}
	if err := end(s); err != nil {
		return err
	}
	sleep(ctx, restartDelay)
	return r.start(s)
}

// shutdownUnderSignals shuts a process down amid further signals: up to three SIGHUPs before the notice, then SIGHUP
// and SIGTERM in turn until the process has ended.
func (r *runner) shutdownUnderSignals(s *server, rng *rand.Rand) error {
	daemon, _, _ := s.process()
	for range rng.Intn(4) {
		_ = daemon.Signal(syscall.SIGHUP)
	}
	ended := make(chan struct{})
	var signals sync.WaitGroup
	signals.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(between(rng, 0, maxSignalInterval)):
			}
			_ = daemon.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[n%2]) // an error means that the process has ended
		}
	})
	err := r.shutdown(s)
	close(ended)
	signals.Wait()
	return err
}

// burst sends burstRequests requests on each of a number of connections at once, and waits until they are answered or
// past their deadlines.
func (r *runner) burst(s *server, connections int, rng *rand.Rand) {
	var senders sync.WaitGroup
	for range connections {
		burstSender := newSender(r.history, s, r.nextSender(), rng.Int63())
		burstSender.slow = false
		senders.Go(func() {
			defer burstSender.readers.Wait()
			c := burstSender.dial()
			if c == nil {
				return
			}
			for range burstRequests {
				burstSender.send(c)
			}
			burstSender.closeWhenAnswered(c)
		})
	}
	senders.Wait()
}

// openIdleConnections opens connections, sends nothing on them and closes them after idleConnectionsTime.
func openIdleConnections(ctx context.Context, address string, count int) {
	var open []net.Conn
	for range count {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			open = append(open, c)
		}
	}
	sleep(ctx, idleConnectionsTime)
	for _, c := range open {
		_ = c.Close()
	}
}

// sendGarbage opens a connection and sends invalid data: bytes that are not a frame, the head of a frame that is too
// long, a part of a request, or a request with an invalid field.
func sendGarbage(address string, rng *rand.Rand) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	request := harness.Frame(harness.FrameRequest, 1, "body", "op", "class-0", "call", fmt.Sprintf("%016x", rng.Uint64()), "ttl", "-1")
	messages := [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 10}, request[:1+rng.Intn(len(request)-1)], request}
	_, _ = c.Write(messages[rng.Intn(len(messages))])
}
