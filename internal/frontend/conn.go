package frontend

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	maxOpenRequests = 32 // on a connection
	maxAnswerBytes  = 4<<10 + 256
)

// connKey finds a connection in its context.
type connKey struct{}

// conn is one connection of a router. It belongs to the event loop, but for what mu guards.
type conn struct {
	frontend  *Frontend
	transport netpoll.Connection

	mu         sync.Mutex
	fd         int
	closed     bool        // fd may already stand for another file
	halfClosed bool        // the peer has ended its side, and fd is our own duplicate: netpoll has let go of the connection
	closedHere atomic.Bool // and not by the peer

	// Reading.
	requests     map[uint32]*server.Request // open, by stream; no value is nil
	lastStream   uint32                     // streams go from 1 up, so no list of those used is needed
	partial      []byte                     // the beginning of a frame whose rest has not come
	skipBytes    int                        // of a frame that is too long, still to come
	sawFrame     bool                       // a valid one
	frameBegunAt time.Duration              // when the frame began that has not ended, 0 without one

	// Writing.
	out       *writequeue.Queue
	unflushed bool // it is in the frontend's list of these

	// The end.
	overLimit  bool // it was accepted where all others were in use
	draining   bool // the router was asked to send no new request
	broken     bool // nothing more is read; open requests are still answered
	writeShut  bool // and the router was told that no more answers come
	dead       bool // it is closed, or will be as soon as netpoll allows
	openedAt   time.Duration
	activeAt   time.Duration // when it last carried a whole frame, or was asked something
	drainingAt time.Duration // from when on it drains
	closer     poller.DeferredClose
}

func newConn(f *Frontend, transport netpoll.Connection) *conn {
	return &conn{
		frontend: f, transport: transport, fd: transport.(netpoll.Conn).Fd(),
		requests: map[uint32]*server.Request{}, out: writequeue.New(maxOpenRequests * maxAnswerBytes),
		openedAt: f.server.Now(), activeAt: f.server.Now(),
	}
}

// join is the connection's first turn on the event loop.
func (c *conn) join() { c.frontend.join(c) }

// onClosed is netpoll's callback for the end of a connection, from whichever goroutine noticed it. It comes
// before the descriptor is closed and used again for another file.
func (c *conn) onClosed(netpoll.Connection) error {
	c.mu.Lock()
	c.halfClosed = !c.closedHere.Load() && c.duplicateDescriptor()
	c.closed = !c.halfClosed
	half := c.halfClosed
	c.mu.Unlock()
	if half {
		c.frontend.server.Submit(c.handleHalfClose)
	} else {
		c.frontend.server.Submit(c.handleClosed)
	}
	return nil
}

// handleClosed cancels all open requests: nobody waits for them.
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

// close ends the connection at once. That of a broken one was recorded as it broke.
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
	c.closedHere.Store(true)
	c.closer.Close(c.transport)
}

// closerOf is how a connection is closed, by its context.
func closerOf(ctx context.Context) *poller.DeferredClose {
	return &ctx.Value(connKey{}).(*conn).closer
}

// release drops what waits to be written.
func (c *conn) release() {
	c.dead = true
	c.frontend.queuedBytes -= c.out.Size()
	c.out = writequeue.New(0)
}

// drain asks the router to send no new request, and to close once all is answered.
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

// fail reports an error that belongs to no request, and reads nothing more. Callers of the open requests wait still, so the
// connection ends once those are answered.
func (c *conn) fail(reason string) {
	c.frontend.counters.Count("connection closed: " + reason)
	c.frontend.server.Events().Record(events.ConnectionClosed, "broken: "+reason,
		slog.String("peer", c.transport.RemoteAddr().String()), slog.Int("open", len(c.requests)))
	c.broken, c.partial, c.frameBegunAt, c.skipBytes = true, nil, 0, 0
	c.activeAt = c.frontend.server.Now()
	c.enqueue(frame.AppendHead(nil, frame.Answer, 0, frame.Aborted, nil, len(reason)), []byte(reason))
}

// cutOff closes a connection with all its open requests: its peer uses what all others need.
func (c *conn) cutOff(reason string) {
	c.frontend.counters.Count("connection closed: " + reason)
	c.close(reason)
}
