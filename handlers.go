package quartzpoint

import (
	"bytes"
	"context"
	"math"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/server"
	"quartzpoint/internal/workerapi"
)

// call is one task of a caller, from its arrival until nothing holds it any more: then it is used again.
type call struct {
	gate     *Gate
	id       string
	arrive   func()
	leave    func()
	turn     chan time.Duration // 1, for its call: how long it may take, below 0 to go on without
	started  chan struct{}      // 1, where the caller runs it itself
	answered chan struct{}      // 1

	// Set before the call arrives.
	ctx     context.Context
	task    Request
	came    time.Duration
	run     func(context.Context) ([]byte, error)
	plain   func(context.Context) error // the same without a result
	givenUp func()

	// Set before answered.
	result []byte
	err    error

	holds atomic.Int32 // caller, owner, run
	state atomic.Int32 // who answers: whoever moves it from open

	// The owner's own.
	taken   *server.Request
	running bool
	begun   time.Duration
	over    bool // answered, or its caller is gone
	late    bool // it ran on past its answer

	inside *runContext // of the run, from its start

	out    []byte // what the run came to
	outErr error
}

// The states of a call. The run's end and the owner may want to answer at the same moment; the first to move the
// state does, so that a run's end need not wait for the owner's turn.
const (
	open int32 = iota
	byRun
	byOwner
)

func newCall(g *Gate) *call {
	c := &call{
		gate: g, turn: make(chan time.Duration, 1), started: make(chan struct{}, 1), answered: make(chan struct{}, 1),
	}
	c.arrive, c.leave = c.arrives, c.leaves
	return c
}

// enter makes a call ready.
func (g *Gate) enter(ctx context.Context, t Request) (*call, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, err // nothing was taken
	}
	select {
	case <-g.over:
		return nil, ErrShutDown
	default:
	}
	c := g.calls.Get().(*call)
	// New with each use: the owner may still have to forget the one before.
	c.id = strconv.FormatUint(g.ids.Add(1), 36)
	c.ctx, c.task, c.came = ctx, t, g.owner.Now()
	c.holds.Store(2) // the caller's and the owner's
	g.taken.Add(1)
	return c, nil
}

// release lets go of one hold.
func (c *call) release() {
	if c.holds.Add(-1) > 0 {
		return
	}
	c.ctx, c.task, c.run, c.plain, c.givenUp, c.result, c.err = nil, Request{}, nil, nil, nil, nil, nil
	c.taken, c.running, c.over, c.late, c.out, c.outErr = nil, false, false, false, nil, nil
	c.state.Store(open)
	c.inside = nil
	select {
	case <-c.started:
	default:
	}
	select {
	case <-c.answered:
	default:
	}
	select {
	case <-c.turn:
	default:
	}
	c.gate.calls.Put(c)
}

// arrives is the call's first turn with the owner.
func (c *call) arrives() {
	g := c.gate
	g.runs.calls[c.id] = c
	a := server.Incoming{
		ID: c.id, Route: c.task.Route, HeldKB: g.runs.heldKB, Rank: c.task.Rank, Router: c.task.CallerID, Arrived: c.came,
		Key: c.task.IdempotencyKey, Fingerprint: c.task.Fingerprint, Tenant: math.MaxInt, Caller: c,
	}
	if place, known := g.shares[c.task.Tenant]; known {
		a.Tenant = place
	}
	due := c.task.Deadline
	if deadline, stated := c.ctx.Deadline(); stated && (due.IsZero() || deadline.Before(due)) {
		due = deadline
	}
	if !due.IsZero() {
		a.Timeout = max(time.Until(due)+g.owner.Now()-c.came, 1)
	}
	g.owner.AdoptRoute(c.task.Route)
	if request := g.owner.Receive(a); request != nil && !c.over {
		c.taken = request
		return
	}
	c.drop() // answered at once
}

// posted has the owner hear that the caller is gone. It holds the call until then, as it could else be another's.
func (c *call) posted() {
	c.state.CompareAndSwap(open, byOwner) // nobody is left to answer
	c.holds.Add(1)
	c.gate.owner.Submit(c.leave)
}

// leaves is the owner's turn when the caller is gone.
func (c *call) leaves() {
	defer c.release()
	if c.over || c.taken == nil {
		return
	}
	c.over = true
	if c.inside != nil {
		c.inside.cancel(context.Canceled)
	}
	c.gate.owner.Cancel(c.taken)
	if !c.running {
		c.drop()
	}
}

// drop lets go of the owner's hold.
func (c *call) drop() {
	delete(c.gate.runs.calls, c.id)
	c.release()
}

// Answer takes the one answer of the task, from the owner. That of a run that has ended was given by its end.
func (c *call) Answer(_ uint32, a server.Answer) {
	g := c.gate
	c.over = true
	if c.state.CompareAndSwap(open, byOwner) {
		switch a.Verdict {
		case server.Served: // a repeat
			g.honoured.Add(1)
			c.result = bytes.Clone(a.Result) // the table's, for further repeats
		case server.Rejected:
			g.dismissed.Add(1)
			c.err = &RejectedError{RetryAfter: a.RetryAfter, NoRetryElsewhere: a.NoRetryElsewhere}
		case server.KeyConflict:
			c.err = ErrKeyConflict
		default:
			g.givenUp.Add(1)
			c.err = ErrAborted
		}
		if c.running {
			c.late = true
			g.late.Add(1)
			c.inside.cancel(ErrAborted)
			if c.givenUp != nil {
				go c.givenUp() // it may write to a slow peer, and must not hold up the owner
			}
		}
		c.answered <- struct{}{}
	}
	if c.taken != nil && !c.running {
		c.drop()
	}
}

// ReportHealth is for health checks, which come another way here.
func (c *call) ReportHealth(uint32, bool, string) {}

// afterLeave is the error of a call that the owner did not come to, or had answered as it left.
func (c *call) afterLeave() error {
	select {
	case <-c.answered:
		if c.err != nil {
			return c.err
		}
	default:
	}
	return ErrShutDown
}

// work runs a task's function in a goroutine of its own, so that its caller is answered in time whatever it does.
func (c *call) work() {
	defer func() {
		if p := recover(); p != nil {
			c.ended(nil, &panicError{p})
		}
	}()
	if c.plain != nil {
		c.ended(nil, c.plain(c.inside))
		return
	}
	result, err := c.run(c.inside)
	c.ended(result, err)
}

// panicError is the end of a run that panicked.
type panicError struct{ with any }

func (*panicError) Error() string { return "quartzpoint: the run panicked" }

// ended answers with the end of a run, unless the task was answered before, and tells the owner that it is over.
func (c *call) ended(result []byte, err error) (answers bool) {
	c.inside.end()
	if c.out, c.outErr = result, err; c.task.IdempotencyKey != "" {
		c.out = bytes.Clone(result) // for repeats: the caller may change his as soon as he has it
	}
	if answers = c.state.CompareAndSwap(open, byRun); answers {
		if err == nil {
			c.gate.honoured.Add(1)
		} else {
			c.gate.givenUp.Add(1)
		}
		c.result, c.err = result, err
		c.answered <- struct{}{}
	}
	c.gate.runs.end(c)
	return answers
}

// runContext is the context of a run. It is no part of the call, as what a run has started may hold it long after.
type runContext struct {
	caller context.Context
	due    time.Time

	mu   sync.Mutex
	call *call // nil once the run has ended
	done chan struct{}
	why  error
	stop func() bool // from hearing of the caller's end
}

// end ends the context with its run.
func (r *runContext) end() {
	r.mu.Lock()
	r.call = nil
	r.mu.Unlock()
	r.cancel(context.Canceled)
}

func (r *runContext) cancel(why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.why != nil {
		return
	}
	r.why = why
	if r.done != nil {
		close(r.done)
	}
	if r.stop != nil {
		r.stop()
	}
}

// hold gives the call of a run that has not ended, held until its release.
func (r *runContext) hold() *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.call != nil {
		r.call.holds.Add(1)
	}
	return r.call
}

// Deadline implements context.Context, as do the methods below it.
func (r *runContext) Deadline() (time.Time, bool) {
	deadline, stated := r.caller.Deadline()
	if !r.due.IsZero() && (!stated || r.due.Before(deadline)) {
		return r.due, true
	}
	return deadline, stated
}

// Done is made when it is first asked for: most runs never do.
func (r *runContext) Done() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done == nil {
		r.done = make(chan struct{})
		if r.why != nil {
			close(r.done)
		} else if r.caller.Done() != nil {
			r.stop = context.AfterFunc(r.caller, func() { r.cancel(context.Cause(r.caller)) })
		}
	}
	return r.done
}

func (r *runContext) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.why != nil {
		return context.Canceled
	}
	return r.caller.Err()
}

func (r *runContext) Value(key any) any {
	if _, own := key.(callKey); own {
		return r
	}
	return r.caller.Value(key)
}

// callKey finds a run's context in those made of it.
type callKey struct{}

// Call makes a call of a run to the dependency that Terms.Calls shares, by the run's context. It waits for room, and
// makes the call again, later each time, where it failed and the decisions let it go again. It returns nil once the call
// went well, ErrCallSkipped where the task is to go on without it, or the context's error. Outside a task it is made as it is.
func Call(ctx context.Context, make func(context.Context) error) error {
	inside, in := ctx.Value(callKey{}).(*runContext)
	if !in {
		return make(ctx)
	}
	c := inside.hold()
	if c == nil {
		return context.Canceled // its run is over
	}
	defer c.release()
	owner := c.gate.owner
	c.tell(func() { owner.AwaitCall(c.taken) })
	for {
		var within time.Duration
		select {
		case within = <-c.turn:
		case <-ctx.Done():
			c.tell(func() { owner.RecordCallEnd(c.taken, admission.NotRun, 0) })
			return ctx.Err()
		}
		if within < 0 {
			return ErrCallSkipped
		}
		began := time.Now()
		inner, cancel := context.WithTimeout(ctx, within)
		err := make(inner)
		took, outcome := time.Since(began), admission.Succeeded
		switch {
		case err != nil && inner.Err() != nil:
			outcome = admission.Unknown
		case err != nil:
			outcome = admission.Failed
		}
		cancel()
		c.tell(func() { owner.RecordCallEnd(c.taken, outcome, took) })
		if err == nil {
			return nil
		}
	}
}

// tell has the owner hear something of the run, unless that has ended by then.
func (c *call) tell(what func()) {
	c.holds.Add(1)
	c.gate.owner.Submit(func() {
		defer c.release()
		if c.running {
			what()
		}
	})
}

// AllowCall lets the call of the run go; like Skip it is for the owner.
func (c *call) AllowCall(within time.Duration) { c.offer(within) }

// SkipCall has the run go on without its call.
func (c *call) SkipCall() { c.offer(-1) }

func (c *call) offer(turn time.Duration) {
	select {
	case c.turn <- turn:
	default: // the run has gone on by itself, as its time is up
	}
}

// handlers are the runs of a gate, as the owner's pool: a run is a handler in this process.
type handlers struct {
	gate   *Gate
	cores  float64
	memory uint64
	heldKB float64
	calls  map[string]*call // the owner's own

	mu    sync.Mutex
	over  []*call
	spare []*call
	nonce uint64
	busy  int // runs; the owner's own

	asked bool // for the gauges
	read  func(running int) Gauges
	used  []use
	reads []metrics.Sample
}

type use struct {
	at  time.Time
	cpu time.Duration
}

func newHandlers(g *Gate, cores float64, memory uint64, read func(int) Gauges) *handlers {
	h := &handlers{
		gate: g, cores: cores, memory: memory, heldKB: 4, calls: map[string]*call{},
		reads: []metrics.Sample{
			{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
			{Name: "/sched/goroutines/running:goroutines"}, {Name: "/sched/goroutines/runnable:goroutines"},
		},
		read: read,
	}
	if read == nil {
		h.read = h.own
	}
	return h
}

// Start implements server.Pool, as do the methods below it.
func (h *handlers) Start(r workerapi.Run) bool {
	c := h.calls[r.ID]
	c.running, c.begun = true, h.gate.owner.Now()
	c.inside = &runContext{caller: c.ctx, due: c.task.Deadline, call: c}
	c.holds.Add(1)
	h.busy++
	if c.run != nil || c.plain != nil {
		go c.work()
	} else {
		c.started <- struct{}{}
	}
	return true
}

// Pause asks a handler to end. More is not possible; the decisions ask again while it goes on.
func (h *handlers) Pause(id string) bool {
	if c := h.calls[id]; c != nil && c.inside != nil {
		c.inside.cancel(ErrAborted)
	}
	return true
}

func (h *handlers) Resume(string) bool { return true }

// end files the end of a run, from its goroutine.
func (h *handlers) end(c *call) {
	h.mu.Lock()
	h.over = append(h.over, c)
	h.mu.Unlock()
	h.gate.owner.Wake()
}

func (h *handlers) AppendNotices(into []workerapi.Notice) []workerapi.Notice {
	h.mu.Lock()
	over := h.over
	h.over, h.spare = h.spare[:0], over
	h.mu.Unlock()
	for _, c := range over {
		n := workerapi.Notice{Kind: workerapi.RunFinished, RequestID: c.id, Outcome: "success", Result: c.out, Duration: h.gate.owner.Now() - c.begun}
		if c.outErr != nil {
			n.Outcome = "failure"
		}
		into = append(into, n)
		h.busy--
		c.running = false
		if c.late {
			h.gate.late.Add(-1)
		}
		if c.over { // its answer went before its end
			if _, panicked := c.outErr.(*panicError); panicked {
				h.gate.counts.Count("run panicked past its answer")
			}
			c.drop()
		}
		c.release()
	}
	clear(over)
	if h.asked {
		h.asked = false
		g := h.read(h.busy)
		into = append(into, workerapi.Notice{
			Kind: workerapi.Polled, Nonce: h.nonce, Readings: []float64{g.CPU, g.Runnable, g.Memory, 0},
		})
	}
	return into
}

func (h *handlers) Flush() {}

func (h *handlers) NextPollNonce() uint64 { return h.nonce + 1 }

// Poll asks for the gauges. They are read as late as can be, in Take and behind the ends that it tells: a run that
// has ended and is still in the crowd would pass for something else that wants its core.
func (h *handlers) Poll() (uint64, bool) {
	h.nonce++
	h.asked = true
	h.gate.owner.Wake()
	return h.nonce, true
}

// own are the gauges of this process: CPU over the half second before, goroutines that run or could, and memory
// against its limit. What can't be read stands at nothing, so that the guards that need it are off.
func (h *handlers) own(running int) Gauges {
	var usage syscall.Rusage
	now := use{at: time.Now()}
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		now.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	h.used = append(h.used, now)
	for len(h.used) > 2 && now.at.Sub(h.used[1].at) >= time.Second/2 {
		h.used = h.used[1:]
	}
	g := Gauges{Runnable: float64(running)}
	if span := now.at.Sub(h.used[0].at); span > 0 {
		g.CPU = min(float64(now.cpu-h.used[0].cpu)/float64(span)/h.cores, 1)
	}
	metrics.Read(h.reads)
	number := func(i int) (float64, bool) {
		if h.reads[i].Value.Kind() != metrics.KindUint64 {
			return 0, false
		}
		return float64(h.reads[i].Value.Uint64()), true
	}
	total, known := number(0)
	if released, also := number(1); known && also && h.memory > 0 {
		g.Memory = (total - released) / float64(h.memory)
	}
	on, known := number(2)
	if ready, also := number(3); known && also {
		g.Runnable = max(on-1, 0) + ready // but for the owner
	}
	return g
}

func (h *handlers) Verify(uint64) bool { return false }

// groupMemory is the limit of the process's control group, 0 where there is none that can be read.
func groupMemory() uint64 {
	for _, path := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		limit, err := strconv.ParseUint(strings.TrimSpace(string(bytes.TrimSpace(raw))), 10, 64)
		if err == nil && limit < 1<<50 {
			return limit
		}
	}
	return 0
}
