package frontend

import (
	"errors"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/sysfault"
)

// StopAccepting shuts the listener and drains all connections.
func (f *Frontend) StopAccepting() {
	if f.draining {
		return
	}
	f.draining = true
	f.stopping.Store(true)
	f.shutListener()
	for _, c := range f.conns {
		c.drain("draining")
	}
}

// shutListener has a draining front end accept no more connections, once it has accepted those that are made already: the
// system would reset them, and with them requests that were written to them.
func (f *Frontend) shutListener() {
	if !f.draining || f.listenerShut || readable(f.listener.Fd()) {
		return
	}
	f.listenerShut = true
	// Shut down rather than closed: netpoll's Close closes one descriptor twice, and the second time it may
	// be that of a connection just accepted.
	if err := unix.Shutdown(f.listener.Fd(), unix.SHUT_RD); err != nil {
		f.log.Warn("listener stays open to the end", "error", err)
		f.shutFailed = true
	}
}

// InputDrained is whether nothing waits to be accepted or read: no connection in the listener, none without its first turn, no bytes
// on any.
func (f *Frontend) InputDrained() bool {
	// In this order: a connection is counted before it leaves the listener.
	if (!f.listenerShut || f.shutFailed) && readable(f.listener.Fd()) || f.acceptedCount.Load() != f.joinedCount.Load() {
		return false
	}
	for _, c := range f.conns {
		if !c.dead && !c.inputEmpty() {
			return false
		}
	}
	return true
}

// readable is whether a descriptor has something to be accepted or read.
func readable(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(polled, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return sysfault.IsTransient(err) // where that is not known: what waits would be lost
		default:
			return n > 0 && polled[0].Revents&unix.POLLIN != 0
		}
	}
}
