// Package writequeue holds what waits to be written to one peer and writes it gathered, without ever waiting
// for the peer.
package writequeue

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"quartzpoint/internal/sysfault"
)

// writev is the system's; tests have it fail.
var writev = unix.Writev

// mostParts is how many pieces one write gathers, well under what the system takes.
const mostParts = 256

// ErrFull tells that a peer reads too little: what waits for it has passed the box's bound.
var ErrFull = errors.New("peer does not read")

// Queue is what waits for one peer, in order. Pieces are kept as given and must not change before they are
// written.
type Queue struct {
	parts [][]byte
	size  int
	bound int
}

// New makes a box that holds up to bound bytes.
func New(bound int) *Queue { return &Queue{bound: bound} }

// Add puts pieces behind those that wait. Past the bound nothing is added, and the peer is to be dropped.
func (b *Queue) Add(parts ...[]byte) error {
	more := 0
	for _, p := range parts {
		more += len(p)
	}
	if b.size+more > b.bound {
		return fmt.Errorf("%w: %d bytes wait", ErrFull, b.size)
	}
	for _, p := range parts {
		if len(p) > 0 {
			b.parts = append(b.parts, p)
		}
	}
	b.size += more
	return nil
}

// Empty tells whether nothing waits.
func (b *Queue) Empty() bool { return b.size == 0 }

// Size is the number of bytes that wait.
func (b *Queue) Size() int { return b.size }

// Flush writes as much as the descriptor takes now. What it does not take waits for the next call: netpoll's
// own Flush would block its caller, the one owner of decisions, until the peer reads again.
func (b *Queue) Flush(fd int) error {
	for b.size > 0 {
		n, err := writev(fd, b.parts[:min(len(b.parts), mostParts)])
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case sysfault.IsTransient(err):
			return nil
		case err != nil:
			return fmt.Errorf("write: %w", err)
		}
		b.drop(n)
	}
	return nil
}

// FlushTo does the same for a connection that is not netpoll's.
func (b *Queue) FlushTo(raw syscall.RawConn) error {
	var failed error
	err := raw.Write(func(fd uintptr) bool {
		failed = b.Flush(int(fd))
		return true // what the socket does not take now waits for the next call
	})
	return errors.Join(err, failed)
}

// drop takes written bytes off the front.
func (b *Queue) drop(n int) {
	b.size -= n
	done := 0
	for done < len(b.parts) && n >= len(b.parts[done]) {
		n -= len(b.parts[done])
		done++
	}
	left := copy(b.parts, b.parts[done:])
	clear(b.parts[left:]) // written pieces are not kept alive
	b.parts = b.parts[:left]
	if n > 0 {
		b.parts[0] = b.parts[0][n:]
	}
}
