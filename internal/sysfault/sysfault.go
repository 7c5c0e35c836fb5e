// Package sysfault tells failures of system calls that pass from those that stay, by the pages of Linux.
package sysfault

import (
	"errors"

	"golang.org/x/sys/unix"
)

// IsTransient tells whether a read or write on a socket failed only for now: it was interrupted, the socket is not ready, or
// the system has no memory or queue for it. The connection is as it was, and the call is to be made again.
func IsTransient(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM)
}

// IsTransientAccept tells whether accept failed for one connection, or for now, and its listener is as it was. Errors of
// the network that are pending on a new connection come out of accept, which accept(2) says to take as EAGAIN; a firewall's
// rule shows as EPERM.
func IsTransientAccept(err error) bool {
	return isAny(err, unix.EINTR, unix.EAGAIN, unix.ECONNABORTED, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// IsExhausted tells whether a new descriptor could not be had, as the process or the system has too few of them or too little
// memory.
func IsExhausted(err error) bool {
	return isAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM)
}

func isAny(err error, numbers ...unix.Errno) bool {
	var number unix.Errno
	if !errors.As(err, &number) {
		return false
	}
	for _, n := range numbers {
		if number == n {
			return true
		}
	}
	return false
}
