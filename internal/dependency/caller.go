// Package dependency makes the calls that the pool's runs need from the one dependency that all servers share, over
// HTTP/1.1: a POST for each, with the request's id and the time left in its headers and the run's question as its body.
package dependency

import (
	"context"
	"log/slog"
	"sync"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// Caller makes calls over connections that are opened as needed, one call at a time on each. Its methods never block.
// Every call gets exactly one report.
type Caller struct {
	maxConnections int
	log            *slog.Logger
	count          func(event string)
	report         func(end workerapi.CallEnd)

	mu          sync.Mutex
	address     string
	idle        []*connection // the most recently used last
	busy        map[uint64]*connection
	unreachable bool // the last dial failed
}

// timedCall is a call with a context that ends with its time.
type timedCall struct {
	workerapi.Call
	ctx context.Context
}

// New returns a caller that holds at most maxConnections connections to address, host:port. report is called once for
// each call, from any goroutine, and count with each event that operators should see counted; neither may call the Caller.
func New(address string, maxConnections int, log *slog.Logger, count func(string), report func(workerapi.CallEnd)) *Caller {
	return &Caller{
		address: address, maxConnections: maxConnections, log: log, count: count, report: report, busy: map[uint64]*connection{},
	}
}

// Call starts a call. Where all connections are in use it is reported at once as not run.
func (c *Caller) Call(request workerapi.Call) {
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
		c.report(workerapi.CallEnd{Call: request, Outcome: admission.NotRun})
		return
	}
	c.busy[request.CallID] = conn
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	conn.cancel = cancel
	conn.calls <- timedCall{request, ctx}
}

// Cancel ends a call whose reply is not awaited any more. Its end is still reported.
func (c *Caller) Cancel(callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.busy[callID]; conn != nil {
		conn.cancel()
	}
}

// SetAddress sends all further calls to another address. Those in flight end where they began.
func (c *Caller) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	for _, conn := range c.idle {
		close(conn.calls)
	}
	c.idle = nil
}

// release makes the connection of an ended call idle, or ends it if its address is no longer in force.
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

// closeIdle ends a connection unless it got a call in the meantime.
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

// currentAddress is the one in force.
func (c *Caller) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// recordDial notes the result of a dial. A change between reachable and unreachable is logged once, not for each call; a dial
// that the end of its call cut short says nothing.
func (c *Caller) recordDial(address string, err error, callEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unreachable := err != nil && !callEnded
	if unreachable != c.unreachable && (unreachable || err == nil) {
		c.unreachable = unreachable
		c.log.Warn("dependency", "reached", !unreachable, "address", address, "error", err)
	}
}
