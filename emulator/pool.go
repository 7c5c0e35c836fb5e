package emulator

import (
	"container/heap"
	"time"
)

// pool is an emulated worker pool whose runs share its cores evenly. It has a virtual clock that advances by the work
// that each run gets, so that a change in the number of runs does not touch every run.
type pool struct {
	engine         *engine
	machine        Machine
	speedFactor    float64       // multiplies the machine's speed
	neighbourCores float64       // cores in use by other processes of the machine
	startedAt      time.Duration // start of the warm-up
	frozen         bool
	onDone         func(r *run) // called when a run has no work left

	runs       runHeap
	clock      float64 // virtual time: the work, in seconds, done by a run that has been on the cores since the pool's start
	advancedAt time.Duration
	busy       float64       // core seconds used so far, by neighbours too
	generation uint64        // of the scheduled event; events of earlier generations have no effect
	samples    []usageSample // those of the last half second, and the one before them
	seq        uint64
}

// usageSample is the value of pool.busy at a moment.
type usageSample struct {
	at   time.Duration
	busy float64
}

// run is the run of an attempt, either on the cores of its pool or off them: before its start, paused or at its call.
type run struct {
	attempt   *attempt
	remaining float64 // seconds of work, while it is off the cores
	endsAt    float64 // on the pool's clock, while it is on the cores
	startedAt time.Duration
	heapIndex int // -1 while it is off the cores
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

// rate returns the work that each run does per second.
func (p *pool) rate() float64 {
	if p.frozen {
		return 0
	}
	m := p.machine
	m.Cores = max(m.Cores-p.neighbourCores, 0.05)
	return m.SpeedAt(p.engine.now-p.startedAt) * p.speedFactor * m.Share(float64(len(p.runs)))
}

// cores returns the number of cores that neighbours do not use.
func (p *pool) cores() float64 { return max(p.machine.Cores-p.neighbourCores, 0.05) }

// advance advances the pool's clock to now. It must be called before any change to the pool. While a pool warms up, the
// speed at the end of the elapsed span is used for all of it.
func (p *pool) advance() {
	elapsed := (p.engine.now - p.advancedAt).Seconds()
	p.advancedAt = p.engine.now
	if n := float64(len(p.runs)); n > 0 && elapsed > 0 {
		p.clock += elapsed * p.rate()
		if !p.machine.Independent {
			p.busy += elapsed * (min(n, p.cores()) + p.neighbourCores)
		}
		return
	}
	p.busy += max(elapsed, 0) * p.neighbourCores
}

func (p *pool) start(r *run) {
	p.advance()
	p.seq++
	r.seq, r.endsAt = p.seq, p.clock+r.remaining
	heap.Push(&p.runs, r)
	p.schedule()
}

// stop takes a run off the cores and records its remaining work.
func (p *pool) stop(r *run) {
	if r.heapIndex < 0 {
		return
	}
	p.advance()
	r.remaining = max(r.endsAt-p.clock, 0)
	heap.Remove(&p.runs, r.heapIndex)
	r.heapIndex = -1
	p.schedule()
}

// maxTimerInterval is the maximum time between two events of a pool with runs, so that the clock follows the rising
// speed of a warm-up.
const maxTimerInterval = 250 * time.Millisecond

// schedule schedules the event at which the next run is done.
func (p *pool) schedule() {
	p.generation++
	if len(p.runs) == 0 || p.frozen {
		return
	}
	generation := p.generation
	wait := maxTimerInterval
	if rate := p.rate(); rate > 0 {
		if left := (p.runs[0].endsAt - p.clock) / rate; left < maxTimerInterval.Seconds() {
			wait = time.Duration(left*1e9) + 1
		}
	}
	p.engine.after(wait, func() {
		if generation != p.generation {
			return
		}
		p.advance()
		var ended []*run
		for len(p.runs) > 0 && p.runs[0].endsAt <= p.clock+1e-9 {
			ended = append(ended, heap.Pop(&p.runs).(*run))
		}
		p.schedule()
		for _, r := range ended {
			p.onDone(r)
		}
	})
}

// change applies a change to the pool and schedules its next event anew.
func (p *pool) change(apply func()) {
	p.advance()
	apply()
	p.schedule()
}

// cpuUsage returns the busy fraction of the cores over the last half second.
func (p *pool) cpuUsage() float64 {
	p.advance()
	p.samples = append(p.samples, usageSample{p.engine.now, p.busy})
	for len(p.samples) > 2 && p.engine.now-p.samples[1].at >= time.Second/2 {
		p.samples = p.samples[1:]
	}
	span := max((p.engine.now - p.samples[0].at).Seconds(), 1e-3)
	return min(1, (p.busy-p.samples[0].busy)/span/p.machine.Cores)
}
