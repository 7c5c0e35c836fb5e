package frontend

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/events"
	"quartzpoint/internal/frame"
	"quartzpoint/internal/poller"
	"quartzpoint/internal/server"
	"quartzpoint/internal/writequeue"
)

const (
	maxOpenRequests = 32          // per connection
	maxAnswerBytes  = 4<<10 + 256 // a result of 4 KiB, with the frame's head and fields
)

// connKey is the context key of a connection.
type connKey struct{}

// conn is one connection of a router. It belongs to the event loop, except for the fields that mu guards.
type conn struct {
	frontend  *Frontend
	transport netpoll.Connection

	mu            sync.Mutex
	fd            int
	closed        bool // fd may already refer to another file
	halfClosed    bool // the peer has ended its side, netpoll has released the connection, and fd is our own duplicate
	closedLocally bool // this side closed the connection, not the peer

	received poller.Received // not parsed yet

	// Reading.
	requests     map[uint32]*server.Request // open requests by stream; no value is nil
	lastStream   uint32                     // highest stream used; streams increase from 1, so no list of used ones is needed
	partial      []byte                     // the beginning of an incomplete frame
	partialSize  int                        // bytes by which partial counts in the front end
	skipBytes    int                        // bytes of a frame that is too long, still to be received and skipped
	sawFrame     bool                       // a valid frame was received: a health check or an accepted request
	frameBegunAt time.Duration              // time at which the incomplete frame began, 0 without one

	// Writing.
	out       *writequeue.Queue
	unflushed bool // the connection is in the front end's list of unflushed ones

	// Closing.
	overLimit  bool // accepted while all others were in use
	draining   bool // the router was asked to send no new request
	broken     bool // no more input is parsed; open requests are still answered
	writeShut  bool // writing was shut down, by which the router learns that no more answers follow
	dead       bool // closed, or to be closed as soon as netpoll allows it
	openedAt   time.Duration
	activeAt   time.Duration // time of the last complete frame, write, drain, failure or half-close
	drainingAt time.Duration // time at which draining began
}

func newConn(f *Frontend, transport netpoll.Connection) *conn {
	return &conn{
		frontend: f, transport: transport, fd: transport.(netpoll.Conn).Fd(),
		requests: map[uint32]*server.Request{}, out: writequeue.New(maxOpenRequests * maxAnswerBytes),
		openedAt: f.server.Now(), activeAt: f.server.Now(),
	}
}

// join adds the connection to its front end, on the event loop.
func (c *conn) join() { c.frontend.join(c) }

// onClosed is netpoll's callback for the end of a connection. It runs on the goroutine that noticed the end, before the
// descriptor is closed and possibly reused for another file.
func (c *conn) onClosed(netpoll.Connection) error {
	c.mu.Lock()
	c.halfClosed = !c.closedLocally && c.duplicateDescriptor()
	c.closed = !c.halfClosed
	if c.closedLocally {
		c.frontend.closingCount.Add(-1)
	}
	half := c.halfClosed
	c.mu.Unlock()
	if half {
		c.frontend.server.Submit(c.handleHalfClose)
	} else {
		c.frontend.server.Submit(c.handleClosed)
	}
	return nil
}

// handleClosed removes a closed connection and cancels its open requests, as nobody waits for them any longer.
func (c *conn) handleClosed() {
	c.mu.Lock()
	if c.halfClosed && !c.closed {
		_ = unix.Close(c.fd) // our own duplicate
	}
	c.closed = true
	c.mu.Unlock()
	c.release()
	c.frontend.remove(c)
	for _, stream := range slices.Sorted(maps.Keys(c.requests)) {
		c.frontend.server.Cancel(c.requests[stream])
	}
	clear(c.requests)
}

// close closes the connection without waiting for open requests. The end of a broken connection is not recorded again,
// as fail has recorded it.
func (c *conn) close(reason string) {
	if !c.broken {
		c.frontend.server.Events().Record(events.ConnectionClosed, reason, slog.String("peer", c.transport.RemoteAddr().String()),
			slog.Int("open", len(c.requests)), slog.Int("unread", c.out.Size()), slog.Duration("idle", c.frontend.server.Now()-c.activeAt))
	}
	if c.isHalfClosed() {
		c.handleClosed()
		return
	}
	c.release()
	c.shutDescriptor()
}

// shutDescriptor ends both sides of the connection, upon which the poller closes it. Netpoll's own Close must not be
// called: see poller.Shutdown.
func (c *conn) shutDescriptor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.halfClosed || c.closedLocally { // otherwise a callback of its end is on its way
		return
	}
	c.closedLocally = true
	c.frontend.closingCount.Add(1)
	poller.Shutdown(c.fd)
}

// release marks the connection as dead and drops its queued answers.
func (c *conn) release() {
	c.dead = true
	c.frontend.queuedBytes -= c.out.Size()
	c.out = writequeue.New(0)
	c.setPartial(nil)
}

// drain asks the router to send no new requests, and to close the connection once all open ones are answered.
func (c *conn) drain(reason string) {
	if c.draining || c.broken {
		return
	}
	c.frontend.server.Events().Record(events.ConnectionDraining, reason, slog.String("peer", c.transport.RemoteAddr().String()),
		slog.Int("open", len(c.requests)))
	c.draining = true
	c.activeAt = c.frontend.server.Now()
	c.drainingAt = c.activeAt
	c.enqueue(frame.AppendHead(nil, frame.GoAway, 0, 0, nil, 0))
}

// fail reports to the router an error that belongs to no single request, and stops parsing input. The callers of the
// open requests still wait, so the connection ends only once those are answered.
func (c *conn) fail(reason string) {
	c.frontend.counters.Count("connection closed: " + reason)
	c.frontend.server.Events().Record(events.ConnectionClosed, "broken: "+reason,
		slog.String("peer", c.transport.RemoteAddr().String()), slog.Int("open", len(c.requests)))
	c.broken, c.frameBegunAt, c.skipBytes = true, 0, 0
	c.setPartial(nil)
	c.activeAt = c.frontend.server.Now()
	c.enqueue(frame.AppendHead(nil, frame.Answer, 0, frame.Aborted, nil, len(reason)), []byte(reason))
}

// cutOff resets a connection with all its open requests, because its peer uses resources that all other connections need.
func (c *conn) cutOff(reason string) {
	c.frontend.counters.Count("connection closed: " + reason)
	c.resetOnClose()
	c.close(reason)
}

// resetOnClose makes the close of the descriptor a reset.
func (c *conn) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		poller.ResetOnClose(c.fd)
	}
}
