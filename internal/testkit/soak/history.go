package soak

import (
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is one that was written whole to a connection, and what became of it.
type Request struct {
	ID     string
	Class  int
	Key    string // of a keyed one
	Life   *Life
	Sent   time.Time // its last byte
	Due    time.Time
	Answer []Answered
	Ended  time.Time // of its connection, zero while that lasts
	Reset  bool      // by the client, which ends what is owed
}

// Answered is an answer as it was read.
type Answered struct {
	At   time.Time
	Code byte
}

// The codes of answers.
const (
	CodeServed  = 20
	CodeRefused = 50
	CodeFailed  = 51
)

// Life is one process of a server, from its start to its end.
type Life struct {
	Server  int
	Number  int
	Notice  time.Time // of SIGTERM, zero without
	Killed  time.Time // by SIGKILL without a notice, zero without
	Ended   time.Time // of the process, zero while it lasts
	ByKill  bool      // behind a notice, it had to be killed
	Exit    int
	Stopped []Span // by SIGSTOP
	Starved []Wait // for a core of this machine, as seen now and then
	Strain  harness.Strain
	Runs    []harness.RunStart
	Log     string
}

// Wait is for how long a process had waited for a core in all, at a moment.
type Wait struct {
	At    time.Time
	Total time.Duration
}

// starved is for how long the process waited for a core from one moment to another. A thread that ends takes its waiting
// along, so a total may fall; that is no time at all.
func (l *Life) starved(from, to time.Time) time.Duration {
	if len(l.Starved) == 0 {
		return 0
	}
	before, after := l.Starved[0].Total, l.Starved[len(l.Starved)-1].Total
	for _, w := range l.Starved {
		if !w.At.After(from) {
			before = w.Total
		}
		if w.At.After(to) {
			after = w.Total
			break
		}
	}
	return max(after-before, 0)
}

// Span is a time from one moment to another.
type Span struct{ From, To time.Time }

// History is all that was recorded of a run. Its methods may be called from any goroutine.
type History struct {
	mu       sync.Mutex
	Plan     Plan
	Lives    []*Life
	Requests []*Request
	Lateness time.Duration  // the most by which the recorder itself was late: machine noise
	Calls    harness.Strain // of the shared dependency
	CallsIn  int            // calls that it had
	stray    int            // answers on streams that were answered, or never asked
}

// add books a request and gives what is to be filled in under the lock.
func (h *History) add(r *Request) {
	h.mu.Lock()
	h.Requests = append(h.Requests, r)
	h.mu.Unlock()
}

// change changes something of the history.
func (h *History) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// watchLateness follows how late a timer of this process is, until done is closed.
func (h *History) watchLateness(done <-chan struct{}) {
	const period = 5 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) - period
		last = now
		h.change(func() { h.Lateness = max(h.Lateness, late) })
	}
}
