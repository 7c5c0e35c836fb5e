// Package writequeue holds what is to be written to one peer, and writes it in gathered writes that never block.
package writequeue

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/sysfault"
)

// writev is the system call; tests replace it.
var writev = unix.Writev

// maxParts is how many pieces one write gathers, under Linux's limit of 1024.
const maxParts = 256

// ErrFull is the error of a queue over its bound: the peer reads too little.
var ErrFull = errors.New("peer does not read")

// Queue is what is to be written to one peer, in order. Pieces are not copied, and must not change before they are written. It
// is not safe for concurrent use.
type Queue struct {
	parts    [][]byte
	size     int // bytes
	maxBytes int
}

// New makes a queue of at most maxBytes.
func New(maxBytes int) *Queue { return &Queue{maxBytes: maxBytes} }

// Add appends pieces. Where they would exceed the bound it adds none and returns ErrFull.
func (q *Queue) Add(parts ...[]byte) error {
	more := 0
	for _, p := range parts {
		more += len(p)
	}
	if q.size+more > q.maxBytes {
		return fmt.Errorf("%w: %d bytes wait", ErrFull, q.size)
	}
	for _, p := range parts {
		if len(p) > 0 {
			q.parts = append(q.parts, p)
		}
	}
	q.size += more
	return nil
}

// Empty is whether nothing is queued.
func (q *Queue) Empty() bool { return q.size == 0 }

// Size is the number of queued bytes.
func (q *Queue) Size() int { return q.size }

// Flush writes as much as the descriptor takes now; the rest is left for the next call. Netpoll's own Flush would block its
// caller, the event loop, until the peer reads again.
func (q *Queue) Flush(fd int) error {
	for q.size > 0 {
		n, err := writev(fd, q.parts[:min(len(q.parts), maxParts)])
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case sysfault.IsTransient(err):
			return nil
		case err != nil:
			return fmt.Errorf("write: %w", err)
		}
		q.drop(n)
	}
	return nil
}

// FlushTo is Flush for a connection that is not netpoll's.
func (q *Queue) FlushTo(raw syscall.RawConn) error {
	var writeErr error
	err := raw.Write(func(fd uintptr) bool {
		writeErr = q.Flush(int(fd))
		return true // and not when the socket is writable again
	})
	return errors.Join(err, writeErr)
}

// drop removes written bytes.
func (q *Queue) drop(n int) {
	q.size -= n
	done := 0
	for done < len(q.parts) && n >= len(q.parts[done]) {
		n -= len(q.parts[done])
		done++
	}
	left := copy(q.parts, q.parts[done:])
	clear(q.parts[left:]) // so that written pieces can be collected
	q.parts = q.parts[:left]
	if n > 0 {
		q.parts[0] = q.parts[0][n:]
	}
}
