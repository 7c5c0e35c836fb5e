// Package emulator simulates a fleet in simulated time: servers that run the project's admission decisions, or a
// baseline's, on emulated worker pools; routers; clients that time out and retry; dependencies, membership and a
// network. Runs with the same seed are identical on any machine: events run one after the other, and every component
// draws from its own random source.
//
// The package does no I/O and reads no clock.
package emulator

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shutdownGrace is the time after the notice to shut down in which a server still accepts requests.
const shutdownGrace = 400 * time.Millisecond

// event is a function that runs at a moment of simulated time. Events of the same moment run in the order in which they
// were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// engine runs events in order of time. Its binary heap avoids interfaces because it is the hot path of the emulator.
type engine struct {
	now      time.Duration
	seq      uint64
	heap     []event
	executed uint64
}

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// at schedules an event at a moment, or now if the moment has passed.
func (e *engine) at(when time.Duration, do func()) {
	e.seq++
	e.heap = append(e.heap, event{max(when, e.now), e.seq, do})
	for i := len(e.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !before(&e.heap[i], &e.heap[parent]) {
			break
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

func (e *engine) after(d time.Duration, do func()) { e.at(e.now+d, do) }

// step runs the next event if it is due by end, and reports whether it did.
func (e *engine) step(end time.Duration) bool {
	if len(e.heap) == 0 || e.heap[0].at > end {
		return false
	}
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && before(&e.heap[child], &e.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		e.heap[i], e.heap[smallest] = e.heap[smallest], e.heap[i]
		i = smallest
	}
	e.now = first.at
	e.executed++
	first.run()
	return true
}

// randomSource returns the random source of one component. Each has a source of its own, so that the draws of one do not
// change those of another.
func randomSource(seed int64, component string, index int) *rand.Rand {
	return rand.New(rand.NewSource(int64(xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", seed, component, index)))))
}
