// Package frontend serves routers: a listener and its connections, on netpoll. It reads frames, hands requests to the event
// loop of a server, and writes the answers.
package frontend

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/poller"
	"quartzpoint/internal/server"
)

const (
	queueMemoryDivisor = 8  // unread answers take at most this part of the program's memory
	readAheadDivisor   = 32 // what one connection has sent ahead of its reading takes at most this part
)

// Frontend is a listener and the connections of routers. It belongs to the server's event loop, but for netpoll's callbacks,
// which run on netpoll's poller.
type Frontend struct {
	server    *server.Server
	counters  *invariant.Counters
	log       *slog.Logger
	listener  netpoll.Listener
	eventLoop netpoll.EventLoop

	// Limits.
	maxConns       int
	maxOverLimit   int // connections beyond those, where all are in use
	maxUnjoined    int // connections that were accepted and have had no turn on the event loop
	maxQueuedBytes int // that peers have yet to read
	maxReadAhead   int // bytes that one connection may have sent ahead of its reading
	idleTimeout    time.Duration
	routersCancel  bool // routers report that nobody waits for a request any longer

	conns       []*conn
	unflushed   []*conn
	queuedBytes int // that peers have yet to read
	sweptAt     time.Duration

	// A connection is counted as accepted before it leaves the listener, and as joined in its first turn on the event loop.
	acceptedCount atomic.Int64
	joinedCount   atomic.Int64
	makingRoom    atomic.Bool // in a turn that is to come

	draining     bool
	stopping     atomic.Bool // the same, for Serve
	listenerShut bool        // the listener was told to accept nothing more
	shutFailed   bool        // and accepts all the same
}

// Listen makes a front end that listens at an address. Connections are accepted once it serves.
func Listen(address string, s *server.Server, limits server.Limits, counters *invariant.Counters, log *slog.Logger) (
	*Frontend, error,
) {
	listener, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	f := &Frontend{
		server: s, counters: counters, log: log,
		maxQueuedBytes: limits.MemoryMB << 20 / queueMemoryDivisor,
		maxReadAhead:   limits.MemoryMB << 20 / readAheadDivisor,
		routersCancel:  s.RoutersReportCancel(),
	}
	f.maxConns, f.maxOverLimit, f.maxUnjoined = splitSockets(socketLimit(limits.Sockets))
	f.listener = &countingListener{listener, f}
	f.eventLoop, err = netpoll.NewEventLoop(onReadable, netpoll.WithOnPrepare(f.prepare), poller.OnRegistered(closerOf))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return f, nil
}

// Serve accepts connections until StopAccepting. It is for a goroutine of its own.
func (f *Frontend) Serve() error {
	if err := f.eventLoop.Serve(f.listener); err != nil && !f.stopping.Load() {
		return fmt.Errorf("serving routers: %w", err)
	}
	return nil
}

// Address is the address that the front end listens at.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// remove forgets a connection.
func (f *Frontend) remove(c *conn) {
	for i, other := range f.conns {
		if other == c {
			f.conns[i] = f.conns[len(f.conns)-1]
			f.conns[len(f.conns)-1] = nil
			f.conns = f.conns[:len(f.conns)-1]
			return
		}
	}
}

// OpenConnections is the number of connections.
func (f *Frontend) OpenConnections() int { return len(f.conns) }

// CloseIdle sets for how long a connection may carry nothing.
func (f *Frontend) CloseIdle(timeout time.Duration) { f.idleTimeout = timeout }

// Flush writes answers, and now and then looks for idle connections: behind the writing, as a connection whose last request
// was answered in this round is idle only once that answer was sent. written is whether peers have read all.
func (f *Frontend) Flush() (written bool) {
	left := f.unflushed[:0]
	for _, c := range f.unflushed {
		if c.flush() {
			c.unflushed = false
			c.shutWrite()
		} else {
			left = append(left, c)
		}
	}
	clear(f.unflushed[len(left):])
	f.unflushed = left
	f.shutListener()
	f.sweepWhenDue(f.server.Now())
	return len(f.unflushed) == 0
}

// sweepWhenDue sweeps once in a period.
func (f *Frontend) sweepWhenDue(now time.Duration) {
	period := sweepPeriod
	if f.draining {
		period = drainSweepPeriod
	}
	if now >= f.sweptAt+period {
		f.sweptAt = now
		f.sweep(now)
	}
}

// cutOffLargestQueue cuts off the peer with the most unread bytes, as one that reads has next to none.
func (f *Frontend) cutOffLargestQueue() {
	var largest *conn
	for _, c := range f.conns {
		if !c.dead && (largest == nil || c.out.Size() > largest.out.Size()) {
			largest = c
		}
	}
	if largest != nil {
		largest.cutOff(reasonNotReading)
	}
}
