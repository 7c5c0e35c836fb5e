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

	machine  Machine
	listener net.Listener
	began    time.Time
	quit     chan struct{}
	woken    chan struct{}
	over     sync.WaitGroup

	mu      sync.Mutex
	link    net.Conn
	links   []net.Conn
	notices []string
	runs    map[string]*run
	order   []*run // running, in the order of their starts
	last    time.Time
	busy    float64 // core seconds spent
	looks   []look
	started []time.Duration // since the start, of each run
	ran     []RunStart      // the same by task
	known   map[string]bool
	twice   int
	strain  *strainGauge
	hung    bool
	calls   map[string]bool // handlers whose runs call the dependency half way
}

type run struct {
	id      string
	body    []byte
	left    float64 // seconds of work, up to its call where it makes one
	behind  float64 // and behind its call, 0 without one
	begun   time.Time
	paused  bool
	blocked bool // it stands at its call
}

// The fields of a run's body behind its work and the mark of failure.
const (
	overField = 9  // where the moment stands at which its request is over, in Unix milliseconds
	overEnd   = 17 // and ends; a shorter body states none
)

// over is whether the run's request is over at a moment, as its body states.
func (r *run) over(now time.Time) bool {
	return len(r.body) >= overEnd && now.UnixMilli() > int64(binary.BigEndian.Uint64(r.body[overField:overEnd]))
}

// RunStart is the beginning of a run.
type RunStart struct {
	ID string // of its request
	At time.Time
}

type look struct {
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
		Address: listener.Addr().String(), machine: m, listener: listener, began: now, last: now,
		quit: make(chan struct{}), woken: make(chan struct{}, 1), runs: map[string]*run{}, known: map[string]bool{},
		strain: newStrainGauge(Endurance{}),
	}
	w.over.Add(2)
	go func() {
		defer w.over.Done()
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.links = append(w.links, link)
			w.mu.Unlock()
			w.over.Add(1)
			go func() {
				defer w.over.Done()
				w.serve(link)
			}()
		}
	}()
	go func() {
		defer w.over.Done()
		w.work()
	}()
	return w, nil
}

// Close ends the pool and all that runs on it.
func (w *Workers) Close() {
	close(w.quit)
	w.listener.Close()
	w.mu.Lock()
	for _, link := range w.links {
		link.Close()
	}
	w.mu.Unlock()
	w.over.Wait()
}

// Change has something about the machine become different.
func (w *Workers) Change(what func(m *Machine)) {
	w.mu.Lock()
	w.advance(time.Now())
	what(&w.machine)
	w.mu.Unlock()
	select {
	case w.woken <- struct{}{}:
	default:
	}
}

// Began is the moment of the pool's start.
func (w *Workers) Began() time.Time { return w.began }

// Started gives the moments of all starts since the pool's own, and how many tasks were started twice.
func (w *Workers) Started() (at []time.Duration, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(at, w.started...), w.twice
}

// Hang has the cores stand still, or work again. Meanwhile runs can't be stopped, and gauges are told as ever.
func (w *Workers) Hang(on bool) {
	w.Change(func(*Machine) { w.hung = on })
}

// LetCall has the runs of some classes call the dependency half way, before any runs.
func (w *Workers) LetCall(handlers map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = handlers
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

// Runs gives the beginnings of all runs, in their order.
func (w *Workers) Runs() []RunStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ran)
}

func (w *Workers) speed(now time.Time) float64 {
	if w.hung {
		return 0
	}
	return w.machine.SpeedAt(now.Sub(w.began))
}

// share is the part of a core that each of so many runs gets.
func (w *Workers) share(n float64) float64 { return w.machine.Share(n) }

// advance lets what runs get its share of the time since the last look, and ends what is done.
func (w *Workers) advance(now time.Time) {
	passed := now.Sub(w.last).Seconds()
	w.last = now
	n := float64(len(w.order))
	w.strain.pass(now.Sub(w.began), len(w.order), w.machine)
	if n == 0 || passed <= 0 || w.hung {
		return
	}
	if !w.machine.Apart { // as runs that sleep, they take no core
		w.busy += passed * min(n, w.machine.Cores)
	}
	done := passed * w.speed(now) * w.share(n)
	kept := w.order[:0]
	for _, r := range w.order {
		if r.left -= done; r.left > 1e-9 {
			kept = append(kept, r)
			continue
		}
		if r.behind > 0 {
			r.blocked = true
			w.tellBlocked(r)
			continue
		}
		delete(w.runs, r.id)
		outcome := "success"
		if len(r.body) > 8 && r.body[8] == 1 {
			outcome = "failure"
		}
		w.tell(r, outcome, now)
	}
	clear(w.order[len(kept):])
	w.order = kept
}

// endOver ends runs that stand at a call whose requests are over.
func (w *Workers) endOver(now time.Time) {
	if len(w.calls) == 0 {
		return
	}
	for _, r := range w.runs {
		if r.blocked && r.over(now) {
			delete(w.runs, r.id)
			w.tell(r, "interrupted", now)
		}
	}
}

// supply has a run go on from its call.
func (w *Workers) supply(r *run) {
	if r == nil || !r.blocked {
		return
	}
	r.blocked, r.left, r.behind = false, r.behind, 0
	w.order = append(w.order, r)
}

func (w *Workers) tellBlocked(r *run) {
	w.write(map[string]any{"verb": "blocked", "task": r.id, "bytes": []byte("what")})
}

func (w *Workers) tell(r *run, outcome string, now time.Time) {
	var result []byte
	if outcome == "success" {
		result = []byte("done")
	}
	w.write(map[string]any{
		"verb": "finished", "task": r.id, "outcome": outcome,
		"spent": float64(now.Sub(r.begun).Microseconds()) / 1000, "bytes": result,
	})
}

// write numbers a notice, keeps it and writes it to the link.
func (w *Workers) write(notice map[string]any) {
	notice["index"] = len(w.notices) + 1
	raw, _ := json.Marshal(notice) // always has a form
	w.notices = append(w.notices, string(raw)+"\n")
	if w.link != nil {
		_, _ = io.WriteString(w.link, w.notices[len(w.notices)-1]) // a link that is gone asks for it again
	}
}

// work waits for the next end.
func (w *Workers) work() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		w.endOver(now)
		next := time.Second
		if len(w.calls) > 0 {
			next = overLook
		}
		for _, r := range w.order {
			if w.hung {
				break
			}
			rate := w.speed(now) * w.share(float64(len(w.order)))
			next = min(next, time.Duration(r.left/rate*float64(time.Second)))
		}
		w.mu.Unlock()
		timer.Reset(max(next, 50*time.Microsecond))
		select {
		case <-w.quit:
			return
		case <-w.woken:
		case <-timer.C:
		}
	}
}

// overLook is the time between looks for runs at calls whose requests are over.
const overLook = 10 * time.Millisecond

type order struct {
	Verb    string `json:"verb"`
	Index   int    `json:"index"`
	Task    string `json:"task"`
	Handler string `json:"handler"`
	Nonce   string `json:"nonce"`
	Body    []byte `json:"bytes"`
}

func (w *Workers) serve(link net.Conn) {
	defer link.Close()
	in := bufio.NewScanner(link)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var o order
		if json.Unmarshal(in.Bytes(), &o) != nil {
			return
		}
		w.mu.Lock()
		w.take(link, o, time.Now())
		w.mu.Unlock()
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}

func (w *Workers) take(link net.Conn, o order, now time.Time) {
	w.advance(now)
	if o.Verb == "bind" {
		w.link = link
		fmt.Fprintf(link, `{"verb":"bound","outcome":"steady","spent":%d}`+"\n", now.Sub(w.began).Milliseconds())
		for _, n := range w.notices[min(max(o.Index, 0), len(w.notices)):] {
			_, _ = io.WriteString(link, n)
		}
		return
	}
	switch r := w.runs[o.Task]; o.Verb {
	case "spawn":
		if r != nil {
			return
		}
		if w.known[o.Task] {
			w.twice++
		}
		w.known[o.Task] = true
		r = &run{id: o.Task, body: o.Body, begun: now, left: 1e-6}
		if len(o.Body) >= 8 {
			r.left = float64(binary.BigEndian.Uint64(o.Body)) / 1e6
		}
		if w.calls[o.Handler] {
			r.left, r.behind = r.left/2, r.left/2
		}
		w.runs[o.Task] = r
		w.order = append(w.order, r)
		w.started = append(w.started, now.Sub(w.began))
		w.ran = append(w.ran, RunStart{o.Task, now})
		w.strain.memory(now.Sub(w.began), w.inMemory(), w.machine)
	case "suspend":
		w.stop(link, r, o.Task, now)
	case "supply":
		w.supply(r)
	case "proceed":
		if r != nil && r.paused {
			r.paused = false
			w.order = append(w.order, r)
		}
	case "poll":
		fmt.Fprintf(link, `{"verb":"polled","nonce":%q,"readings":[%.4f,%d,%.4f,1]}`+"\n",
			o.Nonce, w.use(now), len(w.order), w.heap())
	case "verify":
		fmt.Fprintf(link, `{"verb":"verified","nonce":%q,"outcome":"success"}`+"\n", o.Nonce)
	}
}

// stop stops a run in the way that the machine allows. While the cores stand still it has no effect.
func (w *Workers) stop(link net.Conn, r *run, task string, now time.Time) {
	if w.machine.Halt == emulator.HaltNone {
		fmt.Fprintf(link, `{"verb":"unknown","outcome":"suspend","task":%q}`+"\n", task)
		return
	}
	if r == nil || r.paused || r.blocked || w.machine.Apart || w.hung {
		return
	}
	w.order = slices.DeleteFunc(w.order, func(other *run) bool { return other == r })
	if r.paused = w.machine.Halt != emulator.HaltAbort; !r.paused {
		delete(w.runs, r.id)
	}
	w.tell(r, "interrupted", now)
}

// use is the busy share of the cores over the half second before.
func (w *Workers) use(now time.Time) float64 {
	w.looks = append(w.looks, look{now, w.busy})
	for len(w.looks) > 2 && now.Sub(w.looks[1].at) >= time.Second/2 {
		w.looks = w.looks[1:]
	}
	first := w.looks[0]
	span := math.Max(now.Sub(first.at).Seconds(), 1e-3)
	return min(1, (w.busy-first.busy)/span/w.machine.Cores)
}

// inMemory is the number of runs that hold memory: on the cores and at calls. Those that were stopped are taken to be over.
func (w *Workers) inMemory() int {
	holding := len(w.order)
	if len(w.calls) == 0 {
		return holding
	}
	for _, r := range w.runs {
		if r.blocked {
			holding++
		}
	}
	return holding
}

// heap is the share of memory that runs take.
func (w *Workers) heap() float64 { return min(1, emulator.RunKB*float64(w.inMemory())/w.machine.KB) }
