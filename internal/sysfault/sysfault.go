// Package sysfault tells transient errors of system calls from lasting ones, by the manual pages of Linux.
package sysfault

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// IsTransient is whether a read or write on a socket failed only for now: it was interrupted, the socket is not ready, or the
// system has no memory or queue for it. The connection is as it was, and the call is to be made again.
func IsTransient(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM)
}

// IsTransientAccept is whether accept failed for one connection, or for now, and the listener is as it was. Network errors that
// are pending on a new connection come out of accept, and accept(2) says to treat them as EAGAIN; a firewall's rule shows as
// EPERM.
func IsTransientAccept(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ECONNABORTED, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// IsExhausted is whether there is no new descriptor, as the process or the system has too few of them or too little memory.
func IsExhausted(err error) bool {
	return isAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM)
}

func isAny(err error, numbers ...unix.Errno) bool {
	var number unix.Errno
	return errors.As(err, &number) && slices.Contains(numbers, number)
}
