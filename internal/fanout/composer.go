// Package fanout carries tasks that are made of calls to several dependencies: the calls out, their answers in,
// and one answer made of them. What is called when, for how long and how often is package budget's to decide.
package fanout

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quartzpoint/budget"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/workerapi"
)

const (
	maxPartOverhead         = 96      // bytes of a part beside its name and result
	maxAnswer               = 4 << 10 // bytes of a composed answer, as the routers' protocol has it
	maxCacheEntries         = 65536   // last good results, whatever their size
	connectionCheckInterval = 250 * time.Millisecond
	resultMemoryDivisor     = 16 // part of the program's memory, as a divisor, that results under way may take
	cacheMemoryDivisor      = 16 // the same, for last good results
)

// Dependency is one that is called.
type Dependency struct {
	budget.Options
	Address        string
	Connections    int
	SilenceTimeout time.Duration // after which a connection that owes an answer and says nothing is dead
}

// Call says how a call of a plan is carried.
type Call struct {
	Op           string
	MaxStaleness time.Duration // age up to which a last good result may take its place; 0: none
	Default      []byte        // what takes its place else; nil: nothing does
}

// Route is a traffic type that is made of calls; Calls stand as in its plan.
type Route struct {
	Plan  *budget.Plan
	Calls []Call
}

// Composer makes tasks of calls. All of it belongs to the owner of decisions, but for what its transports read.
type Composer struct {
	counts       *invariant.Counts
	now          func() time.Duration
	routes       map[string]*Route
	transports   []Transport
	dependencies []*budget.Dependency
	scheduler    *budget.Scheduler
	connections  sync.WaitGroup

	requests       map[string]*request
	notices        []workerapi.Notice
	unsent         []*Attempt // for which there was no way
	responses      []Response
	checkedAt      time.Duration
	resultBytes    int // bytes of results under way
	maxResultBytes int
	cache          *simplelru.LRU[string, good]
	keeps          int
	mayKeep        int
}

// request is one that is under way.
type request struct {
	id          string
	route       *Route
	body        []byte
	execution   *budget.Execution
	startedAt   time.Duration
	parts       [budget.MaxCalls][]byte
	resultBytes int                            // bytes of them that are the program's own
	ages        [budget.MaxCalls]time.Duration // of last good results
	attempts    [budget.MaxCalls][2]*Attempt
}

// good is a last good result.
type good struct {
	body []byte
	at   time.Duration
}

// New starts a composer whose connections live until the context ends. now is the clock of rounds; wake is called
// when there is something to take. The types' plans must have been checked.
func New(
	ctx context.Context, dependencies []Dependency, types []Route, memory int, seed int64, now func() time.Duration,
	counts *invariant.Counts, log *slog.Logger, wake func(),
) *Composer {
	c := &Composer{
		counts: counts, now: now, routes: map[string]*Route{}, requests: map[string]*request{},
		maxResultBytes: memory / resultMemoryDivisor, mayKeep: memory / cacheMemoryDivisor,
	}
	var err error
	c.cache, err = simplelru.NewLRU(maxCacheEntries, func(key string, g good) { c.keeps -= len(key) + len(g.body) })
	counts.That(err == nil, "no table of last good results")
	for i, d := range dependencies {
		c.dependencies = append(c.dependencies, budget.NewDependency(d.Options, seed+int64(i)))
		c.transports = append(c.transports, Dial(ctx, d, seed+int64(i), log, counts.Saw, wake, &c.connections))
	}
	for _, t := range types {
		c.routes[t.Plan.Route] = &t
	}
	c.scheduler = budget.NewScheduler(c.dependencies, c, seed)
	return c
}

// Wait returns once all connections have ended, after the context has.
func (c *Composer) Wait() { c.connections.Wait() }

// Handles tells whether tasks of a type are made of calls.
func (c *Composer) Handles(kind string) bool { return c.routes[kind] != nil }

// ExpectedWait is how long the needed calls of a type are expected to take, one behind the other, and the answering.
func (c *Composer) ExpectedWait(kind string) time.Duration { return c.routes[kind].Plan.RequiredPath() }

// Start begins the calls of a task.
func (c *Composer) Start(r workerapi.Run) bool {
	kind := c.routes[r.Route]
	c.counts.That(kind != nil && c.requests[r.ID] == nil, "a task was composed twice, or has no plan")
	if kind == nil || c.requests[r.ID] != nil {
		return false
	}
	t := &request{id: r.ID, route: kind, body: r.Body, startedAt: c.now()}
	c.requests[r.ID] = t
	t.execution = c.scheduler.Start(kind.Plan, t.startedAt, r.Deadline, t)
	return true
}

// Pause ends a task that nobody waits for any more. Calls with an effect that are under way go on at their
// dependencies; nothing is called behind them.
func (c *Composer) Pause(id string) bool {
	t := c.requests[id]
	if t == nil {
		return false
	}
	if t.execution != nil {
		c.scheduler.Cancel(t.execution, c.now())
	}
	c.notify(t, "interrupted", nil)
	return true
}

// GoOn does nothing: what was paused is over.
func (c *Composer) GoOn(string) bool { return false }

// Take gives the ends of tasks.
func (c *Composer) Take(into []workerapi.Notice) []workerapi.Notice {
	into = append(into, c.notices...)
	clear(c.notices)
	c.notices = c.notices[:0]
	return into
}

// Flush writes what was called.
func (c *Composer) Flush() {
	for _, w := range c.transports {
		w.Flush()
	}
}

// NextTimer is when something is to be done next: at once where a call found no way or a task ended, as both are told only
// in a later turn.
func (c *Composer) NextTimer() time.Duration {
	if len(c.unsent)+len(c.notices) > 0 {
		return 0
	}
	next := c.scheduler.NextTimer()
	if len(c.requests) > 0 {
		next = min(next, c.checkedAt+connectionCheckInterval)
	}
	return next
}

// Advance takes in what came and does what is due.
func (c *Composer) Advance(now time.Duration) {
	for _, s := range c.unsent {
		if s.cancelled {
			c.scheduler.CancelledCallEnded(s.dependency, now)
		} else {
			c.attemptEnded(Response{Attempt: s, Outcome: budget.NotSent}, now)
		}
	}
	clear(c.unsent)
	c.unsent = c.unsent[:0]
	c.responses = c.responses[:0]
	for _, w := range c.transports {
		c.responses = w.Receive(c.responses)
	}
	slices.SortStableFunc(c.responses, func(a, b Response) int { return a.Attempt.sentAt.Compare(b.Attempt.sentAt) })
	for _, b := range c.responses {
		if b.Attempt.cancelled {
			c.scheduler.CancelledCallEnded(b.Attempt.dependency, now)
			continue
		}
		c.attemptEnded(b, now)
	}
	clear(c.responses)
	c.scheduler.Advance(now)
	if now >= c.checkedAt+connectionCheckInterval {
		c.checkedAt = now
		for _, w := range c.transports {
			w.CheckConnections(time.Now())
		}
	}
}

func (c *Composer) attemptEnded(b Response, now time.Duration) {
	s := b.Attempt
	t := s.execution.Ref.(*request)
	t.attempts[s.call][s.number] = nil
	if b.Outcome == budget.Succeeded {
		if c.resultBytes+len(b.Body) > c.maxResultBytes {
			c.counts.Saw("result of a call beyond the program's own memory")
			b.Outcome = budget.Failed
		} else {
			c.resultBytes += len(b.Body)
			t.resultBytes += len(b.Body)
			t.parts[s.call] = b.Body
			c.keep(t, s.call, b.Body, now)
		}
	}
	c.scheduler.CallEnded(s.execution, s.call, s.number, b.Outcome, now)
}

// cacheKey finds last good results: the same call of the same type with the same body. A body may be 2 KiB; it counts
// against the bound as the result does.
func cacheKey(t *request, call int) string {
	return t.route.Plan.Route + "\x00" + t.route.Plan.Calls[call].Name + "\x00" + string(t.body)
}

// keep puts a result into the table of last good ones, within its bound in bytes; the ones longest unused go first.
func (c *Composer) keep(t *request, call int, body []byte, now time.Duration) {
	if t.route.Calls[call].MaxStaleness == 0 {
		return
	}
	k := cacheKey(t, call)
	c.cache.Remove(k)
	c.cache.Add(k, good{body, now})
	for c.keeps += len(k) + len(body); c.keeps > c.mayKeep; {
		c.cache.RemoveOldest()
	}
}

// Send makes an attempt; like the methods below it carries out what package budget decides.
func (c *Composer) Send(execution *budget.Execution, call, attempt int, within time.Duration) {
	t := execution.Ref.(*request)
	planned := &t.route.Plan.Calls[call]
	s := &Attempt{
		Op: t.route.Calls[call].Op, Body: t.body, Timeout: within,
		execution: execution, call: call, number: attempt, dependency: planned.Dependency,
	}
	if planned.Effect != budget.Read {
		s.IdempotencyKey = t.id + "/" + planned.Name
	}
	t.attempts[call][attempt] = s
	if !c.transports[s.dependency].Send(s) {
		c.unsent = append(c.unsent, s)
	}
}

// Cancel lets go of an attempt. A call with an effect is not taken back: it may have begun.
func (c *Composer) Cancel(execution *budget.Execution, call, attempt int) {
	t := execution.Ref.(*request)
	s := t.attempts[call][attempt]
	t.attempts[call][attempt] = nil
	s.cancelled = true
	if s.IdempotencyKey == "" {
		c.transports[s.dependency].Cancel(s)
	}
}

// Fallback puts a last good result, or else the stated constant, in the place of a part.
func (c *Composer) Fallback(execution *budget.Execution, call int) bool {
	t := execution.Ref.(*request)
	how := t.route.Calls[call]
	if how.MaxStaleness > 0 {
		g, known := c.cache.Get(cacheKey(t, call))
		if age := c.now() - g.at; known && age <= how.MaxStaleness {
			t.parts[call], t.ages[call] = g.body, max(age, 1)
			return true
		}
	}
	if how.Default != nil {
		t.parts[call] = how.Default
		return true
	}
	return false
}

// Finish answers a task.
func (c *Composer) Finish(execution *budget.Execution, v budget.Verdict) {
	t := execution.Ref.(*request)
	result, cut, fits := t.compose(execution, v)
	if cut {
		c.counts.Saw("composed answer too long, parts left out")
	}
	if v == budget.Aborted || !fits {
		c.notify(t, "interrupted", result)
	} else {
		c.notify(t, "success", result)
	}
}

func (c *Composer) notify(t *request, outcome string, result []byte) {
	c.resultBytes -= t.resultBytes
	delete(c.requests, t.id)
	c.notices = append(c.notices, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: t.id, Outcome: outcome, Result: result})
}

// Answer is the form of a composed answer.
type Answer struct {
	Complete bool    `json:"whole"` // all parts are there and fresh
	Value    float64 `json:"worth"` // importance of the parts that are there, over that of all
	Parts    []Part  `json:"parts"`
}

// Part is what became of one call.
type Part struct {
	Name   string `json:"name"`
	State  string `json:"state"`            // fresh, old, default or missing
	Reason string `json:"why,omitempty"`    // it is not fresh
	AgeMS  int64  `json:"age_ms,omitempty"` // of an old one
	Result string `json:"result,omitempty"` // base64
}

// compose composes what is there. Where it would be too long the largest parts are left out, optional ones first;
// without one that is needed it does not fit.
func (r *request) compose(execution *budget.Execution, v budget.Verdict) (raw []byte, cut, fits bool) {
	a := Answer{Complete: v == budget.Complete, Value: execution.Value()}
	size := 64
	for i, c := range r.route.Plan.Calls {
		p := Part{Name: c.Name, State: "fresh"}
		has, why := execution.PartStatus(i)
		switch {
		case !has:
			p.State, p.Reason = "missing", why.String()
		case why == budget.UsedFallback && r.ages[i] > 0:
			p.State, p.AgeMS, p.Reason = "old", (r.ages[i] + time.Millisecond - 1).Milliseconds(), why.String()
		case why == budget.UsedFallback:
			p.State, p.Reason = "default", why.String()
		}
		if has {
			p.Result = base64.StdEncoding.EncodeToString(r.parts[i])
		}
		size += len(p.Result) + len(p.Name) + maxPartOverhead
		a.Parts = append(a.Parts, p)
	}
	fits = true
	for size > maxAnswer {
		largest := 0
		for i, c := range r.route.Plan.Calls {
			than := r.route.Plan.Calls[largest].Required
			if p := &a.Parts[i]; p.Result != "" && (a.Parts[largest].Result == "" || than && !c.Required ||
				than == c.Required && len(p.Result) > len(a.Parts[largest].Result)) {
				largest = i
			}
		}
		p, c := &a.Parts[largest], &r.route.Plan.Calls[largest]
		if p.Result == "" {
			break
		}
		size -= len(p.Result)
		*p = Part{Name: p.Name, State: "missing", Reason: "answer too long"}
		a.Complete, cut, fits = false, true, fits && !c.Required
	}
	raw, err := json.Marshal(a)
	if err != nil || len(raw) > maxAnswer {
		return nil, true, false // names alone are too long
	}
	return raw, cut, fits
}

// States tells how the dependencies stand.
func (c *Composer) States(now time.Duration) (all []budget.State) {
	for _, d := range c.dependencies {
		all = append(all, d.State(now))
	}
	return all
}
