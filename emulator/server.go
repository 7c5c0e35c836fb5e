package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/budget"
	"quartzpoint/estimate"
	"quartzpoint/rulecheck"
)

// Policy decides for one server, as admission.Choice does. Baselines are others.
type Policy interface {
	Decide(r *admission.Round, w admission.Executor)
}

// Maker makes the policy of a server, and the traffic types that its tasks point to, in the order of the site's.
type Maker func(types []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route)

// Own makes the project's own decisions.
func Own(types []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route) {
	controller := admission.New(Settings(types, m, calls), seed)
	return controller, controller.Routes
}

// The verdicts of an answer.
type verdict uint8

const (
	honoured verdict = iota
	dismissed
	givenUp
	lost // no answer: the server or the way to it is gone
)

// try is one task at one server.
type try struct {
	admission.Request
	id    uint64
	of    *request
	at    *server
	work  run
	after float64 // seconds of work behind its call
	call  bool    // its call is yet to come
	worth float64 // of its importance: less where it went on without a call, or lacks parts

	composed  bool
	execution *budget.Execution
	attempts  *[budget.MaxCalls][2]*attempt // nil until its calls begin

	reached, answered, started, active bool
}

// server is one emulated server. It drives its policy as internal/server does, without that package: there an owner's
// goroutine and real time are at work. What differs is in the note.
type server struct {
	world  *World
	number int
	zone   int
	life   uint64 // events of an earlier one do nothing
	alive  bool
	policy Policy
	types  []*admission.Route
	pool   *pool
	began  time.Duration

	tries    map[*admission.Request]*try
	parts    *composer
	atCall   []*admission.Request // started in this round, and made of calls
	round    admission.Round
	level    float64
	thaw     time.Duration // until when it stands still
	late     []func()      // what came meanwhile
	noticed  time.Duration
	stopAt   time.Duration
	left     func()
	clockOff time.Duration
}

// boot starts a server that has nothing.
func (s *server) boot() {
	w := s.world
	s.life++
	s.alive, s.began, s.level, s.noticed, s.stopAt, s.thaw, s.late = true, w.now, 0, 0, 0, 0, nil
	s.tries = map[*admission.Request]*try{}
	s.round = admission.Round{}
	factor, taken := 1.0, 0.0
	if s.pool != nil { // what is the machine's stays
		factor, taken = s.pool.factor, s.pool.taken
	}
	s.pool = &pool{engine: &w.engine, machine: w.fleet.Machine, factor: factor, taken: taken, began: w.now, last: w.now}
	life := s.life
	s.pool.told = func(r *run) { s.when(life, func() { s.ran(r.of) }) }
	s.policy, s.types = w.fleet.Policy(w.fleet.Routes, w.fleet.Machine, w.callShare(), w.seed+int64(s.number)+1000*int64(s.life))
	s.parts, s.atCall = newComposer(s), nil
	for i, t := range w.fleet.Routes {
		if plan := w.fleet.Plans[t.Name]; plan != nil {
			s.types[i].CallWait = plan.RequiredPath()
		}
	}
	if controller, own := s.policy.(*admission.Controller); own && w.fleet.Peers {
		s.learn(controller)
	}
	s.decide()
}

// learn asks up to three running servers what they know, as a newcomer with [peers] does.
func (s *server) learn(controller *admission.Controller) {
	w := s.world
	schema := controller.EstimateSchema(uint64(s.number)<<32|s.life, 0, false)
	var snapshots []estimate.Snapshot
	for _, i := range w.chance.Perm(len(w.servers)) {
		other := w.servers[i]
		peer, own := other.policy.(*admission.Controller)
		if other == s || !other.alive || !own || len(snapshots) == 3 {
			continue
		}
		if snapshot, err := schema.Validate(peer.Estimates(w.now, peer.EstimateSchema(uint64(other.number)<<32|other.life, 0, false))); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	if merged := estimate.Merge(snapshots); merged.HasFresh() {
		controller.UsePeerEstimates(w.now, merged)
	}
}

// when has something done now, or once the server goes on; not at all where it is not the same any more.
func (s *server) when(life uint64, do func()) {
	switch {
	case !s.alive || s.life != life:
	case s.world.now < s.thaw:
		s.late = append(s.late, func() { s.when(life, do) })
	default:
		do()
	}
}

// read takes a task that a router has sent.
func (s *server) read(t *try, came time.Duration, waits time.Duration) {
	w := s.world
	t.reached = true
	if s.stopAt > 0 && w.now >= s.noticed+grace {
		t.reached = false // no more connections
		w.back(t, lost, 0, false)
		return
	}
	kind := s.types[t.of.kind]
	ago := max(w.now-came+s.clockOff, 0)
	t.Request = admission.Request{
		Route: kind, HeldKB: heldKB, Arrived: w.now - ago, Rank: t.of.rank, Router: uint32(t.of.router.number),
		Deadline: w.now - ago + min(waits, kind.Deadline),
	}
	s.tries[&t.Request] = t
	effect := uint64(0)
	if w.fleet.Routes[t.of.kind].Once {
		effect = t.of.id
	}
	w.rules.Take(rulecheck.Event{Kind: rulecheck.Read, At: w.now, Server: s.number, Try: t.id, Effect: effect, Due: came + waits})
	if came+waits <= w.now { // it stood still, and reads what lay there
		w.rules.Take(rulecheck.Event{Kind: rulecheck.Gone, At: w.now, Try: t.id})
	}
	s.round.Arrived = append(s.round.Arrived, &t.Request)
	s.decide()
}

// decide hands what came in to the policy.
func (s *server) decide() {
	s.round.Now = s.world.now
	s.policy.Decide(&s.round, s)
	for _, e := range s.round.RunsEnded {
		s.settle(s.tries[e.Request])
	}
	for _, request := range s.round.Canceled {
		s.settle(s.tries[request])
	}
	s.round.Reset()
	for len(s.atCall) > 0 { // what was started and is made of calls is at its calls in the same moment
		s.round.Now, s.round.AwaitingCall, s.atCall = s.world.now, append(s.round.AwaitingCall, s.atCall...), s.atCall[:0]
		s.policy.Decide(&s.round, s)
		s.round.Reset()
	}
}

func (s *server) settle(t *try) {
	if t != nil && t.answered && !t.active {
		delete(s.tries, &t.Request)
	}
}

// ran is told when a run has no more work on the cores.
func (s *server) ran(t *try) {
	if t.call && !t.answered {
		t.call = false
		s.round.AwaitingCall = append(s.round.AwaitingCall, &t.Request)
		s.decide()
		return
	}
	t.active = false
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: admission.Succeeded, Took: s.world.now - t.work.begun})
	if !t.answered {
		s.answer(t, honoured, 0, false)
	}
	s.decide()
}

// returned takes the end of a call.
func (s *server) returned(t *try, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &t.Request, Outcome: outcome, Took: took})
	if outcome == admission.Succeeded {
		s.goOn(t)
	}
	s.decide()
}

// goOn has a run do what is behind its call.
func (s *server) goOn(t *try) {
	if t.active {
		t.work.left = t.after
		s.pool.start(&t.work)
	}
}

// Start implements admission.Writer, as do the methods below it.
func (s *server) Start(c *admission.Request) {
	t := s.tries[c]
	if t == nil || t.answered {
		return
	}
	if !t.started {
		t.started, t.active, t.work.begun, t.work.place = true, true, s.world.now, -1
		s.world.rules.Take(rulecheck.Event{Kind: rulecheck.Started, At: s.world.now, Server: s.number, Try: t.id})
		s.world.result.Starts++
	}
	if t.composed {
		if t.execution == nil {
			s.atCall = append(s.atCall, c)
		}
		return
	}
	if t.work.place < 0 {
		s.pool.start(&t.work)
	}
	n := float64(len(s.pool.runs))
	s.world.rules.Take(rulecheck.Event{Kind: rulecheck.Crowd, At: s.world.now, Server: s.number, Value: n / (survives * s.pool.machine.Cores)})
	s.world.rules.Take(rulecheck.Event{Kind: rulecheck.Memory, At: s.world.now, Server: s.number, Value: s.memory()})
}

func (s *server) memory() float64 {
	return (RunKB*float64(len(s.pool.runs)) + heldKB*float64(len(s.tries))) / s.pool.machine.KB
}

// Pause stops a run; that it ended is told a little later, as by the link to a pool.
func (s *server) Pause(c *admission.Request) {
	t := s.tries[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.parts.abandon(t)
		return
	}
	s.pool.stop(&t.work)
	life := s.life
	s.world.after(linkDelay, func() {
		s.when(life, func() {
			if !t.active || t.work.place >= 0 {
				return
			}
			t.active = false
			s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: admission.Stopped, Took: s.world.now - t.work.begun})
			if !t.answered {
				s.answer(t, givenUp, 0, false)
			}
			s.decide()
		})
	})
}

func (s *server) Reject(c *admission.Request, comeBack time.Duration, nowhereElse bool) {
	if t := s.tries[c]; t != nil {
		s.answer(t, dismissed, comeBack, nowhereElse)
	}
}

func (s *server) Abort(c *admission.Request) {
	if t := s.tries[c]; t != nil {
		s.answer(t, givenUp, 0, false)
		if t.composed && t.active { // the decisions wait for its end, and do not stop it
			s.parts.abandon(t)
		}
	}
}

// answer gives the one answer, which its router has after the way back.
func (s *server) answer(t *try, v verdict, comeBack time.Duration, nowhereElse bool) {
	if t.answered {
		s.world.result.Twice++
		return
	}
	t.answered = true
	s.world.rules.Take(rulecheck.Event{Kind: rulecheck.Answered, At: s.world.now, Server: s.number, Try: t.id, Dismissed: v == dismissed})
	s.world.back(t, v, comeBack, nowhereElse)
	s.settle(t)
}

// AnswerFromOriginal is for numbered tasks, which are not emulated.
func (s *server) AnswerFromOriginal(*admission.Request) {}

func (s *server) RememberKey(*admission.Request, time.Duration) {}

func (s *server) ForgetKey(*admission.Request) {}

func (s *server) Call(c *admission.Request, patience time.Duration) {
	t := s.tries[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.parts.begin(t, s.world.now+patience)
		return
	}
	life := s.life
	s.world.dependency(s.world.fleet.Routes[t.of.kind].Calls).take(patience, func(outcome admission.Outcome, took time.Duration) {
		s.when(life, func() { s.returned(t, outcome, took) })
	})
}

func (s *server) SkipCall(c *admission.Request) {
	if t := s.tries[c]; t != nil {
		t.worth = s.world.fleet.Routes[t.of.kind].Skips
		s.goOn(t)
	}
}

func (s *server) SetHealth(bool, bool) {}

func (s *server) SetShedLevel(level float64) { s.level = level }

func (s *server) CloseIdleAfter(time.Duration) {}

func (s *server) Log(string) {}

// WakeAfter sets an alarm; its round has the gauges.
func (s *server) WakeAfter(in time.Duration) {
	life := s.life
	s.world.after(in, func() {
		s.when(life, func() {
			s.round.Gauges = &admission.Gauges{
				CPU: s.pool.use(), Runnable: float64(len(s.pool.runs)) + s.pool.taken, Connections: 1,
				Memory: min(1, RunKB*float64(len(s.pool.runs))/s.pool.machine.KB),
			}
			s.decide()
		})
	})
}

// kill ends a server at once, with all it has.
func (s *server) kill() {
	if !s.alive {
		return
	}
	s.alive = false
	w := s.world
	w.rules.Take(rulecheck.Event{Kind: rulecheck.Crashed, At: w.now, Server: s.number})
	s.lose()
}

// lose ends all that a server has with itself.
func (s *server) lose() {
	open := s.world.ordered(s.tries)
	s.tries = map[*admission.Request]*try{}
	for _, t := range open {
		if !t.answered {
			t.answered = true
			s.world.back(t, lost, 0, false)
		}
	}
}

// leave gives a server the notice; then is called once it has gone.
func (s *server) leave(within time.Duration, then func()) {
	if !s.alive || s.stopAt > 0 {
		return
	}
	w := s.world
	s.noticed, s.stopAt, s.left = w.now, w.now+within, then
	w.rules.Take(rulecheck.Event{Kind: rulecheck.Notice, At: w.now, Server: s.number, Due: w.now + grace})
	s.round.StopAt = s.stopAt - stopEarly
	life := s.life
	s.when(life, s.decide)
	w.at(s.noticed+grace, func() { s.looksToGo(life) })
	w.at(s.stopAt, func() { s.gone(life) })
}

// looksToGo ends a server that leaves as soon as all is answered, past the grace.
func (s *server) looksToGo(life uint64) {
	if !s.alive || s.life != life {
		return
	}
	for _, t := range s.tries { // each by itself
		if !t.answered {
			s.world.after(goEach, func() { s.looksToGo(life) })
			return
		}
	}
	s.gone(life)
}

// gone is the end of a server that leaves.
func (s *server) gone(life uint64) {
	w := s.world
	if !s.alive || s.life != life {
		return
	}
	w.rules.Take(rulecheck.Event{Kind: rulecheck.Stopped, At: w.now, Server: s.number})
	s.alive = false
	s.lose()
	if s.left != nil {
		s.left()
	}
}

// freeze has a server stand still. What is due before it goes on can't be answered, as nothing of it runs: the checker is
// told so, and callers find out by themselves.
func (s *server) freeze(span time.Duration) {
	if !s.alive {
		return
	}
	w := s.world
	s.thaw = max(s.thaw, w.now+span)
	for _, t := range w.ordered(s.tries) {
		if !t.answered && t.Deadline < s.thaw+thawTime {
			w.rules.Take(rulecheck.Event{Kind: rulecheck.Gone, At: w.now, Try: t.id})
		}
	}
	s.pool.change(func() { s.pool.frozen = true })
	life := s.life
	w.at(s.thaw, func() {
		if !s.alive || s.life != life || w.now < s.thaw {
			return
		}
		s.pool.change(func() { s.pool.frozen = false })
		late := s.late
		s.late = nil
		for _, do := range late {
			do()
		}
	})
}
