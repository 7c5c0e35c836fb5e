// Package frontend is the way in for routers: the listener and its connections, on netpoll.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"quartzpoint/internal/invariant"
	"quartzpoint/internal/poller"
	"quartzpoint/internal/server"
	"quartzpoint/internal/sysfault"
)

const (
	sparedSockets = 64 // descriptors that the table never takes, where there are twice as many
	ownSockets    = 16 // of these, for the process itself: 13 at rest, and a link, a configuration or reports on the move
	maxCrowded    = 8  // of the others, those for connections beyond a table in use
	maxUntried    = 16 // and those for connections that are taken and have had no turn
	untriedWait   = time.Millisecond
	soonFull      = 8 // from the last part of this size of the table on, the longest idle make room
	sweepEvery    = 100 * time.Millisecond
	retiredWait   = time.Second            // for a router to close what it was asked to
	leavingWait   = 300 * time.Millisecond // the same while leaving: those that stay for good must not hold up the end
	stuckWait     = 10 * time.Second       // for a router to read on before its answers are given up
	silentWait    = 2 * time.Second        // for the first frame of a connection, and for the end of one begun
	newWait       = 50 * time.Millisecond  // for the first frame of a connection while the table is full
	outShare      = 8                      // part of the program's memory, as a divisor, that unread answers may take
	aheadShare    = 32                     // the same, for what one connection may have sent ahead of its reading
)

// Frontend holds the connections of routers. All but the callbacks of netpoll belong to the owner of decisions.
type Frontend struct {
	server   *server.Server
	counts   *invariant.Counters
	log      *slog.Logger
	listener netpoll.Listener
	closing  atomic.Bool
	loop     netpoll.EventLoop

	most    int // connections
	crowd   int // beyond those, where all are in use
	untried int // connections taken and without their turn, at the most
	conns   []*conn
	dirty   []*conn
	waiting int // bytes that peers have yet to read
	bound   int
	ahead   int
	idle    time.Duration
	swept   time.Duration
	retired bool
	shut    bool // the listener was told to take no more connections
	open    bool // and does so all the same
	taken   atomic.Int64
	joins   atomic.Int64 // of those taken, how many had their first turn
	making  atomic.Bool  // room, in a turn that is to come
	tells   bool         // routers say when nobody waits any longer
}

// Listen takes the address for a front; connections come once it serves.
func Listen(address string, s *server.Server, limits server.Limits, counts *invariant.Counters, log *slog.Logger) (
	*Frontend, error,
) {
	listener, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for routers: %w", err)
	}
	f := &Frontend{
		server: s, counts: counts, log: log,
		bound: limits.MemoryMB << 20 / outShare,
		ahead: limits.MemoryMB << 20 / aheadShare,
		tells: s.RoutersReportCancel(),
	}
	f.most, f.crowd, f.untried = parted(within(limits.Sockets))
	f.listener = &counted{listener, f}
	f.loop, err = netpoll.NewEventLoop(read, netpoll.WithOnPrepare(f.prepare), poller.OnRegistered(closingOf))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return f, nil
}

// within is what a process told of so many descriptors may have of them: the system may hold it to fewer.
func within(sockets int) int {
	var held unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &held); err != nil || held.Cur > math.MaxInt32 {
		return sockets
	}
	return min(sockets, int(held.Cur))
}

// parted shares descriptors out: to the table, to connections that come where all of that are in use, and to those that
// are taken and have had no turn. The rest is for the process itself.
func parted(sockets int) (most, crowd, untried int) {
	most = max(sockets-sparedSockets, min(sockets/2, sockets-ownSockets-4), 1)
	free := sockets - ownSockets - most
	crowd = max(min(free/2, maxCrowded), 1)
	return most, crowd, max(min(free-crowd, maxUntried), 1)
}

// counted is a listener that counts the connections taken from it.
type counted struct {
	netpoll.Listener
	front *Frontend
}

// Accept counts a connection before it takes it, so that one is always seen: in the listener, or as taken and without
// its turn. Those without their turn are few: netpoll takes all that come, and a flood of them would take the descriptors
// that the process itself needs before the owner can refuse any. The others wait in the listener, and the poller rests
// for the owner's turn rather than ask again at once.
func (c *counted) Accept() (net.Conn, error) {
	if c.front.taken.Load()-c.front.joins.Load() >= int64(c.front.untried) {
		time.Sleep(untriedWait)
		return nil, nil
	}
	c.front.taken.Add(1)
	link, err := poller.Accept(c.Listener, c.front.short)
	if link == nil || err != nil {
		c.front.taken.Add(-1)
	}
	return link, err
}

// short has room made where descriptors ran out though the table has some left, as others took them. It is called on
// the poller, and again for as long as a connection waits in the listener.
func (f *Frontend) short() {
	f.counts.Count("connection waits, descriptors ran out")
	if f.making.CompareAndSwap(false, true) {
		f.server.Submit(func() {
			f.making.Store(false)
			if least := f.leastNeeded(nil, true); least != nil {
				f.counts.Count("connection closed to make room")
				least.close("to make room: descriptors ran out")
			}
		})
	}
}

// Serve takes connections until the front is retired.
func (f *Frontend) Serve() error {
	if err := f.loop.Serve(f.listener); err != nil && !f.closing.Load() {
		return fmt.Errorf("serving routers: %w", err)
	}
	return nil
}

// Address is where the front listens.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// prepare is netpoll's callback for a new connection, on the poller.
func (f *Frontend) prepare(link netpoll.Connection) context.Context {
	c := newConn(f, link)
	_ = link.AddCloseCallback(c.ended)
	f.server.Submit(c.join)
	return context.WithValue(poller.Context(f.server), connKey{}, c)
}

// joined books a connection. Near the end of the table the one that is needed least is asked to go, and at the
// end it is closed: a table full of connections that say nothing, or that asked once and stay, must not turn
// routers away. A task that crosses the close of an idle connection is sent again by its router. Where all are in use
// some more are let in all the same: their checks are answered, and their tasks dismissed, so that they are soon idle and
// make room for the next. Past those a new one is refused, though not before others have had the time to say something:
// of those that say nothing one makes room then.
func (f *Frontend) joined(c *conn) {
	f.conns = append(f.conns, c)
	if f.placed(c) {
		f.joins.Add(1)
		return
	}
	time.AfterFunc(newWait, func() { // as many as there may be untried
		f.server.Submit(func() {
			f.joins.Add(1)
			if !f.placed(c) {
				f.counts.Count("connection refused, table full")
				c.close("the table is full")
			}
		})
	})
}

// placed finds a place for a new connection, and tells whether it could.
func (f *Frontend) placed(c *conn) bool {
	open := f.live()
	switch {
	case c.dead:
	case f.retired:
		c.retire("draining")
	case open > f.most:
		if c.crowds = !f.makeRoom(c); c.crowds {
			f.counts.Count("connection beyond the table, all in use")
			return f.live() <= f.most+f.crowd
		}
	case open > f.most-f.most/soonFull:
		f.thin(c)
	}
	return true
}

// thin asks the connection that is needed least to go, as the table is nearly full.
func (f *Frontend) thin(newcomer *conn) {
	switch least := f.leastNeeded(newcomer, false); {
	case least == nil:
	case !least.spoke:
		f.counts.Count("connection closed to make room")
		least.close("to make room")
	default:
		f.counts.Count("connection asked to go to make room")
		least.retire("to make room")
	}
}

// makeRoom closes the one that is needed least for a newcomer to a full table, and tells whether all have a place then.
func (f *Frontend) makeRoom(newcomer *conn) bool {
	open := f.live()
	if open <= f.most {
		return true
	}
	if least := f.leastNeeded(newcomer, true); least != nil {
		f.counts.Count("connection closed to make room")
		least.close("to make room")
		open--
	}
	return open <= f.most
}

// inUse is the number of connections that something is still to be answered on.
func (f *Frontend) inUse() (used int) {
	for _, c := range f.conns {
		if !c.dead && (len(c.open) > 0 || !c.out.Empty()) {
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

// leastNeeded finds the connection that a new one may take the place of: of those that never sent a frame that
// was understood, though they had the time for it, the oldest; without one, the one idle for longest. Those
// asked to go already count only where the table is full.
func (f *Frontend) leastNeeded(newcomer *conn, full bool) (least *conn) {
	now := f.server.Now()
	for _, c := range f.conns {
		switch {
		case c == newcomer || c.dead || c.isHalf() || len(c.open) > 0 || !c.out.Empty() || c.retired && !full:
		case !c.spoke && now < c.born+newWait:
		case c.begun > 0 && now < c.begun+newWait: // the rest of a task may be on its way
		case least == nil, least.spoke && !c.spoke, least.spoke == c.spoke && c.last < least.last:
			if c.quiet() {
				least = c
			}
		}
	}
	return least
}

// left books that a connection is gone.
func (f *Frontend) left(c *conn) {
	for i, other := range f.conns {
		if other == c {
			f.conns[i] = f.conns[len(f.conns)-1]
			f.conns[len(f.conns)-1] = nil
			f.conns = f.conns[:len(f.conns)-1]
			return
		}
	}
}

// Open is the number of connections.
func (f *Frontend) Open() int { return len(f.conns) }

// CloseIdle sets for how long a connection may carry nothing.
func (f *Frontend) CloseIdle(span time.Duration) { f.idle = span }

// Flush writes what was answered, and now and then looks for idle connections: behind the writing, as a
// connection whose last task was answered in this round is idle only once that answer has left.
func (f *Frontend) Flush() (written bool) {
	left := f.dirty[:0]
	for _, c := range f.dirty {
		if c.flush() {
			c.dirty = false
			c.hush()
		} else {
			left = append(left, c)
		}
	}
	clear(f.dirty[len(left):])
	f.dirty = left
	f.shutListener()
	if now := f.server.Now(); now >= f.swept+sweepEvery {
		f.swept = now
		f.sweep(now)
	}
	return len(f.dirty) == 0
}

// relieve cuts off the peer for which most waits, as one that reads has next to nothing waiting.
func (f *Frontend) relieve() {
	var most *conn
	for _, c := range f.conns {
		if !c.dead && (most == nil || c.out.Size() > most.out.Size()) {
			most = c
		}
	}
	if most != nil {
		most.cutOff(deaf)
	}
}

// sweep asks idle connections to go, and closes those that were asked and did not. Asking first means that no
// task crosses the close; a router that does not heed it must not keep a descriptor. What says nothing, or
// begins a frame and does not end it, goes too, whatever bytes it sends now and then.
func (f *Frontend) sweep(now time.Duration) {
	stays := retiredWait
	if f.retired {
		stays = leavingWait
	}
	for i := len(f.conns) - 1; i >= 0; i-- {
		c := f.conns[i]
		switch {
		case !c.dead && c.isHalf():
			c.sweepHalf(now)
		case c.dead || len(c.open) > 0:
		case c.broken:
			if now >= c.last+stays {
				c.close("broken, and all on it answered")
			}
		case !c.spoke && now >= c.born+silentWait:
			if c.quiet() {
				c.fail("nothing understood")
			}
		case c.begun > 0 && now >= c.begun+silentWait:
			if c.quiet() {
				c.fail("frame not ended")
			}
		case !c.out.Empty() && now < c.last+stuckWait: // answers that its router has yet to read
		case c.retired && c.begun == 0 && now >= f.goesFrom(c)+stays:
			if c.quiet() { // with bytes unread the close would be a reset, and a task among them lost
				c.close("asked to go, and did not")
			}
		case f.idle > 0 && now >= c.last+f.idle && !c.retired:
			c.retire("idle")
		}
	}
}

// goesFrom is from when on a connection has its time to go. While the server leaves, that is when it was asked: a router
// that sends on all the same would keep it open to the end of the process, and lose what it sent last with that. Closed
// between two requests, it is told at once.
func (f *Frontend) goesFrom(c *conn) time.Duration {
	if f.retired {
		return c.askedAt
	}
	return c.last
}

// StopAccepting closes the listener and asks all routers to send nothing more on their connections.
func (f *Frontend) StopAccepting() {
	if f.retired {
		return
	}
	f.retired = true
	f.closing.Store(true)
	f.shutListener()
	for _, c := range f.conns {
		c.retire("draining")
	}
}

// shutListener has a retired front take no more connections, once it has taken those that are made already: the
// system would reset them, and with them tasks that were written to them.
func (f *Frontend) shutListener() {
	if !f.retired || f.shut || ready(f.listener.Fd()) {
		return
	}
	f.shut = true
	// Shut down rather than closed: netpoll's Close closes one descriptor twice, and the second time it may
	// be that of a connection just taken.
	if err := unix.Shutdown(f.listener.Fd(), unix.SHUT_RD); err != nil {
		f.log.Warn("listener stays open to the end", "error", err)
		f.open = true
	}
}

// Quiet tells whether nothing that came waits to be taken or read: no connection made and not taken, none taken that
// had no turn, no bytes on any.
func (f *Frontend) Quiet() bool {
	// In this order: a connection is counted before it leaves the listener.
	if (!f.shut || f.open) && ready(f.listener.Fd()) || f.taken.Load() != f.joins.Load() {
		return false
	}
	for _, c := range f.conns {
		if !c.dead && !c.quiet() {
			return false
		}
	}
	return true
}

// ready tells whether a descriptor has something to be taken or read.
func ready(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(polled, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return sysfault.IsTransient(err) // not known: what waits would be lost
		default:
			return n > 0 && polled[0].Revents&unix.POLLIN != 0
		}
	}
}
