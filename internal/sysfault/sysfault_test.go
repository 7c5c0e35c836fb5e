package sysfault

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

func TestIsTransient(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM} {
		assert.True(t, IsTransient(errno), errno)
		assert.True(t, IsTransient(fmt.Errorf("write: %w", errno)), errno)
	}
	for _, err := range []error{unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EBADF, errors.New("else"), nil} {
		assert.False(t, IsTransient(err), err)
	}
}

func TestAccept(t *testing.T) {
	transient := []unix.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EAGAIN, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
	}
	for _, errno := range transient {
		wrapped := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		assert.True(t, IsTransientAccept(wrapped), errno)
		assert.False(t, IsExhausted(wrapped), errno)
	}
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		assert.True(t, IsExhausted(errno), errno)
		assert.False(t, IsTransientAccept(errno), errno)
	}
	for _, errno := range []unix.Errno{unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EFAULT} {
		assert.False(t, IsTransientAccept(errno) || IsExhausted(errno), errno)
	}
}
