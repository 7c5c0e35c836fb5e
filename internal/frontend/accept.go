package frontend

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/poller"
)

const (
	// unjoinedPause is the time between attempts to accept while too many accepted connections have not joined the
	// event loop.
	unjoinedPause = time.Millisecond
	// minConnAge is the time that a connection has for its first frame, and for the rest of an incomplete one, before it
	// may be evicted for another.
	minConnAge = 50 * time.Millisecond
	// nearFullDivisor sets the part of the connection limit that is kept free: maxConns divided by it. Within that
	// part, each new connection causes another one to be drained.
	nearFullDivisor = 8
)

// countingListener is a listener that counts the connections accepted from it.
type countingListener struct {
	netpoll.Listener
	frontend *Frontend
}

// Accept counts a connection before it accepts it, so that each connection is visible at any time: either in the
// listener, or as accepted and not joined. The number of unjoined connections is limited, together with those that
// were closed to make room and still have their descriptors: netpoll accepts all connections there are, and a flood
// would use up the descriptors that the process itself needs before the event loop can refuse any. At the limit the
// other connections wait in the listener, and Accept pauses so that the poller does not try again at once.
func (c *countingListener) Accept() (net.Conn, error) {
	unjoined := c.frontend.acceptedCount.Load() - c.frontend.joinedCount.Load()
	if unjoined+c.frontend.closingCount.Load() >= int64(c.frontend.maxUnjoined) {
		time.Sleep(unjoinedPause)
		return nil, nil
	}
	c.frontend.acceptedCount.Add(1)
	transport, err := poller.Accept(c.Listener, c.frontend.handleNoDescriptors)
	if transport == nil || err != nil {
		c.frontend.acceptedCount.Add(-1)
	}
	return transport, err
}

// handleNoDescriptors evicts a connection if descriptors ran out below the connection limit, because something else
// uses them. It is called on the poller, repeatedly while a connection waits in the listener.
func (f *Frontend) handleNoDescriptors() {
	f.counters.Count("connection waits, descriptors ran out")
	if f.evictionPending.CompareAndSwap(false, true) {
		f.server.Submit(func() {
			f.evictionPending.Store(false)
			if least := f.leastNeeded(nil, true); least != nil {
				f.counters.Count("connection closed to make room")
				least.close("to make room: descriptors ran out")
			}
		})
	}
}

// prepare is netpoll's callback for a new connection. It runs on the poller.
func (f *Frontend) prepare(transport netpoll.Connection) context.Context {
	c := newConn(f, transport)
	_ = transport.AddCloseCallback(c.onClosed) // never fails
	f.server.Submit(c.join)
	return context.WithValue(context.Background(), connKey{}, c)
}

// join adds a new connection on the event loop. Near the limit, the connection that is needed least is drained, and at
// the limit it is closed: silent connections, or ones that stay open after a single request, must not keep routers out.
// If a request crosses the close of an idle connection, its router sends it again. If all connections are in use, up to
// maxOverLimit more are kept: their health checks are answered and their requests rejected, so that they soon become
// idle and can be evicted. Beyond those a new connection is closed, but only after minConnAge, as others may have
// turned out to be silent by then.
func (f *Frontend) join(c *conn) {
	f.conns = append(f.conns, c)
	if f.applyLimit(c) {
		f.joinedCount.Add(1)
		return
	}
	time.AfterFunc(minConnAge, func() { // their number is limited by maxUnjoined
		f.server.Submit(func() {
			f.joinedCount.Add(1)
			if !f.applyLimit(c) {
				f.counters.Count("connection refused, limit reached")
				c.close("the limit is reached")
			}
		})
	})
}

// applyLimit drains or evicts another connection for a new one if the limit requires it. allowed is false if the new
// connection must be refused.
func (f *Frontend) applyLimit(c *conn) (allowed bool) {
	open := f.live()
	switch {
	case c.dead:
	case f.draining:
		c.drain("draining")
	case open > f.maxConns:
		if c.overLimit = !f.evictIfOverLimit(c); c.overLimit {
			f.counters.Count("connection over the limit, all in use")
			return f.live() <= f.maxConns+f.maxOverLimit
		}
	case open > f.maxConns-f.maxConns/nearFullDivisor:
		f.drainLeastNeeded(c)
	}
	return true
}
