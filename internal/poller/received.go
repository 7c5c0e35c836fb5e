package poller

import "sync"

// Received are the bytes that were received on one connection and are not handled yet. The poller adds to them, and the
// event loop of the connection takes them. The zero value is ready for use, and its methods are safe for concurrent use.
type Received struct {
	mu    sync.Mutex
	bytes []byte
}

// Add appends a copy of bytes. first reports whether there were none before: the event loop must then be told to take
// them.
func (r *Received) Add(bytes []byte) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = len(r.bytes) == 0
	r.bytes = append(r.bytes, bytes...)
	return first
}

// Take returns all bytes and removes them.
func (r *Received) Take() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.bytes
	r.bytes = nil
	return taken
}

// Len returns the number of bytes.
func (r *Received) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bytes)
}
