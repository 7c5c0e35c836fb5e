package soak

import (
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is a request that was written completely, and what became of it.
type Request struct {
	ID              string
	Route           int
	Key             string // idempotency key, of a keyed route
	Incarnation     *Incarnation
	SentAt          time.Time // when its last byte was written
	Deadline        time.Time
	Answers         []Answer
	ConnectionEnded time.Time // zero while the connection lasts
	ResetByClient   bool      // no answer is owed any more
}

// Answer is an answer that a client read.
type Answer struct {
	At   time.Time
	Code byte
}

// The status codes of answers.
const (
	CodeServed   = harness.StatusServed
	CodeRejected = harness.StatusRejected
	CodeAborted  = harness.StatusAborted
)

// Incarnation is one process of a server, from its start to its end.
type Incarnation struct {
	Server             int
	Number             int
	NotifiedAt         time.Time // by SIGTERM, zero without
	KilledAt           time.Time // by SIGKILL without a notice, zero without
	EndedAt            time.Time // zero while the process runs
	KilledAfterTimeout bool      // had to be killed after SIGTERM
	ExitCode           int
	Paused             []Span    // by SIGSTOP
	CPUWaits           []CPUWait // samples in order of time
	Strain             harness.PeakLoad
	Runs               []harness.RunStart
	Log                string
}

// CPUWait is the total time that a process had waited for a core of this machine, at a moment.
type CPUWait struct {
	At    time.Time
	Total time.Duration
}

// drainDistance returns by how much the process ended before the earliest kill, for one that was shut down; below 0 it would
// have been killed. known is false for others.
func (l *Incarnation) drainDistance(killAfter time.Duration) (distance time.Duration, known bool) {
	if l.NotifiedAt.IsZero() || l.EndedAt.IsZero() || !l.KilledAt.IsZero() {
		return 0, false
	}
	return killAfter - l.EndedAt.Sub(l.NotifiedAt), true
}

// cpuWait returns the time that the process waited for a core from one moment to another. Totals fall when a thread ends,
// as its time is not counted any more; that counts as no wait.
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

// Span is the time from one moment to another.
type Span struct{ From, To time.Time }

// History is what was recorded of a run. Its methods may be called from any goroutine.
type History struct {
	mu            sync.Mutex
	Plan          Plan
	Incarnations  []*Incarnation
	Requests      []*Request
	TimerLateness time.Duration    // the most by which a timer of this process was late
	CallStrain    harness.PeakLoad // of the shared dependency
	Calls         int              // read by the dependency
	strayAnswers  int              // answers on streams without an open request
}

// add records a request. Later changes of it are made by update.
func (h *History) add(r *Request) {
	h.mu.Lock()
	h.Requests = append(h.Requests, r)
	h.mu.Unlock()
}

// update runs f under the lock.
func (h *History) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// recordTimerLateness records how late a timer of this process is, until done is closed.
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
