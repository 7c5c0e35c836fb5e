package poller

import (
	"context"

	"github.com/cloudwego/netpoll"
)

// DeferredClose has a connection closed only once netpoll has put it into its poller. Netpoll tells of a connection first and
// puts it there behind that; an owner that closes it in between, in a turn of its own, frees what netpoll goes on with,
// and the process ends with a nil pointer. All of it is for the owner's turn, where Taken comes as a callback.
type DeferredClose struct{ registered, requested bool }

// Registered tells that the connection is in the poller; one whose close was wanted is closed.
func (c *DeferredClose) Registered(link netpoll.Connection) {
	if c.registered = true; c.requested {
		_ = link.Close() // its end comes as a callback
	}
}

// Close closes the connection, or has it closed once it is in the poller.
func (c *DeferredClose) Close(link netpoll.Connection) {
	if c.requested = true; c.registered {
		_ = link.Close() // the same
	}
}

// OnRegistered is the callback by which netpoll says that a connection is in its poller; closing finds the Closing of one by
// its context.
func OnRegistered(closing func(ctx context.Context) *DeferredClose) netpoll.Option {
	return netpoll.WithOnConnect(func(ctx context.Context, link netpoll.Connection) context.Context {
		closing(ctx).Registered(link)
		return ctx
	})
}
