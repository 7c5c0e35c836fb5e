package server

import (
	"sync"
	"time"
)

const (
	// maxReadTime is how long one round goes on taking in what was submitted: the request that was read first waits for the
	// decision of its round meanwhile.
	maxReadTime = 5 * time.Millisecond
	// callsPerClockReading is how many submitted functions are called between two looks at the clock.
	callsPerClockReading = 16
)

// inbox is how other goroutines reach the event loop.
type inbox struct {
	mu        sync.Mutex
	submitted []func()
	wake      chan struct{} // holds one signal while there is something to look for

	// Of the event loop alone.
	batch  []func() // taken from submitted
	called int      // of the batch, its first ones
}

// Wake has the event loop look for input. Any goroutine may call it; it never blocks.
func (s *Server) Wake() {
	select {
	case s.inbox.wake <- struct{}{}:
	default:
	}
}

// Submit has the event loop call f. Any goroutine may call it; it never blocks. The queue is bounded by its callers: a
// connection has one callback of netpoll in it at a time, beside those of its beginning and its end.
func (s *Server) Submit(f func()) {
	s.inbox.mu.Lock()
	s.inbox.submitted = append(s.inbox.submitted, f)
	s.inbox.mu.Unlock()
	s.Wake()
}

// callSubmitted calls what was submitted, in its order, until there is no more or a moment has passed. called is whether
// there was any.
func (s *Server) callSubmitted(until time.Duration) (called bool) {
	box := &s.inbox
	if box.called == len(box.batch) {
		box.batch = s.takeSubmitted(box.batch[:0])
		box.called = 0
	}
	first := box.called
	for box.called < len(box.batch) {
		submitted := box.batch[box.called]
		box.batch[box.called] = nil
		box.called++
		submitted()
		if (box.called-first)%callsPerClockReading == 0 && s.Now() >= until {
			break
		}
	}
	return box.called > first
}

// takeSubmitted swaps what was submitted for an empty slice.
func (s *Server) takeSubmitted(empty []func()) (submitted []func()) {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	submitted, s.inbox.submitted = s.inbox.submitted, empty
	return submitted
}

// nothingSubmitted is whether all that was submitted has been called.
func (s *Server) nothingSubmitted() bool { return s.submittedLeft() == 0 }

// submittedLeft is how much of what was submitted has not been called.
func (s *Server) submittedLeft() int {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	return len(s.inbox.submitted) + len(s.inbox.batch) - s.inbox.called
}
