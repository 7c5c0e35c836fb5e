package frontend

import "sync"

// readAhead bounds the bytes that were received on all connections and are not parsed yet. Before the poller passes on
// received bytes it acquires them here, and while the bound is reached it reads from no connection, so that the kernel
// holds back the peers. The event loop releases the bytes that it has parsed.
type readAhead struct {
	maxBytes int
	ended    <-chan struct{} // closed when the event loop has ended, and releases nothing any more
	freed    chan struct{}   // holds one signal after a release

	mu   sync.Mutex
	used int
}

func newReadAhead(maxBytes int, ended <-chan struct{}) *readAhead {
	return &readAhead{maxBytes: maxBytes, ended: ended, freed: make(chan struct{}, 1)}
}

// acquire waits until a number of bytes is within the bound, or no other bytes are in use: one read may be longer than
// the bound. acquired is false if the event loop has ended. Only the poller may call it.
func (r *readAhead) acquire(bytes int) (acquired bool) {
	for !r.tryAcquire(bytes) {
		select {
		case <-r.freed:
		case <-r.ended:
			return false
		}
	}
	return true
}

func (r *readAhead) tryAcquire(bytes int) (acquired bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used > 0 && r.used+bytes > r.maxBytes {
		return false
	}
	r.used += bytes
	return true
}

// release releases bytes that were acquired.
func (r *readAhead) release(bytes int) {
	r.mu.Lock()
	r.used -= bytes
	r.mu.Unlock()
	select {
	case r.freed <- struct{}{}:
	default:
	}
}
