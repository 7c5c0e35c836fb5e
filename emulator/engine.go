// Package emulator plays the systems that this project serves in simulated time: servers that run the project's own
// decisions, or a baseline's, on emulated worker pools; routers with habits; clients that give up and ask again;
// dependencies, membership and a network. The same seed gives the same run to the last bit, on any machine and with any
// number of processors: one event is played after the other, and every part draws from a source of its own.
//
// It does no I/O and reads no clock.
package emulator

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/cespare/xxhash/v2"
)

const grace = 400 * time.Millisecond

// event is something that is due. Of two at one moment the one that was set first is played first.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// engine plays events in their order: a binary heap without interfaces, as it is the hot path of everything here.
type engine struct {
	now    time.Duration
	seq    uint64
	heap   []event
	played uint64
}

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// at has something done at a moment; one that has passed is now.
func (e *engine) at(when time.Duration, do func()) {
	e.seq++
	e.heap = append(e.heap, event{max(when, e.now), e.seq, do})
	for i := len(e.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !before(&e.heap[i], &e.heap[up]) {
			break
		}
		e.heap[i], e.heap[up] = e.heap[up], e.heap[i]
		i = up
	}
}

func (e *engine) after(d time.Duration, do func()) { e.at(e.now+d, do) }

// step plays the next event, false where there is none before end.
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
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && before(&e.heap[down], &e.heap[least]) {
				least = down
			}
		}
		if least == i {
			break
		}
		e.heap[i], e.heap[least] = e.heap[least], e.heap[i]
		i = least
	}
	e.now = first.at
	e.played++
	first.run()
	return true
}

// source is a part's own source of chance, so that what one part draws does not move what another does.
func source(seed int64, part string, number int) *rand.Rand {
	return rand.New(rand.NewSource(int64(xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", seed, part, number)))))
}
