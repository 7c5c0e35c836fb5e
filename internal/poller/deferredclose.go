package poller

import (
	"context"

	"github.com/cloudwego/netpoll"
)

// DeferredClose closes a connection once netpoll has registered it with its poller. Netpoll reports a new connection first and
// registers it behind that; closed in between, on another goroutine, netpoll goes on with what was freed, and the process
// panics with a nil pointer. All methods are for the event loop, where Registered comes as a callback.
type DeferredClose struct{ registered, requested bool }

// Registered reports that the connection is registered; it is closed where Close was called before.
func (c *DeferredClose) Registered(conn netpoll.Connection) {
	if c.registered = true; c.requested {
		_ = conn.Close() // its end is reported by a callback
	}
}

// Close closes the connection, or has it closed once it is registered.
func (c *DeferredClose) Close(conn netpoll.Connection) {
	if c.requested = true; c.registered {
		_ = conn.Close() // its end is reported by a callback
	}
}

// OnRegistered has netpoll call Registered; closerOf finds a connection's DeferredClose by its context.
func OnRegistered(closerOf func(ctx context.Context) *DeferredClose) netpoll.Option {
	return netpoll.WithOnConnect(func(ctx context.Context, conn netpoll.Connection) context.Context {
		closerOf(ctx).Registered(conn)
		return ctx
	})
}
