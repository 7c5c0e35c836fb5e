package harness

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"quartzpoint/emulator"
)

// Workers is a worker pool that shares its cores evenly among what runs (processor sharing) and uses none of the
// machine's own. A run's work stands in the first eight bytes of its body, in microseconds on a core of speed 1; where a 1 follows, it
// fails at its end.
type Workers struct {
	Address string

	machine    Machine
	listener   net.Listener
	startedAt  time.Time
	stop       chan struct{}
	wake       chan struct{}
	goroutines sync.WaitGroup

	mu              sync.Mutex
	link            net.Conn
	links           []net.Conn
	notices         []string
	runs            map[string]*run
	running         []*run // running, in the order of their starts
	last            time.Time
	busy            float64 // core seconds spent
	samples         []usageSample
	startOffsets    []time.Duration // since the start, of each run
	runStarts       []RunStart      // the same by task
	seen            map[string]bool
	repeatedStarts  int
	strain          *strainGauge
	hung            bool
	callingHandlers map[string]bool // handlers whose runs call the dependency half way
}

type run struct {
	id        string
	body      []byte
	remaining float64 // seconds of work, up to its call where it makes one
	afterCall float64 // and behind its call, 0 without one
	startedAt time.Time
	paused    bool
	blocked   bool // it stands at its call
}

// The fields of a run's body behind its work and the mark of failure.
const (
	deadlineOffset = 9  // where the moment stands at which its request is over, in Unix milliseconds
	deadlineEnd    = 17 // and ends; a shorter body states none
)

// expired is whether the run's request is over at a moment, as its body states.
func (r *run) expired(now time.Time) bool {
	return len(r.body) >= deadlineEnd && now.UnixMilli() > int64(binary.BigEndian.Uint64(r.body[deadlineOffset:deadlineEnd]))
}

// RunStart is the beginning of a run.
type RunStart struct {
	ID string // of its request
	At time.Time
}

type usageSample struct {
	at   time.Time
	busy float64
}

// NewWorkers starts a pool that is up at once.
func NewWorkers(m Machine) (*Workers, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	now := time.Now()
	w := &Workers{
		Address: listener.Addr().String(), machine: m, listener: listener, startedAt: now, last: now,
		stop: make(chan struct{}), wake: make(chan struct{}, 1), runs: map[string]*run{}, seen: map[string]bool{},
		strain: newStrainGauge(Endurance{}),
	}
	w.goroutines.Add(2)
	go func() {
		defer w.goroutines.Done()
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.links = append(w.links, link)
			w.mu.Unlock()
			w.goroutines.Add(1)
			go func() {
				defer w.goroutines.Done()
				w.serve(link)
			}()
		}
	}()
	go func() {
		defer w.goroutines.Done()
		w.schedule()
	}()
	return w, nil
}

// Close ends the pool and all that runs on it.
func (w *Workers) Close() {
	close(w.stop)
	w.listener.Close()
	w.mu.Lock()
	for _, link := range w.links {
		link.Close()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}

// Update has something about the machine become different.
func (w *Workers) Update(what func(m *Machine)) {
	w.mu.Lock()
	w.advance(time.Now())
	what(&w.machine)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StartedAt is the moment of the pool's start.
func (w *Workers) StartedAt() time.Time { return w.startedAt }

// StartOffsets gives the moments of all starts since the pool's own, and how many tasks were started twice.
func (w *Workers) StartOffsets() (at []time.Duration, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(at, w.startOffsets...), w.repeatedStarts
}

// SetHung has the cores stand still, or work again. Meanwhile runs can't be stopped, and gauges are told as ever.
func (w *Workers) SetHung(on bool) {
	w.Update(func(*Machine) { w.hung = on })
}

// SetCallingHandlers has the runs of some classes call the dependency half way, before any runs.
func (w *Workers) SetCallingHandlers(handlers map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callingHandlers = handlers
}

// CutLink ends the link to the server. Runs go on.
func (w *Workers) CutLink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.link != nil {
		w.link.Close()
		w.link = nil
	}
}

// RunStarts gives the beginnings of all runs, in their order.
func (w *Workers) RunStarts() []RunStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runStarts)
}

func (w *Workers) speed(now time.Time) float64 {
	if w.hung {
		return 0
	}
	return w.machine.SpeedAt(now.Sub(w.startedAt))
}

// share is the part of a core that each of so many runs gets.
func (w *Workers) share(n float64) float64 { return w.machine.Share(n) }

// advance lets what runs get its share of the time since the last look, and ends what is done.
func (w *Workers) advance(now time.Time) {
	passed := now.Sub(w.last).Seconds()
	w.last = now
	n := float64(len(w.running))
	w.strain.advance(now.Sub(w.startedAt), len(w.running), w.machine)
	if n == 0 || passed <= 0 || w.hung {
		return
	}
	if !w.machine.Apart { // as runs that sleep, they take no core
		w.busy += passed * min(n, w.machine.Cores)
	}
	done := passed * w.speed(now) * w.share(n)
	kept := w.running[:0]
	for _, r := range w.running {
		if r.remaining -= done; r.remaining > 1e-9 {
			kept = append(kept, r)
			continue
		}
		if r.afterCall > 0 {
			r.blocked = true
			w.notifyBlocked(r)
			continue
		}
		delete(w.runs, r.id)
		outcome := "success"
		if len(r.body) > 8 && r.body[8] == 1 {
			outcome = "failure"
		}
		w.notifyFinished(r, outcome, now)
	}
	clear(w.running[len(kept):])
	w.running = kept
}

// interruptExpired ends runs that stand at a call whose requests are over.
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

// supply has a run go on from its call.
func (w *Workers) supply(r *run) {
	if r == nil || !r.blocked {
		return
	}
	r.blocked, r.remaining, r.afterCall = false, r.afterCall, 0
	w.running = append(w.running, r)
}

func (w *Workers) notifyBlocked(r *run) {
	w.notify(map[string]any{"verb": "blocked", "task": r.id, "bytes": []byte("what")})
}

func (w *Workers) notifyFinished(r *run, outcome string, now time.Time) {
	var result []byte
	if outcome == "success" {
		result = []byte("done")
	}
	w.notify(map[string]any{
		"verb": "finished", "task": r.id, "outcome": outcome,
		"spent": float64(now.Sub(r.startedAt).Microseconds()) / 1000, "bytes": result,
	})
}

// notify numbers a notice, keeps it and writes it to the link.
func (w *Workers) notify(notice map[string]any) {
	notice["index"] = len(w.notices) + 1
	raw, _ := json.Marshal(notice) // always has a form
	w.notices = append(w.notices, string(raw)+"\n")
	if w.link != nil {
		_, _ = io.WriteString(w.link, w.notices[len(w.notices)-1]) // a link that is gone asks for it again
	}
}

// schedule waits for the next end.
func (w *Workers) schedule() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		w.interruptExpired(now)
		next := time.Second
		if len(w.callingHandlers) > 0 {
			next = expiryCheckInterval
		}
		for _, r := range w.running {
			if w.hung {
				break
			}
			rate := w.speed(now) * w.share(float64(len(w.running)))
			next = min(next, time.Duration(r.remaining/rate*float64(time.Second)))
		}
		w.mu.Unlock()
		timer.Reset(max(next, 50*time.Microsecond))
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// expiryCheckInterval is the time between looks for runs at calls whose requests are over.
const expiryCheckInterval = 10 * time.Millisecond

type command struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"`
	RunID   string `json:"task"`
	Handler string `json:"handler"`
	Nonce   string `json:"nonce"`
	Body    []byte `json:"bytes"`
}

func (w *Workers) serve(link net.Conn) {
	defer link.Close()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var o command
		if json.Unmarshal(in.Bytes(), &o) != nil {
			return
		}
		w.mu.Lock()
		w.handle(link, o, time.Now())
		w.mu.Unlock()
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (w *Workers) handle(link net.Conn, o command, now time.Time) {
	w.advance(now)
	if o.Verb == "bind" {
		w.link = link
		fmt.Fprintf(link, `{"verb":"bound","outcome":"steady","spent":%d}`+"\n", now.Sub(w.startedAt).Milliseconds())
		for _, n := range w.notices[min(max(o.Index, 0), len(w.notices)):] {
			_, _ = io.WriteString(link, n)
		}
		return
	}
	switch r := w.runs[o.RunID]; o.Verb {
	case "spawn":
		if r != nil {
			return
		}
		if w.seen[o.RunID] {
			w.repeatedStarts++
		}
		w.seen[o.RunID] = true
		r = &run{id: o.RunID, body: o.Body, startedAt: now, remaining: 1e-6}
		if len(o.Body) >= 8 {
			r.remaining = float64(binary.BigEndian.Uint64(o.Body)) / 1e6
		}
		if w.callingHandlers[o.Handler] {
			r.remaining, r.afterCall = r.remaining/2, r.remaining/2
		}
		w.runs[o.RunID] = r
		w.running = append(w.running, r)
		w.startOffsets = append(w.startOffsets, now.Sub(w.startedAt))
		w.runStarts = append(w.runStarts, RunStart{o.RunID, now})
		w.strain.recordMemory(now.Sub(w.startedAt), w.inMemory(), w.machine)
	case "suspend":
		w.suspend(link, r, o.RunID, now)
	case "supply":
		w.supply(r)
	case "proceed":
		if r != nil && r.paused {
			r.paused = false
			w.running = append(w.running, r)
		}
	case "poll":
		fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":[%.4f,%d,%.4f,1]}`+"\n",
			o.Nonce, w.coreUse(now), len(w.running), w.heapShare())
	case "verify":
		fmt.Fprintf(link, `{"verb":"verified","nonce":%q,"outcome":"success"}`+"\n", o.Nonce)
	}
}

// suspend stops a run in the way that the machine allows. While the cores stand still it has no effect.
func (w *Workers) suspend(link net.Conn, r *run, task string, now time.Time) {
	if w.machine.Halt == emulator.HaltNone {
		fmt.Fprintf(link, `{"verb":"unknown","outcome":"suspend","task":%q}`+"\n", task)
		return
	}
	if r == nil || r.paused || r.blocked || w.machine.Apart || w.hung {
		return
	}
	w.running = slices.DeleteFunc(w.running, func(other *run) bool { return other == r })
	if r.paused = w.machine.Halt != emulator.HaltAbort; !r.paused {
		delete(w.runs, r.id)
	}
	w.notifyFinished(r, "interrupted", now)
}

// coreUse is the busy share of the cores over the half second before.
func (w *Workers) coreUse(now time.Time) float64 {
	w.samples = append(w.samples, usageSample{now, w.busy})
	for len(w.samples) > 2 && now.Sub(w.samples[1].at) >= time.Second/2 {
		w.samples = w.samples[1:]
	}
	first := w.samples[0]
	span := math.Max(now.Sub(first.at).Seconds(), 1e-3)
	return min(1, (w.busy-first.busy)/span/w.machine.Cores)
}

// inMemory is the number of runs that hold memory: on the cores and at calls. Those that were stopped are taken to be over.
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

// heapShare is the share of memory that runs take.
func (w *Workers) heapShare() float64 {
	return min(1, emulator.RunKB*float64(w.inMemory())/w.machine.KB)
}
