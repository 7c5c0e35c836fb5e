package server

import (
	"log/slog"
	"strconv"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/workerapi"
)

var _ admission.Executor = (*Server)(nil)

// Start starts the run of a request, or resumes a paused run.
func (s *Server) Start(decided *admission.Request) {
	request := s.requests.byDecision[decided]
	s.counters.Assert(request != nil && !request.answered, "an answered request was started")
	grace := s.settings.Admission.Grace
	s.counters.Assert(!s.drain.started() || decided.ReceivedAt() <= s.drain.startedAt+grace, "a request from past the grace was started")
	if request == nil || request.answered {
		return
	}
	request.active = true
	switch {
	case request.composite:
		s.round.composites = append(s.round.composites, decided)
	case request.awaitsLedger:
		request.pausedBeforeStart = false
	case request.sent:
		s.link.Resume(request.id)
	case request.key != "" && s.keys.ledger != nil && !request.inLedger:
		s.recordStart(request)
	default:
		s.startRun(request)
	}
}

// Pause stops a run, for good or until Start resumes it.
func (s *Server) Pause(decided *admission.Request) {
	request := s.requests.byDecision[decided]
	switch {
	case request == nil:
	case request.awaitsLedger:
		request.pausedBeforeStart = true
	default:
		s.workersOf(request).Pause(request.id)
	}
}

// Reject answers a request that never ran.
func (s *Server) Reject(decided *admission.Request, retryAfter time.Duration, noRetryElsewhere bool) {
	request := s.requests.byDecision[decided]
	s.counters.Assert(request != nil && !request.active && !request.sent, "a request that may have run was rejected")
	switch {
	case request == nil:
	case request.answered: // its caller canceled before the request was decided; its key is released all the same
		s.completeKeyOnAnswer(request, Answer{Verdict: Rejected})
	default:
		s.recordAnswer(events.RequestRejected, request)
		s.answer(request, Answer{Verdict: Rejected, RetryAfter: retryAfter, NoRetryElsewhere: noRetryElsewhere})
	}
}

// Abort answers a request that may have run, without a result.
func (s *Server) Abort(decided *admission.Request) {
	if request := s.requests.byDecision[decided]; request != nil {
		s.recordAnswer(events.RequestAborted, request)
		s.answer(request, Answer{Verdict: Aborted})
		s.cancelCalls(request)
	}
}

// SetHealth sets the answer to health checks. If withoutWorkers is set, deep checks get it too, without asking the
// workers.
func (s *Server) SetHealth(healthy, withoutWorkers bool) {
	if healthy != s.health.healthy {
		s.log.Info("health", "good", healthy)
	}
	s.health.healthy, s.health.withoutWorkers = healthy, withoutWorkers
}

// SetShedLevel sets the shed level that answers carry from now on.
func (s *Server) SetShedLevel(level float64) {
	s.shedLevel = shedLevel{value: level, text: strconv.FormatFloat(level, 'f', -1, 64)}
}

// SetIdleTimeout sets how long a connection of the front ends may be idle before its peer is asked to close it.
func (s *Server) SetIdleTimeout(timeout time.Duration) {
	for _, f := range s.frontends {
		f.SetIdleTimeout(timeout)
	}
}

// Log logs a note of the controller that operators may act on.
func (s *Server) Log(note string) { s.log.Info("admission note", "note", note) }

// Call lets the call of a request begin. It ends after timeout, which is before the controller would abort the request,
// so that the results available by then can still be sent.
func (s *Server) Call(decided *admission.Request, timeout time.Duration) {
	request := s.requests.byDecision[decided]
	if c, calls := dependencyCallerOf(request); calls {
		c.AllowCall(timeout)
		return
	}
	if request != nil && request.blockedAtCall {
		s.makeCall(request, timeout)
		return
	}
	s.counters.Assert(request != nil && request.composite && !request.sent, "a call of a request without any, or a second time")
	if request == nil || !request.composite || request.sent {
		return
	}
	request.sent = s.composer.Start(workerapi.Run{
		ID: request.id, Route: request.route, Body: request.body, Deadline: s.round.Now + timeout,
	})
	if !request.sent {
		s.round.notStarted = append(s.round.notStarted, request)
	}
}

// SkipCall lets a request continue without its call.
func (s *Server) SkipCall(decided *admission.Request) {
	c, calls := dependencyCallerOf(s.requests.byDecision[decided])
	s.counters.Assert(calls, "a skipped call of a request without any")
	if calls {
		c.SkipCall()
	}
}

// RememberKey keeps an idempotency key for remaining, the time left of its dedup window.
func (s *Server) RememberKey(decided *admission.Request, remaining time.Duration) {
	if request := s.requests.byDecision[decided]; request != nil && s.keys.entries[request.key] != nil {
		s.keys.entries[request.key].until = s.round.Now + remaining
	}
}

// ForgetKey releases the idempotency key of a request that never ran.
func (s *Server) ForgetKey(decided *admission.Request) {
	if request := s.requests.byDecision[decided]; request != nil {
		s.dropKey(s.keys.entries[request.key], Answer{Verdict: Rejected})
	}
}

// AnswerFromOriginal answers a duplicate as soon as its original has ended.
func (s *Server) AnswerFromOriginal(decided *admission.Request) {
	request := s.requests.byDecision[decided]
	s.counters.Assert(request != nil && request.original != nil, "a duplicate without an original")
	if request == nil || request.original == nil {
		return
	}
	if request.original.completed {
		s.answerDuplicate(request, request.original.answer)
		return
	}
	request.original.waiting = append(request.original.waiting, request)
}

// workersOf returns the workers that run a request.
func (s *Server) workersOf(request *Request) Workers {
	if request.composite {
		return s.composer
	}
	return s.link
}

// recordCallRetry records that a call is made again.
func (s *Server) recordCallRetry(request *Request) {
	s.events.Record(events.CallRetried, "the call before did not go well",
		slog.String("request", request.id), slog.Int("calls", request.callAttempts))
}
