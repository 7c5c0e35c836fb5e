package frontend

import "time"

const (
	sweepPeriod       = 100 * time.Millisecond
	drainSweepPeriod  = 5 * time.Millisecond   // the same while the server drains: its last 0.1 s must not pass between two
	closeTimeout      = time.Second            // for a router to close a connection that is drained
	drainCloseTimeout = 300 * time.Millisecond // the same while the server drains: what stays must not hold up the end
	unreadTimeout     = 10 * time.Second       // for a router to read on before its answers are dropped
	frameTimeout      = 2 * time.Second        // for the first frame of a connection, and for the end of one begun
)

// sweep drains idle connections, and closes those that were drained and stay. Draining first means that no request crosses
// the close; a router that ignores it must not keep a descriptor. A connection that sends nothing valid, or begins a frame and
// does not end it, fails, whatever bytes it sends now and then.
func (f *Frontend) sweep(now time.Duration) {
	timeout := closeTimeout
	if f.draining {
		timeout = drainCloseTimeout
	}
	for i := len(f.conns) - 1; i >= 0; i-- {
		c := f.conns[i]
		switch {
		case !c.dead && c.isHalfClosed():
			c.sweepHalfClosed(now)
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
		case !c.out.Empty() && now < c.activeAt+unreadTimeout: // answers that its router has yet to read
		case c.draining && c.frameBegunAt == 0 && now >= f.idleSince(c)+timeout:
			if c.inputEmpty() { // with bytes unread the close would be a reset, and a request among them lost
				c.close("drained, and not closed by its peer")
			}
		case f.idleTimeout > 0 && now >= c.activeAt+f.idleTimeout && !c.draining:
			c.drain("idle")
		}
	}
}

// idleSince is from when on closeTimeout runs. While the server drains, that is when the connection was told to: a router that
// sends on all the same would keep it open to the end of the process, and lose what it sent last. Closed between two requests,
// it learns that at once.
func (f *Frontend) idleSince(c *conn) time.Duration {
	if f.draining {
		return c.drainingAt
	}
	return c.activeAt
}
