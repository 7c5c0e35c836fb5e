package frontend

import "time"

const (
	timeoutCheckPeriod = 100 * time.Millisecond
	// drainTimeoutCheckPeriod replaces timeoutCheckPeriod while the server drains: drainCloseTimeout may expire as late
	// as 0.1 s before the server's stop, and that time must not pass between two checks.
	drainTimeoutCheckPeriod = 5 * time.Millisecond
	closeTimeout            = time.Second            // for a router to close a drained or broken connection
	drainCloseTimeout       = 300 * time.Millisecond // the same while the server drains: connections left open must not delay its exit
	unreadTimeout           = 10 * time.Second       // for a router to continue reading before its answers are dropped
	frameTimeout            = 2 * time.Second        // for the first frame of a connection, and for the rest of an incomplete frame
)

// checkTimeouts drains idle connections, and closes drained ones that their routers leave open. A connection is drained
// first so that no request crosses the close; a router that ignores that must not keep a descriptor. A connection that
// sends no valid frame, or does not complete one that it began, fails, even if it sends a byte now and then.
func (f *Frontend) checkTimeouts(now time.Duration) {
	timeout := closeTimeout
	if f.draining {
		timeout = drainCloseTimeout
	}
	for i := len(f.conns) - 1; i >= 0; i-- {
		c := f.conns[i]
		switch {
		case !c.dead && c.isHalfClosed():
			c.checkHalfClosed(now)
		case c.dead || len(c.requests) > 0:
		case c.broken:
			if now >= c.activeAt+timeout {
				c.close("broken, and all on it answered")
			}
		case !c.sawFrame && now >= c.openedAt+frameTimeout:
			if c.inputEmpty() {
				c.fail("nothing understood")
			}
		case c.frameBegunAt > 0 && now >= c.frameBegunAt+frameTimeout:
			if c.inputEmpty() {
				c.fail("frame not ended")
			}
		case !c.out.Empty() && now < c.activeAt+unreadTimeout: // the router has yet to read its answers
		case c.draining && c.frameBegunAt == 0 && now >= f.closeTimerStart(c)+timeout:
			if c.inputEmpty() { // closing with bytes unread would be a reset, and a request among them lost
				c.close("drained, and not closed by its peer")
			}
		case f.idleTimeout > 0 && now >= c.activeAt+f.idleTimeout && !c.draining:
			c.drain("idle")
		}
	}
}

// closeTimerStart returns the time from which closeTimeout counts. While the server drains, that is the time at which
// the connection was asked to drain: a router that sends requests nevertheless would keep the connection open until the
// process ends, and lose the requests sent last. If the connection is closed between two requests, the router learns
// that at once.
func (f *Frontend) closeTimerStart(c *conn) time.Duration {
	if f.draining {
		return c.drainingAt
	}
	return c.activeAt
}
