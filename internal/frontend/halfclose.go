package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/frame"
)

// A router may end its side of a connection behind its last request, and still read. Netpoll lets go of a connection
// whose peer has ended its side, so that what is open on it is answered over a duplicate of its descriptor. A router that
// is gone altogether ends its side in the same way; it shows by a reset as soon as something is written to it.

// duplicateDescriptor duplicates the descriptor of a connection whose peer ended its side in order. It is for netpoll's
// callback, before the descriptor is closed; c.mu is held.
func (c *conn) duplicateDescriptor() (duplicated bool) {
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

// isHalfClosed is whether the peer has ended its side and what is open is still answered.
func (c *conn) isHalfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfClosed
}

// handleHalfClose takes, on the event loop, that the peer has ended its side. Open requests are answered as ever; the frame
// that asks for no new one is written to find out whether anybody is there.
func (c *conn) handleHalfClose() {
	if c.dead || c.nothingOwed() {
		c.handleClosed()
		return
	}
	c.partial, c.frameBegunAt, c.skipBytes = nil, 0, 0
	c.activeAt = c.frontend.server.Now()
	c.draining, c.drainingAt = true, c.activeAt
	c.enqueue(frame.AppendHead(nil, frame.GoAway, 0, 0, nil, 0))
}

// nothingOwed is whether no request is open and no answer unwritten.
func (c *conn) nothingOwed() bool { return len(c.requests) == 0 && c.out.Empty() }

// sweepHalfClosed ends a connection whose peer has ended its side, once nothing is owed on it or the peer is gone.
func (c *conn) sweepHalfClosed(now time.Duration) {
	if c.nothingOwed() || c.peerGone() || !c.out.Empty() && now >= c.activeAt+unreadTimeout {
		c.handleClosed()
	}
}

// peerGone is whether a connection was reset, or both sides of it have ended.
func (c *conn) peerGone() bool {
	polled := []unix.PollFd{{Fd: int32(c.fd)}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0
}
