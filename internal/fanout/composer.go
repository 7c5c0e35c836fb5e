// Package fanout runs requests that consist of calls to several dependencies: it sends the calls, receives their
// responses and composes one answer from them. Package budget decides when each call is sent, with which timeout, and
// how often.
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
	resultMemoryDivisor     = 16                     // divisor of the process's memory for results of requests in progress
	cacheMemoryDivisor      = 16                     // divisor of the process's memory for stored results
)

// Outcomes of runs in notices of package workerapi.
const (
	runSucceeded   = "success"
	runInterrupted = "interrupted"
)

// Dependency configures a dependency and the connections to it.
type Dependency struct {
	budget.Options
	Address        string // TCP, host:port
	Connections    int
	SilenceTimeout time.Duration // a connection that awaits a response and reads nothing for longer is closed
}

// Call holds the settings of a call that package budget does not need.
type Call struct {
	Op       string        // name of the operation at the dependency
	MaxStale time.Duration // maximum age of a stored result that may replace its part; 0: no stored result may
	Default  []byte        // constant that replaces its part if no stored result does; nil: none
}

// Route is a route whose requests consist of calls. Calls and Plan.Calls have the same indexes.
type Route struct {
	Plan  *budget.Plan
	Calls []Call
}

// Composer runs composed requests. It implements server.Composer, and budget.Executor for its own scheduler. All
// methods except Wait must be called on the event loop.
type Composer struct {
	counts       *invariant.Counters
	now          func() time.Duration
	routes       map[string]*Route
	transports   []Transport // by index of the dependency, like dependencies
	dependencies []*budget.Dependency
	scheduler    *budget.Scheduler
	connections  sync.WaitGroup

	requests             map[string]*request // in progress, by id
	notices              []workerapi.Notice  // not yet taken by AppendNotices
	unsent               []*Attempt          // that no connection accepted
	responses            []Response          // buffer of Advance
	connectionsCheckedAt time.Duration       // time of the last CheckConnections
	resultBytes          int                 // of requests in progress
	maxResultBytes       int
	cache                *resultCache
}

// request is a request in progress.
type request struct {
	id          string
	route       *Route
	body        []byte
	execution   *budget.Execution // nil until its first calls are sent
	parts       [budget.MaxCalls][]byte
	resultBytes int                            // of parts that are neither constants nor stored results
	ages        [budget.MaxCalls]time.Duration // of stored results; 0 if none is used
	attempts    [budget.MaxCalls][2]*Attempt   // in flight
}

// New returns a composer whose connections are kept until the context ends; Wait then waits for them. memory is the
// memory of the process in bytes. now is the clock of deadlines and timers. wake is called, from any goroutine, when
// Advance has work to do. The routes' plans must be valid. seed makes all jitter repeatable.
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

// Wait returns once all connections have ended. Connections end when the context ends.
func (c *Composer) Wait() { c.connections.Wait() }

// Handles reports whether requests of a route are composed.
func (c *Composer) Handles(route string) bool { return c.routes[route] != nil }

// ExpectedWait returns the expected duration of the longest path of required calls of a composed route, including the
// time reserved for the answer.
func (c *Composer) ExpectedWait(route string) time.Duration {
	return c.routes[route].Plan.RequiredDuration()
}

// Start sends the first calls of a request. It returns false if it did not start the request, because its route is not
// composed or the request is already in progress.
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

// Pause ends a request whose answer is no longer awaited, and reports whether the request was in progress. Calls with
// an effect that are in flight continue at their dependencies; no more calls are sent.
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

// Resume returns false, because Pause has ended the request.
func (c *Composer) Resume(string) bool { return false }

// AppendNotices appends the notices of requests that ended since the last call.
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

// NextTimer returns the time at which Advance must be called at the latest. It returns 0, for immediately, if an
// attempt was not sent or a request ended, because these are handled only by the next calls of Advance and AppendNotices.
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

// Advance handles unsent attempts and received responses, runs the timers that are due, and checks the connections at
// intervals of connectionCheckInterval.
func (c *Composer) Advance(now time.Duration) {
	unsent := c.unsent
	c.unsent = nil // handling these may start further calls that cannot be sent; they wait for the next Advance
	for _, attempt := range unsent {
		c.receive(Response{Attempt: attempt, Outcome: budget.NotSent}, now)
	}
	c.responses = c.responses[:0]
	for _, transport := range c.transports {
		c.responses = transport.Receive(c.responses)
	}
	// Sorted by the time of sending, because the attempts of a lost connection arrive in the random order of a map.
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

// receive stores the result of a successful response and reports the response to the scheduler.
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

// finish ends a request and queues its notice.
func (c *Composer) finish(r *request, outcome string, answer []byte) {
	c.resultBytes -= r.resultBytes
	delete(c.requests, r.id)
	c.notices = append(c.notices, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: r.id, Outcome: outcome, Result: answer})
}

// States returns the current state of each dependency.
func (c *Composer) States(now time.Duration) (states []budget.State) {
	for _, d := range c.dependencies {
		states = append(states, d.State(now))
	}
	return states
}
