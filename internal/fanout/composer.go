// Package fanout runs requests that are made of calls to several dependencies: it sends the calls, receives their
// responses and composes one answer of them. Package budget decides which call is sent when, with which timeout and how
// often.
package fanout

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/workerapi"
)

const (
	connectionCheckInterval = 250 * time.Millisecond // while requests are in progress
	resultMemoryDivisor     = 16                     // of the process's memory: results of requests in progress
	cacheMemoryDivisor      = 16                     // of the process's memory: stored results
)

// The outcomes of a run, as package workerapi's notices name them.
const (
	runSucceeded   = "success"
	runInterrupted = "interrupted"
)

// Dependency configures a dependency and the connections to it.
type Dependency struct {
	budget.Options
	Address        string // TCP, host:port
	Connections    int
	SilenceTimeout time.Duration // a connection that owes a response and reads nothing for so long is closed
}

// Call is what package budget need not know of a call.
type Call struct {
	Op       string        // name of the operation at the dependency
	MaxStale time.Duration // up to this age a stored result may replace its part; 0: none may
	Default  []byte        // constant that replaces its part otherwise; nil: none does
}

// Route is a route whose requests are made of calls. Calls and Plan.Calls have the same indexes.
type Route struct {
	Plan  *budget.Plan
	Calls []Call
}

// Composer runs composed requests. It implements server.Composer, and budget.Executor for its own scheduler. All its
// methods but Wait belong to the decision loop.
type Composer struct {
	counts       *invariant.Counters
	now          func() time.Duration
	routes       map[string]*Route
	transports   []Transport // by dependency, as are dependencies
	dependencies []*budget.Dependency
	scheduler    *budget.Scheduler
	connections  sync.WaitGroup

	requests             map[string]*request // in progress, by id
	notices              []workerapi.Notice  // not taken yet
	unsent               []*Attempt          // that no connection took
	responses            []Response          // scratch of Advance
	connectionsCheckedAt time.Duration       // connections
	resultBytes          int                 // of requests in progress
	maxResultBytes       int
	cache                *resultCache
}

// request is one in progress.
type request struct {
	id          string
	route       *Route
	body        []byte
	execution   *budget.Execution // nil until its first calls are sent
	parts       [budget.MaxCalls][]byte
	resultBytes int                            // of parts that are not constants or stored
	ages        [budget.MaxCalls]time.Duration // of stored results; 0 without one
	attempts    [budget.MaxCalls][2]*Attempt   // in flight
}

// New returns a composer whose connections live until the context ends; Wait then waits for them. memory is that of the
// process, in bytes. now is the clock of decisions; wake is called, from any goroutine, when Advance has something to do.
// The routes' plans must be valid. seed makes all jitter repeatable.
func New(
	ctx context.Context, dependencies []Dependency, routes []Route, memory int, seed int64, now func() time.Duration,
	counts *invariant.Counters, log *slog.Logger, wake func(),
) *Composer {
	c := &Composer{
		counts: counts, now: now, routes: map[string]*Route{}, requests: map[string]*request{},
		maxResultBytes: memory / resultMemoryDivisor,
	}
	var err error
	c.cache, err = newResultCache(memory / cacheMemoryDivisor)
	counts.Assert(err == nil, "no table of last good results")
	for i, d := range dependencies {
		c.dependencies = append(c.dependencies, budget.NewDependency(d.Options, seed+int64(i)))
		c.transports = append(c.transports, Dial(ctx, d, seed+int64(i), log, counts.Count, wake, &c.connections))
	}
	for _, route := range routes {
		c.routes[route.Plan.Route] = &route
	}
	c.scheduler = budget.NewScheduler(c.dependencies, c, seed)
	return c
}

// Wait returns once all connections have ended, after the context has.
func (c *Composer) Wait() { c.connections.Wait() }

// Handles reports whether requests of a route are composed.
func (c *Composer) Handles(route string) bool { return c.routes[route] != nil }

// ExpectedWait is how long the required calls of a composed route are expected to take on their longest path, with the
// time kept for the answer.
func (c *Composer) ExpectedWait(route string) time.Duration {
	return c.routes[route].Plan.RequiredPath()
}

// Start sends the first calls of a request. false means that it was not started: its route is not composed, or it is in
// progress already.
func (c *Composer) Start(run workerapi.Run) bool {
	route := c.routes[run.Route]
	valid := route != nil && c.requests[run.ID] == nil
	c.counts.Assert(valid, "a task was composed twice, or has no plan")
	if !valid {
		return false
	}
	r := &request{id: run.ID, route: route, body: run.Body}
	c.requests[run.ID] = r
	r.execution = c.scheduler.Start(route.Plan, c.now(), run.Deadline, r)
	return true
}

// Pause ends a request whose answer is not awaited any more. Calls with an effect that are in flight go on at their
// dependencies; no more calls are sent.
func (c *Composer) Pause(id string) bool {
	r := c.requests[id]
	if r == nil {
		return false
	}
	if r.execution != nil {
		c.scheduler.Cancel(r.execution, c.now())
	}
	c.finish(r, runInterrupted, nil)
	return true
}

// Resume refuses: Pause has ended the request.
func (c *Composer) Resume(string) bool { return false }

// AppendNotices appends the notices of requests that ended.
func (c *Composer) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	notices = append(notices, c.notices...)
	clear(c.notices)
	c.notices = c.notices[:0]
	return notices
}

// Flush writes the calls that were sent.
func (c *Composer) Flush() {
	for _, transport := range c.transports {
		transport.Flush()
	}
}

// NextTimer is when Advance must be called next: at once where an attempt was not sent or a request ended, since both are
// handled in a later round only.
func (c *Composer) NextTimer() time.Duration {
	if len(c.unsent)+len(c.notices) > 0 {
		return 0
	}
	next := c.scheduler.NextTimer()
	if len(c.requests) > 0 {
		next = min(next, c.connectionsCheckedAt+connectionCheckInterval)
	}
	return next
}

// Advance takes the responses that have come and runs the timers that are due.
func (c *Composer) Advance(now time.Duration) {
	unsent := c.unsent
	c.unsent = nil // what settles here may start calls that cannot be sent either: they are for the next time
	for _, attempt := range unsent {
		c.receive(Response{Attempt: attempt, Outcome: budget.NotSent}, now)
	}
	c.responses = c.responses[:0]
	for _, transport := range c.transports {
		c.responses = transport.Receive(c.responses)
	}
	// In the order in which they were sent: that of the transports' maps differs from run to run.
	slices.SortStableFunc(c.responses, func(a, b Response) int { return a.Attempt.sentAt.Compare(b.Attempt.sentAt) })
	for _, response := range c.responses {
		c.receive(response, now)
	}
	clear(c.responses)
	c.scheduler.Advance(now)
	if now >= c.connectionsCheckedAt+connectionCheckInterval {
		c.connectionsCheckedAt = now
		for _, transport := range c.transports {
			transport.CheckConnections(time.Now())
		}
	}
}

// receive hands a response to the scheduler, with its result stored where it succeeded.
func (c *Composer) receive(response Response, now time.Duration) {
	attempt, outcome := response.Attempt, response.Outcome
	if attempt.cancelled {
		c.scheduler.CancelledCallEnded(attempt.dependency, now)
		return
	}
	r := attempt.execution.Ref.(*request)
	r.attempts[attempt.call][attempt.index] = nil
	if outcome == budget.Succeeded {
		if c.resultBytes+len(response.Body) > c.maxResultBytes {
			c.counts.Count("result of a call beyond the program's own memory")
			outcome = budget.Failed
		} else {
			c.resultBytes += len(response.Body)
			r.resultBytes += len(response.Body)
			r.parts[attempt.call] = response.Body
			if r.route.Calls[attempt.call].MaxStale > 0 {
				c.cache.store(r.cacheKey(attempt.call), response.Body, now)
			}
		}
	}
	c.scheduler.CallEnded(attempt.execution, attempt.call, attempt.index, outcome, now)
}

// finish ends a request with a notice.
func (c *Composer) finish(r *request, outcome string, answer []byte) {
	c.resultBytes -= r.resultBytes
	delete(c.requests, r.id)
	c.notices = append(c.notices, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: r.id, Outcome: outcome, Result: answer})
}

// States returns a snapshot of each dependency.
func (c *Composer) States(now time.Duration) (states []budget.State) {
	for _, d := range c.dependencies {
		states = append(states, d.State(now))
	}
	return states
}
