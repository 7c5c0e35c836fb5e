package quartzpoint

import "sync/atomic"

// handover passes a run that the event loop has started to the goroutine that executes it: the one that waits in
// Gate.Admit, or the one that Gate.Do's function runs in. Until that goroutine takes the run, the caller may leave and
// the event loop may abort the request; either withdraws the run, which then never begins.
//
// The goroutine that takes a run ends it. A run that was offered and not taken is ended by the goroutine that withdraws
// it, so each started run has exactly one end.
type handover struct{ state atomic.Int32 }

// States of a handover. A run goes from notOffered through offered to taken, or from one of the first two to withdrawn.
const (
	notOffered int32 = iota // the event loop has not started the run
	offered                 // the event loop has started the run, which counts as in flight; its work has not begun
	taken                   // the work has begun, and ends the run
	withdrawn               // the work never begins
)

// offer offers the run, and reports whether it was not withdrawn before.
func (h *handover) offer() bool { return h.state.CompareAndSwap(notOffered, offered) }

// take takes the offered run, and reports whether it was not withdrawn before.
func (h *handover) take() bool { return h.state.CompareAndSwap(offered, taken) }

// withdraw withdraws the run unless it was taken, and returns the state before.
func (h *handover) withdraw() (before int32) {
	for {
		before = h.state.Load()
		if before == taken || h.state.CompareAndSwap(before, withdrawn) {
			return before
		}
	}
}

func (h *handover) reset() { h.state.Store(notOffered) }
