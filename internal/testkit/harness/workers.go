package harness

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Workers is a worker pool whose runs share its emulated cores evenly (processor sharing); it uses none of the cores of
// this machine. The first eight bytes of a run's body state its work in microseconds on a core of speed 1. A ninth byte
// of 1 makes the run fail at its end.
type Workers struct {
	Address string

	listener   net.Listener
	startedAt  time.Time
	stop       chan struct{}
	wake       chan struct{} // the schedule has changed
	goroutines sync.WaitGroup

	mu              sync.Mutex
	machine         Machine
	notices         NoticeLog
	links           []net.Conn // all that were accepted
	runs            map[string]*run
	running         []*run // runs on the cores, in the order of their starts
	last            time.Time
	busy            float64 // core seconds spent
	samples         []usageSample
	startOffsets    []time.Duration // of each start, since the pool's own
	runStarts       []RunStart
	seen            map[string]bool // ids of all runs so far
	repeatedStarts  int
	strain          *strainGauge
	hung            bool
	stopped         bool
	continued       *sync.Cond      // stopped has changed
	callingHandlers map[string]bool // handlers whose runs call the dependency half way
}

// RunStart is the beginning of a run.
type RunStart struct {
	ID string // of its request
	At time.Time
}

// NewWorkers starts a pool on loopback that answers binds at once.
func NewWorkers(m Machine) (*Workers, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	now := time.Now()
	w := &Workers{
		Address: listener.Addr().String(), machine: m, listener: listener, startedAt: now, last: now,
		stop: make(chan struct{}), wake: make(chan struct{}, 1), runs: map[string]*run{}, seen: map[string]bool{},
		strain: newStrainGauge(LoadLimit{}),
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

// Close ends the pool with all its links and runs, and waits for its goroutines.
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

// reschedule makes the schedule notice a change.
func (w *Workers) reschedule() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StartedAt returns when the pool was started.
func (w *Workers) StartedAt() time.Time { return w.startedAt }

// StartOffsets returns the times of all starts of runs since the pool's own, and how many runs were started again.
func (w *Workers) StartOffsets() (offsets []time.Duration, repeated int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(offsets, w.startOffsets...), w.repeatedStarts
}

// RunStarts returns the beginnings of all runs, in their order.
func (w *Workers) RunStarts() []RunStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runStarts)
}

// SetHung stops the cores, or lets them work again. Meanwhile suspend has no effect, and polls are answered.
func (w *Workers) SetHung(hung bool) {
	w.Update(func(*Machine) { w.hung = hung })
}

// SetStopped stops the pool as SIGSTOP stops a process, or lets it continue: its cores stand still, and what is sent to it stays
// unread.
func (w *Workers) SetStopped(stopped bool) {
	w.Update(func(*Machine) { w.hung, w.stopped = stopped, stopped })
	w.continued.Broadcast()
}

// SetCallingHandlers makes the runs of some handlers call the dependency half way. It is set before any run starts.
func (w *Workers) SetCallingHandlers(handlers map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callingHandlers = handlers
}

// SetLoadLimit sets the load that the pool survives. It is set before any run starts.
func (w *Workers) SetLoadLimit(endurance LoadLimit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strain = newStrainGauge(endurance)
}

// PeakLoad returns the highest load of the pool so far.
func (w *Workers) PeakLoad() PeakLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return w.strain.max
}

// CutLink closes the link to the server. Runs continue.
func (w *Workers) CutLink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notices.CloseLink()
}
