package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/budget"
	"quartzpoint/rulecheck"
)

// Policy makes the admission decisions of one server, as admission.Controller does.
type Policy interface {
	Decide(r *admission.Round, w admission.Executor)
}

// PolicyMaker returns the policy of a server, and the routes that its requests point to, in the order of routes.
type PolicyMaker func(routes []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route)

// QuartzpointPolicy is the PolicyMaker of the project's own decisions.
func QuartzpointPolicy(routes []Route, m Machine, calls float64, seed int64) (Policy, []*admission.Route) {
	controller := admission.New(Settings(routes, m, calls), seed)
	return controller, controller.Routes
}

// verdict is how an attempt ended.
type verdict uint8

const (
	served verdict = iota
	rejected
	aborted
	lost // no answer: the server or the connection to it failed
)

// attempt is a request at one server.
type attempt struct {
	admission.Request
	id          uint64
	origin      *clientRequest
	server      *server
	run         run
	afterCall   float64 // seconds of work after its call
	callPending bool    // its call has not begun yet
	valueShare  float64 // fraction of the route's value; below 1 without the call or a part

	composed  bool
	execution *budget.Execution
	calls     *[budget.MaxCalls][2]*dependencyCall // by call and attempt; nil until its calls begin

	reached, answered, started, active bool
}

// server is an emulated server. It calls its policy as internal/server does in real time; docs/notes/emulator.md states
// the differences.
type server struct {
	world       *World
	number      int
	zone        int
	incarnation uint64 // events of earlier ones have no effect
	alive       bool
	policy      Policy
	routes      []*admission.Route
	pool        *pool
	began       time.Duration

	attempts     map[*admission.Request]*attempt
	composer     *composer
	awaitingCall []*admission.Request // composed requests that were started in this round
	round        admission.Round
	shedLevel    float64
	frozenUntil  time.Duration // 0 if this incarnation was never frozen
	deferred     []func()      // events that arrived while it was frozen
	notifiedAt   time.Duration
	stopAt       time.Duration
	onStopped    func()
	clockOffset  time.Duration
}

// whenRunning calls do now, or once the server is no longer frozen. It does nothing if the incarnation has ended.
func (s *server) whenRunning(life uint64, do func()) {
	switch {
	case !s.alive || s.incarnation != life:
	case s.world.now < s.frozenUntil:
		s.deferred = append(s.deferred, func() { s.whenRunning(life, do) })
	default:
		do()
	}
}

// receive handles the arrival of a request from a router.
func (s *server) receive(t *attempt, came time.Duration, waits time.Duration) {
	w := s.world
	t.reached = true
	if s.stopAt > 0 && w.now >= s.notifiedAt+grace {
		t.reached = false // connections are refused
		w.sendAnswer(t, lost, 0, false)
		return
	}
	kind := s.routes[t.origin.route]
	ago := max(w.now-came+s.clockOffset, 0)
	t.Request = admission.Request{
		Route: kind, QueuedKB: queuedKB, Arrived: w.now - ago, Rank: t.origin.rank, Router: uint32(t.origin.router.number),
		Deadline: w.now - ago + min(waits, kind.Deadline),
	}
	s.attempts[&t.Request] = t
	effect := uint64(0)
	if w.fleet.Routes[t.origin.route].AtMostOnce {
		effect = t.origin.id
	}
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Received, At: w.now, Server: s.number, Attempt: t.id, Effect: effect, Deadline: came + waits})
	if came+waits <= w.now { // the server was frozen and reads the request late
		w.rules.Add(rulecheck.Event{Kind: rulecheck.Abandoned, At: w.now, Attempt: t.id})
	}
	s.round.Arrived = append(s.round.Arrived, &t.Request)
	s.decide()
}

// decide passes the round to the policy.
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
	for len(s.awaitingCall) > 0 { // composed requests make their calls as soon as they are started
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

// workDone handles a run that has no work left on the cores: it either makes its call or ends.
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

// callReturned handles the end of a call.
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
