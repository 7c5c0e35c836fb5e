// Package sysfault distinguishes transient errors of system calls from permanent ones, according to the Linux manual
// pages.
package sysfault

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// IsTransient reports whether a read or write on a socket failed temporarily: it was interrupted, the socket is not
// ready, or the system has no memory or queue space for it. The connection is unaffected, and the call should be
// repeated.
func IsTransient(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM)
}

// IsTransientAccept reports whether accept failed for one connection or temporarily, and the listener is unaffected.
// accept returns network errors that are pending on the new connection, and accept(2) says to treat them like EAGAIN. A
// firewall rule can cause EPERM.
func IsTransientAccept(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ECONNABORTED, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// IsExhausted reports whether no new descriptor is available because the process or the system has no descriptors or no
// memory left.
func IsExhausted(err error) bool {
	return isAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM)
}

func isAny(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
