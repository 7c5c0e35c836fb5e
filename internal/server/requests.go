package server

import (
	"log/slog"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

// Request is a request with the state that the server keeps until it is answered and its run has ended.
type Request struct {
	admission.Request
	id     string
	route  string
	body   []byte
	caller Caller
	stream uint32

	readAt     time.Duration
	answered   bool
	answeredAt time.Duration

	// The state of the run. startNonce and startUnknown serve the recovery after a lost link, see linkRecovery.
	composite    bool   // consists of calls, and is run by the composer
	active       bool   // started, and its end is not reported yet
	sent         bool   // the start command was sent to the workers
	startNonce   uint64 // of the first poll after the last start, reply or resume; once it is answered, that command was read
	startUnknown bool   // the link was lost, and whether the workers read that command is unknown
	pauseState   pauseState
	overdue      bool // the run may have ended, or may never have begun

	// The idempotency key.
	key               string
	original          *keyEntry // entry that a duplicate is answered from
	inLedger          bool      // the key was passed to the ledger
	awaitsLedger      bool      // the run starts once the ledger has stored the key
	ledgerMark        uint64
	pausedBeforeStart bool // the controller paused the run while it awaited the ledger

	// The call that the run waits for.
	blockedAtCall bool
	callBody      []byte
	callID        uint64     // of the call in progress at the dependency; 0 without one
	callReply     *callReply // with which the run last resumed
	callAttempts  int
}

// forgetIfDone forgets a request that is answered and has no active run.
func (s *Server) forgetIfDone(request *Request) {
	if request == nil || !request.answered || request.active {
		return
	}
	if s.requests.byID[request.id] == request && request.sent && request.Route.Idempotency == admission.AtMostOnce {
		s.rememberRun(request)
	}
	delete(s.requests.byID, request.id)
	delete(s.requests.byDecision, &request.Request)
	if request.original != nil {
		request.original.removeWaiting(request)
	}
}

// answer sends the one final answer to a request.
func (s *Server) answer(request *Request, a Answer) {
	s.counters.Assert(!request.answered, "a request was answered twice")
	if request.answered {
		return
	}
	request.answered, request.answeredAt = true, s.Now()
	a.ShedLevel = s.shedLevel.text
	s.completeKeyOnAnswer(request, a)
	request.caller.Answer(request.stream, a)
	s.forgetIfDone(request)
}

// Cancel records that nobody waits for a request any longer. The request then counts as answered.
func (s *Server) Cancel(request *Request) {
	if request.answered {
		return
	}
	request.answered, request.answeredAt = true, s.Now()
	s.round.Canceled = append(s.round.Canceled, &request.Request)
	s.round.pending = true
	s.cancelCalls(request)
}

// recordAnswer records that a request was answered without a result, and why.
func (s *Server) recordAnswer(kind events.Kind, request *Request) {
	attributes := []slog.Attr{
		slog.String("request", request.id), slog.String("class", request.route), slog.Duration("age", s.round.Now-request.Arrived),
	}
	reason := request.RejectReason()
	if reason == admission.ReasonNoTime {
		basis := request.ShedBasis()
		attributes = append(attributes, slog.Duration("time_left", basis.TimeLeft), slog.Duration("wait", basis.Wait),
			slog.Duration("work", basis.Work), slog.Int("runs", basis.RunsEnded), slog.Duration("last_run", basis.SinceLastEnd))
	}
	s.events.Record(kind, reason.String(), attributes...)
}

// executedTable holds the IDs of at-most-once requests that may have run and were forgotten, for as long as a copy of
// one may arrive. Without it a copy would run a second time, for example if the connection broke after the answer.
type executedTable struct {
	until map[string]time.Duration // when an ID is dropped
	order []string                 // the IDs in until, oldest first
}

// rememberRun stores the ID of a request that may have run. If the table is full it drops the oldest ID, of which a
// copy is the least likely to arrive.
func (s *Server) rememberRun(request *Request) {
	if len(s.executed.order) >= s.requests.max {
		s.executed.dropOldest()
	}
	s.executed.until[request.id] = s.Now() + 2*request.Route.Deadline
	s.executed.order = append(s.executed.order, request.id)
}

func (e *executedTable) dropOldest() {
	delete(e.until, e.order[0])
	e.order = e.order[1:]
}

// expire drops the IDs of which no copy can arrive any more.
func (e *executedTable) expire(now time.Duration) {
	for len(e.order) > 0 && e.until[e.order[0]] <= now {
		e.dropOldest()
	}
}
