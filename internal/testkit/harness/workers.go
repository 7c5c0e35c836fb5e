package harness

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Workers is a worker pool whose runs share its emulated cores evenly (processor sharing); it uses none of the cores of
// this machine. The first eight bytes of a run's body are its work in microseconds on a core of speed 1. If the ninth
// byte is 1, the run fails at its end.
type Workers struct {
	Address string

	listener   net.Listener
	startedAt  time.Time
	stop       chan struct{}
	wake       chan struct{} // signals that the schedule has changed
	goroutines sync.WaitGroup

	mu              sync.Mutex
	machine         Machine
	notices         NoticeLog
	links           []net.Conn // all accepted links
	runs            map[string]*run
	running         []*run    // runs on the cores, in the order in which they were started or resumed
	last            time.Time // of the last call of advance
	busy            float64   // core seconds spent
	samples         []usageSample
	startOffsets    []time.Duration // time of each start of a run, since the pool's start
	runStarts       []RunStart
	seen            map[string]bool // IDs of all runs so far
	repeatedStarts  int
	load            *loadTracker
	hung            bool
	stopped         bool
	continued       *sync.Cond      // signals that stopped has changed
	callingHandlers map[string]bool // handlers whose runs call the dependency halfway
}

// RunStart is the start of a run.
type RunStart struct {
	ID string // ID of the request
	At time.Time
}

// NewWorkers starts a pool on loopback. It answers binds at once.
func NewWorkers(m Machine) (*Workers, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	now := time.Now()
	w := &Workers{
		Address: listener.Addr().String(), machine: m, listener: listener, startedAt: now, last: now,
		stop: make(chan struct{}), wake: make(chan struct{}, 1), runs: map[string]*run{}, seen: map[string]bool{},
		load: newLoadTracker(LoadLimit{}),
	}
	w.continued = sync.NewCond(&w.mu)
	w.goroutines.Go(w.accept)
	w.goroutines.Go(w.schedule)
	return w, nil
}

// accept serves each link until the listener is closed.
func (w *Workers) accept() {
	for {
		link, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.links = append(w.links, link)
		w.mu.Unlock()
		w.goroutines.Go(func() { w.serve(link) })
	}
}

// Close stops the pool, closes its links and waits for its goroutines. Runs in progress are dropped.
func (w *Workers) Close() {
	close(w.stop)
	_ = w.listener.Close()
	w.SetStopped(false)
	w.mu.Lock()
	for _, link := range w.links {
		_ = link.Close()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}

// Update changes the machine that the pool runs on.
func (w *Workers) Update(change func(m *Machine)) {
	w.mu.Lock()
	w.advance(time.Now())
	change(&w.machine)
	w.mu.Unlock()
	w.reschedule()
}

// reschedule wakes schedule after a change.
func (w *Workers) reschedule() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StartedAt returns when the pool was started.
func (w *Workers) StartedAt() time.Time { return w.startedAt }

// StartOffsets returns the time from the pool's start to the start of each run, and the number of starts whose run ID had
// been started before.
func (w *Workers) StartOffsets() (offsets []time.Duration, repeated int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(offsets, w.startOffsets...), w.repeatedStarts
}

// RunStarts returns the starts of all runs, in order.
func (w *Workers) RunStarts() []RunStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runStarts)
}

// SetHung stops the cores, or lets them work again. While they are stopped, suspend has no effect but polls are still
// answered.
func (w *Workers) SetHung(hung bool) {
	w.Update(func(*Machine) { w.hung = hung })
}

// SetStopped stops the pool as SIGSTOP stops a process, or lets it continue. While it is stopped, its cores do no work
// and it handles no commands.
func (w *Workers) SetStopped(stopped bool) {
	w.Update(func(*Machine) { w.hung, w.stopped = stopped, stopped })
	w.continued.Broadcast()
}

// SetCallingHandlers sets the handlers whose runs call the dependency halfway. It must be called before any run starts.
func (w *Workers) SetCallingHandlers(handlers map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callingHandlers = handlers
}

// SetLoadLimit sets the load that the pool survives. It must be called before any run starts.
func (w *Workers) SetLoadLimit(limit LoadLimit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = newLoadTracker(limit)
}

// PeakLoad returns the highest load of the pool so far.
func (w *Workers) PeakLoad() PeakLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return w.load.peak
}

// CutLink closes the link to the server. Runs continue.
func (w *Workers) CutLink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notices.CloseLink()
}
