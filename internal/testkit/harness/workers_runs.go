package harness

import (
	"encoding/binary"
	"time"

	"quartzpoint/emulator"
	"quartzpoint/saturate"
)

// run is one run of a pool: on the cores, paused, or blocked at its call.
type run struct {
	id        string
	body      []byte
	remaining float64 // seconds of work left, up to the call if the run makes one
	afterCall float64 // seconds of work after the call, 0 without one
	startedAt time.Time
	paused    bool
	blocked   bool // waits for the answer of its call
}

// Layout of a run's body.
const (
	workEnd        = 8  // end of the work, which is in microseconds
	failureOffset  = 8  // offset of the byte that is 1 if the run fails
	deadlineOffset = 9  // offset of its request's deadline, in Unix milliseconds
	deadlineEnd    = 17 // end of the deadline; a shorter body contains none
)

const (
	expiryCheckInterval = 10 * time.Millisecond // between checks for blocked runs past their deadline
	minScheduleInterval = 50 * time.Microsecond
	workDone            = 1e-9 // seconds of work left at which a run counts as done
	usageWindow         = time.Second / 2
)

// usageSample is the core time spent up to a time.
type usageSample struct {
	at   time.Time
	busy float64 // core seconds
}

// expired reports whether the deadline in the run's body has passed.
func (r *run) expired(now time.Time) bool {
	return len(r.body) >= deadlineEnd && now.UnixMilli() > int64(binary.BigEndian.Uint64(r.body[deadlineOffset:deadlineEnd]))
}

func (r *run) outcome() string {
	if len(r.body) > failureOffset && r.body[failureOffset] == 1 {
		return "failure"
	}
	return "success"
}

// schedule ends runs when they are done, until the pool is closed.
func (w *Workers) schedule() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		w.interruptExpired(now)
		next := w.untilNextEnd(now)
		w.mu.Unlock()
		timer.Reset(max(next, minScheduleInterval))
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// untilNextEnd returns the time until a run is done or another check is due.
func (w *Workers) untilNextEnd(now time.Time) time.Duration {
	next := time.Second
	if len(w.callingHandlers) > 0 {
		next = expiryCheckInterval
	}
	if w.hung {
		return next
	}
	for _, r := range w.running {
		next = min(next, saturate.Seconds(r.remaining/w.rate(now)))
	}
	return next
}

// rate returns the work that each run on the cores completes per second, in seconds on a core of speed 1.
func (w *Workers) rate(now time.Time) float64 {
	if w.hung {
		return 0
	}
	return w.machine.SpeedAt(now.Sub(w.startedAt)) * w.machine.Share(float64(len(w.running)))
}

// advance applies the time since the last call to the runs on the cores, and ends those that are done or blocks them at
// their call.
func (w *Workers) advance(now time.Time) {
	elapsed := now.Sub(w.last).Seconds()
	w.last = now
	w.load.advance(now.Sub(w.startedAt), len(w.running), w.machine)
	if len(w.running) == 0 || elapsed <= 0 || w.hung {
		return
	}
	if !w.machine.Independent { // independent runs sleep and use no core
		w.busy += elapsed * min(float64(len(w.running)), w.machine.Cores)
	}
	done := elapsed * w.rate(now)
	unfinished := w.running[:0]
	for _, r := range w.running {
		switch r.remaining -= done; {
		case r.remaining > workDone:
			unfinished = append(unfinished, r)
		case r.afterCall > 0:
			r.blocked = true
			w.notices.Add(Blocked(r.id, []byte("what")))
		default:
			delete(w.runs, r.id)
			w.notifyFinished(r, r.outcome(), now)
		}
	}
	clear(w.running[len(unfinished):])
	w.running = unfinished
}

// interruptExpired ends blocked runs whose requests are past their deadline.
func (w *Workers) interruptExpired(now time.Time) {
	if len(w.callingHandlers) == 0 {
		return
	}
	for _, r := range w.runs {
		if r.blocked && r.expired(now) {
			delete(w.runs, r.id)
			w.notifyFinished(r, "interrupted", now)
		}
	}
}

func (w *Workers) notifyFinished(r *run, outcome string, now time.Time) {
	var result []byte
	if outcome == "success" {
		result = []byte("done")
	}
	w.notices.Add(Finished(r.id, outcome, float64(now.Sub(r.startedAt).Microseconds())/1000, result))
}

// coreUse returns the busy fraction of the cores over the last usageWindow.
func (w *Workers) coreUse(now time.Time) float64 {
	w.samples = append(w.samples, usageSample{now, w.busy})
	for len(w.samples) > 2 && now.Sub(w.samples[1].at) >= usageWindow {
		w.samples = w.samples[1:]
	}
	first := w.samples[0]
	span := max(now.Sub(first.at).Seconds(), 1e-3)
	return min(1, (w.busy-first.busy)/span/w.machine.Cores)
}

// inMemory returns the number of runs that hold memory: those on the cores and those blocked. Paused runs are assumed
// to be over.
func (w *Workers) inMemory() int {
	holding := len(w.running)
	if len(w.callingHandlers) == 0 {
		return holding
	}
	for _, r := range w.runs {
		if r.blocked {
			holding++
		}
	}
	return holding
}

// heapShare returns the fraction of the memory that runs hold.
func (w *Workers) heapShare() float64 {
	return min(1, emulator.RunKB*float64(w.inMemory())/w.machine.MemoryKB)
}
