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

// PolicyMaker makes the policy of a server, and the traffic types that its tasks point to, in the order of the site's.
type PolicyMaker func(routes []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route)

// QuartzpointPolicy makes the project's own decisions.
func QuartzpointPolicy(routes []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route) {
	controller := admission.New(Settings(routes, m, calls), seed)
	return controller, controller.Routes
}

// The verdicts of an answer.
type verdict uint8

const (
	served verdict = iota
	rejected
	aborted
	lost // no answer: the server or the way to it is gone
)

// attempt is one task at one server.
type attempt struct {
	admission.Request
	id          uint64
	origin      *clientRequest
	server      *server
	run         run
	afterCall   float64 // seconds of work behind its call
	callPending bool    // its call is yet to come
	valueShare  float64 // of its importance: less where it went on without a call, or lacks parts

	composed  bool
	execution *budget.Execution
	calls     *[budget.MaxCalls][2]*dependencyCall // nil until its calls begin

	reached, answered, started, active bool
}

// server is one emulated server. It drives its policy as internal/server does, without that package: there an owner's
// goroutine and real time are at work. What differs is in the note.
type server struct {
	world       *World
	number      int
	zone        int
	incarnation uint64 // events of an earlier one do nothing
	alive       bool
	policy      Policy
	routes      []*admission.Route
	pool        *pool
	began       time.Duration

	attempts     map[*admission.Request]*attempt
	composer     *composer
	awaitingCall []*admission.Request // started in this round, and made of calls
	round        admission.Round
	shedLevel    float64
	frozenUntil  time.Duration // until when it stands still
	deferred     []func()      // what came meanwhile
	notifiedAt   time.Duration
	stopAt       time.Duration
	onStopped    func()
	clockOffset  time.Duration
}

// boot starts a server that has nothing.
func (s *server) boot() {
	w := s.world
	s.incarnation++
	s.alive, s.began, s.shedLevel, s.notifiedAt, s.stopAt, s.frozenUntil, s.deferred = true, w.now, 0, 0, 0, 0, nil
	s.attempts = map[*admission.Request]*attempt{}
	s.round = admission.Round{}
	factor, taken := 1.0, 0.0
	if s.pool != nil { // what is the machine's stays
		factor, taken = s.pool.speedFactor, s.pool.neighbourCores
	}
	s.pool = &pool{engine: &w.engine, machine: w.fleet.Machine, speedFactor: factor, neighbourCores: taken, startedAt: w.now, last: w.now}
	life := s.incarnation
	s.pool.onDone = func(r *run) { s.whenRunning(life, func() { s.workDone(r.attempt) }) }
	s.policy, s.routes = w.fleet.Policy(w.fleet.Routes, w.fleet.Machine, w.callShare(), w.seed+int64(s.number)+1000*int64(s.incarnation))
	s.composer, s.awaitingCall = newComposer(s), nil
	for i, t := range w.fleet.Routes {
		if plan := w.fleet.Plans[t.Name]; plan != nil {
			s.routes[i].CallWait = plan.RequiredPath()
		}
	}
	if controller, own := s.policy.(*admission.Controller); own && w.fleet.PeerSync {
		s.usePeerEstimates(controller)
	}
	s.decide()
}

// usePeerEstimates asks up to three running servers what they know, as a newcomer with [peers] does.
func (s *server) usePeerEstimates(controller *admission.Controller) {
	w := s.world
	schema := controller.EstimateSchema(uint64(s.number)<<32|s.incarnation, 0, false)
	var snapshots []estimate.Snapshot
	for _, i := range w.incidentRand.Perm(len(w.servers)) {
		other := w.servers[i]
		peer, own := other.policy.(*admission.Controller)
		if other == s || !other.alive || !own || len(snapshots) == 3 {
			continue
		}
		if snapshot, err := schema.Validate(peer.Estimates(w.now, peer.EstimateSchema(uint64(other.number)<<32|other.incarnation, 0, false))); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	if merged := estimate.Merge(snapshots); merged.HasFresh() {
		controller.UsePeerEstimates(w.now, merged)
	}
}

// whenRunning has something done now, or once the server goes on; not at all where it is not the same any more.
func (s *server) whenRunning(life uint64, do func()) {
	switch {
	case !s.alive || s.incarnation != life:
	case s.world.now < s.frozenUntil:
		s.deferred = append(s.deferred, func() { s.whenRunning(life, do) })
	default:
		do()
	}
}

// receive takes a task that a router has sent.
func (s *server) receive(t *attempt, came time.Duration, waits time.Duration) {
	w := s.world
	t.reached = true
	if s.stopAt > 0 && w.now >= s.notifiedAt+grace {
		t.reached = false // no more connections
		w.sendAnswer(t, lost, 0, false)
		return
	}
	kind := s.routes[t.origin.route]
	ago := max(w.now-came+s.clockOffset, 0)
	t.Request = admission.Request{
		Route: kind, HeldKB: queuedKB, Arrived: w.now - ago, Rank: t.origin.rank, Router: uint32(t.origin.router.number),
		Deadline: w.now - ago + min(waits, kind.Deadline),
	}
	s.attempts[&t.Request] = t
	effect := uint64(0)
	if w.fleet.Routes[t.origin.route].AtMostOnce {
		effect = t.origin.id
	}
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Received, At: w.now, Server: s.number, Attempt: t.id, Effect: effect, Deadline: came + waits})
	if came+waits <= w.now { // it stood still, and reads what lay there
		w.rules.Add(rulecheck.Event{Kind: rulecheck.Abandoned, At: w.now, Attempt: t.id})
	}
	s.round.Arrived = append(s.round.Arrived, &t.Request)
	s.decide()
}

// decide hands what came in to the policy.
func (s *server) decide() {
	s.round.Now = s.world.now
	s.policy.Decide(&s.round, s)
	for _, e := range s.round.RunsEnded {
		s.forgetIfDone(s.attempts[e.Request])
	}
	for _, request := range s.round.Canceled {
		s.forgetIfDone(s.attempts[request])
	}
	s.round.Reset()
	for len(s.awaitingCall) > 0 { // what was started and is made of calls is at its calls in the same moment
		s.round.Now, s.round.AwaitingCall, s.awaitingCall = s.world.now, append(s.round.AwaitingCall, s.awaitingCall...), s.awaitingCall[:0]
		s.policy.Decide(&s.round, s)
		s.round.Reset()
	}
}

func (s *server) forgetIfDone(t *attempt) {
	if t != nil && t.answered && !t.active {
		delete(s.attempts, &t.Request)
	}
}

// workDone is told when a run has no more work on the cores.
func (s *server) workDone(t *attempt) {
	if t.callPending && !t.answered {
		t.callPending = false
		s.round.AwaitingCall = append(s.round.AwaitingCall, &t.Request)
		s.decide()
		return
	}
	t.active = false
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: admission.Succeeded, Took: s.world.now - t.run.startedAt})
	if !t.answered {
		s.answer(t, served, 0, false)
	}
	s.decide()
}

// callReturned takes the end of a call.
func (s *server) callReturned(t *attempt, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &t.Request, Outcome: outcome, Took: took})
	if outcome == admission.Succeeded {
		s.resumeAfterCall(t)
	}
	s.decide()
}

// resumeAfterCall continues a run after its call.
func (s *server) resumeAfterCall(t *attempt) {
	if t.active {
		t.run.remaining = t.afterCall
		s.pool.start(&t.run)
	}
}

// Start implements admission.Writer, as do the methods below it.
func (s *server) Start(c *admission.Request) {
	t := s.attempts[c]
	if t == nil || t.answered {
		return
	}
	if !t.started {
		t.started, t.active, t.run.startedAt, t.run.heapIndex = true, true, s.world.now, -1
		s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Started, At: s.world.now, Server: s.number, Attempt: t.id})
		s.world.result.Starts++
	}
	if t.composed {
		if t.execution == nil {
			s.awaitingCall = append(s.awaitingCall, c)
		}
		return
	}
	if t.run.heapIndex < 0 {
		s.pool.start(&t.run)
	}
	n := float64(len(s.pool.runs))
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.RunsPerCore, At: s.world.now, Server: s.number, Value: n / (enduredRunsPerCore * s.pool.machine.Cores)})
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Memory, At: s.world.now, Server: s.number, Value: s.memoryShare()})
}

func (s *server) memoryShare() float64 {
	return (RunKB*float64(len(s.pool.runs)) + queuedKB*float64(len(s.attempts))) / s.pool.machine.MemoryKB
}

// Pause stops a run; that it ended is told a little later, as by the link to a pool.
func (s *server) Pause(c *admission.Request) {
	t := s.attempts[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.composer.abandon(t)
		return
	}
	s.pool.stop(&t.run)
	life := s.incarnation
	s.world.after(linkDelay, func() {
		s.whenRunning(life, func() {
			if !t.active || t.run.heapIndex >= 0 {
				return
			}
			t.active = false
			s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: admission.Stopped, Took: s.world.now - t.run.startedAt})
			if !t.answered {
				s.answer(t, aborted, 0, false)
			}
			s.decide()
		})
	})
}

func (s *server) Reject(c *admission.Request, retryAfter time.Duration, nowhereElse bool) {
	if t := s.attempts[c]; t != nil {
		s.answer(t, rejected, retryAfter, nowhereElse)
	}
}

func (s *server) Abort(c *admission.Request) {
	if t := s.attempts[c]; t != nil {
		s.answer(t, aborted, 0, false)
		if t.composed && t.active { // the decisions wait for its end, and do not stop it
			s.composer.abandon(t)
		}
	}
}

// answer gives the one answer, which its router has after the way back.
func (s *server) answer(t *attempt, v verdict, retryAfter time.Duration, nowhereElse bool) {
	if t.answered {
		s.world.result.DuplicateAnswers++
		return
	}
	t.answered = true
	s.world.rules.Add(rulecheck.Event{Kind: rulecheck.Answered, At: s.world.now, Server: s.number, Attempt: t.id, Rejected: v == rejected})
	s.world.sendAnswer(t, v, retryAfter, nowhereElse)
	s.forgetIfDone(t)
}

// AnswerFromOriginal is for numbered tasks, which are not emulated.
func (s *server) AnswerFromOriginal(*admission.Request) {}

func (s *server) RememberKey(*admission.Request, time.Duration) {}

func (s *server) ForgetKey(*admission.Request) {}

func (s *server) Call(c *admission.Request, timeout time.Duration) {
	t := s.attempts[c]
	if t == nil || !t.active {
		return
	}
	if t.composed {
		s.composer.begin(t, s.world.now+timeout)
		return
	}
	life := s.incarnation
	s.world.dependency(s.world.fleet.Routes[t.origin.route].Dependency).handle(timeout, func(outcome admission.Outcome, took time.Duration) {
		s.whenRunning(life, func() { s.callReturned(t, outcome, took) })
	})
}

func (s *server) SkipCall(c *admission.Request) {
	if t := s.attempts[c]; t != nil {
		t.valueShare = s.world.fleet.Routes[t.origin.route].SkipValueShare
		s.resumeAfterCall(t)
	}
}

func (s *server) SetHealth(bool, bool) {}

func (s *server) SetShedLevel(level float64) { s.shedLevel = level }

func (s *server) CloseIdleAfter(time.Duration) {}

func (s *server) Log(string) {}

// WakeAfter sets an alarm; its round has the gauges.
func (s *server) WakeAfter(in time.Duration) {
	life := s.incarnation
	s.world.after(in, func() {
		s.whenRunning(life, func() {
			s.round.Gauges = &admission.Gauges{
				CPU: s.pool.use(), Runnable: float64(len(s.pool.runs)) + s.pool.neighbourCores, Connections: 1,
				Memory: min(1, RunKB*float64(len(s.pool.runs))/s.pool.machine.MemoryKB),
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
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Crashed, At: w.now, Server: s.number})
	s.dropOpen()
}

// dropOpen ends all that a server has with itself.
func (s *server) dropOpen() {
	open := s.world.sortedByID(s.attempts)
	s.attempts = map[*admission.Request]*attempt{}
	for _, t := range open {
		if !t.answered {
			t.answered = true
			s.world.sendAnswer(t, lost, 0, false)
		}
	}
}

// shutdown gives a server the notice; then is called once it has gone.
func (s *server) shutdown(within time.Duration, then func()) {
	if !s.alive || s.stopAt > 0 {
		return
	}
	w := s.world
	s.notifiedAt, s.stopAt, s.onStopped = w.now, w.now+within, then
	w.rules.Add(rulecheck.Event{Kind: rulecheck.ShutdownNotified, At: w.now, Server: s.number, Deadline: w.now + grace})
	s.round.StopAt = s.stopAt - stopMargin
	life := s.incarnation
	s.whenRunning(life, s.decide)
	w.at(s.notifiedAt+grace, func() { s.stopWhenAnswered(life) })
	w.at(s.stopAt, func() { s.stopped(life) })
}

// stopWhenAnswered ends a server that leaves as soon as all is answered, past the grace.
func (s *server) stopWhenAnswered(life uint64) {
	if !s.alive || s.incarnation != life {
		return
	}
	for _, t := range s.attempts { // each by itself
		if !t.answered {
			s.world.after(drainCheckInterval, func() { s.stopWhenAnswered(life) })
			return
		}
	}
	s.stopped(life)
}

// stopped is the end of a server that leaves.
func (s *server) stopped(life uint64) {
	w := s.world
	if !s.alive || s.incarnation != life {
		return
	}
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Stopped, At: w.now, Server: s.number})
	s.alive = false
	s.dropOpen()
	if s.onStopped != nil {
		s.onStopped()
	}
}

// freeze has a server stand still. What is due before it goes on can't be answered, as nothing of it runs: the checker is
// told so, and callers find out by themselves.
func (s *server) freeze(span time.Duration) {
	if !s.alive {
		return
	}
	w := s.world
	s.frozenUntil = max(s.frozenUntil, w.now+span)
	for _, t := range w.sortedByID(s.attempts) {
		if !t.answered && t.Deadline < s.frozenUntil+thawMargin {
			w.rules.Add(rulecheck.Event{Kind: rulecheck.Abandoned, At: w.now, Attempt: t.id})
		}
	}
	s.pool.change(func() { s.pool.frozen = true })
	life := s.incarnation
	w.at(s.frozenUntil, func() {
		if !s.alive || s.incarnation != life || w.now < s.frozenUntil {
			return
		}
		s.pool.change(func() { s.pool.frozen = false })
		late := s.deferred
		s.deferred = nil
		for _, do := range late {
			do()
		}
	})
}
