package server

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// callReply is the reply that a run last resumed with from its call.
type callReply struct {
	body []byte
	sent bool // the workers were told
}

// handleBlocked takes that a run waits for a call. Where its request was answered already the run ends by itself.
func (s *Server) handleBlocked(notice *workerapi.Notice) {
	request := s.requests.byID[notice.RequestID]
	if request == nil || !request.active || s.callReplier == nil {
		s.counters.Count("call of a run nobody asked for")
		return
	}
	request.blockedAtCall, request.callBody, request.callReply, request.callAttempts = true, notice.Result, nil, 0
	request.startUnknown, request.startNonce = false, 0 // it has begun, and has read all that it was told before
	if !request.answered {
		s.AwaitCall(request)
	}
}

// AwaitCall has a run wait until the controller lets its call begin.
func (s *Server) AwaitCall(request *Request) {
	s.round.AwaitingCall = append(s.round.AwaitingCall, &request.Request)
	s.round.pending = true
}

// makeCall has the dependency make the call that a run waits for.
func (s *Server) makeCall(request *Request, timeout time.Duration) {
	if request.callAttempts > 0 {
		s.recordCallRetry(request)
	}
	request.callAttempts++
	s.lastCallID++
	request.callID = s.lastCallID
	s.dependency.Call(workerapi.Call{
		CallID: s.lastCallID, RequestID: request.id, Body: request.callBody, Timeout: timeout,
	})
}

// HandleCallEnd takes how a call ended. Any goroutine may call it, once for each call that was made.
func (s *Server) HandleCallEnd(e workerapi.CallEnd) { s.Submit(func() { s.handleCallEnd(e) }) }

func (s *Server) handleCallEnd(e workerapi.CallEnd) {
	request := s.requests.byID[e.RequestID]
	if request == nil || request.callID != e.CallID {
		return // its run has ended meanwhile
	}
	request.callID = 0
	if e.Outcome == admission.Succeeded && !request.answered {
		s.replyToCall(request, &callReply{body: e.Result})
	}
	s.RecordCallEnd(request, e.Outcome, e.Duration)
}

// RecordCallEnd reports to the controller how a call ended. It may let one that failed be made again, or skip it.
func (s *Server) RecordCallEnd(request *Request, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &request.Request, Outcome: outcome, Took: took})
	s.round.pending = true
}

// replyToCall has a run resume from its call, or keeps the reply for the next link.
func (s *Server) replyToCall(request *Request, reply *callReply) {
	request.blockedAtCall, request.callReply, request.startUnknown = false, reply, false
	request.startNonce = s.link.NextPollNonce()
	reply.sent = s.callReplier.ReplyToCall(request.id, reply.body)
}

// cancelCalls ends the calls of a request that nobody waits for any more. The controller stops runs by itself, but not those
// that wait for a call: there it waits for the call's end.
func (s *Server) cancelCalls(request *Request) {
	if request.composite && request.sent && request.active {
		s.composer.Pause(request.id)
	}
	if request.callID > 0 {
		s.dependency.Cancel(request.callID)
	}
}

// dependencyCallerOf is the caller of a request whose run makes its calls itself.
func dependencyCallerOf(request *Request) (c DependencyCaller, calls bool) {
	if request == nil || request.composite {
		return nil, false
	}
	c, calls = request.caller.(DependencyCaller)
	return c, calls
}

// maxRetryAfter is the longest time for which callers may be asked to send nothing, 0 where they may not be asked.
func (s *Server) maxRetryAfter() time.Duration {
	if !s.settings.Admission.RetryAfter {
		return 0
	}
	return s.settings.Admission.MaxRetryAfter
}
