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
	for _, number := range []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM} {
		assert.True(t, IsTransient(number), number)
		assert.True(t, IsTransient(fmt.Errorf("write: %w", number)), number)
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
	for _, number := range transient {
		wrapped := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", number)}
		assert.True(t, IsTransientAccept(wrapped), number)
		assert.False(t, IsExhausted(wrapped), number)
	}
	for _, number := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		assert.True(t, IsExhausted(number), number)
		assert.False(t, IsTransientAccept(number), number)
	}
	for _, number := range []unix.Errno{unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EFAULT} {
		assert.False(t, IsTransientAccept(number) || IsExhausted(number), number)
	}
}
