package frontend

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedSockets is the number of descriptors that router connections never use, where there are at least twice as many.
	reservedSockets = 64
	// processSockets is the part of them for the process itself: 13 at rest, and a link, a configuration or reports being replaced.
	processSockets = 16
	// maxOverLimitConns is the part of them for connections over the limit.
	maxOverLimitConns = 8
	// maxUnjoinedConns is the part of them for accepted connections that have had no turn of the event loop.
	maxUnjoinedConns = 16
)

// socketLimit is how many of the given descriptors the system lets the process have.
func socketLimit(sockets int) int {
	var held unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &held); err != nil || held.Cur > math.MaxInt32 {
		return sockets
	}
	return min(sockets, int(held.Cur))
}

// splitSockets divides descriptors: conns for connections, overLimit for more where all of those are in use, and unjoined for
// connections that were accepted and have had no turn. The rest is for the process itself.
func splitSockets(sockets int) (conns, overLimit, unjoined int) {
	const minShared = 4 // between overLimit and unjoined
	conns = max(sockets-reservedSockets, min(sockets/2, sockets-processSockets-minShared), 1)
	free := sockets - processSockets - conns
	overLimit = max(min(free/2, maxOverLimitConns), 1)
	return conns, overLimit, max(min(free-overLimit, maxUnjoinedConns), 1)
}

// drainLeastNeeded drains the connection that is needed least, or closes it where it never sent a frame.
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

// makeRoom closes the connection that is needed least where the limit is exceeded; made is whether it no longer is.
func (f *Frontend) makeRoom(newcomer *conn) (made bool) {
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

// inUse is the number of connections with open requests or unread answers.
func (f *Frontend) inUse() (used int) {
	for _, c := range f.conns {
		if !c.dead && (len(c.requests) > 0 || !c.out.Empty()) {
			used++
		}
	}
	return used
}

// live is the number of connections that are not closed.
func (f *Frontend) live() (open int) {
	for _, c := range f.conns {
		if !c.dead {
			open++
		}
	}
	return open
}

// leastNeeded finds the connection that a new one may replace: of those that never sent a valid frame, though they had the
// time for it, the oldest; without one, the one idle for longest. Those that are draining count only with full. It is nil
// where none may be replaced.
func (f *Frontend) leastNeeded(newcomer *conn, full bool) (least *conn) {
	now := f.server.Now()
	for _, c := range f.conns {
		switch {
		case c == newcomer || c.dead || c.isHalfClosed() || len(c.requests) > 0 || !c.out.Empty() || c.draining && !full:
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
