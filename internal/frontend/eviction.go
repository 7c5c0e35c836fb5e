package frontend

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedSockets is the number of descriptors that the connection limit leaves free, if at least twice as many are
	// available.
	reservedSockets = 64
	// processSockets is the part of reservedSockets for the process itself: it uses 13 at rest, and more while a link,
	// a configuration or reports are being replaced.
	processSockets = 16
	// maxOverLimitConns is the part of reservedSockets for connections over the limit.
	maxOverLimitConns = 8
	// maxUnjoinedConns is the part of reservedSockets for accepted connections that have not yet joined the event loop.
	maxUnjoinedConns = 16
)

// socketLimit returns how many of the given descriptors the system allows the process to use.
func socketLimit(sockets int) int {
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err != nil || rlimit.Cur > math.MaxInt32 {
		return sockets
	}
	return min(sockets, int(rlimit.Cur))
}

// splitSockets divides descriptors: conns for connections, overLimit for further connections while all conns are in
// use, and unjoined for accepted connections that have not yet joined the event loop. The rest is for the process
// itself.
func splitSockets(sockets int) (conns, overLimit, unjoined int) {
	const minShared = 4 // for overLimit and unjoined together
	conns = max(sockets-reservedSockets, min(sockets/2, sockets-processSockets-minShared), 1)
	free := sockets - processSockets - conns
	overLimit = max(min(free/2, maxOverLimitConns), 1)
	return conns, overLimit, max(min(free-overLimit, maxUnjoinedConns), 1)
}

// drainLeastNeeded drains the connection that is needed least, or closes it if it never sent a valid frame.
func (f *Frontend) drainLeastNeeded(newcomer *conn) {
	switch least := f.leastNeeded(newcomer, false); {
	case least == nil:
	case !least.sawFrame:
		f.counters.Count("connection closed to make room")
		least.close("to make room")
	default:
		f.counters.Count("connection drained to make room")
		least.drain("to make room")
	}
}

// evictIfOverLimit closes the connection that is needed least if the limit is exceeded. withinLimit reports whether the
// limit is met after that.
func (f *Frontend) evictIfOverLimit(newcomer *conn) (withinLimit bool) {
	open := f.live()
	if open <= f.maxConns {
		return true
	}
	if least := f.leastNeeded(newcomer, true); least != nil {
		f.counters.Count("connection closed to make room")
		least.close("to make room")
		open--
	}
	return open <= f.maxConns
}

// inUse returns the number of connections with open requests or unwritten answers.
func (f *Frontend) inUse() (used int) {
	for _, c := range f.conns {
		if !c.dead && (len(c.requests) > 0 || !c.out.Empty()) {
			used++
		}
	}
	return used
}

// live returns the number of connections that are not closed.
func (f *Frontend) live() (open int) {
	for _, c := range f.conns {
		if !c.dead {
			open++
		}
	}
	return open
}

// leastNeeded returns the connection that a new one may replace, or nil if there is none. Connections with open requests,
// unwritten answers or unread input are never replaced, and draining ones only if includeDraining is set. Connections
// that had time for a valid frame and never sent one come first; among equals, the one idle for longest.
func (f *Frontend) leastNeeded(newcomer *conn, includeDraining bool) (least *conn) {
	now := f.server.Now()
	for _, c := range f.conns {
		switch {
		case c == newcomer || c.dead || c.isHalfClosed() || len(c.requests) > 0 || !c.out.Empty() || c.draining && !includeDraining:
		case !c.sawFrame && now < c.openedAt+minConnAge:
		case c.frameBegunAt > 0 && now < c.frameBegunAt+minConnAge: // the rest of a request may be on its way
		case least == nil, least.sawFrame && !c.sawFrame, least.sawFrame == c.sawFrame && c.activeAt < least.activeAt:
			if c.inputEmpty() {
				least = c
			}
		}
	}
	return least
}
