package soak

import (
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is one that was written whole to a connection, and what became of it.
type Request struct {
	ID              string
	Route           int
	Key             string // of a keyed one
	Incarnation     *Incarnation
	SentAt          time.Time // its last byte
	Deadline        time.Time
	Answers         []Answer
	ConnectionEnded time.Time // of its connection, zero while that lasts
	ResetByClient   bool      // by the client, which ends what is owed
}

// Answer is an answer as it was read.
type Answer struct {
	At   time.Time
	Code byte
}

// The codes of answers.
const (
	CodeServed   = 20
	CodeRejected = 50
	CodeAborted  = 51
)

// Incarnation is one process of a server, from its start to its end.
type Incarnation struct {
	Server             int
	Number             int
	NotifiedAt         time.Time // of SIGTERM, zero without
	KilledAt           time.Time // by SIGKILL without a notice, zero without
	EndedAt            time.Time // of the process, zero while it lasts
	KilledAfterTimeout bool      // behind a notice, it had to be killed
	ExitCode           int
	Paused             []Span    // by SIGSTOP
	CPUWaits           []CPUWait // for a core of this machine, as seen now and then
	Strain             harness.Strain
	Runs               []harness.RunStart
	Log                string
}

// CPUWait is for how long a process had waited for a core in all, at a moment.
type CPUWait struct {
	At    time.Time
	Total time.Duration
}

// cpuWait is for how long the process waited for a core from one moment to another. A thread that ends takes its waiting
// along, so a total may fall; that is no time at all.
func (l *Incarnation) cpuWait(from, to time.Time) time.Duration {
	if len(l.CPUWaits) == 0 {
		return 0
	}
	before, after := l.CPUWaits[0].Total, l.CPUWaits[len(l.CPUWaits)-1].Total
	for _, w := range l.CPUWaits {
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
	mu            sync.Mutex
	Plan          Plan
	Incarnations  []*Incarnation
	Requests      []*Request
	TimerLateness time.Duration  // the most by which the recorder itself was late: machine noise
	CallStrain    harness.Strain // of the shared dependency
	Calls         int            // calls that it had
	strayAnswers  int            // answers on streams that were answered, or never asked
}

// add books a request and gives what is to be filled in under the lock.
func (h *History) add(r *Request) {
	h.mu.Lock()
	h.Requests = append(h.Requests, r)
	h.mu.Unlock()
}

// update changes something of the history.
func (h *History) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// recordTimerLateness follows how late a timer of this process is, until done is closed.
func (h *History) recordTimerLateness(done <-chan struct{}) {
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
		h.update(func() { h.TimerLateness = max(h.TimerLateness, late) })
	}
}
