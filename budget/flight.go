package budget

import (
	"math/rand"
	"slices"
	"time"
)

const (
	attemptsMost  = 2
	optionalTimes = 4                     // times what it is stated to take that an optional call is waited for
	neededTimes   = 12                    // times what it takes, as stated and as seen, that a needed one is: beyond that it is most likely lost
	hopeless      = 4                     // a needed call is not begun in less than this part of what it takes
	retryWait     = 40 * time.Millisecond // most that a second attempt waits, with full jitter
)

// Verdict is how a task made of calls is answered.
type Verdict int

// The verdicts. Partial has all that is needed, and lacks something else.
const (
	Complete Verdict = iota
	Partial
	Aborted
)

// PartStatus says what became of a call's part.
type PartStatus int

// The reasons. FellBack has a part all the same; Unclear is an effect that may or may not have happened.
const (
	Fresh PartStatus = iota
	FellBack
	DeadlineTooClose
	OverLimit
	Broken
	NotRun
	TooLate
	Unclear
)

func (w PartStatus) String() string {
	return [...]string{"fresh", "fell back", "no time", "no room", "breaker open", "failed", "late", "unclear"}[w]
}

type phase int

const (
	idle phase = iota
	waits
	open
	pausing // before a second attempt
	settled
)

type callState struct {
	phase    phase
	good     bool
	why      PartStatus
	attempts int
	live     [attemptsMost]bool
	began    [attemptsMost]time.Duration
	deadline time.Duration // of what is open, or of the wait
	next     time.Duration // of a hedge or of a second attempt; 0 without one
}

// Execution is one task under way.
type Execution struct {
	Ref   any // what the Writer keeps with it
	plan  *Plan
	until time.Duration
	calls [MaxCalls]callState
	done  bool
}

// Plan is that of the task.
func (f *Execution) Plan() *Plan { return f.plan }

// PartStatus tells what became of a call.
func (f *Execution) PartStatus(call int) (good bool, why PartStatus) {
	return f.calls[call].good, f.calls[call].why
}

// Value is the importance of the parts that are there, as a share of all.
func (f *Execution) Value() float64 {
	has, all := 0.0, 0.0
	for i, c := range f.plan.Calls {
		all += c.Value
		if f.calls[i].good {
			has += c.Value
		}
	}
	if all == 0 {
		return 1
	}
	return has / all
}

// Executor carries out what is decided. None of its methods may call back.
type Executor interface {
	// Send makes a call; attempt is 0, or 1 for a second one of the same call, which carries the same number.
	Send(f *Execution, call, attempt int, within time.Duration)
	// Cancel tells that nobody waits for an attempt any more. Its end, if it is ever told, goes to Late.
	Cancel(f *Execution, call, attempt int)
	// Fallback puts a last good result or a constant in the place of a part, and tells whether there is one.
	Fallback(f *Execution, call int) bool
	// Finish answers the task. The flight is used again after it.
	Finish(f *Execution, v Verdict)
}

type waiter struct {
	flight *Execution
	call   int
	due    time.Duration
}

// Scheduler holds the dependencies and all tasks under way. Its methods are for one caller at a time.
type Scheduler struct {
	deps    []*Dependency
	writer  Executor
	rng     *rand.Rand
	flights []*Execution
	free    []*Execution
	over    bool // some of them are finished, and not collected yet
	next    time.Duration
}

// NewScheduler begins with dependencies in the order in which plans name them.
func NewScheduler(deps []*Dependency, w Executor, seed int64) *Scheduler {
	return &Scheduler{deps: deps, writer: w, rng: rand.New(rand.NewSource(seed)), next: never}
}

const never = time.Duration(1<<63 - 1)

// Open is the number of tasks under way.
func (b *Scheduler) Open() int { return len(b.flights) }

// Next is the moment of the earliest timer.
func (b *Scheduler) Next() time.Duration { return b.next }

// Begin starts a task that is to be answered by a moment. It gives none where the task was finished at once.
func (b *Scheduler) Begin(p *Plan, now, until time.Duration, ref any) *Execution {
	var f *Execution
	if n := len(b.free); n > 0 {
		f, b.free = b.free[n-1], b.free[:n-1]
		*f = Execution{}
	} else {
		f = &Execution{}
	}
	f.Ref, f.plan, f.until = ref, p, until-p.Reserve
	b.flights = append(b.flights, f)
	b.next = min(b.next, f.until)
	b.shed(f, now)
	b.advance(f, now)
	done := f.done
	b.collect()
	if done {
		return nil
	}
	return f
}

// CallEnded takes the end of an attempt that was not cancelled.
func (b *Scheduler) CallEnded(f *Execution, call, attempt int, how Outcome, now time.Duration) {
	s, c := &f.calls[call], &f.plan.Calls[call]
	d := b.deps[c.Dependency]
	if f.done || !s.live[attempt] {
		return
	}
	s.live[attempt] = false
	d.Tick(now)
	d.Ended(how, now-s.began[attempt], attempt == 0, now)
	switch {
	case how == Succeeded:
		b.drop(f, call, false, now)
		b.settle(f, call, true, Fresh, now)
	case s.live[1-attempt]: // the other may still come back
	case !b.again(f, call, how, now):
		b.settle(f, call, false, failedAs(c, how), now)
	}
	b.admitWaiting(c.Dependency, now)
	b.collect()
}

func failedAs(c *Call, how Outcome) PartStatus {
	if c.Effect == AtMostOnce && how == Lost {
		return Unclear
	}
	return NotRun
}

// Late takes the end of an attempt that was cancelled: its slot is free, and nothing else changes.
func (b *Scheduler) Late(dependency int, now time.Duration) {
	b.deps[dependency].LateEnd(now)
	b.admitWaiting(dependency, now)
	b.collect()
}

// Abandon ends a task without an answer: somebody else has given it up, or its caller is gone.
func (b *Scheduler) Abandon(f *Execution, now time.Duration) {
	if f.done {
		return
	}
	b.close(f, now)
	b.collect()
}

// Advance does what is due.
func (b *Scheduler) Advance(now time.Duration) {
	for i := range b.deps {
		b.admitWaiting(i, now) // limits move and slots linger out with time
	}
	b.collect()
	if now < b.next {
		return
	}
	for i := 0; i < len(b.flights); i++ { // those that begin meanwhile stand behind
		b.timers(b.flights[i], now)
	}
	b.collect()
	b.next = never
	for _, f := range b.flights {
		b.next = min(b.next, f.until)
		for i := range f.plan.Calls {
			if s := &f.calls[i]; s.phase != idle && s.phase != settled {
				if s.phase != pausing {
					b.next = min(b.next, s.deadline)
				}
				if s.next > 0 {
					b.next = min(b.next, s.next)
				}
			}
		}
	}
}

func (b *Scheduler) timers(f *Execution, now time.Duration) {
	if f.done {
		return
	}
	if now >= f.until {
		b.timeUp(f, now)
		return
	}
	for i := range f.plan.Calls {
		s, c := &f.calls[i], &f.plan.Calls[i]
		switch {
		case f.done:
			return
		case s.phase == waits && now >= s.deadline:
			b.unwait(f, i)
			b.settle(f, i, false, OverLimit, now)
		case s.phase == pausing && now >= s.next:
			s.next = 0
			if admitted, _ := b.deps[c.Dependency].Admit(now); admitted {
				b.send(f, i, now)
			} else {
				b.settle(f, i, false, OverLimit, now)
			}
		case s.phase == open && now >= s.deadline:
			b.drop(f, i, true, now)
			b.settle(f, i, false, lateAs(c), now)
		case s.phase == open && s.next > 0 && now >= s.next:
			s.next = 0
			b.hedge(f, i, now)
		}
	}
}

func lateAs(c *Call) PartStatus {
	if c.Effect == AtMostOnce {
		return Unclear
	}
	return TooLate
}

// timeUp answers with what is there.
func (b *Scheduler) timeUp(f *Execution, now time.Duration) {
	for i := range f.plan.Calls {
		s, c := &f.calls[i], &f.plan.Calls[i]
		if s.phase == settled {
			continue
		}
		why := DeadlineTooClose
		switch s.phase {
		case open:
			b.drop(f, i, true, now)
			why = lateAs(c)
		case waits:
			b.unwait(f, i)
			why = OverLimit
		}
		s.phase, s.why = settled, why
		if c.Fallback && b.writer.Fallback(f, i) {
			s.good, s.why = true, FellBack
		}
	}
	b.finish(f, now)
}

// settle ends a call. Without one that is needed the task is given up at once: waiting for the rest would only
// hold up whoever asked.
func (b *Scheduler) settle(f *Execution, i int, good bool, why PartStatus, now time.Duration) {
	s, c := &f.calls[i], &f.plan.Calls[i]
	if f.done || s.phase == settled {
		return
	}
	s.phase, s.good, s.why, s.next = settled, good, why, 0
	if !good && c.Fallback && b.writer.Fallback(f, i) {
		s.good, s.why = true, FellBack
	}
	if c.Required && !s.good {
		b.finish(f, now)
		return
	}
	b.advance(f, now)
}

// advance begins all calls that wait for nothing any more, side by side, and finishes a task without any left.
func (b *Scheduler) advance(f *Execution, now time.Duration) {
	left := false
	for _, i := range f.plan.order {
		if f.done {
			return
		}
		if f.calls[i].phase == settled {
			continue
		}
		left = true
		if f.calls[i].phase != idle {
			continue
		}
		ready := true
		for a := range f.plan.Calls {
			ready = ready && (!f.plan.before[i][a] || f.calls[a].phase == settled)
		}
		if ready {
			b.begin(f, i, now) // may settle, and so come here again
		}
	}
	if !left && !f.done {
		b.finish(f, now)
	}
}

func (b *Scheduler) begin(f *Execution, i int, now time.Duration) {
	s, c := &f.calls[i], &f.plan.Calls[i]
	d := b.deps[c.Dependency]
	may, takes := b.allowed(f, i, now), d.Expected(c.Expected)
	// An optional call is begun although it is seen to take longer than it may: else a dependency that was slow would
	// never be seen to be quick again. The breaker keeps that to a few.
	if left := f.until - now; may <= 0 || !c.Required && left < takes || may < takes/hopeless && c.Required {
		b.settle(f, i, false, DeadlineTooClose, now)
		return
	}
	admitted, broken := d.Admit(now)
	switch {
	case broken:
		b.settle(f, i, false, Broken, now)
	case admitted:
		b.send(f, i, now)
	default:
		s.phase, s.deadline = waits, now+max(may-takes, 0)
		b.next = min(b.next, s.deadline)
		b.wait(waiter{f, i, f.until}, now)
	}
}

// wait puts a call behind those that are due sooner. Past the bound the one due last goes.
func (b *Scheduler) wait(w waiter, now time.Duration) {
	d := b.deps[w.flight.plan.Calls[w.call].Dependency]
	at := len(d.waiting)
	for at > 0 && d.waiting[at-1].due > w.due {
		at--
	}
	if len(d.waiting) < d.options.QueueLimit {
		d.waiting = slices.Insert(d.waiting, at, w)
		return
	}
	last := w
	if at < len(d.waiting) {
		last = d.waiting[len(d.waiting)-1]
		copy(d.waiting[at+1:], d.waiting[at:len(d.waiting)-1])
		d.waiting[at] = w
	}
	b.settle(last.flight, last.call, false, OverLimit, now)
}

func (b *Scheduler) unwait(f *Execution, i int) {
	d := b.deps[f.plan.Calls[i].Dependency]
	d.waiting = slices.DeleteFunc(d.waiting, func(w waiter) bool { return w.flight == f && w.call == i })
}

// admitWaiting gives free room to those that wait, by due time.
func (b *Scheduler) admitWaiting(dependency int, now time.Duration) {
	d := b.deps[dependency]
	for len(d.waiting) > 0 {
		w := d.waiting[0]
		if now >= w.flight.until { // its time is up, and the timers have not come to it yet
			d.waiting = d.waiting[:copy(d.waiting, d.waiting[1:])]
			b.settle(w.flight, w.call, false, OverLimit, now)
			continue
		}
		admitted, broken := d.Admit(now)
		if !admitted && !broken {
			return
		}
		d.waiting = d.waiting[:copy(d.waiting, d.waiting[1:])]
		if broken {
			b.settle(w.flight, w.call, false, Broken, now)
			continue
		}
		b.send(w.flight, w.call, now)
	}
	d.Tick(now)
}

// send makes an attempt for which a slot was taken.
func (b *Scheduler) send(f *Execution, i int, now time.Duration) {
	s, c := &f.calls[i], &f.plan.Calls[i]
	d := b.deps[c.Dependency]
	attempt := s.attempts
	s.attempts++
	s.phase, s.live[attempt], s.began[attempt] = open, true, now
	if attempt == 0 {
		d.Firsts++
		s.deadline = now + b.allowed(f, i, now)
		if s.next = 0; c.Hedge && d.hedge > 0 && now+d.hedge < s.deadline {
			s.next = now + d.hedge
			b.next = min(b.next, s.next)
		}
	}
	b.next = min(b.next, s.deadline)
	b.writer.Send(f, i, attempt, max(s.deadline-now, 0))
}

// again makes ready a second attempt, where the plan, the time, the budget and the effect allow one. An
// at-most-once call never has one, whatever is said of its first: plans that state one are refused.
func (b *Scheduler) again(f *Execution, i int, how Outcome, now time.Duration) bool {
	s, c := &f.calls[i], &f.plan.Calls[i]
	d := b.deps[c.Dependency]
	wait := time.Duration(b.rng.Int63n(int64(retryWait)))
	if !c.Retry || c.Effect == AtMostOnce || s.attempts >= attemptsMost ||
		now+wait+d.Expected(c.Expected) > s.deadline || !d.TakeRetryToken(now) {
		return false
	}
	s.phase, s.next = pausing, now+wait
	b.next = min(b.next, s.next)
	return true
}

// hedge makes a second attempt beside a slow first one, from the same budget as any other.
func (b *Scheduler) hedge(f *Execution, i int, now time.Duration) {
	s, c := &f.calls[i], &f.plan.Calls[i]
	d := b.deps[c.Dependency]
	if c.Effect != Read || s.attempts >= attemptsMost || d.taken() >= int(d.limit) || !d.TakeRetryToken(now) {
		return
	}
	if admitted, _ := d.Admit(now); admitted {
		b.send(f, i, now)
	}
}

// drop cancels the attempts of a call that are still open.
func (b *Scheduler) drop(f *Execution, i int, failed bool, now time.Duration) {
	s := &f.calls[i]
	for attempt := range s.live {
		if s.live[attempt] {
			s.live[attempt] = false
			b.deps[f.plan.Calls[i].Dependency].Abandoned(now-s.began[attempt], failed, now)
			b.writer.Cancel(f, i, attempt)
		}
	}
}

// finish answers a task by what its calls came to.
func (b *Scheduler) finish(f *Execution, now time.Duration) {
	v := Complete
	for i, c := range f.plan.Calls {
		if s := &f.calls[i]; !s.good && c.Required {
			v = Aborted
			break
		} else if !s.good || s.why != Fresh {
			v = Partial
		}
	}
	b.close(f, now)
	b.writer.Finish(f, v)
}

// close lets go of all that a task holds.
func (b *Scheduler) close(f *Execution, now time.Duration) {
	f.done, b.over = true, true
	for i := range f.plan.Calls {
		switch f.calls[i].phase {
		case waits:
			b.unwait(f, i)
		case open:
			b.drop(f, i, false, now)
			if f.plan.Calls[i].Effect == AtMostOnce {
				f.calls[i].why = Unclear
			}
		}
	}
}

// collect keeps finished flights for the next tasks.
func (b *Scheduler) collect() {
	if !b.over {
		return
	}
	b.over = false
	left := b.flights[:0]
	for _, f := range b.flights {
		if f.done {
			f.Ref = nil
			b.free = append(b.free, f)
		} else {
			left = append(left, f)
		}
	}
	clear(b.flights[len(left):])
	b.flights = left
}

// allowed is how much time a call may use: of what is left, the part that it has in the longest expected way from
// it to the end. So the parts along any way never add up to more than the time left, and a call that is done
// sooner leaves the rest to those behind it. One that is not needed gets a few times what it is stated to take and
// no more: while a task waits for it, it takes room in flight from tasks that need nothing of that dependency.
func (b *Scheduler) allowed(f *Execution, i int, now time.Duration) time.Duration {
	left := f.until - now
	if left <= 0 {
		return 0
	}
	own := b.takes(f, i)
	way := own + b.tails(f)[i]
	may := time.Duration(float64(left) * float64(own) / float64(way))
	if c := &f.plan.Calls[i]; !c.Required {
		return min(may, optionalTimes*c.Expected)
	}
	return min(may, neededTimes*max(own, f.plan.Calls[i].Expected))
}

func (b *Scheduler) takes(f *Execution, i int) time.Duration {
	c := &f.plan.Calls[i]
	return max(b.deps[c.Dependency].Expected(c.Expected), time.Microsecond)
}

// tails are the longest expected ways behind each call.
func (b *Scheduler) tails(f *Execution) (tails [MaxCalls]time.Duration) {
	order := f.plan.order
	for at := len(order) - 1; at >= 0; at-- {
		j := order[at]
		if f.calls[j].phase == settled {
			continue
		}
		through := b.takes(f, j) + tails[j]
		for i := range f.plan.Calls {
			if f.plan.before[j][i] {
				tails[i] = max(tails[i], through)
			}
		}
	}
	return tails
}

// shed leaves out optional calls while the longest expected way takes more than is left: the one of least
// importance for its time first.
func (b *Scheduler) shed(f *Execution, now time.Duration) {
	for {
		tails := b.tails(f)
		var heads [MaxCalls]time.Duration
		least, worth := -1, 0.0
		for _, i := range f.plan.order {
			if f.calls[i].phase == settled {
				continue
			}
			takes := b.takes(f, i)
			for j := range f.plan.Calls {
				if f.plan.before[j][i] {
					heads[j] = max(heads[j], heads[i]+takes)
				}
			}
			c := &f.plan.Calls[i]
			if c.Required || heads[i]+takes+tails[i] <= f.until-now {
				continue
			}
			if w := c.Value / takes.Seconds(); least < 0 || w < worth {
				least, worth = i, w
			}
		}
		if least < 0 {
			return
		}
		s := &f.calls[least]
		s.phase, s.why = settled, DeadlineTooClose
		if f.plan.Calls[least].Fallback && b.writer.Fallback(f, least) {
			s.good, s.why = true, FellBack
		}
	}
}
