package server

import (
	"sync"
	"time"
)

const (
	// maxReadTime is the maximum time that one round spends on submitted functions. The request that was read first
	// waits meanwhile for the decision of its round.
	maxReadTime = 5 * time.Millisecond
	// callsPerClockReading is the number of submitted functions that are called between two readings of the clock.
	callsPerClockReading = 16
)

// inbox passes functions and wakeups from other goroutines to the event loop.
type inbox struct {
	mu        sync.Mutex
	submitted []func()
	wake      chan struct{} // holds one signal while there is input to check for

	// Used by the event loop only.
	batch  []func() // taken from submitted
	called int      // number of functions of the batch that were called
}

// Wake makes the event loop check for input. Any goroutine may call it; it never blocks.
func (s *Server) Wake() {
	select {
	case s.inbox.wake <- struct{}{}:
	default:
	}
}

// Submit makes the event loop call f. Any goroutine may call it; it never blocks. Its callers bound the queue: a
// connection has at most one netpoll callback in it at a time, in addition to those for its start and its end.
func (s *Server) Submit(f func()) {
	s.inbox.mu.Lock()
	s.inbox.submitted = append(s.inbox.submitted, f)
	s.inbox.mu.Unlock()
	s.Wake()
}

// callSubmitted calls the functions of the current batch in order, or of a new batch if all of them were called. It
// stops when the time reaches until. called reports whether it called any.
func (s *Server) callSubmitted(until time.Duration) (called bool) {
	input := &s.inbox
	if input.called == len(input.batch) {
		input.batch = s.takeSubmitted(input.batch[:0])
		input.called = 0
	}
	first := input.called
	for input.called < len(input.batch) {
		submitted := input.batch[input.called]
		input.batch[input.called] = nil
		input.called++
		submitted()
		if (input.called-first)%callsPerClockReading == 0 && s.Now() >= until {
			break
		}
	}
	return input.called > first
}

// takeSubmitted returns the submitted functions, and stores empty in their place.
func (s *Server) takeSubmitted(empty []func()) (submitted []func()) {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	submitted, s.inbox.submitted = s.inbox.submitted, empty
	return submitted
}

// inboxEmpty reports whether all submitted functions have been called.
func (s *Server) inboxEmpty() bool { return s.submittedCount() == 0 }

// submittedCount returns the number of submitted functions that have not been called.
func (s *Server) submittedCount() int {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	return len(s.inbox.submitted) + len(s.inbox.batch) - s.inbox.called
}
