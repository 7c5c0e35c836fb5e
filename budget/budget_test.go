package budget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain draws the same cases every time; another seed is stated with -rapid.seed.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

const ms = time.Millisecond

// recorder carries decisions out by keeping them.
type recorder struct {
	log       []string
	fallbacks map[int]bool // calls that have something to fall back on
	sent      []sentCall
	verdicts  map[*Execution]Verdict
	parts     map[*Execution][]PartStatus
}

type sentCall struct {
	execution     *Execution
	call, attempt int
	timeout       time.Duration
}

func (h *recorder) Send(execution *Execution, call, attempt int, within time.Duration) {
	h.log = append(h.log, fmt.Sprintf("send %s/%d", execution.plan.Calls[call].Name, attempt))
	h.sent = append(h.sent, sentCall{execution, call, attempt, within})
}

func (h *recorder) Cancel(execution *Execution, call, attempt int) {
	h.log = append(h.log, fmt.Sprintf("cancel %s/%d", execution.plan.Calls[call].Name, attempt))
}
func (h *recorder) Fallback(_ *Execution, call int) bool { return h.fallbacks[call] }
func (h *recorder) Finish(execution *Execution, v Verdict) {
	h.log = append(h.log, fmt.Sprintf("finish %d", v))
	h.verdicts[execution] = v
	var whys []PartStatus
	for i := range execution.plan.Calls {
		_, why := execution.PartStatus(i)
		whys = append(whys, why)
	}
	h.parts[execution] = whys
}

func newRecorder() *recorder {
	return &recorder{fallbacks: map[int]bool{}, verdicts: map[*Execution]Verdict{}, parts: map[*Execution][]PartStatus{}}
}

func (h *recorder) takeLog() (said []string) { said, h.log = h.log, nil; return said }

func testOptions(share int) Options {
	return Options{Name: "d", MaxInFlight: share, QueueLimit: 4, CancelledTimeout: time.Second, RetryRatio: 0.1}
}

// testPlan is a needed read, an optional one beside it, and a needed at-most-once call behind the first.
func testPlan(t require.TestingT, change func(*Plan)) *Plan {
	p := &Plan{Route: "t", Reserve: 10 * ms, Calls: []Call{
		{Name: "a", Required: true, Value: 2, Expected: 20 * ms, Retry: true},
		{Name: "b", Value: 1, Expected: 20 * ms},
		{Name: "c", Required: true, Value: 5, Expected: 40 * ms, After: []int{0}, Effect: AtMostOnce},
	}}
	if change != nil {
		change(p)
	}
	require.NoError(t, p.Validate(1, time.Minute))
	return p
}

func newTestScheduler(h *recorder, share int) (*Scheduler, *Dependency) {
	d := NewDependency(testOptions(share), 1)
	d.limit = float64(share)
	return NewScheduler([]*Dependency{d}, h, 1), d
}

func TestCheck(t *testing.T) {
	call := func(name string, after ...int) Call {
		return Call{Name: name, Required: true, Expected: 20 * ms, After: after}
	}
	cases := []struct {
		name  string
		calls []Call
		whole time.Duration
		want  string
	}{
		{"none", nil, time.Second, "0 calls"},
		{"a circle", []Call{call("a", 2), call("b", 0), call("c", 1), call("d")}, time.Second, "wait for each other: a, b, c"},
		{"itself", []Call{call("a", 0)}, time.Second, "not there"},
		{"nowhere", []Call{call("a", 7)}, time.Second, "not there"},
		{"no dependency", []Call{{Name: "a", Required: true, Expected: ms, Dependency: 3}}, time.Second, "no such dependency"},
		{"nothing needed", []Call{{Name: "a", Expected: ms}}, time.Second, "no call is needed"},
		{"an at-most-once call with a second attempt", []Call{{Name: "a", Required: true, Expected: ms, Effect: AtMostOnce, Retry: true}}, time.Second, "can't have a second"},
		{"a hedged effect", []Call{{Name: "a", Required: true, Expected: ms, Effect: Keyed, Hedge: true}}, time.Second, "only reads"},
		{"an effect that falls back", []Call{{Name: "a", Required: true, Expected: ms, Effect: Keyed, Fallback: true}}, time.Second, "place of an effect"},
		{"no time", []Call{call("a"), call("b", 0)}, 30 * ms, "needed calls take 40ms"},
		{"no expected time", []Call{{Name: "a", Required: true}}, time.Second, "above 0"},
	}
	for _, c := range cases {
		err := (&Plan{Calls: c.calls}).Validate(1, c.whole)
		assert.ErrorContains(t, err, c.want, c.name)
	}
	spans := testPlan(t, nil).Spans(400*ms, []string{"d"})
	assert.Equal(t, Span{"c", 20 * ms, 60 * ms, 370 * ms, true, "d"}, spans[2])
}

func TestFlight(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(b *Scheduler, h *recorder)
		says []string
	}
	cases := []struct {
		name   string
		change func(*Plan)
		falls  []int
		steps  []step
	}{
		{"whole", nil, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, Succeeded, 10*ms) }, []string{"send c/0"}},
			{20 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 1, 0, Succeeded, 20*ms) }, nil},
			{30 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 2, 0, Succeeded, 30*ms) }, []string{"finish 0"}},
		}},
		{"the optional one late: partial, with what is there", nil, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, Succeeded, 10*ms) }, []string{"send c/0"}},
			{30 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 2, 0, Succeeded, 30*ms) }, nil},
			{80 * ms, nil, []string{"cancel b/0", "finish 1"}},
		}},
		{"a needed one failed: given up at once", func(p *Plan) { p.Calls[0].Retry = false }, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, Failed, 10*ms) }, []string{"cancel b/0", "finish 2"}},
		}},
		{"it falls back", func(p *Plan) { p.Calls[0].Retry, p.Calls[0].Fallback = false, true }, []int{0}, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, Failed, 10*ms) }, []string{"send c/0"}},
		}},
		{"no second attempt that was not earned", nil, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, NotSent, 10*ms) }, []string{"cancel b/0", "finish 2"}},
		}},
		{"an unclear at-most-once call", nil, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 0, 0, Succeeded, 10*ms) }, []string{"send c/0"}},
			{20 * ms, func(b *Scheduler, h *recorder) { b.CallEnded(h.sent[0].execution, 2, 0, Lost, 20*ms) }, []string{"cancel b/0", "finish 2"}},
			{25 * ms, func(b *Scheduler, h *recorder) { b.CancelledCallEnded(0, 25*ms) }, nil},
		}},
		{"the caller gone", nil, nil, []step{
			{0, nil, []string{"send a/0", "send b/0"}},
			{10 * ms, func(b *Scheduler, h *recorder) { b.Cancel(h.sent[0].execution, 10*ms) }, []string{"cancel a/0", "cancel b/0"}},
			{time.Second, nil, nil},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRecorder()
			for _, i := range c.falls {
				h.fallbacks[i] = true
			}
			b, _ := newTestScheduler(h, 10)
			p := testPlan(t, c.change)
			execution := b.Start(p, 0, 300*ms, nil)
			require.NotNil(t, execution)
			for _, s := range c.steps {
				if s.do != nil {
					s.do(b, h)
				}
				b.Advance(s.at)
				assert.Equal(t, s.says, h.takeLog(), "at %v", s.at)
			}
		})
	}
}

// A task that is short of time leaves out the optional call of least importance for its time.
func TestShed(t *testing.T) {
	h := newRecorder()
	b, _ := newTestScheduler(h, 10)
	p := &Plan{Route: "t", Calls: []Call{
		{Name: "cheap", Value: 1, Expected: 100 * ms},
		{Name: "dear", Value: 5, Expected: 100 * ms},
		{Name: "last", Required: true, Expected: 100 * ms, After: []int{0, 1}},
	}}
	require.NoError(t, p.Validate(1, time.Minute))
	p.Calls[0].Expected = 150 * ms
	b.Start(p, 0, 220*ms, nil)
	assert.Equal(t, []string{"send dear/0"}, h.takeLog())
	b.Start(p, 0, 150*ms, nil)
	assert.Equal(t, []string{"send last/0"}, h.takeLog())
}

// The wait for room is bounded, by due time.
func TestWaiting(t *testing.T) {
	h := newRecorder()
	b, d := newTestScheduler(h, 1)
	p := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: 10 * ms}}}
	require.NoError(t, p.Validate(1, time.Minute))
	first := b.Start(p, 0, time.Second, nil)
	late := b.Start(p, 0, 900*ms, nil)
	for i := range 3 {
		b.Start(p, 0, time.Duration(500+i)*ms, nil)
	}
	soon := b.Start(p, 0, 400*ms, nil) // the fifth: the one due last has no room
	assert.Equal(t, []string{"send a/0", "finish 2"}, h.takeLog())
	assert.Equal(t, Aborted, h.verdicts[late])
	assert.Equal(t, []PartStatus{OverLimit}, h.parts[late])
	b.CallEnded(first, 0, 0, Succeeded, 5*ms)
	assert.Equal(t, []string{"finish 0", "send a/0"}, h.takeLog())
	assert.Same(t, soon, h.sent[1].execution)
	assert.Len(t, d.queue, 3)
	b.Advance(700 * ms)
	assert.Empty(t, d.queue, "waiting has an end")
	assert.Zero(t, b.InFlight())
}

func TestLimitAndBreaker(t *testing.T) {
	d := NewDependency(testOptions(8), 1)
	now := time.Duration(0)
	call := func(how Outcome, took time.Duration) (sent bool) {
		admitted, _ := d.Admit(now)
		if admitted {
			d.CallEnded(how, took, true, now+took)
		}
		return admitted
	}
	for range 40 {
		require.True(t, call(Succeeded, 10*ms))
		now += 25 * ms
	}
	assert.Equal(t, 4.0, d.limit, "nobody waited")
	d.limitReached = true
	now += limitInterval
	d.Tick(now)
	assert.Equal(t, 5.0, d.limit)
	for range 10 { // slower, though none fails
		call(Succeeded, 60*ms)
		now += 25 * ms
	}
	now += limitInterval - 250*ms
	d.Tick(now)
	assert.InDelta(t, 3.75, d.limit, 1e-9, "a backoff event")
	assert.False(t, d.TakeRetryToken(now), "degraded, whatever was earned")

	now += 5 * time.Second
	sent := 0
	for range 100 {
		if call(Failed, ms) {
			sent++
		}
		now += 10 * ms
	}
	assert.Less(t, sent, 20, "the breaker keeps calls away")
	assert.Positive(t, d.BreakerOpened)
	now += maxOpenDuration * 2
	admitted, broken := d.Admit(now)
	assert.True(t, admitted && !broken, "a probe")
	_, broken = d.Admit(now)
	assert.True(t, broken, "one at a time")
	d.CallEnded(Succeeded, 5*ms, true, now)
	assert.Equal(t, HalfOpen, d.breaker)
	call(Succeeded, 5*ms)
	assert.Equal(t, Closed, d.breaker)
	assert.Less(t, d.limit, 3.0, "slow start")
}

// Abandoned calls are load until they are told to have ended, or linger out.
func TestLingering(t *testing.T) {
	h := newRecorder()
	b, d := newTestScheduler(h, 2)
	p := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: 10 * ms}}}
	require.NoError(t, p.Validate(1, time.Minute))
	for range 2 {
		b.Cancel(b.Start(p, 0, time.Second, nil), ms)
	}
	h.takeLog()
	b.Start(p, 2*ms, 300*ms, nil)
	assert.Empty(t, h.takeLog(), "both slots are still taken")
	b.CancelledCallEnded(0, 10*ms)
	assert.Equal(t, []string{"send a/0"}, h.takeLog())
	b.Advance(1100 * ms)
	assert.LessOrEqual(t, d.slotsInUse(), 2)
	assert.Equal(t, 1, d.LateResponses)
}

// A dependency that fails for long has hardly any second attempts; each is earned by ten first ones.
func TestBudgetOfSecondAttempts(t *testing.T) {
	h := newRecorder()
	b, d := newTestScheduler(h, 100)
	p := &Plan{Route: "t", Calls: []Call{{Name: "a", Required: true, Expected: ms, Retry: true, Hedge: true}}}
	require.NoError(t, p.Validate(1, time.Minute))
	now := time.Duration(0)
	at := 0
	round := func(how Outcome) {
		b.Start(p, now, now+time.Second, nil)
		for ; at < len(h.sent); at++ {
			s := h.sent[at]
			b.CallEnded(s.execution, s.call, s.attempt, how, now+ms)
		}
		now += 5 * ms
		b.Advance(now)
	}
	for range 400 {
		round(Succeeded)
	}
	assert.Equal(t, maxRetryTokens, d.retryTokens)
	for range 2000 {
		round(Failed)
	}
	assert.LessOrEqual(t, float64(d.ExtraAttempts), maxRetryTokens)
	assert.Less(t, len(h.sent), 600, "and few first ones")
}

// drawnPlan is any plan that is right.
func drawnPlan(t *rapid.T) *Plan {
	p := &Plan{Route: "t", Reserve: time.Duration(rapid.IntRange(0, 20).Draw(t, "reserve")) * ms}
	for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
		c := Call{
			Name: fmt.Sprint("call ", i), Required: i == 0 || rapid.Bool().Draw(t, "needed"),
			Expected: time.Duration(rapid.IntRange(1, 100).Draw(t, "expected")) * ms,
			Value:    float64(rapid.IntRange(0, 5).Draw(t, "importance")), Dependency: rapid.IntRange(0, 1).Draw(t, "dependency"),
			Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
		}
		c.Retry = c.Effect != AtMostOnce && rapid.Bool().Draw(t, "seconds")
		c.Hedge = c.Effect == Read && rapid.Bool().Draw(t, "hedge")
		for a := range i {
			if rapid.IntRange(0, 3).Draw(t, "after") == 0 {
				c.After = append(c.After, a)
			}
		}
		p.Calls = append(p.Calls, c)
	}
	require.NoError(t, p.Validate(2, time.Hour))
	return p
}

// invariantChecker sees to what must hold whatever comes back and when.
type invariantChecker struct {
	*recorder
	t         *rapid.T
	now       time.Duration
	deadlines map[*Execution]time.Duration
}

func (w *invariantChecker) Send(execution *Execution, call, attempt int, within time.Duration) {
	w.recorder.Send(execution, call, attempt, within)
	c := execution.plan.Calls[call]
	assert.LessOrEqual(w.t, w.now+within, w.deadlines[execution.Ref.(*Execution)], "a call outlasts its task")
	if c.Effect == AtMostOnce {
		assert.Zero(w.t, attempt, "an at-most-once call was sent again")
	}
}

// Under any order of ends the limits stay within bounds, no at-most-once call goes out twice, no task is finished
// twice or later than its time, and nothing is left over.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &invariantChecker{recorder: newRecorder(), t: t, deadlines: map[*Execution]time.Duration{}}
		share := rapid.IntRange(1, 6).Draw(t, "share")
		deps := []*Dependency{NewDependency(testOptions(share), 1), NewDependency(testOptions(share), 2)}
		b := NewScheduler(deps, w, 3)
		p := drawnPlan(t)
		begun, abandoned := 0, 0
		latest := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "passes")) * ms
			b.Advance(w.now)
			for _, execution := range b.executions {
				assert.Less(t, w.now, execution.deadline, "a task outlasts its time")
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				mark := &Execution{}
				until := w.now + time.Duration(rapid.IntRange(1, 500).Draw(t, "time"))*ms
				w.deadlines[mark], latest = until, max(latest, until)
				begun++
				b.Start(p, w.now, until, mark)
			default:
				var open []sentCall
				for _, s := range w.sent {
					if !s.execution.finished && s.execution.Ref != nil && s.execution.calls[s.call].inFlight[s.attempt] {
						open = append(open, s)
					}
				}
				if len(open) > 0 {
					s := rapid.SampledFrom(open).Draw(t, "ends")
					b.CallEnded(s.execution, s.call, s.attempt, Outcome(rapid.IntRange(0, 4).Draw(t, "how")), w.now)
				} else if len(b.executions) > 0 && rapid.Bool().Draw(t, "abandon") {
					abandoned++
					b.Cancel(b.executions[0], w.now)
				}
			}
			for _, d := range deps {
				assert.GreaterOrEqual(t, d.limit, 1.0)
				assert.LessOrEqual(t, d.limit, float64(share))
				assert.LessOrEqual(t, d.slotsInUse(), share)
				assert.GreaterOrEqual(t, d.inFlight, 0)
				assert.LessOrEqual(t, len(d.queue), d.options.QueueLimit)
			}
		}
		b.Advance(latest + time.Second)
		b.Advance(latest + 5*time.Second)
		assert.Zero(t, b.InFlight())
		finished := 0
		for _, s := range w.log {
			if len(s) > 6 && s[:6] == "finish" {
				finished++
			}
		}
		assert.Equal(t, begun, finished+abandoned, "each task is finished once")
		for _, d := range deps {
			assert.Zero(t, d.slotsInUse(), "a slot is lost")
			assert.Empty(t, d.queue)
		}
	})
}

// The shares along any way through a plan never add up to more than the time that is left, however long each call
// takes of its share.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawnPlan(t)
		until := time.Duration(rapid.IntRange(30, 2000).Draw(t, "time")) * ms
		b := NewScheduler([]*Dependency{NewDependency(testOptions(50), 1), NewDependency(testOptions(50), 2)}, newRecorder(), 1)
		execution := &Execution{plan: p, deadline: until}
		var ends [MaxCalls]time.Duration
		for _, i := range p.order {
			begins := time.Duration(0)
			for a := range p.Calls {
				if p.dependsOn[i][a] {
					begins = max(begins, ends[a])
				}
			}
			ends[i] = begins + b.callTimeout(execution, i, begins)
			assert.LessOrEqual(t, ends[i], until+time.Microsecond)
		}
	})
}

type discardExecutor struct{ last *Execution }

func (s *discardExecutor) Send(execution *Execution, _, _ int, _ time.Duration) { s.last = execution }
func (*discardExecutor) Cancel(*Execution, int, int)                            {}
func (*discardExecutor) Fallback(*Execution, int) bool                          { return false }
func (*discardExecutor) Finish(*Execution, Verdict)                             {}

// BenchmarkCall is one decision of a task of three calls: its begin, each end, and its finish make four.
func BenchmarkCall(b *testing.B) {
	s := &discardExecutor{}
	deps := []*Dependency{NewDependency(testOptions(100), 1)}
	deps[0].limit = 100
	k := NewScheduler(deps, s, 1)
	p := testPlan(b, nil)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += ms
		k.Start(p, now, now+time.Second, nil)
		for i := range 3 {
			k.CallEnded(s.last, i, 0, Succeeded, now+ms)
		}
		k.Advance(now)
	}
}

// A wide share and a long queue cost nothing until they are used.
func TestNothingIsLaidOutForABound(t *testing.T) {
	d := NewDependency(Options{MaxInFlight: 1000, QueueLimit: 4096}, 1)
	assert.Zero(t, cap(d.queue)+cap(d.cancelledUntil))
}
