package server

import (
	"log/slog"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

// Verdict is what an answer says became of a task.
type Verdict int

// The three verdicts.
const (
	Served Verdict = iota
	Rejected
	Aborted
	KeyConflict // the number of another task, with another shape; nothing ran
)

// Answer is the one final answer to a task.
type Answer struct {
	Verdict          Verdict
	ShedLevel        string        // as last stated, empty where it never was
	RetryAfter       time.Duration // on a dismissal, how long the caller should stay away
	NoRetryElsewhere bool          // on a dismissal, that no other server be tried
	Result           []byte
}

// Caller is where tasks and health checks come from. All calls come from the owner of decisions.
type Caller interface {
	Answer(stream uint32, a Answer)
	ReportHealth(stream uint32, good bool, level string)
}

// DependencyCaller is a Caller whose runs call a dependency that servers share, and tell of it by AwaitingCall and Returned.
type DependencyCaller interface {
	Caller
	AllowCall(within time.Duration) // the call may be made now, and takes no longer
	SkipCall()                      // the task goes on without it
}

// Frontend is a way in for tasks.
type Frontend interface {
	CloseIdle(span time.Duration)
	Flush() (written bool) // writes all that was answered; false while peers have yet to read some
	StopAccepting()        // takes no more connections and asks for no more tasks on those that are open
	Open() int             // connections
	Quiet() bool           // nothing that came waits to be taken or read
}

// Request is a task and what the program keeps for it until the last that can come for it has come.
type Request struct {
	admission.Request
	id           string
	route        string
	body         []byte
	caller       Caller
	stream       uint32
	answered     bool
	active       bool   // started, and its end not told yet
	sent         bool   // the pool was told to run it
	spawnMark    uint64 // the nonce of the first poll behind that
	startUnknown bool   // whether the pool was, is not known
	doubt        doubt
	composed     bool // made of calls, and no run of the pool
	key          string
	original     *keyEntry // whose answer a repeat waits for
	ledgered     bool      // its number was given to the ledger
	awaitsLedger bool      // to run once the ledger has that
	ledgerMark   uint64    // the ledger's mark
	paused       bool      // paused meanwhile
	atCall       bool      // its run stands at a call
	callBody     []byte    // what that call is to carry
	call         uint64    // the call of it that the dependency has, 0 without one
	supplied     *supply   // what it last went on with from a call
	calls        int       // made for the call that its run stands at
	doubtful     bool      // its run may be over, or never have begun; that is not known

	readAt     time.Duration
	answeredAt time.Duration
}

// doubt is how far the sorting out of a run has come of which it is not known whether it began.
type doubt int

const (
	none   doubt = iota
	asked        // to pause
	paused       // it did, so it had begun
)

// Incoming is a task as a front has read it.
type Incoming struct {
	ID         string // the same at no other task
	Route      string
	HeldKB     float64
	Rank       float64
	Router     uint32
	SentUnixMS int64 // Unix milliseconds
	Timeout    time.Duration
	Body       []byte // kept
	Caller     Caller
	Stream     uint32
	OverLimit  bool // for its connection, so it is dismissed

	Key         string // of a numbered task, the same for all its repeats
	Fingerprint uint64 // by which a repeat is known to ask for the same
	Tenant      int
	Arrived     time.Duration // by the clock of rounds, in the place of Came
	LastByteAt  time.Duration // when its last byte was read, where it came in pieces
}

// Receive files a task that a front has read. A task that can't be understood is dismissed at once, and nothing
// is returned for it.
func (s *Server) Receive(a Incoming) *Request {
	kind := s.routes[a.Route]
	refused := ""
	now := s.Now()
	if a.Arrived == 0 {
		a.Arrived = s.at(a.SentUnixMS, now)
	}
	if kind != nil && kind.Idempotency == admission.Keyed {
		s.expireKey(entryKey(a.Route, a.Key), a.Arrived)
	}
	switch {
	case kind == nil:
		refused = "task of an unknown type"
	case s.unserved[a.Route]:
		s.refuse(a, "task of a type that calls, without a dependency", Answer{Verdict: Rejected, RetryAfter: s.longest()})
		return nil
	case s.requests[a.ID] != nil && (s.requests[a.ID].active || s.requests[a.ID].sent):
		// A dismissal would say that this call never ran, and its caller might have it run elsewhere.
		s.refuse(a, "task whose call is known already", Answer{Verdict: Aborted})
		return nil
	case s.requests[a.ID] != nil:
		refused = "task whose call is known already"
	case s.mayHaveRun[a.ID] > 0:
		// Its caller has, or had, an answer to this call; what has run is never rerun, and never dismissed.
		s.refuse(a, "task whose call may have run before", Answer{Verdict: Aborted})
		return nil
	case a.OverLimit:
		refused = "task on a connection beyond the table"
	case s.settings.RoutersSendDeadlines && a.Timeout <= 0:
		refused = "task without a due time"
	case len(s.requests) >= s.maxRequests:
		refused = "task beyond the program's own memory"
	case kind.Idempotency == admission.Keyed && a.Key == "":
		refused = "numbered task without a number"
	case kind.Idempotency == admission.Keyed && len(s.keys) >= s.maxKeys && s.keys[entryKey(a.Route, a.Key)] == nil:
		refused = "numbered task beyond the program's own memory"
	case kind.Idempotency == admission.Keyed && s.keyConflicts(a):
		s.refuse(a, "number of another task", Answer{Verdict: KeyConflict})
		return nil
	default:
		request := &Request{
			Request: admission.Request{
				Route: kind, HeldKB: a.HeldKB, Arrived: a.Arrived, Rank: a.Rank, Router: a.Router,
				Tenant: a.Tenant, LastByteAt: a.LastByteAt,
			},
			id: a.ID, route: a.Route, body: a.Body, caller: a.Caller, stream: a.Stream, readAt: now,
		}
		if a.Timeout > 0 {
			// Past its outer limit a task earns nothing, whatever a caller says it waits: held for a day, it would
			// take part of the memory for as long.
			request.Deadline = request.Arrived + min(a.Timeout, kind.Deadline)
		}
		request.composed = s.parts.Composes(request.route)
		s.attachKey(request, a)
		s.requests[request.id], s.owner[&request.Request] = request, request
		s.round.Arrived = append(s.round.Arrived, &request.Request)
		s.touched = true
		return request
	}
	if kind != nil && kind.Idempotency == admission.Keyed && s.keys[entryKey(a.Route, a.Key)] != nil {
		// Its first may have run: with a promise of no effect its caller would have it run elsewhere.
		s.refuse(a, refused, Answer{Verdict: Aborted})
		return nil
	}
	s.refuse(a, refused, Answer{Verdict: Rejected})
	return nil
}

// refuse answers at once what is not taken in. The module never hears of it, as there is nothing to decide on.
func (s *Server) refuse(a Incoming, why string, answer Answer) {
	s.counts.Count(why)
	kind := events.RequestRejected
	if answer.Verdict != Rejected {
		kind = events.RequestAborted
	}
	s.events.Record(kind, why, slog.String("request", a.ID))
	answer.ShedLevel = s.level
	a.Caller.Answer(a.Stream, answer)
}

// RejectUnparsed dismisses at once what can't be understood. The module never hears of it, as there is nothing to
// decide on.
func (s *Server) RejectUnparsed(c Caller, stream uint32, why string) {
	s.events.Record(events.RequestRejected, why, slog.Uint64("stream", uint64(stream)))
	c.Answer(stream, Answer{Verdict: Rejected, ShedLevel: s.level})
}

// Cancel files that nobody waits for a task any longer.
func (s *Server) Cancel(request *Request) {
	if request.answered {
		return
	}
	request.answered, request.answeredAt = true, s.Now()
	s.round.Canceled = append(s.round.Canceled, &request.Request)
	s.touched = true
	s.abandon(request)
}

// AwaitCall has a run wait until it may make a call.
func (s *Server) AwaitCall(request *Request) {
	s.round.AwaitingCall = append(s.round.AwaitingCall, &request.Request)
	s.touched = true
}

// RecordCallEnd tells how a call ended. One that did not end well may be let go again, or left out.
func (s *Server) RecordCallEnd(request *Request, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &request.Request, Outcome: outcome, Took: took})
	s.touched = true
}

// by is what runs a task.
func (s *Server) by(request *Request) Workers {
	if request.composed {
		return s.parts
	}
	return s.link
}

// abandon has the calls of a task end that nobody waits for any more. The decisions stop runs by themselves, but
// not what is at a call: there they wait for its end.
func (s *Server) abandon(request *Request) {
	if request.composed && request.sent && request.active {
		s.parts.Pause(request.id)
	}
	if request.call > 0 {
		s.dependency.Abandon(request.call)
	}
}

// settle forgets a task for which nothing more can come.
func (s *Server) settle(request *Request) {
	if request != nil && request.answered && !request.active {
		if s.requests[request.id] == request && request.sent && request.Route.Idempotency == admission.AtMostOnce {
			s.rememberRun(request)
		}
		delete(s.requests, request.id)
		delete(s.owner, &request.Request)
	}
}

// rememberRun keeps the call of a task that may have run for as long as a copy of it may come. Where the table is full, the
// oldest goes: it is the likeliest to be past all copies.
func (s *Server) rememberRun(request *Request) {
	if len(s.mayHaveRunOrder) >= s.maxRequests {
		delete(s.mayHaveRun, s.mayHaveRunOrder[0])
		s.mayHaveRunOrder = s.mayHaveRunOrder[1:]
	}
	s.mayHaveRun[request.id] = s.Now() + 2*request.Route.Deadline
	s.mayHaveRunOrder = append(s.mayHaveRunOrder, request.id)
}

// expireRuns lets go of calls that no copy can come of any more.
func (s *Server) expireRuns(now time.Duration) {
	for len(s.mayHaveRunOrder) > 0 && s.mayHaveRun[s.mayHaveRunOrder[0]] <= now {
		delete(s.mayHaveRun, s.mayHaveRunOrder[0])
		s.mayHaveRunOrder = s.mayHaveRunOrder[1:]
	}
}

// answer gives a task its one answer.
func (s *Server) answer(request *Request, a Answer) {
	s.counts.Assert(!request.answered, "a task was answered twice")
	if request.answered {
		return
	}
	request.answered, request.answeredAt = true, s.Now()
	a.ShedLevel = s.level
	s.firstAnswered(request, a)
	request.caller.Answer(request.stream, a)
	s.settle(request)
}
