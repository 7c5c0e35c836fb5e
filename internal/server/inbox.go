package server

import "sync"

// inbox is how other goroutines reach the event loop.
type inbox struct {
	mu        sync.Mutex
	submitted []func()
	wake      chan struct{} // holds one signal while there is something to look for
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

// takeSubmitted swaps what was submitted for an empty slice.
func (s *Server) takeSubmitted(empty []func()) (submitted []func()) {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	submitted, s.inbox.submitted = s.inbox.submitted, empty
	return submitted
}

// nothingSubmitted is whether the queue is empty.
func (s *Server) nothingSubmitted() bool {
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	return len(s.inbox.submitted) == 0
}
