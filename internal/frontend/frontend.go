// Package frontend serves routers over a netpoll listener. It parses the frames of their connections, passes requests
// to a server's event loop and writes the answers.
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
	queueMemoryDivisor = 8  // unwritten answers take at most the program's memory divided by this
	readAheadDivisor   = 32 // unparsed input of all connections has at most that memory divided by this
	partialDivisor     = 16 // incomplete frames of all connections take at most that memory divided by this
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection. It holds more than all the requests
	// that a router may have open, and bounds a single read.
	receiveBufferBytes = 128 << 10
)

// Frontend is a listener and the connections that routers opened to it. It belongs to the server's event loop. Serve
// and the callbacks that run on netpoll's poller use only its atomic fields and the fields that Listen sets.
type Frontend struct {
	server    *server.Server
	counters  *invariant.Counters
	log       *slog.Logger
	listener  netpoll.Listener
	eventLoop netpoll.EventLoop

	// Limits.
	maxConns        int
	maxOverLimit    int // connections beyond maxConns, accepted while all others are in use
	maxUnjoined     int // connections that are accepted and have not yet joined the event loop
	maxQueuedBytes  int // of all connections' write queues
	maxPartialBytes int // of all connections' incomplete frames
	readAhead       *readAhead
	idleTimeout     time.Duration
	routersCancel   bool // routers send a cancellation once nobody waits for a request any longer

	conns             []*conn
	unflushed         []*conn
	queuedBytes       int // in all connections' write queues
	partialBytes      int // of all connections' incomplete frames
	timeoutsCheckedAt time.Duration

	// A connection is counted as accepted before it leaves the listener, and as joined once the event loop has kept or
	// refused it.
	acceptedCount   atomic.Int64
	joinedCount     atomic.Int64
	closingCount    atomic.Int64 // connections that this side has ended and the poller has not closed yet
	evictionPending atomic.Bool  // a submitted function that evicts a connection has not run yet

	draining     bool
	stopping     atomic.Bool // same as draining, for Serve's goroutine
	listenerShut bool        // the listener was asked to accept no more connections
	shutFailed   bool        // shutting it down failed, so it still accepts connections
}

// Listen returns a front end that listens at address. It accepts connections once Serve is called.
func Listen(address string, s *server.Server, limits server.Limits, counters *invariant.Counters, log *slog.Logger) (
	*Frontend, error,
) {
	listener, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	f := &Frontend{
		server: s, counters: counters, log: log,
		maxQueuedBytes:  limits.MemoryMB << 20 / queueMemoryDivisor,
		maxPartialBytes: limits.MemoryMB << 20 / partialDivisor,
		readAhead:       newReadAhead(limits.MemoryMB<<20/readAheadDivisor, s.Ended()),
		routersCancel:   s.RoutersReportCancel(),
	}
	f.maxConns, f.maxOverLimit, f.maxUnjoined = splitSockets(socketLimit(limits.Sockets))
	if err := poller.SetReceiveBuffer(listener, receiveBufferBytes); err != nil {
		log.Warn("receive buffers keep the system's size", "error", err)
	}
	f.listener = &countingListener{listener, f}
	f.eventLoop, err = netpoll.NewEventLoop(onReadable, netpoll.WithOnPrepare(f.prepare))
	if err != nil {
		return nil, fmt.Errorf("create netpoll event loop: %w", err)
	}
	return f, nil
}

// Serve accepts connections until StopAccepting is called. It blocks, so it needs a goroutine of its own.
func (f *Frontend) Serve() error {
	if err := f.eventLoop.Serve(f.listener); err != nil && !f.stopping.Load() {
		return fmt.Errorf("serve routers: %w", err)
	}
	return nil
}

// Address returns the address at which the front end listens.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// remove removes a connection from the list of connections.
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

// OpenConnections returns the number of connections, including those that are being closed.
func (f *Frontend) OpenConnections() int { return len(f.conns) }

// SetIdleTimeout sets how long a connection may carry no traffic before it is drained.
func (f *Frontend) SetIdleTimeout(timeout time.Duration) { f.idleTimeout = timeout }

// Flush writes answers, and checks the connections' timeouts if that is due. It checks them after writing, as a
// connection whose last request was answered in this round is idle only once that answer was sent. written reports
// whether all answers were written.
func (f *Frontend) Flush() (written bool) {
	remaining := f.unflushed[:0]
	for _, c := range f.unflushed {
		if c.flush() {
			c.unflushed = false
			c.shutWrite()
		} else {
			remaining = append(remaining, c)
		}
	}
	clear(f.unflushed[len(remaining):])
	f.unflushed = remaining
	f.shutListener()
	f.checkTimeoutsWhenDue(f.server.Now())
	return len(f.unflushed) == 0
}

// checkTimeoutsWhenDue calls checkTimeouts once per period.
func (f *Frontend) checkTimeoutsWhenDue(now time.Duration) {
	period := timeoutCheckPeriod
	if f.draining {
		period = drainTimeoutCheckPeriod
	}
	if now >= f.timeoutsCheckedAt+period {
		f.timeoutsCheckedAt = now
		f.checkTimeouts(now)
	}
}

// failLongestPartial fails the connection with the longest incomplete frame.
func (f *Frontend) failLongestPartial() {
	var longest *conn
	for _, c := range f.conns {
		if longest == nil || c.partialSize > longest.partialSize {
			longest = c
		}
	}
	if longest != nil && longest.partialSize > 0 {
		longest.fail("too many incomplete frames")
	}
}

// cutOffLargestQueue cuts off the peer with the most queued bytes: a peer that reads has almost none.
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
