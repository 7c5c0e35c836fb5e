package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/budget"
	"quartzpoint/rulecheck"
)

// Policy makes the admission decisions of one server, as admission.Controller does.
type Policy interface {
	Decide(r *admission.Round, executor admission.Executor)
}

// PolicyMaker returns the policy of a server, and the routes that its requests point to, in the order of the parameter
// routes. callQuota is the server's quota of calls in flight.
type PolicyMaker func(routes []Route, m Machine, callQuota float64, seed int64) (Policy, []*admission.Route)

// QuartzpointPolicy is the PolicyMaker of the project's own decisions.
func QuartzpointPolicy(routes []Route, m Machine, callQuota float64, seed int64) (Policy, []*admission.Route) {
	controller := admission.New(Settings(routes, m, callQuota), seed)
	return controller, controller.Routes
}

// verdict is the outcome of an attempt.
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

	// reached is false if the connection was refused. active is true from the start of the run to the report of its end.
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
	startedAt   time.Duration

	attempts     map[*admission.Request]*attempt
	composer     *composer
	awaitingCall []*admission.Request // composed requests that were started in this round
	round        admission.Round
	shedLevel    float64
	frozenUntil  time.Duration // 0 if this incarnation was never frozen
	deferred     []func()      // events that arrived while it was frozen
	notifiedAt   time.Duration // when the notice to shut down was received; 0 before
	stopAt       time.Duration // limit of the shutdown; 0 before the notice
	onStopped    func()
	clockOffset  time.Duration // error of the wall clock
}

// whenRunning calls do now, or once the server is no longer frozen. It does nothing if the incarnation has ended.
func (s *server) whenRunning(incarnation uint64, do func()) {
	switch {
	case !s.alive || s.incarnation != incarnation:
	case s.world.now < s.frozenUntil:
		s.deferred = append(s.deferred, func() { s.whenRunning(incarnation, do) })
	default:
		do()
	}
}

// receive handles the arrival of a request from a router.
func (s *server) receive(a *attempt, sentAt time.Duration, patience time.Duration) {
	w := s.world
	a.reached = true
	if s.stopAt > 0 && w.now >= s.notifiedAt+shutdownGrace {
		a.reached = false // connections are refused
		w.sendAnswer(a, lost, 0, false)
		return
	}
	route := s.routes[a.origin.route]
	age := max(w.now-sentAt+s.clockOffset, 0)
	a.Request = admission.Request{
		Route: route, QueuedKB: queuedKB, Arrived: w.now - age, Rank: a.origin.rank, Router: uint32(a.origin.router.number),
		Deadline: w.now - age + min(patience, route.Deadline),
	}
	s.attempts[&a.Request] = a
	effect := uint64(0)
	if w.fleet.Routes[a.origin.route].AtMostOnce {
		effect = a.origin.id
	}
	w.rules.Add(rulecheck.Event{Kind: rulecheck.Received, At: w.now, Server: s.number, Attempt: a.id, Effect: effect, Deadline: sentAt + patience})
	if sentAt+patience <= w.now { // the server was frozen and reads the request late
		w.rules.Add(rulecheck.Event{Kind: rulecheck.Abandoned, At: w.now, Attempt: a.id})
	}
	s.round.Arrived = append(s.round.Arrived, &a.Request)
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

func (s *server) forgetIfDone(a *attempt) {
	if a != nil && a.answered && !a.active {
		delete(s.attempts, &a.Request)
	}
}

// workDone handles a run that has no work left on the cores: it either makes its call or ends.
func (s *server) workDone(a *attempt) {
	if a.callPending && !a.answered {
		a.callPending = false
		s.round.AwaitingCall = append(s.round.AwaitingCall, &a.Request)
		s.decide()
		return
	}
	a.active = false
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &a.Request, Outcome: admission.Succeeded, Took: s.world.now - a.run.startedAt})
	if !a.answered {
		s.answer(a, served, 0, false)
	}
	s.decide()
}

// callReturned handles the end of a call.
func (s *server) callReturned(a *attempt, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &a.Request, Outcome: outcome, Took: took})
	if outcome == admission.Succeeded {
		s.resumeAfterCall(a)
	}
	s.decide()
}

// resumeAfterCall continues a run after its call.
func (s *server) resumeAfterCall(a *attempt) {
	if a.active {
		a.run.remaining = a.afterCall
		s.pool.start(&a.run)
	}
}
