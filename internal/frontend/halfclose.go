package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/frame"
)

// A router may end its side of a connection after its last request, and still read. Netpoll releases a connection whose
// peer has ended its side, so the open requests are answered over a duplicate of its descriptor. A router that no
// longer exists looks the same until something is written to the connection, which is then reset.

// duplicateDescriptor replaces fd by a duplicate if the peer ended its side without a reset. duplicated reports whether
// it replaced fd. It must be called from netpoll's callback, before the descriptor is closed, with c.mu held.
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

// isHalfClosed reports whether the peer has ended its side and open requests are still answered.
func (c *conn) isHalfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfClosed
}

// handleHalfClose handles, on the event loop, that the peer has ended its side. Open requests are still answered. The
// go-away frame is written to find out whether the peer still exists.
func (c *conn) handleHalfClose() {
	if c.dead || c.nothingPending() {
		c.handleClosed()
		return
	}
	c.setPartial(nil)
	c.frameBegunAt, c.skipBytes = 0, 0
	c.activeAt = c.frontend.server.Now()
	c.draining, c.drainingAt = true, c.activeAt
	c.enqueue(frame.AppendHead(nil, frame.GoAway, 0, 0, nil, 0))
}

// nothingPending reports whether no request is open and no answer unwritten.
func (c *conn) nothingPending() bool { return len(c.requests) == 0 && c.out.Empty() }

// checkHalfClosed closes a connection whose peer has ended its side, once no request or answer is pending, the
// connection was reset or ended on both sides, or the peer has not read for unreadTimeout.
func (c *conn) checkHalfClosed(now time.Duration) {
	if c.nothingPending() || c.fullyClosed() || !c.out.Empty() && now >= c.activeAt+unreadTimeout {
		c.handleClosed()
	}
}

// fullyClosed reports whether the connection was reset, or both of its sides have ended.
func (c *conn) fullyClosed() bool {
	polled := []unix.PollFd{{Fd: int32(c.fd)}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0
}
