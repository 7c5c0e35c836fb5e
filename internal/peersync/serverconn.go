package peersync

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/poller"
	"quartzpoint/internal/writequeue"
)

// maxUnread bounds what a client may send before it is answered; the two messages of an exchange are far shorter.
const maxUnread = 2 * maxFrame

// connKey finds a connection in its context.
type connKey struct{}

// serverConn is a client's connection. The server's goroutine owns it, but for descriptorClosed.
type serverConn struct {
	server    *Server
	transport netpoll.Connection
	address   string // of the client, without its port
	startedAt time.Duration
	keys      Keys
	exchange  serverExchange
	unread    []byte
	unsent    *writequeue.Queue
	counted   bool // by the limiter, to which it must be returned
	closed    bool

	closer poller.DeferredClose

	mu               sync.Mutex
	descriptorClosed bool // fd may already stand for another file
	fd               int
}

// register is the connection's first call in the server's goroutine.
func (c *serverConn) register() {
	c.server.conns = append(c.server.conns, c)
	if c.counted = c.server.limiter.Connect(c.address, c.server.now()); !c.counted {
		c.fail("peer connection closed: too many connections")
	}
}

// onClose is netpoll's callback before the descriptor is closed and may be used for another file.
func (c *serverConn) onClose(netpoll.Connection) error {
	c.mu.Lock()
	c.descriptorClosed = true
	c.mu.Unlock()
	c.server.Submit(c.unregister)
	return nil
}

// unregister removes the connection from the server.
func (c *serverConn) unregister() {
	c.closed = true
	for i, other := range c.server.conns {
		if other == c {
			c.server.conns = append(c.server.conns[:i], c.server.conns[i+1:]...)
			break
		}
	}
	if c.counted {
		c.counted = false
		c.server.limiter.Disconnect(c.address)
	}
}

func (c *serverConn) close() {
	c.closed = true
	c.closer.Close(c.transport)
}

// closerOf finds what closes a connection in its context.
func closerOf(ctx context.Context) *poller.DeferredClose {
	return &ctx.Value(connKey{}).(*serverConn).closer
}

// fail counts why the server closes the connection, and closes it.
func (c *serverConn) fail(event string) {
	if !c.closed {
		c.server.counts.Count(event)
		c.close()
	}
}

// check sends what waits, and closes a connection whose time is over. A client closes its connection when it has its answer,
// so one that is still open then belongs to a client that does not read or sends a byte at a time.
func (c *serverConn) check(now time.Duration) {
	if c.closed {
		return
	}
	c.flush()
	if now >= c.startedAt+exchangeTimeout {
		c.fail("peer connection closed: exchange took too long")
	}
}

// flush sends what the connection takes without waiting.
func (c *serverConn) flush() {
	c.mu.Lock()
	var err error
	if !c.descriptorClosed {
		err = c.unsent.Flush(c.fd)
	}
	c.mu.Unlock()
	if err != nil {
		c.close()
	}
}

// onData is netpoll's callback for bytes that came; package poller has the server's goroutine call it.
func onData(ctx context.Context, transport netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*serverConn)
	in := transport.Reader()
	raw, err := in.Next(in.Len())
	if err != nil {
		return err
	}
	if !c.closed {
		c.receive(raw)
	}
	return in.Release()
}

// receive handles the messages that are complete with raw.
func (c *serverConn) receive(raw []byte) {
	if len(c.unread)+len(raw) > maxUnread {
		c.fail("peer connection closed: sends too much")
		return
	}
	processTraffic.received.Add(int64(len(raw)))
	c.unread = append(c.unread, raw...)
	for !c.closed {
		m, rest, complete, err := decodeFrame(c.unread)
		if err != nil {
			c.fail("peer connection closed: sends an invalid message")
			return
		}
		if !complete {
			return
		}
		c.unread = c.unread[:copy(c.unread, rest)]
		if !c.handle(m) {
			return
		}
	}
}

// handle answers a message; false where the connection was closed.
func (c *serverConn) handle(m message) bool {
	now := c.server.now()
	out, ballot, err := c.exchange.handle(m, c.keys, snapshotSource{
		snapshot: c.server.snapshot(), now: now,
		allow: func(bytes int) (bool, time.Duration) { return c.server.limiter.Allow(c.address, bytes, now) },
	})
	if err != nil {
		c.fail("peer connection closed: not authenticated, or unexpected message")
		return false
	}
	if ballot != nil {
		out = c.handleBallot(ballot)
	}
	return c.send(out...)
}

// handleBallot passes a ballot to the vote handler, and returns what is to be sent at once. The response is sent when it
// comes, if the connection is still open.
func (c *serverConn) handleBallot(ballot []byte) [][]byte {
	handler := c.server.voteHandler.Load()
	if handler == nil {
		return [][]byte{rejectionFrame(reasonNoVoter, defaultRetryAfter)}
	}
	(*handler)(ballot, func(response []byte) {
		c.server.Submit(func() {
			if c.closed || len(response) == 0 || len(response) > maxBallot {
				return
			}
			c.send(c.exchange.voted(response))
		})
	})
	return nil
}

// send queues frames and sends what the connection takes; false where the client does not read and was closed.
func (c *serverConn) send(frames ...[]byte) bool {
	for _, frame := range frames {
		processTraffic.sent.Add(int64(len(frame)))
	}
	if err := c.unsent.Add(frames...); err != nil {
		c.fail("peer connection closed: does not read")
		return false
	}
	c.flush()
	return true
}
