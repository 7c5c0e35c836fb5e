package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/frame"
)

// A router may end its side of a connection behind its last request, and still read. Netpoll lets go of a connection
// whose peer has ended its side, so that what is open on it is answered over a duplicate of its descriptor. A router that
// is gone altogether ends its side in the same way; it shows by a reset as soon as something is written to it.

// keepWriting duplicates the descriptor of a connection whose peer ended its side in order, and tells whether it
// could. It is for netpoll's callback, before the descriptor is closed, and holds the connection's lock.
func (c *conn) keepWriting() bool {
	n, err := peek(c.fd)
	if err != nil || n > 0 {
		return false // reset, or not ended by its peer
	}
	own, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false
	}
	c.fd = own
	return true
}

// isHalf is whether the peer has ended its side and what is open is still answered.
func (c *conn) isHalf() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.half
}

// halfClosed is the owner's turn behind the end of the peer's side. What is open is answered as ever; the frame that asks
// for no new request is written to find out whether anybody is there.
func (c *conn) halfClosed() {
	if c.dead || c.finished() {
		c.leave()
		return
	}
	c.part, c.begun, c.beyond = nil, 0, 0
	c.last = c.front.server.Now()
	c.retired, c.askedAt = true, c.last
	c.put(frame.AppendHead(nil, frame.GoAway, 0, 0, nil, 0))
}

// finished is whether nothing is owed on a connection.
func (c *conn) finished() bool { return len(c.open) == 0 && c.out.Empty() }

// sweepHalf ends a connection whose peer has ended its side, once nothing is owed on it or nobody is there.
func (c *conn) sweepHalf(now time.Duration) {
	if c.finished() || c.peerGone() || !c.out.Empty() && now >= c.last+stuckWait {
		c.leave()
	}
}

// peerGone is whether a connection was reset, or both sides of it have ended.
func (c *conn) peerGone() bool {
	polled := []unix.PollFd{{Fd: int32(c.fd)}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0
}
