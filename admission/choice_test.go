package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// bench drives one Choice as a program would and keeps what it decided, by task name.
type bench struct {
	*Controller
	names       map[*Request]string
	said        []string
	stay        time.Duration // the advice of the last dismissal
	nowhereElse bool
	closeAfter  time.Duration
	patience    time.Duration // of the last call
	at          time.Duration
}

// testSettings are those of a server of four cores with a route of each kind, changed where a case wants.
func testSettings(change func(*Settings)) Settings {
	settings := DefaultSettings()
	settings.Cores, settings.MemoryKB, settings.RunningMemoryFactor, settings.KeyKB = 4, 10000, 10, 50
	settings.MaxRunnablePerCore, settings.ColdSpeed, settings.WarmUp = 6, 0.2, 10*time.Second
	settings.Grace, settings.ShedLevelFormat = 2*time.Second, ShedLevelThreshold
	settings.RetryAfter, settings.MaxRetryAfter = true, time.Second
	settings.CallShare, settings.CallWindow, settings.CallLinger = 10, 5*time.Second, 200*ms
	for i, idempotency := range []Idempotency{Retryable, Keyed, AtMostOnce} {
		settings.Routes = append(settings.Routes, Route{
			Idempotency: idempotency, Value: float64(1 + i), LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second,
			DedupWindow: 20 * time.Second, CallsDependency: true,
		})
	}
	settings.Routes[0].SkipValueShare = 0.5
	if change != nil {
		change(&settings)
	}
	return settings
}

func newBench(change func(*Settings)) *bench {
	b := &bench{Controller: New(testSettings(change), 1), names: map[*Request]string{}, at: time.Second}
	b.round(Round{})
	return b
}

func (b *bench) task(name string, kind int) *Request {
	request := &Request{Route: b.Routes[kind], HeldKB: 10, Arrived: b.at, Rank: 0.99}
	b.names[request] = name
	return request
}

func (b *bench) round(r Round) string {
	b.said = nil
	r.Now = b.at
	b.Decide(&r, b)
	return strings.Join(b.said, ", ")
}

func (b *bench) pass(span time.Duration, g Gauges) string {
	var all []string
	for end := b.at + span; b.at < end; {
		b.at += tickInterval
		if said := b.round(Round{Gauges: &g}); said != "" {
			all = append(all, said)
		}
	}
	return strings.Join(all, ", ")
}

func (b *bench) run(request *Request, span time.Duration) {
	b.round(Round{Arrived: []*Request{request}})
	b.at += span
	b.round(Round{RunsEnded: []Completion{{Request: request, Outcome: Succeeded, Took: span}}})
}

func (b *bench) say(what string, request *Request) {
	b.said = append(b.said, what+" "+b.names[request])
}

func (b *bench) Start(request *Request) { b.say("start", request) }
func (b *bench) Pause(request *Request) { b.say("pause", request) }
func (b *bench) Reject(request *Request, stay time.Duration, nowhereElse bool) {
	b.say("dismiss", request)
	b.stay, b.nowhereElse = stay, nowhereElse
}
func (b *bench) Abort(request *Request)                        { b.say("give up", request) }
func (b *bench) AnswerFromOriginal(request *Request)           { b.say("echo", request) }
func (b *bench) RememberKey(request *Request, _ time.Duration) { b.say("remember", request) }
func (b *bench) ForgetKey(request *Request)                    { b.say("forget", request) }
func (b *bench) Call(request *Request, patience time.Duration) {
	b.say("call", request)
	b.patience = patience
}
func (b *bench) SkipCall(request *Request) { b.say("skip", request) }
func (b *bench) SetHealth(good, _ bool)    { b.said = append(b.said, fmt.Sprint("health ", good)) }
func (b *bench) SetShedLevel(level float64) {
	b.said = append(b.said, fmt.Sprintf("level %.2f", level))
}
func (b *bench) CloseIdleAfter(span time.Duration) { b.closeAfter = span }
func (b *bench) WakeAfter(time.Duration)           {}
func (b *bench) Log(string)                        {}

func TestLimitFollowsTheDesign(t *testing.T) {
	cases := []struct {
		name   string
		before float64
		gauges Gauges
		after  float64
	}{
		{"quiet period adds one", 8, Gauges{CPU: 0.8}, 9},
		{"CPU at its soft limit cuts", 8, Gauges{CPU: 0.9}, 6},
		{"memory at its soft limit cuts", 8, Gauges{CPU: 0.8, Memory: 0.75}, 6},
		{"never under the cores", 5, Gauges{CPU: 0.95}, 4},
		{"never over the ceiling", 24, Gauges{CPU: 0.8}, 24},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.limit.value = c.before
			b.pass(calibrationPeriod, c.gauges)
			assert.Equal(t, c.after, b.limit.value)
		})
	}
	t.Run("latency half over its usual cuts", func(t *testing.T) {
		b := newBench(nil)
		for range 50 {
			b.run(b.task("usual", 0), 100*ms)
		}
		b.at += 3 * time.Second
		b.limit.calibratedAt, b.limit.value = b.at-calibrationPeriod, 8
		for range 5 {
			b.run(b.task("slow", 0), 200*ms)
		}
		b.pass(tickInterval, Gauges{CPU: 0.8})
		assert.Equal(t, 6.0, b.limit.value)
	})
	t.Run("climbs at once while cores idle and work is held", func(t *testing.T) {
		b := newBench(nil)
		b.limit.value = 8
		for i := range 12 {
			b.round(Round{Arrived: []*Request{b.task(fmt.Sprint(i), 0)}})
		}
		b.pass(100*ms, Gauges{CPU: 0.5})
		assert.Equal(t, 9.0, b.limit.value)
	})
	t.Run("memory bounds the ceiling", func(t *testing.T) {
		b := newBench(func(s *Settings) { s.MemoryKB = 600 })
		b.round(Round{Arrived: []*Request{b.task("a", 0)}})
		assert.InDelta(t, 5.4, b.maxLimit(), 0.01)
	})
}

func TestHeldTasksStartByDueTimeUnderTheLimit(t *testing.T) {
	b := newBench(nil)
	var first []*Request
	for i := range 4 {
		first = append(first, b.task(fmt.Sprint(i), 0))
	}
	assert.Equal(t, "start 0, start 1, start 2, start 3", b.round(Round{Arrived: first}))
	late, soon := b.task("late", 0), b.task("soon", 0)
	late.Deadline, soon.Deadline = b.at+4*time.Second, b.at+3*time.Second
	assert.Empty(t, b.round(Round{Arrived: []*Request{late, soon}}), "the limit keeps them held")
	assert.Equal(t, "start soon", b.round(Round{RunsEnded: []Completion{{Request: first[0], Outcome: Succeeded}}}))
	assert.Equal(t, "call 1, start late", b.round(Round{AwaitingCall: []*Request{first[1]}}), "a core left is room")
}

func TestEveryKindIsAnsweredAtItsLastMoment(t *testing.T) {
	cases := []struct {
		name string
		kind int
		into func(b *bench, x *Request)
		want string
	}{
		{"held reissuable", 0, func(b *bench, x *Request) { b.limit.value, b.limit.minimum, b.settings.Cores = 0, 0, 0 }, "dismiss x"},
		{"held numbered", 1, func(b *bench, x *Request) { b.limit.value, b.limit.minimum, b.settings.Cores = 0, 0, 0 }, "forget x, dismiss x"},
		{"running reissuable", 0, nil, "give up x, pause x"},
		{"running numbered", 1, nil, "give up x, pause x"},
		{"running at-most-once", 2, nil, "give up x, pause x"},
		{"at a call", 2, func(b *bench, x *Request) { b.round(Round{AwaitingCall: []*Request{x}}) }, "give up x"},
		{"waiting for its call", 2, func(b *bench, x *Request) {
			b.calls.capacity = 0
			b.round(Round{AwaitingCall: []*Request{x}})
		}, "give up x"},
		{"repeat of a numbered", 1, nil, "give up x"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			x := b.task("x", c.kind)
			x.Duplicate = i == len(cases)-1
			if c.into != nil && i < 2 {
				c.into(b, x)
			}
			b.round(Round{Arrived: []*Request{x}})
			if c.into != nil && i >= 2 {
				c.into(b, x)
			}
			x.usefulUntil = b.at + 100*ms
			assert.NotContains(t, b.pass(75*ms, Gauges{CPU: 1}), "x")
			assert.Contains(t, b.pass(25*ms, Gauges{CPU: 1}), c.want)
			x.phase = max(x.phase, queued)
			assert.NotContains(t, b.pass(time.Second, Gauges{CPU: 1}), "give up", "one answer only")
		})
	}
	t.Run("a stall of the process", func(t *testing.T) {
		b := newBench(nil)
		x := b.task("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.at += 10 * time.Second
		assert.Equal(t, "give up x, pause x", b.round(Round{}), "any event answers what is overdue")
	})
}

// Where the site allows no stop, a Preempt is a fault that ends the day: runs that are given up or whose
// caller left go on to their ends, and count on the cores until then.
func TestNoStopWhereTheSiteAllowsNone(t *testing.T) {
	for _, how := range []string{"given up", "caller gone"} {
		t.Run(how, func(t *testing.T) {
			b := newBench(func(s *Settings) { s.Preemption = PreemptionNone })
			x := b.task("x", 0)
			b.round(Round{Arrived: []*Request{x}})
			if how == "caller gone" {
				assert.Empty(t, b.round(Round{Canceled: []*Request{x}}))
			} else {
				x.usefulUntil = b.at + 50*ms
				assert.Contains(t, b.pass(50*ms, Gauges{CPU: 1}), "give up x")
			}
			assert.NotContains(t, b.pass(time.Second, Gauges{CPU: 1}), "pause")
			assert.Equal(t, 1.0, b.inFlight().onCores, "the run still takes its core")
		})
	}
}

// Runs that wait for room for their call come back to the cores only by a call placed here, so they leave the
// crowd bound to others: on a slow dependency they filled it and tasks without calls were dismissed.
func TestParkedRunsLeaveTheCrowdBound(t *testing.T) {
	b := newBench(func(s *Settings) { s.MaxRunnablePerCore = 2 })
	b.calls.capacity, b.calls.credit = 0, 0
	room := int(b.maxConcurrency())
	var parked []*Request
	for i := range room {
		parked = append(parked, b.task(fmt.Sprint("p", i), 2))
	}
	b.round(Round{Arrived: parked})
	for range room {
		b.round(Round{AwaitingCall: parked}) // no room for calls: each waits at its call, and the next starts
	}
	assert.Equal(t, inFlightCount{total: float64(room), awaitingCall: float64(room)}, b.inFlight())
	assert.Equal(t, "start free", b.round(Round{Arrived: []*Request{b.task("free", 0)}}))
}

// While the dependency is strained, a task that calls it waits for its turn, and is dismissed at once where
// that turn comes too late; at ease the same task is kept.
func TestStrainedCallsCountInTheHold(t *testing.T) {
	for _, strained := range []bool{false, true} {
		b := newBench(nil)
		b.calls.outcomes.add(b.at, 1, 3.0)
		b.calls.strained = strained
		x := b.task("x", 2)
		said := b.round(Round{Arrived: []*Request{x}})
		if strained {
			assert.Equal(t, "dismiss x", said, "a call of three seconds lies past its contract time")
		} else {
			assert.Equal(t, "start x", said)
		}
	}
}

// Where cores are short, a task that can only answer late earns its late share alone, so it is left out
// before one of the same importance that would still be answered in time.
func TestLateAnswersGoFirstWhereCoresAreShort(t *testing.T) {
	b := newBench(func(s *Settings) {
		s.Cores, s.ValueByWork, s.Routes[0].LateValueShare = 1, true, 0.2
		s.Routes[1].Idempotency, s.Routes[1].Value = Retryable, 1
	})
	b.round(Round{Arrived: []*Request{b.task("running", 1)}})
	var line []*Request
	for i := range 3 {
		old := b.task(fmt.Sprint("late", i), 0)
		old.Arrived -= 1500 * ms
		line = append(line, old)
	}
	for i := range 4 {
		line = append(line, b.task(fmt.Sprint("fresh", i), 1))
	}
	said := b.round(Round{Arrived: line})
	assert.Equal(t, "dismiss late2, dismiss late1, dismiss late0, dismiss fresh3", said, "before the fresh ones")
}

func TestNumberedTasksTakeEffectOnce(t *testing.T) {
	b := newBench(nil)
	x, again := b.task("x", 1), b.task("again", 1)
	again.Duplicate = true
	assert.Equal(t, "remember x, start x", b.round(Round{Arrived: []*Request{x}}), "an entry comes before the run")
	assert.Equal(t, "echo again", b.round(Round{Arrived: []*Request{again}}))
	b.round(Round{AwaitingCall: []*Request{x}})
	said := b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Unknown}}})
	assert.Equal(t, "give up x", said, "a call that may have taken effect is not made again")

	y := b.task("y", 1)
	b.round(Round{Arrived: []*Request{y}})
	b.round(Round{AwaitingCall: []*Request{y}})
	assert.Empty(t, b.round(Round{CallsEnded: []Completion{{Request: y, Outcome: NotRun}}}), "not again at once")
	assert.Contains(t, b.pass(time.Second, Gauges{CPU: 1}), "call y", "but later, as it never ran")
}

func TestMemoryIsReservedAndAHoldItCannotCarryIsCut(t *testing.T) {
	b := newBench(func(s *Settings) { s.MemoryKB = 200 })
	assert.Equal(t, "remember a, start a", b.round(Round{Arrived: []*Request{b.task("a", 1)}}))
	assert.Equal(t, "dismiss b", b.round(Round{Arrived: []*Request{b.task("b", 1)}}), "no run without an entry")
	assert.Empty(t, b.round(Round{Arrived: []*Request{b.task("c", 0)}}), "no start past the memory")
	b = newBench(func(s *Settings) { s.MemoryKB, s.Cores = 600, 0 })
	var heap []*Request
	for i := range 56 {
		heap = append(heap, b.task("low", i/55*2))
	}
	assert.Equal(t, "dismiss low, dismiss low", b.round(Round{Arrived: heap}), "not the one of importance")
	assert.Contains(t, b.queue, heap[55])
}

func TestColdServersCrowdTheirCoresLess(t *testing.T) {
	warm := newBench(nil)
	cold := newBench(func(s *Settings) { s.Cold = true })
	assert.InDelta(t, 0.8*6*4, warm.maxConcurrency(), 0.01)
	assert.InDelta(t, 0.8*2*4, cold.maxConcurrency(), 0.01)
	cold.at += 5 * time.Second
	cold.round(Round{})
	assert.InDelta(t, 0.8*4*4, cold.maxConcurrency(), 0.01)
}

// Workers that come up behind the program are as cold as they are, not as the program is old.
func TestWorkersThatStartLaterAreColdFromThenOn(t *testing.T) {
	b := newBench(func(s *Settings) { s.Cold, s.ColdSpeed, s.WarmUp = true, 0.2, 10*time.Second })
	b.pass(8*time.Second, Gauges{})
	assert.InDelta(t, 0.84, b.speed(), 0.01)
	b.round(Round{WorkersStartedAt: b.at - time.Second})
	assert.InDelta(t, 0.28, b.speed(), 0.01)
	b.round(Round{WorkersStartedAt: b.at - 5*time.Second})
	assert.InDelta(t, 0.28, b.speed(), 0.01, "an earlier start makes nothing warmer")
}

func TestLeaving(t *testing.T) {
	b := newBench(nil)
	x := b.task("x", 2)
	b.round(Round{Arrived: []*Request{x}})
	assert.Contains(t, b.round(Round{StopAt: b.at + 3*time.Second}), "health false")
	x.answerBy, x.usefulUntil = b.drain.deadline, b.drain.deadline
	assert.Contains(t, b.round(Round{Arrived: []*Request{b.task("in", 0)}}), "start in")
	b.at += 2*time.Second + ms
	assert.Contains(t, b.round(Round{Arrived: []*Request{b.task("out", 0)}}), "dismiss out")
	assert.Contains(t, b.pass(tickInterval, Gauges{}), "level 1.00")
	assert.Contains(t, b.pass(time.Second-2*tickInterval, Gauges{}), "give up x, pause x", "answered before the stop")
}

func TestWhatCannotBeHonouredIsLeftOutByImportance(t *testing.T) {
	b := newBench(nil)
	for range 20 {
		b.run(b.task("usual", 0), 500*ms)
		b.run(b.task("usual", 2), 500*ms)
	}
	var crowd []*Request
	for range 20 {
		crowd = append(crowd, b.task("low", 0))
	}
	b.round(Round{Arrived: crowd})
	assert.Equal(t, "dismiss low", b.round(Round{Arrived: []*Request{b.task("high", 2)}}))
}

func TestALongTaskIsGivenTheBenefitOfTheDoubt(t *testing.T) {
	b := newBench(nil)
	for range 20 {
		b.run(b.task("usual", 0), time.Second)
	}
	x := b.task("x", 0)
	x.Deadline = b.at + 2*tickInterval + 800*ms
	assert.Equal(t, "start x", b.round(Round{Arrived: []*Request{x}}))
}

func TestLevelFollowsWhatManyTasksShow(t *testing.T) {
	for name, c := range map[string]struct {
		every                      int // a task each so many sweeps
		lain, dismissed, most, min float64
	}{
		"many dismissed": {1, 0, 1, 0.95, 0.4}, "few dismissed": {16, 0, 1, 0.1, 0}, "many read late": {1, 0.5, 0, 0.95, 0.1},
	} {
		b := newBench(nil)
		for i := range 64 {
			if i%c.every == 0 {
				b.shedding.unread.add(b.at, 1, c.lain)
				b.shedding.work.add(b.at, 1, c.dismissed)
			}
			b.pass(tickInterval, Gauges{CPU: 1})
		}
		assert.LessOrEqual(t, b.shedding.level, c.most, name)
		assert.GreaterOrEqual(t, b.shedding.level, c.min, name)
		b.pass(6*time.Second, Gauges{CPU: 0.5})
		assert.Zero(t, b.shedding.level, "it falls back by itself")
	}
}

func TestDismissedTasksAreToldWhenToComeBack(t *testing.T) {
	cases := []struct {
		name   string
		unread time.Duration
		change func(*Settings)
		want   time.Duration
	}{
		{"a hopeless one read at once", 0, nil, ms},
		{"as long as it lay unread and the hold is too long", 400 * ms, nil, 500 * ms},
		{"never longer than is heeded", 3 * time.Second, nil, time.Second},
		{"nothing where advice is not passed on", 400 * ms, func(s *Settings) { s.RetryAfter = false }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.change)
			x := b.task("x", 0)
			x.Arrived -= c.unread
			x.Deadline = b.at + 2*tickInterval + time.Duration(medianToMean*float64(b.expectedWork(x))) - ms // a millisecond short
			assert.Equal(t, "dismiss x", b.round(Round{Arrived: []*Request{x}}))
			assert.InDelta(t, c.want, b.stay, float64(ms))
		})
	}
}

func TestCallsUnderStrain(t *testing.T) {
	b := newBench(nil)
	b.calls.strained, b.calls.capacity = true, 1
	skips, cannot := b.task("skips", 0), b.task("cannot", 2)
	b.round(Round{Arrived: []*Request{skips, cannot}})
	assert.Equal(t, "call cannot, skip skips", b.round(Round{AwaitingCall: []*Request{skips, cannot}}))
	for _, c := range []struct {
		outcome Outcome
		room    float64
	}{{Succeeded, 8}, {NotRun, 6}, {Unknown, 8}} {
		b := newBench(nil)
		x := b.task("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.round(Round{AwaitingCall: []*Request{x}})
		b.calls.capacity = 8
		b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: c.outcome, Took: ms}}})
		b.calibrateCalls()
		assert.Equal(t, c.room, b.calls.capacity)
	}
}

func TestCallsKeepToAShareOfLessThanOne(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.5, 0.9, 1.4} {
		b := newBench(func(s *Settings) { s.CallShare = share })
		most, mean, n := 0.0, 0.0, 400
		for range n { // a dependency that hangs holds each call for as long as the server waits
			x := b.task("x", 2)
			b.round(Round{Arrived: []*Request{x}})
			b.round(Round{AwaitingCall: []*Request{x}})
			b.pass(100*ms, Gauges{CPU: 0.5})
			for _, request := range b.active {
				if request.phase == calling && b.at >= request.calledAt+b.patience {
					b.round(Round{CallsEnded: []Completion{{Request: request, Outcome: Unknown}}})
				}
			}
			most = max(most, b.calls.inProgress.sum(b.at)[0]/5)
			mean += b.calls.inProgress.sum(b.at)[0] / 5 / float64(n)
		}
		assert.LessOrEqual(t, most, max(share, 0.1), "in any window")
		assert.LessOrEqual(t, mean, max(share, 0.02), "and in the long run, however small the share")
		assert.Positive(t, mean, "yet calls go on")
	}
}

// accra-heat-control: tasks call a tier of servers that tell no share; taken as a share of nothing, a call
// went once in minutes and every setpoint-change was given up at its call.
func TestCallsToATierBelowGoByTheCrowdNotAShareNeverTold(t *testing.T) {
	for _, c := range []struct {
		below string
		tier  bool
		calls int
	}{{"tier", true, 4}, {"shared", false, 1}} {
		b := newBench(func(s *Settings) { s.CallShare, s.CallsTier = 0, c.tier })
		var xs []*Request
		for range 4 {
			xs = append(xs, b.task("x", 2))
		}
		b.round(Round{Arrived: xs})
		b.pass(calibrationPeriod, Gauges{CPU: 0.5})
		said := b.round(Round{AwaitingCall: xs})
		assert.Equal(t, c.calls, strings.Count(said, "call x"), c.below)
	}
}

func TestConnectionsAreKeptAsFarAsTheyAreUsedAgain(t *testing.T) {
	for _, c := range []struct {
		callers uint32
		idle    time.Duration
		want    time.Duration
	}{{1, 30 * time.Second, 20 * time.Second}, {1000, 30 * time.Second, 10 * ms}, {1, 0, 0}} {
		b := newBench(func(s *Settings) { s.IdleTimeout = c.idle })
		for i := range uint32(50) {
			x := b.task("x", 0)
			x.Router = i % c.callers
			b.round(Round{Arrived: []*Request{x}})
		}
		assert.Zero(t, b.closeAfter, "nothing is closed before anything is known")
		b.pass(calibrationPeriod, Gauges{CPU: 1})
		assert.GreaterOrEqual(t, b.closeAfter, c.want)
		assert.LessOrEqual(t, b.closeAfter, c.want*3/2)
		b.pass(31*time.Second, Gauges{CPU: 1})
		assert.True(t, c.idle == 0 || len(b.connections.lastSeen) == 0, "what is known of callers does not pile up")
	}
}

func TestACallGivenUpOnHoldsRoomAndMemoryUntilItsEnd(t *testing.T) {
	b := newBench(func(s *Settings) { s.CallShare, s.MemoryKB = 1.2, 600 })
	x, y, large := b.task("x", 2), b.task("y", 2), b.task("large", 0)
	large.HeldKB = 40
	b.round(Round{Arrived: []*Request{x, y}})
	x.usefulUntil = b.at + 300*ms
	b.round(Round{AwaitingCall: []*Request{x}})
	assert.LessOrEqual(t, b.patience, 300*ms, "no call outlasts the time in which its task is wanted")
	assert.Contains(t, b.pass(300*ms, Gauges{CPU: 1}), "give up x")
	assert.Empty(t, b.round(Round{Arrived: []*Request{large}, AwaitingCall: []*Request{y}}))
	end := []Completion{{Request: x, Outcome: Unknown}}
	assert.Equal(t, "call y, start large", b.round(Round{CallsEnded: end, RunsEnded: end}))
}

// The run of a task that is over ends at its call before that is reported to have ended: the dependency has it still.
func TestACallLeftBehindByItsRunLingers(t *testing.T) {
	b := newBench(nil)
	task := b.task("a", 2)
	b.round(Round{Arrived: []*Request{task}})
	b.round(Round{AwaitingCall: []*Request{task}})
	assert.Equal(t, calling, task.phase)
	b.at += 100 * ms
	before, saved := b.calls.inProgress.sum(b.at)[0], b.calls.credit
	b.round(Round{RunsEnded: []Completion{{Request: task, Outcome: Stopped}}})
	assert.InDelta(t, 0.3, b.calls.inProgress.sum(b.at)[0]-before, 1e-6, "100 ms in hand, and 200 ms that it lingers")
	assert.InDelta(t, 0.3, saved-b.calls.credit, 1e-6)
}

func TestACallIsSkippedWhenItsTurnComesTooLate(t *testing.T) {
	for _, c := range []struct {
		saved float64
		want  string
	}{{1, "call x"}, {-0.5, ""}, {-1.5, "skip x"}} { // a second behind at a room of one is a second's wait
		b := newBench(nil)
		x := b.task("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.calls.capacity, b.calls.credit = 1, c.saved
		x.usefulUntil = b.at + b.expectedWork(x) + 2*time.Second
		assert.Equal(t, c.want, b.round(Round{AwaitingCall: []*Request{x}}))
	}
}

func TestGone(t *testing.T) {
	b := newBench(nil)
	x, n := b.task("x", 0), b.task("n", 1)
	b.round(Round{Arrived: []*Request{x, n}})
	assert.Equal(t, "pause x", b.round(Round{Canceled: []*Request{x, n}}), "a numbered run goes on for its repeats")
	assert.Empty(t, b.round(Round{RunsEnded: []Completion{{Request: x}}, AwaitingCall: []*Request{n}}), "no call for what has ended")
	assert.Empty(t, b.pass(10*time.Second, Gauges{CPU: 1}), "and no answer")
}

func TestACallerMayLeaveAsItsTaskIsRead(t *testing.T) {
	for kind, want := range []string{"", "remember x, forget x", ""} {
		b := newBench(nil)
		x := b.task("x", kind)
		assert.Equal(t, want, b.round(Round{Arrived: []*Request{x}, Canceled: []*Request{x}}))
		assert.NotContains(t, b.pass(10*time.Second, Gauges{CPU: 1}), "x", "no answer is owed")
	}
}

func TestOneRoundMayHoldAWholeStory(t *testing.T) {
	b := newBench(nil)
	x := b.task("x", 2)
	b.round(Round{Arrived: []*Request{x}})
	b.round(Round{AwaitingCall: []*Request{x}})
	end, all := []Completion{{Request: x, Outcome: Succeeded}}, []*Request{x}
	story := Round{CallsEnded: end, AwaitingCall: all, RunsEnded: end, Canceled: all, Arrived: []*Request{b.task("y", 0)}}
	assert.Equal(t, "start y", b.round(story))
}

func TestSameEventsSameDecisions(t *testing.T) {
	story := func() (all string) {
		b := newBench(nil)
		for i := range 400 {
			x := b.task(fmt.Sprint(i), i%3)
			all += b.round(Round{Arrived: []*Request{x}}) + b.round(Round{AwaitingCall: []*Request{x}})
			all += b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Outcome(i % 4)}}}) + b.pass(tickInterval, Gauges{CPU: 1})
		}
		return all
	}
	assert.Equal(t, story(), story())
}

func TestCustomersOverTheirShareGiveWayFirst(t *testing.T) {
	b := newBench(func(s *Settings) {
		s.Tenants, s.FleetServers, s.OverQuotaValue = []Tenant{{Rate: 10}, {Rate: 10}}, 10, 0.05
	})
	within, over := b.task("within", 0), b.task("over", 0)
	over.Tenant = 1
	for range 5 {
		b.tenants.add(0, b.at)
	}
	for range 20 {
		b.tenants.add(1, b.at)
	}
	assert.Equal(t, b.valueDensity(within), (&bench{Controller: newBench(nil).Controller}).valueDensity(within))
	assert.InDelta(t, 0.525*b.valueDensity(within), b.valueDensity(over), 0.001)
}

func TestAServerThatErrsKeepsTasksOff(t *testing.T) {
	b := newBench(nil)
	for range 6 {
		x := b.task("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.round(Round{RunsEnded: []Completion{{Request: x, Outcome: Failed}}})
	}
	said := b.round(Round{Arrived: []*Request{b.task("probe", 2), b.task("spared", 2)}})
	assert.Equal(t, "dismiss spared, start probe", said)
	assert.Equal(t, maxShedLevel, b.shedding.level)
	assert.Contains(t, b.pass(3*time.Second, Gauges{}), "health true", "it tries again by itself")
}

func TestReadingGoesFirstWhenItHeapsUp(t *testing.T) {
	b := newBench(nil)
	b.pass(tickInterval, Gauges{Runnable: 4})
	two := []*Request{b.task("first", 0), b.task("second", 0)}
	assert.Equal(t, "start first", b.round(Round{Arrived: two}), "reads leave room for one")
	assert.Equal(t, "start second", b.pass(tickInterval, Gauges{Runnable: 3}))
}

func TestDismissalsWanderOnlyWhileOthersMayHaveRoom(t *testing.T) {
	for _, c := range []struct {
		level float64
		left  time.Duration
		want  bool
	}{{0, time.Second, false}, {fleetFullLevel, time.Second, false}, {2 * fleetFullLevel, time.Second, true}, {0, 200 * ms, false}, {0, 100 * ms, true}} {
		b := newBench(nil)
		x := b.task("x", 0)
		x.usefulUntil, b.shedding.level = b.at+c.left, c.level
		b.reject(x, ReasonNoTime, b)
		assert.Equal(t, c.want, b.nowhereElse)
	}
}

func TestOddTermsDecideSanely(t *testing.T) {
	for name, odd := range map[string]func(*Settings){
		"nothing stated":     func(s *Settings) { s.CallShare, s.FleetServers, s.IdleTimeout = 0, 0, 0 },
		"one server":         func(s *Settings) { s.FleetServers, s.Tenants = 1, []Tenant{{Rate: 0}} },
		"nothing in sharing": func(s *Settings) { s.Tenants, s.FleetServers, s.OverQuotaValue = []Tenant{{Rate: 0}}, 0, 0 },
		"no time at all":     func(s *Settings) { s.CallWindow, s.CallLinger, s.WarmUp = 0, 0, 1 },
	} {
		b := newBench(odd)
		said := ""
		for range 40 {
			x := b.task("x", 2)
			said += b.round(Round{Arrived: []*Request{x}}) + b.round(Round{AwaitingCall: []*Request{x}})
			said += b.pass(100*ms, Gauges{CPU: 0.5})
			b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Succeeded, Took: 20 * ms}}, RunsEnded: []Completion{{Request: x}}})
		}
		assert.Contains(t, said, "start x", name)
		assert.Contains(t, said, "call x", name)
		assert.False(t, math.IsNaN(b.shedding.level+b.limit.value+b.calls.capacity+b.calls.credit+b.valueDensity(b.task("y", 0))), name)
	}
}

// What callers invent moves no belief: an age, a number of callers, calls that the pool does not know.
func TestInventedTasksMoveNoBelief(t *testing.T) {
	b := newBench(func(s *Settings) { s.IdleTimeout = 30 * time.Second })
	need := b.expectedWork(b.task("real", 0))
	for i := range 2 * maxRouters {
		invented := b.task("invented", 0)
		invented.Arrived, invented.Router = b.at-10*time.Minute, uint32(i)
		b.round(Round{Arrived: []*Request{invented}})
	}
	assert.LessOrEqual(t, len(b.connections.lastSeen), maxRouters)
	lain := b.shedding.unread.sum(b.at)
	assert.LessOrEqual(t, lain[1], lain[0], "old ones pass for more than they are")
	for range 100 {
		unknown := b.task("unknown", 0)
		b.round(Round{Arrived: []*Request{unknown}})
		b.at += 10 * ms
		b.round(Round{RunsEnded: []Completion{{Request: unknown, Outcome: NeverStarted}}})
	}
	assert.InDelta(t, float64(need), float64(b.expectedWork(b.task("real", 0))), float64(ms))
	assert.False(t, b.health.failing)
}

// A site whose link to its dependency was cut for seconds (split+brink): the calls that were under way were never
// answered, each kept its place until its task was given up, and the server stood behind one or two of them.
func TestACallThatIsNeverAnsweredIsAskedAgain(t *testing.T) {
	b := newBench(func(s *Settings) { s.Routes[0].SkipValueShare = 0 })
	for range 10 {
		b.calls.seconds.add(0.02, 500)
	}
	for kind, within := range []time.Duration{160 * ms, 2 * time.Second, 2 * time.Second} {
		x := b.task("x", kind)
		b.round(Round{Arrived: []*Request{x}})
		assert.Equal(t, "call x", b.round(Round{AwaitingCall: []*Request{x}}))
		assert.InDelta(t, within, b.patience, float64(ms), "what may not run twice is waited for")
		if kind > 0 {
			continue
		}
		for again := within * 2; again < 640*ms; again *= 2 {
			b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Unknown, Took: within}}})
			assert.Equal(t, "call x", b.pass(time.Second/4, Gauges{CPU: 0.5}))
			assert.InDelta(t, again, b.patience, float64(ms), "one that has only grown slow is heard in the end")
		}
		end := []Completion{{Request: x}}
		b.round(Round{CallsEnded: end, RunsEnded: end})
	}
}
