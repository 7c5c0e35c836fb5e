package poller

import (
	"context"

	"github.com/cloudwego/netpoll"
)

// DeferredClose closes a connection after netpoll has registered it with its poller. Netpoll announces a new connection
// before it registers it. If the connection is closed in between by another goroutine, netpoll uses freed memory and
// the process panics with a nil pointer dereference. All methods must be called on the event loop; netpoll's callback
// calls Registered there.
type DeferredClose struct{ registered, requested bool }

// Registered records that the connection is registered, and closes it if Close was called before.
func (c *DeferredClose) Registered(conn netpoll.Connection) {
	if c.registered = true; c.requested {
		_ = conn.Close() // the end of the connection is reported by a callback
	}
}

// Close closes the connection, or requests that Registered closes it.
func (c *DeferredClose) Close(conn netpoll.Connection) {
	if c.requested = true; c.registered {
		_ = conn.Close() // the end of the connection is reported by a callback
	}
}

// OnRegistered returns the netpoll option that calls Registered. closerOf returns the DeferredClose of a connection
// from its context.
func OnRegistered(closerOf func(ctx context.Context) *DeferredClose) netpoll.Option {
	return netpoll.WithOnConnect(func(ctx context.Context, conn netpoll.Connection) context.Context {
		closerOf(ctx).Registered(conn)
		return ctx
	})
}
