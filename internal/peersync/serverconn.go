package peersync

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/poller"
	"quartzpoint/internal/writequeue"
)

// maxUnread is the maximum number of bytes that were received on a connection and are not handled yet. The two messages
// that a client sends in an exchange are much shorter.
const maxUnread = 2 * maxFrame

// connKey is the context key of a connection.
type connKey struct{}

// serverConn is a connection from a client. The server's goroutine owns it, except descriptorClosed, which mu guards.
type serverConn struct {
	server    *Server
	transport netpoll.Connection
	address   string // of the client, without its port
	startedAt time.Duration
	keys      Keys
	exchange  serverExchange
	received  poller.Received // not handled yet
	unread    []byte
	unsent    *writequeue.Queue
	counted   bool // by the limiter; unregister must call Disconnect
	closed    bool

	mu               sync.Mutex
	descriptorClosed bool // fd may already refer to another file
	fd               int
}

// register adds the connection to the server, and closes it if the limiter does not allow it. It is the first function
// that the server's goroutine calls for the connection.
func (c *serverConn) register() {
	c.server.conns = append(c.server.conns, c)
	if c.counted = c.server.limiter.Connect(c.address, c.server.now()); !c.counted {
		c.fail("peer connection closed: too many connections")
	}
}

// onClose is netpoll's callback before it closes the descriptor, whose number may then be reused for another file.
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

// close ends both sides of the connection, upon which the poller closes it. Netpoll's own Close must not be called: see
// poller.Shutdown.
func (c *serverConn) close() {
	c.closed = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.descriptorClosed {
		poller.Shutdown(c.fd)
	}
}

// fail counts an event and closes the connection, unless it is closed already.
func (c *serverConn) fail(event string) {
	if !c.closed {
		c.server.counts.Count(event)
		c.close()
	}
}

// cutOff counts an event and resets the connection of a client that sends too much or does not read.
func (c *serverConn) cutOff(event string) {
	c.mu.Lock()
	if !c.descriptorClosed {
		poller.ResetOnClose(c.fd)
	}
	c.mu.Unlock()
	c.fail(event)
}

// check sends pending frames, and closes the connection if it has exceeded exchangeTimeout. A client closes its
// connection once it has its answer, so a connection that is still open by then belongs to a client that does not read
// or sends very slowly.
func (c *serverConn) check(now time.Duration) {
	if c.closed {
		return
	}
	c.flush()
	if now >= c.startedAt+exchangeTimeout {
		c.fail("peer connection closed: exchange took too long")
	}
}

// flush sends as much as the connection accepts without blocking.
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

// onData is netpoll's callback for received bytes. It runs on the poller after each read. Of a client that sends more than
// maxUnread at once only the beginning is kept, which is enough for receive to close its connection.
func onData(ctx context.Context, transport netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*serverConn)
	in := transport.Reader()
	raw, err := in.Next(in.Len())
	if err != nil {
		return err
	}
	kept := min(len(raw), maxUnread+1-c.received.Len())
	if kept > 0 && c.received.Add(raw[:kept]) {
		c.server.Submit(c.receive)
	}
	return in.Release()
}

// receive appends the received bytes to the unread ones and handles all complete messages.
func (c *serverConn) receive() {
	raw := c.received.Take()
	if c.closed {
		return
	}
	if len(c.unread)+len(raw) > maxUnread {
		c.cutOff("peer connection closed: sends too much")
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

// handle answers a message. It returns false if it closed the connection.
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

// handleBallot passes a ballot to the vote handler and returns the frames to send immediately. The handler's response
// is sent later if the connection is still open by then.
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
			c.send(c.exchange.voteResponse(response))
		})
	})
	return nil
}

// send queues frames and sends as much as the connection accepts without blocking. It returns false if it closed the
// connection because the client does not read.
func (c *serverConn) send(frames ...[]byte) bool {
	for _, frame := range frames {
		processTraffic.sent.Add(int64(len(frame)))
	}
	if err := c.unsent.Add(frames...); err != nil {
		c.cutOff("peer connection closed: does not read")
		return false
	}
	c.flush()
	return true
}
