package main

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/wire"
)

var _ admission.Executor = (*server)(nil)

// markAnswered records that a request has been answered.
func (s *server) markAnswered(request *admission.Request) {
	if tracked := s.requests[s.requestIDs[request]]; tracked != nil {
		tracked.answered = true
		s.forgetIfFinished(request)
	}
}

// addAction adds an action for a request to the reply.
func (s *server) addAction(code wire.ActionCode, request *admission.Request) {
	s.reply.AddRequest(code, s.id, s.requestIDs[request])
}

// Start implements admission.Executor, as do the methods below.
func (s *server) Start(request *admission.Request) {
	s.requests[s.requestIDs[request]].running = true
	s.addAction(wire.ActionStart, request)
}

func (s *server) Pause(request *admission.Request) { s.addAction(wire.ActionPause, request) }

func (s *server) Reject(request *admission.Request, retryAfter time.Duration, noRetryElsewhere bool) {
	s.reply.AddReject(s.id, s.requestIDs[request], retryAfter, noRetryElsewhere)
	s.markAnswered(request)
}

func (s *server) Abort(request *admission.Request) {
	s.addAction(wire.ActionAbort, request)
	s.markAnswered(request)
}

func (s *server) AnswerFromOriginal(request *admission.Request) {
	s.addAction(wire.ActionAnswerFromOriginal, request)
}

func (s *server) RememberKey(request *admission.Request, lifetime time.Duration) {
	s.reply.AddRequestFor(wire.ActionRememberKey, s.id, s.requestIDs[request], lifetime)
}

func (s *server) ForgetKey(request *admission.Request) { s.addAction(wire.ActionForgetKey, request) }

func (s *server) Call(request *admission.Request, timeout time.Duration) {
	s.reply.AddRequestFor(wire.ActionCall, s.id, s.requestIDs[request], timeout)
}

func (s *server) SkipCall(request *admission.Request) { s.addAction(wire.ActionSkipCall, request) }

func (s *server) SetHealth(healthy, withoutWorkers bool) {
	s.reply.AddHealth(s.id, healthy, withoutWorkers)
}

func (s *server) SetShedLevel(level float64) { s.reply.AddShedLevel(s.id, level) }

func (s *server) SetIdleTimeout(idle time.Duration) { s.reply.AddCloseIdle(s.id, idle) }

func (s *server) WakeAfter(wait time.Duration) { s.reply.AddWake(s.id, wait) }

func (s *server) Log(message string) { s.reply.AddLog(s.id, message) }
