// Package writequeue queues data for one peer and writes it with gathered writes that never block.
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

// maxParts is the maximum number of parts that one write gathers; Linux allows up to 1024.
const maxParts = 256

// ErrFull is returned if the queue would exceed its limit because the peer reads too slowly.
var ErrFull = errors.New("peer does not read")

// Queue contains the parts to be written to one peer, in order. Parts are not copied and must not be modified until
// they are written. A Queue is not safe for concurrent use.
type Queue struct {
	parts    [][]byte
	size     int // in bytes
	maxBytes int
}

// New returns a queue of at most maxBytes bytes.
func New(maxBytes int) *Queue { return &Queue{maxBytes: maxBytes} }

// Add appends parts. If they would exceed the limit, it appends none of them and returns an error that wraps ErrFull.
func (q *Queue) Add(parts ...[]byte) error {
	more := 0
	for _, p := range parts {
		more += len(p)
	}
	if q.size+more > q.maxBytes {
		return fmt.Errorf("%w: %d bytes are queued", ErrFull, q.size)
	}
	for _, p := range parts {
		if len(p) > 0 {
			q.parts = append(q.parts, p)
		}
	}
	q.size += more
	return nil
}

// Empty reports whether the queue is empty.
func (q *Queue) Empty() bool { return q.size == 0 }

// Size returns the number of queued bytes.
func (q *Queue) Size() int { return q.size }

// Flush writes as much as the descriptor accepts without blocking. The rest stays queued, also after a transient error,
// which Flush does not return. netpoll's own Flush is not used, because it would block its caller, the event loop, until
// the peer reads.
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

// FlushTo does the same as Flush for a connection that netpoll does not manage.
func (q *Queue) FlushTo(raw syscall.RawConn) error {
	var writeErr error
	err := raw.Write(func(fd uintptr) bool {
		writeErr = q.Flush(int(fd))
		return true // don't wait until the socket is writable
	})
	return errors.Join(err, writeErr)
}

// drop removes the first n bytes, which have been written.
func (q *Queue) drop(n int) {
	q.size -= n
	done := 0
	for done < len(q.parts) && n >= len(q.parts[done]) {
		n -= len(q.parts[done])
		done++
	}
	left := copy(q.parts, q.parts[done:])
	clear(q.parts[left:]) // allows written parts to be garbage collected
	q.parts = q.parts[:left]
	if n > 0 {
		q.parts[0] = q.parts[0][n:]
	}
}
