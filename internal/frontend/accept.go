package frontend

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"

	"quartzpoint/internal/poller"
)

const (
	// unjoinedPause is between accepts while too many accepted connections have had no turn of the event loop.
	unjoinedPause = time.Millisecond
	// minConnAge is the time that a connection has for its first frame before it may make room for another.
	minConnAge = 50 * time.Millisecond
	// nearFullDivisor is the part of the connection limit, as a divisor, that is kept free by draining one connection for each
	// new one.
	nearFullDivisor = 8
)

// countingListener is a listener that counts the connections accepted from it.
type countingListener struct {
	netpoll.Listener
	frontend *Frontend
}

// Accept counts a connection before it accepts it, so that one is always seen: in the listener, or as accepted and not joined.
// The unjoined are bounded: netpoll accepts all there are, and a flood would use up the descriptors that the process itself
// needs before the event loop can refuse any. The others wait in the listener, and the poller pauses rather than try again at
// once.
func (c *countingListener) Accept() (net.Conn, error) {
	if c.frontend.acceptedCount.Load()-c.frontend.joinedCount.Load() >= int64(c.frontend.maxUnjoined) {
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

// handleNoDescriptors closes a connection where descriptors ran out below the limit, as others use them. It is called on the
// poller, and again for as long as a connection waits in the listener.
func (f *Frontend) handleNoDescriptors() {
	f.counters.Count("connection waits, descriptors ran out")
	if f.makingRoom.CompareAndSwap(false, true) {
		f.server.Submit(func() {
			f.makingRoom.Store(false)
			if least := f.leastNeeded(nil, true); least != nil {
				f.counters.Count("connection closed to make room")
				least.close("to make room: descriptors ran out")
			}
		})
	}
}

// prepare is netpoll's callback for a new connection, on the poller.
func (f *Frontend) prepare(transport netpoll.Connection) context.Context {
	c := newConn(f, transport)
	_ = transport.AddCloseCallback(c.onClosed) // never fails
	f.server.Submit(c.join)
	return context.WithValue(poller.Context(f.server), connKey{}, c)
}

// join is a connection's first turn on the event loop. Near the limit the connection that is needed least is drained, and at
// the limit it is closed: silent connections, or ones that sent one request and stay, must not keep routers out. A request that
// crosses the close of an idle connection is sent again by its router. Where all are in use up to maxOverLimit more are kept:
// their checks are answered and their requests rejected, so that they are soon idle and make room. Past those a new one is
// closed, though only after minConnAge, in which others may have turned out to be silent.
func (f *Frontend) join(c *conn) {
	f.conns = append(f.conns, c)
	if f.place(c) {
		f.joinedCount.Add(1)
		return
	}
	time.AfterFunc(minConnAge, func() { // bounded by maxUnjoined
		f.server.Submit(func() {
			f.joinedCount.Add(1)
			if !f.place(c) {
				f.counters.Count("connection refused, limit reached")
				c.close("the limit is reached")
			}
		})
	})
}

// place makes room for a new connection; placed is false where there is none.
func (f *Frontend) place(c *conn) (placed bool) {
	open := f.live()
	switch {
	case c.dead:
	case f.draining:
		c.drain("draining")
	case open > f.maxConns:
		if c.overLimit = !f.makeRoom(c); c.overLimit {
			f.counters.Count("connection over the limit, all in use")
			return f.live() <= f.maxConns+f.maxOverLimit
		}
	case open > f.maxConns-f.maxConns/nearFullDivisor:
		f.drainLeastNeeded(c)
	}
	return true
}
