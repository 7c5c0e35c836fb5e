package frontend

import (
	"errors"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/sysfault"
)

// StopAccepting shuts down the listener and drains all connections.
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

// shutListener makes a draining front end accept no more connections, once it has accepted those that are already
// established. The system would otherwise reset these, and the requests already written to them would be lost.
func (f *Frontend) shutListener() {
	if !f.draining || f.listenerShut || readable(f.listener.Fd()) {
		return
	}
	f.listenerShut = true
	// The listener is shut down rather than closed: netpoll's Close closes one descriptor twice, and the second time it
	// may belong to a connection just accepted.
	if err := unix.Shutdown(f.listener.Fd(), unix.SHUT_RD); err != nil {
		f.log.Warn("listener can't be shut down and stays open until the process ends", "error", err)
		f.shutFailed = true
	}
}

// InputDrained reports whether nothing waits to be accepted or read: no connection in the listener, no accepted one
// that has not joined, and no bytes on any connection.
func (f *Frontend) InputDrained() bool {
	// The listener is checked first, because a connection is counted before it leaves the listener.
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

// readable reports whether a descriptor has a connection to be accepted or bytes to be read.
func readable(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(polled, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			// After a transient error it is unknown whether input waits. It is assumed to, because otherwise the
			// listener may be shut down or the process end, which would lose it.
			return sysfault.IsTransient(err)
		default:
			return n > 0 && polled[0].Revents&unix.POLLIN != 0
		}
	}
}
