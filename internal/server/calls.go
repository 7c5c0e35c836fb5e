package server

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/workerapi"
)

// callReply is the reply with which a run last resumed from its call.
type callReply struct {
	body []byte
	sent bool // to the workers
}

// handleBlocked handles the notice that a run waits for a call. If its request is already answered the call is not
// made, and the run is left to end by itself.
func (s *Server) handleBlocked(notice *workerapi.Notice) {
	request := s.requests.byID[notice.RequestID]
	if request == nil || !request.active || s.callReplier == nil {
		s.counters.Count("call of a run nobody asked for")
		return
	}
	request.blockedAtCall, request.callBody, request.callReply, request.callAttempts = true, notice.Result, nil, 0
	request.startUnknown, request.startNonce = false, 0 // the run has begun, so its earlier commands were read
	if !request.answered {
		s.AwaitCall(request)
	}
}

// AwaitCall reports to the controller that a run waits for its call to be allowed.
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

// HandleCallEnd handles the end of a call. It must be called once for each call that was made. Any goroutine may call
// it.
func (s *Server) HandleCallEnd(e workerapi.CallEnd) { s.Submit(func() { s.handleCallEnd(e) }) }

func (s *Server) handleCallEnd(e workerapi.CallEnd) {
	request := s.requests.byID[e.RequestID]
	if request == nil || request.callID != e.CallID {
		return // the run has ended, or waits for another call
	}
	request.callID = 0
	if e.Outcome == admission.Succeeded && !request.answered {
		s.replyToCall(request, &callReply{body: e.Result})
	}
	s.RecordCallEnd(request, e.Outcome, e.Duration)
}

// RecordCallEnd reports to the controller how a call ended. The controller may then retry or skip a call that failed.
func (s *Server) RecordCallEnd(request *Request, outcome admission.Outcome, took time.Duration) {
	s.round.CallsEnded = append(s.round.CallsEnded, admission.Completion{Request: &request.Request, Outcome: outcome, Took: took})
	s.round.pending = true
}

// replyToCall has a run resume from its call with the reply. If there is no link, the reply is kept for the next one.
func (s *Server) replyToCall(request *Request, reply *callReply) {
	request.blockedAtCall, request.callReply, request.startUnknown = false, reply, false
	request.startNonce = s.link.NextPollNonce()
	reply.sent = s.callReplier.ReplyToCall(request.id, reply.body)
}

// cancelCalls cancels the calls of a request that nobody waits for any longer. The controller stops runs itself, but not
// those that wait for a call: it counts them until they have ended.
func (s *Server) cancelCalls(request *Request) {
	if request.composite && request.sent && request.active {
		s.composer.Pause(request.id)
	}
	if request.callID > 0 {
		s.dependency.Cancel(request.callID)
	}
}

// dependencyCallerOf returns the caller of a request whose run makes its calls itself; calls reports whether it is one.
func dependencyCallerOf(request *Request) (c DependencyCaller, calls bool) {
	if request == nil || request.composite {
		return nil, false
	}
	c, calls = request.caller.(DependencyCaller)
	return c, calls
}

// maxRetryAfter returns the longest Retry-After that answers may carry, or 0 if the settings allow none.
func (s *Server) maxRetryAfter() time.Duration {
	if !s.settings.Admission.RetryAfter {
		return 0
	}
	return s.settings.Admission.MaxRetryAfter
}
