package quartzpoint

import (
	"context"
	"math"
	"sync"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/server"
	"quartzpoint/internal/workerapi"
)

// outcomes are the outcomes of runs as in the worker pool's protocol.
var outcomes = [...]string{
	runSucceeded: workerapi.OutcomeSucceeded, runFailed: workerapi.OutcomeFailed, runPanicked: workerapi.OutcomeFailed,
	runStopped: workerapi.OutcomeStopped, runNeverBegan: workerapi.OutcomeNeverStarted,
}

// workerPool implements the event loop's worker pool with functions of this process as runs. Runs can't be stopped or
// paused.
type workerPool struct {
	gate       *Gate
	readGauges func(running int) Gauges

	mu    sync.Mutex
	ended []*execution // executions whose runs have ended since the last AppendNotices
	spare []*execution // backing array for the next ended list

	// Used by the event loop only.
	executions map[string]*execution // by id; those that the event loop refers to
	running    int
	pollNonce  uint64
	polled     bool // the next AppendNotices reports the gauges
}

var _ server.WorkerLink = (*workerPool)(nil)

func newWorkerPool(g *Gate, readGauges func(int) Gauges) *workerPool {
	return &workerPool{gate: g, readGauges: readGauges, executions: map[string]*execution{}}
}

// Start implements server.WorkerLink, as do the methods below. It starts the request's function, or lets the goroutine
// in Gate.Admit continue.
func (p *workerPool) Start(run workerapi.Run) bool {
	e := p.executions[run.ID]
	e.running, e.startedAt = true, p.gate.loop.Now()
	e.runCtx = &runContext{
		caller: e.ctx, deadline: e.request.Deadline, execution: e,
		endsWithCaller: e.serverRequest.Route.Idempotency == admission.Retryable,
	}
	e.references.Add(1) // of the run, released by endRun
	p.running++
	p.offer(e)
	return true
}

// offer offers a started run to the goroutine that is to execute it. A run whose caller has left ends instead.
func (p *workerPool) offer(e *execution) {
	switch {
	case !e.handover.offer():
		e.endRun(nil, runNeverBegan)
	case e.run != nil || e.runPlain != nil:
		e.references.Add(1) // of the goroutine
		go e.runFunc()
	default:
		e.started <- struct{}{}
	}
}

// Pause asks a run to end by canceling its context. The server pauses no runs of a gate, whose settings have
// PreemptionNone.
func (p *workerPool) Pause(id string) bool {
	if e := p.executions[id]; e != nil && e.runCtx != nil {
		e.runCtx.cancel(context.Canceled)
	}
	return true
}

func (p *workerPool) Resume(string) bool { return true }

// reportEnd queues the end of a run for the event loop. The goroutine of the run calls it.
func (p *workerPool) reportEnd(e *execution) {
	p.mu.Lock()
	p.ended = append(p.ended, e)
	p.mu.Unlock()
	p.gate.loop.Wake()
}

func (p *workerPool) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	p.mu.Lock()
	ended := p.ended
	p.ended, p.spare = p.spare[:0], ended
	p.mu.Unlock()
	for _, e := range ended {
		notices = append(notices, p.endRun(e))
	}
	clear(ended)
	if p.polled {
		p.polled = false
		gauges := p.readGauges(p.running)
		notices = append(notices, workerapi.Notice{
			Kind: workerapi.Polled, Nonce: p.pollNonce, Readings: []float64{gauges.CPU, gauges.Runnable, gauges.Memory, 0},
		})
	}
	return notices
}

// cancelRuns ends the contexts of all runs that are left when the event loop has ended.
func (p *workerPool) cancelRuns() {
	for _, e := range p.executions {
		if e.runCtx != nil {
			e.runCtx.cancel(context.Canceled)
		}
	}
}

// endRun records the end of a run and returns its notice. It runs on the event loop.
func (p *workerPool) endRun(e *execution) workerapi.Notice {
	notice := workerapi.Notice{
		Kind: workerapi.RunFinished, RequestID: e.id, Outcome: outcomes[e.runEnd], Result: e.runResult,
		Duration: p.gate.loop.Now() - e.startedAt,
	}
	p.running--
	e.running = false
	if e.overruns {
		p.gate.overruns.Add(-1)
	}
	if e.settled {
		if e.runEnd == runPanicked {
			p.gate.counters.Count("run panicked after its request was answered")
		}
		e.forget()
	}
	e.release() // acquired by Start
	return notice
}

func (p *workerPool) Flush() {}

// Poll requests the gauges, which the next AppendNotices reports. They are read there, after the ended runs have been
// counted: an ended run still counted as runnable would be taken for other work that needs its core.
func (p *workerPool) Poll() (uint64, bool) {
	p.pollNonce++
	p.polled = true
	p.gate.loop.Wake()
	return p.pollNonce, true
}

func (p *workerPool) NextPollNonce() uint64 { return p.pollNonce + 1 }

func (p *workerPool) Verify(uint64) bool { return false }

// frontend implements the event loop's front end for the gate. It has no connections, because callers submit each
// request directly to the event loop.
type frontend struct{ gate *Gate }

// SetIdleTimeout implements server.Frontend, as do the methods below.
func (frontend) SetIdleTimeout(time.Duration) {}

// Flush publishes the shed level after each round.
func (f frontend) Flush() bool {
	f.gate.shedLevel.Store(math.Float64bits(f.gate.loop.ShedLevel()))
	return true
}

func (frontend) StopAccepting() {}

func (frontend) OpenConnections() int { return 0 }

func (frontend) InputDrained() bool { return true }
