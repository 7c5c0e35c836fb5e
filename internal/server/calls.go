package server

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// supply is the reply that a run went on with from its last call.
type supply struct {
	reply []byte
	sent  bool // the pool was told
}

// blocked takes that a run stands at a call. Where its task is answered already, the pool ends it by itself.
func (s *Server) blocked(n *workerapi.Notice) {
	request := s.requests[n.RequestID]
	if request == nil || !request.active || s.blocking == nil {
		s.counts.Count("call of a run nobody asked for")
		return
	}
	request.atCall, request.callBody, request.supplied, request.calls = true, n.Result, nil, 0
	request.startUnknown, request.spawnMark = false, 0 // so it has begun, and read whatever it was told before
	if !request.answered {
		s.AwaitCall(request)
	}
}

// placeCall has the dependency make the call that a run stands at.
func (s *Server) placeCall(request *Request, within time.Duration) {
	s.calls++
	c := workerapi.Call{CallID: s.calls, RequestID: request.id, Body: request.callBody, Timeout: within}
	request.call = c.CallID
	s.dependency.Call(c)
}

// HandleCallEnd takes how a call ended, from any goroutine. There are never more than calls that were made.
func (s *Server) HandleCallEnd(e workerapi.CallEnd) { s.Submit(func() { s.handleCallEnd(e) }) }

func (s *Server) handleCallEnd(e workerapi.CallEnd) {
	request := s.requests[e.RequestID]
	if request == nil || request.call != e.CallID {
		return // its run has ended meanwhile
	}
	request.call = 0
	if e.Outcome == admission.Succeeded && !request.answered {
		s.goOn(request, &supply{reply: e.Result})
	}
	s.RecordCallEnd(request, e.Outcome, e.Duration)
}

// goOn has a run go on from its call, or notes that the pool could not be told.
func (s *Server) goOn(request *Request, with *supply) {
	request.atCall, request.supplied, request.startUnknown = false, with, false
	request.spawnMark = s.link.NextPollNonce()
	with.sent = s.blocking.ReplyToCall(request.id, with.reply)
}

// longest is the longest time that callers may be asked to stay away for, 0 where they may not be asked.
func (s *Server) longest() time.Duration {
	if !s.settings.Admission.RetryAfter {
		return 0
	}
	return s.settings.Admission.MaxRetryAfter
}
