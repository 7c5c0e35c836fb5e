// Package dependency makes the calls of the worker pool's runs to the one dependency that all servers share. Each call is
// a POST request over HTTP/1.1 that contains the call's body, and in headers the request's id and the time left.
package dependency

import (
	"context"
	"log/slog"
	"sync"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// Caller makes calls over connections that are opened as needed, each with one call at a time. Its methods never block.
// The end of each call is reported exactly once.
type Caller struct {
	maxConnections int
	log            *slog.Logger
	count          func(event string)
	report         func(end workerapi.CallEnd)

	mu          sync.Mutex
	address     string
	idle        []*connection // most recently used last
	busy        map[uint64]*connection
	unreachable bool // whether the last dial failed
}

// timedCall is a call with a context that ends when the call's timeout expires.
type timedCall struct {
	workerapi.Call
	ctx context.Context
}

// New returns a caller that uses at most maxConnections connections at a time to address, in the form host:port. report
// is called once for each call, and count with the name of each event to be counted. Both are called from any goroutine
// and must not call the Caller.
func New(address string, maxConnections int, log *slog.Logger, count func(string), report func(workerapi.CallEnd)) *Caller {
	return &Caller{
		address: address, maxConnections: maxConnections, log: log, count: count, report: report, busy: map[uint64]*connection{},
	}
}

// Call starts a call. If all connections are in use, it immediately reports that the call did not run.
func (c *Caller) Call(call workerapi.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conn *connection
	switch last := len(c.idle) - 1; {
	case last >= 0:
		conn, c.idle = c.idle[last], c.idle[:last]
	case len(c.busy) < c.maxConnections:
		conn = &connection{caller: c, calls: make(chan timedCall, 1)}
		go conn.run()
	default:
		c.count("call without a free connection")
		c.report(workerapi.CallEnd{Call: call, Outcome: admission.NotRun})
		return
	}
	c.busy[call.CallID] = conn
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	conn.cancel = cancel
	conn.calls <- timedCall{call, ctx}
}

// Cancel ends a call whose reply is no longer awaited. The end of the call is still reported.
func (c *Caller) Cancel(callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.busy[callID]; conn != nil {
		conn.cancel()
	}
}

// SetAddress sets the address for further calls. Calls in flight continue at the previous address.
func (c *Caller) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	for _, conn := range c.idle {
		close(conn.calls)
	}
	c.idle = nil
}

// release makes the connection of an ended call idle, or ends it if it leads to an address that is no longer in use.
func (c *Caller) release(conn *connection, callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.cancel()
	delete(c.busy, callID)
	if conn.conn != nil && conn.address != c.address {
		close(conn.calls)
		return
	}
	c.idle = append(c.idle, conn)
}

// closeIdle ends a connection unless it has received a call in the meantime.
func (c *Caller) closeIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.idle {
		if other == conn {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			close(conn.calls)
			return
		}
	}
}

// currentAddress returns the address that new connections dial.
func (c *Caller) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// recordDial records the result of a dial. A change between reachable and unreachable is logged once, not for each
// call. A dial that failed because its call ended is ignored.
func (c *Caller) recordDial(address string, err error, callEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unreachable := err != nil && !callEnded
	if unreachable != c.unreachable && (unreachable || err == nil) {
		c.unreachable = unreachable
		c.log.Warn("dependency", "reached", !unreachable, "address", address, "error", err)
	}
}
