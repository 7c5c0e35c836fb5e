package soak

import (
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is a request that was written completely, with its outcome.
type Request struct {
	ID              string
	Route           int
	Key             string // idempotency key; empty unless the route is keyed
	Incarnation     *Incarnation
	SentAt          time.Time // when its last byte was written
	Deadline        time.Time
	Answers         []Answer
	ConnectionEnded time.Time // when the client saw its connection end; zero if it was answered before, or if the connection is still open
	ResetByClient   bool      // the sender reset the connection, so no answer is owed
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
	Server     int
	Number     int
	NotifiedAt time.Time // when SIGTERM was sent; zero if it was not
	KilledAt   time.Time // when SIGKILL was sent without a notice; zero if it was not
	EndedAt    time.Time // zero while the process runs
	Killed     bool      // ended by SIGKILL: by the fault Kill, which sets KilledAt too, or after its shutdown took too long
	ExitCode   int
	Pauses     []Span    // between SIGSTOP and SIGCONT
	CPUWaits   []CPUWait // samples, in order of time
	PeakLoad   harness.PeakLoad
	Runs       []harness.RunStart
	Log        string
}

// CPUWait is a sample of the total time that the threads of a process have waited for a core of this machine.
type CPUWait struct {
	At    time.Time
	Total time.Duration
}

// drainMargin returns the time from the end of a process that was shut down to the earliest allowed kill. It is
// negative if the process ended after that. known is false if the process was not shut down, was killed without a
// notice, or has not ended.
func (inc *Incarnation) drainMargin(killAfter time.Duration) (margin time.Duration, known bool) {
	if inc.NotifiedAt.IsZero() || inc.EndedAt.IsZero() || !inc.KilledAt.IsZero() {
		return 0, false
	}
	return killAfter - inc.EndedAt.Sub(inc.NotifiedAt), true
}

// cpuWait returns the time that the process waited for a core between two moments. A total falls when a thread ends, as
// the time of that thread is no longer counted; a fall counts as no wait.
func (inc *Incarnation) cpuWait(from, to time.Time) time.Duration {
	if len(inc.CPUWaits) == 0 {
		return 0
	}
	before, after := inc.CPUWaits[0].Total, inc.CPUWaits[len(inc.CPUWaits)-1].Total
	for _, w := range inc.CPUWaits {
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

// History is the record of a soak run. Its methods may be called from any goroutine.
type History struct {
	mu                 sync.Mutex
	Plan               Plan
	Incarnations       []*Incarnation
	Requests           []*Request
	TimerLateness      time.Duration    // maximum lateness of a timer of this process
	DependencyPeakLoad harness.PeakLoad // of the dependency that all servers share
	Calls              int              // read by the dependency
	strayAnswers       int              // answers on streams without an open request
}

// add records a request. It is changed later only within update.
func (h *History) add(r *Request) {
	h.mu.Lock()
	h.Requests = append(h.Requests, r)
	h.mu.Unlock()
}

// update calls f under the lock.
func (h *History) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// recordTimerLateness records the maximum lateness of a timer of this process. It returns when done is closed.
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
