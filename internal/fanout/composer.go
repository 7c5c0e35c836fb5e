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
	mostPartHead = 96      // bytes of a part beside its name and result
	mostAnswer   = 4 << 10 // bytes of a composed answer, as the routers' protocol has it
	mostEntries  = 65536   // last good results, whatever their size
	lookEvery    = 250 * time.Millisecond
	holdShare    = 16 // part of the program's memory, as a divisor, that results under way may take
	keepShare    = 16 // the same, for last good results
)

// Dependency is one that is called.
type Dependency struct {
	budget.Options
	Address     string
	Connections int
	Silence     time.Duration // after which a connection that owes an answer and says nothing is dead
}

// Call says how a call of a plan is carried.
type Call struct {
	Op      string
	Keep    time.Duration // age up to which a last good result may take its place; 0: none
	Default []byte        // what takes its place else; nil: nothing does
}

// Type is a traffic type that is made of calls; Calls stand as in its plan.
type Type struct {
	Plan  *budget.Plan
	Calls []Call
}

// Composer makes tasks of calls. All of it belongs to the owner of decisions, but for what its transports read.
type Composer struct {
	counts    *invariant.Counters
	now       func() time.Duration
	types     map[string]*Type
	ways      []Transport
	deps      []*budget.Dependency
	scheduler *budget.Scheduler
	over      sync.WaitGroup

	tasks   map[string]*task
	ended   []workerapi.Notice
	unsent  []*Sent // for which there was no way
	backs   []Back
	looked  time.Duration
	holds   int // bytes of results under way
	mayHold int
	kept    *simplelru.LRU[string, good]
	keeps   int
	mayKeep int
}

// task is one that is under way.
type task struct {
	id     string
	kind   *Type
	body   []byte
	flight *budget.Execution
	began  time.Duration
	parts  [budget.MaxCalls][]byte
	held   int                            // bytes of them that are the program's own
	ages   [budget.MaxCalls]time.Duration // of last good results
	sent   [budget.MaxCalls][2]*Sent
}

// good is a last good result.
type good struct {
	body []byte
	at   time.Duration
}

// New starts a composer whose connections live until the context ends. now is the clock of rounds; wake is called
// when there is something to take. The types' plans must have been checked.
func New(
	ctx context.Context, dependencies []Dependency, types []Type, memory int, seed int64, now func() time.Duration,
	counts *invariant.Counters, log *slog.Logger, wake func(),
) *Composer {
	c := &Composer{
		counts: counts, now: now, types: map[string]*Type{}, tasks: map[string]*task{},
		mayHold: memory / holdShare, mayKeep: memory / keepShare,
	}
	var err error
	c.kept, err = simplelru.NewLRU(mostEntries, func(key string, g good) { c.keeps -= len(key) + len(g.body) })
	counts.Assert(err == nil, "no table of last good results")
	for i, d := range dependencies {
		c.deps = append(c.deps, budget.NewDependency(d.Options, seed+int64(i)))
		c.ways = append(c.ways, Dial(ctx, d, seed+int64(i), log, counts.Count, wake, &c.over))
	}
	for _, t := range types {
		c.types[t.Plan.Route] = &t
	}
	c.scheduler = budget.NewScheduler(c.deps, c, seed)
	return c
}

// Wait returns once all connections have ended, after the context has.
func (c *Composer) Wait() { c.over.Wait() }

// Composes tells whether tasks of a type are made of calls.
func (c *Composer) Composes(kind string) bool { return c.types[kind] != nil }

// Waits is how long the needed calls of a type are expected to take, one behind the other, and the answering.
func (c *Composer) Waits(kind string) time.Duration { return c.types[kind].Plan.NeededPath() }

// Start begins the calls of a task.
func (c *Composer) Start(r workerapi.Run) bool {
	kind := c.types[r.Route]
	c.counts.Assert(kind != nil && c.tasks[r.ID] == nil, "a task was composed twice, or has no plan")
	if kind == nil || c.tasks[r.ID] != nil {
		return false
	}
	t := &task{id: r.ID, kind: kind, body: r.Body, began: c.now()}
	c.tasks[r.ID] = t
	t.flight = c.scheduler.Begin(kind.Plan, t.began, r.Deadline, t)
	return true
}

// Pause ends a task that nobody waits for any more. Calls with an effect that are under way go on at their
// dependencies; nothing is called behind them.
func (c *Composer) Pause(id string) bool {
	t := c.tasks[id]
	if t == nil {
		return false
	}
	if t.flight != nil {
		c.scheduler.Abandon(t.flight, c.now())
	}
	c.end(t, "interrupted", nil)
	return true
}

// Resume does nothing: what was paused is over.
func (c *Composer) Resume(string) bool { return false }

// AppendNotices gives the ends of tasks.
func (c *Composer) AppendNotices(into []workerapi.Notice) []workerapi.Notice {
	into = append(into, c.ended...)
	clear(c.ended)
	c.ended = c.ended[:0]
	return into
}

// Flush writes what was called.
func (c *Composer) Flush() {
	for _, w := range c.ways {
		w.Flush()
	}
}

// Due is when something is to be done next: at once where a call found no way or a task ended, as both are told only
// in a later turn.
func (c *Composer) Due() time.Duration {
	if len(c.unsent)+len(c.ended) > 0 {
		return 0
	}
	next := c.scheduler.Next()
	if len(c.tasks) > 0 {
		next = min(next, c.looked+lookEvery)
	}
	return next
}

// Turn takes in what came and does what is due.
func (c *Composer) Turn(now time.Duration) {
	for _, s := range c.unsent {
		if s.cancelled {
			c.scheduler.Late(s.dependency, now)
		} else {
			c.returned(Back{Sent: s, How: budget.NotSent}, now)
		}
	}
	clear(c.unsent)
	c.unsent = c.unsent[:0]
	c.backs = c.backs[:0]
	for _, w := range c.ways {
		c.backs = w.Take(c.backs)
	}
	slices.SortStableFunc(c.backs, func(a, b Back) int { return a.Sent.at.Compare(b.Sent.at) })
	for _, b := range c.backs {
		if b.Sent.cancelled {
			c.scheduler.Late(b.Sent.dependency, now)
			continue
		}
		c.returned(b, now)
	}
	clear(c.backs)
	c.scheduler.Advance(now)
	if now >= c.looked+lookEvery {
		c.looked = now
		for _, w := range c.ways {
			w.Turn(time.Now())
		}
	}
}

func (c *Composer) returned(b Back, now time.Duration) {
	s := b.Sent
	t := s.flight.Ref.(*task)
	t.sent[s.call][s.attempt] = nil
	if b.How == budget.Succeeded {
		if c.holds+len(b.Body) > c.mayHold {
			c.counts.Count("result of a call beyond the program's own memory")
			b.How = budget.Failed
		} else {
			c.holds += len(b.Body)
			t.held += len(b.Body)
			t.parts[s.call] = b.Body
			c.keep(t, s.call, b.Body, now)
		}
	}
	c.scheduler.CallEnded(s.flight, s.call, s.attempt, b.How, now)
}

// key finds last good results: the same call of the same type with the same body. A body may be 2 KiB; it counts
// against the bound as the result does.
func key(t *task, call int) string {
	return t.kind.Plan.Route + "\x00" + t.kind.Plan.Calls[call].Name + "\x00" + string(t.body)
}

// keep puts a result into the table of last good ones, within its bound in bytes; the ones longest unused go first.
func (c *Composer) keep(t *task, call int, body []byte, now time.Duration) {
	if t.kind.Calls[call].Keep == 0 {
		return
	}
	k := key(t, call)
	c.kept.Remove(k)
	c.kept.Add(k, good{body, now})
	for c.keeps += len(k) + len(body); c.keeps > c.mayKeep; {
		c.kept.RemoveOldest()
	}
}

// Send makes an attempt; like the methods below it carries out what package budget decides.
func (c *Composer) Send(f *budget.Execution, call, attempt int, within time.Duration) {
	t := f.Ref.(*task)
	planned := &t.kind.Plan.Calls[call]
	s := &Sent{
		Op: t.kind.Calls[call].Op, Body: t.body, Within: within,
		flight: f, call: call, attempt: attempt, dependency: planned.Dependency,
	}
	if planned.Effect != budget.Read {
		s.Number = t.id + "/" + planned.Name
	}
	t.sent[call][attempt] = s
	if !c.ways[s.dependency].Send(s) {
		c.unsent = append(c.unsent, s)
	}
}

// Cancel lets go of an attempt. A call with an effect is not taken back: it may have begun.
func (c *Composer) Cancel(f *budget.Execution, call, attempt int) {
	t := f.Ref.(*task)
	s := t.sent[call][attempt]
	t.sent[call][attempt] = nil
	s.cancelled = true
	if s.Number == "" {
		c.ways[s.dependency].Cancel(s)
	}
}

// Fallback puts a last good result, or else the stated constant, in the place of a part.
func (c *Composer) Fallback(f *budget.Execution, call int) bool {
	t := f.Ref.(*task)
	how := t.kind.Calls[call]
	if how.Keep > 0 {
		g, known := c.kept.Get(key(t, call))
		if age := c.now() - g.at; known && age <= how.Keep {
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
func (c *Composer) Finish(f *budget.Execution, v budget.Verdict) {
	t := f.Ref.(*task)
	result, cut, fits := t.answer(f, v)
	if cut {
		c.counts.Count("composed answer too long, parts left out")
	}
	if v == budget.Aborted || !fits {
		c.end(t, "interrupted", result)
	} else {
		c.end(t, "success", result)
	}
}

func (c *Composer) end(t *task, outcome string, result []byte) {
	c.holds -= t.held
	delete(c.tasks, t.id)
	c.ended = append(c.ended, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: t.id, Outcome: outcome, Result: result})
}

// Answer is the form of a composed answer.
type Answer struct {
	Whole bool    `json:"whole"` // all parts are there and fresh
	Worth float64 `json:"worth"` // importance of the parts that are there, over that of all
	Parts []Part  `json:"parts"`
}

// Part is what became of one call.
type Part struct {
	Name   string `json:"name"`
	State  string `json:"state"`            // fresh, old, default or missing
	Why    string `json:"why,omitempty"`    // it is not fresh
	AgeMS  int64  `json:"age_ms,omitempty"` // of an old one
	Result string `json:"result,omitempty"` // base64
}

// answer composes what is there. Where it would be too long the largest parts are left out, optional ones first;
// without one that is needed it does not fit.
func (t *task) answer(f *budget.Execution, v budget.Verdict) (raw []byte, cut, fits bool) {
	a := Answer{Whole: v == budget.Complete, Worth: f.Value()}
	size := 64
	for i, c := range t.kind.Plan.Calls {
		p := Part{Name: c.Name, State: "fresh"}
		has, why := f.PartStatus(i)
		switch {
		case !has:
			p.State, p.Why = "missing", why.String()
		case why == budget.FellBack && t.ages[i] > 0:
			p.State, p.AgeMS, p.Why = "old", (t.ages[i] + time.Millisecond - 1).Milliseconds(), why.String()
		case why == budget.FellBack:
			p.State, p.Why = "default", why.String()
		}
		if has {
			p.Result = base64.StdEncoding.EncodeToString(t.parts[i])
		}
		size += len(p.Result) + len(p.Name) + mostPartHead
		a.Parts = append(a.Parts, p)
	}
	fits = true
	for size > mostAnswer {
		largest := 0
		for i, c := range t.kind.Plan.Calls {
			than := t.kind.Plan.Calls[largest].Required
			if p := &a.Parts[i]; p.Result != "" && (a.Parts[largest].Result == "" || than && !c.Required ||
				than == c.Required && len(p.Result) > len(a.Parts[largest].Result)) {
				largest = i
			}
		}
		p, c := &a.Parts[largest], &t.kind.Plan.Calls[largest]
		if p.Result == "" {
			break
		}
		size -= len(p.Result)
		*p = Part{Name: p.Name, State: "missing", Why: "answer too long"}
		a.Whole, cut, fits = false, true, fits && !c.Required
	}
	raw, err := json.Marshal(a)
	if err != nil || len(raw) > mostAnswer {
		return nil, true, false // names alone are too long
	}
	return raw, cut, fits
}

// States tells how the dependencies stand.
func (c *Composer) States(now time.Duration) (all []budget.State) {
	for _, d := range c.deps {
		all = append(all, d.State(now))
	}
	return all
}
