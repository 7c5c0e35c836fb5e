package emulator

import (
	"container/heap"
	"time"
)

// pool is an emulated worker pool: its runs share its cores evenly. It counts work by one clock that goes on by what each
// run gets, so that a change of the number of runs moves one figure and not every run.
type pool struct {
	engine         *engine
	machine        Machine
	speedFactor    float64       // of its speed: a zone that is slow
	neighbourCores float64       // cores that neighbours have
	startedAt      time.Duration // of its warm-up
	frozen         bool
	onDone         func(r *run) // an end

	runs    runHeap
	clock   float64 // seconds of work that a run has got since the beginning
	last    time.Duration
	busy    float64 // core seconds
	timer   uint64  // of the event that is set; older ones do nothing
	samples []usageSample
	seq     uint64
}

type usageSample struct {
	at   time.Duration
	busy float64
}

// run is work on a pool.
type run struct {
	attempt   *attempt
	remaining float64 // seconds of work, while it stands
	endsAt    float64 // of the pool's clock, while it goes
	startedAt time.Duration
	heapIndex int // in the heap, -1 while it stands
	seq       uint64
}

type runHeap []*run

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	return h[i].endsAt < h[j].endsAt || h[i].endsAt == h[j].endsAt && h[i].seq < h[j].seq
}
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *runHeap) Push(x any)   { r := x.(*run); r.heapIndex = len(*h); *h = append(*h, r) }
func (h *runHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}

// rate is the work that each run gets in a second.
func (p *pool) rate() float64 {
	if p.frozen {
		return 0
	}
	m := p.machine
	m.Cores = max(m.Cores-p.neighbourCores, 0.05)
	return m.SpeedAt(p.engine.now-p.startedAt) * p.speedFactor * m.Share(float64(len(p.runs)))
}

// cores are those that are left by neighbours.
func (p *pool) cores() float64 { return max(p.machine.Cores-p.neighbourCores, 0.05) }

// pass lets the time since the last look pass. It is called before anything of the pool changes. The speed of a pool
// that warms up is taken as it is at the end of a span; spans are short while runs come and go.
func (p *pool) pass() {
	passed := (p.engine.now - p.last).Seconds()
	p.last = p.engine.now
	if n := float64(len(p.runs)); n > 0 && passed > 0 {
		p.clock += passed * p.rate()
		if !p.machine.Independent {
			p.busy += passed * (min(n, p.cores()) + p.neighbourCores)
		}
		return
	}
	p.busy += max(passed, 0) * p.neighbourCores
}

func (p *pool) start(r *run) {
	p.pass()
	p.seq++
	r.seq, r.endsAt = p.seq, p.clock+r.remaining
	heap.Push(&p.runs, r)
	p.set()
}

// stop takes a run off the cores and notes what is left of it.
func (p *pool) stop(r *run) {
	if r.heapIndex < 0 {
		return
	}
	p.pass()
	r.remaining = max(r.endsAt-p.clock, 0)
	heap.Remove(&p.runs, r.heapIndex)
	r.heapIndex = -1
	p.set()
}

// longest is until when an event of a pool is set at the most, so that one that warms up is looked at again.
const longest = 250 * time.Millisecond

// set sets the event of the next end.
func (p *pool) set() {
	p.timer++
	if len(p.runs) == 0 || p.frozen {
		return
	}
	mine := p.timer
	wait := longest
	if rate := p.rate(); rate > 0 {
		if left := (p.runs[0].endsAt - p.clock) / rate; left < longest.Seconds() {
			wait = time.Duration(left*1e9) + 1
		}
	}
	p.engine.after(wait, func() {
		if mine != p.timer {
			return
		}
		p.pass()
		var ended []*run
		for len(p.runs) > 0 && p.runs[0].endsAt <= p.clock+1e-9 {
			ended = append(ended, heap.Pop(&p.runs).(*run))
		}
		p.set()
		for _, r := range ended {
			p.onDone(r)
		}
	})
}

// change has something about the pool become different.
func (p *pool) change(what func()) {
	p.pass()
	what()
	p.set()
}

// use is the busy share of the cores over the half second before.
func (p *pool) use() float64 {
	p.pass()
	p.samples = append(p.samples, usageSample{p.engine.now, p.busy})
	for len(p.samples) > 2 && p.engine.now-p.samples[1].at >= time.Second/2 {
		p.samples = p.samples[1:]
	}
	span := max((p.engine.now - p.samples[0].at).Seconds(), 1e-3)
	return min(1, (p.busy-p.samples[0].busy)/span/p.machine.Cores)
}
