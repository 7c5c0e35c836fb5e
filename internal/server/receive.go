package server

import (
	"log/slog"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

// IncomingRequest is a request as read by a front end.
type IncomingRequest struct {
	ID         string // unique
	Route      string
	QueuedKB   float64 // memory of the worker pool that the request takes while queued
	Rank       float64 // criticality, from 0 to 1
	Router     uint32
	SentUnixMS int64 // by the system's wall clock; used if Arrived is 0
	Timeout    time.Duration
	Body       []byte // must not be changed afterwards
	Caller     Caller
	Stream     uint32
	OverLimit  bool // its connection exceeds the front end's maximum number, so the request is rejected

	Key         string // idempotency key, the same for all duplicates
	Fingerprint uint64 // of the body; equal for all duplicates
	Tenant      int
	Arrived     time.Duration // by the clock of rounds, in place of SentUnixMS
	LastByteAt  time.Duration // when the last byte was read, if the request arrived in pieces
}

// Receive adds a request that a front end has read to the next round. It returns nil if it answered the request at
// once.
func (s *Server) Receive(in IncomingRequest) *Request {
	route := s.tables.routes[in.Route]
	now := s.Now()
	if in.Arrived == 0 {
		in.Arrived = s.arrivalTime(in.SentUnixMS, now)
	}
	keyed := route != nil && route.Idempotency == admission.Keyed
	if keyed {
		s.expireKey(keyOf(in.Route, in.Key), in.Arrived)
	}
	if reason, answer := s.answerWithoutRun(&in, route); reason != "" {
		s.rejectIncoming(&in, reason, answer)
		return nil
	}
	if reason := s.rejectReason(&in, route); reason != "" {
		answer := Answer{Verdict: Rejected}
		if keyed && s.keys.entries[keyOf(in.Route, in.Key)] != nil {
			// The original may have run. Rejected would state that the request had no effect, and its caller might send
			// it to another server.
			answer.Verdict = Aborted
		}
		s.rejectIncoming(&in, reason, answer)
		return nil
	}
	if keyed && s.keyConflicts(&in) {
		s.rejectIncoming(&in, "key of another request", Answer{Verdict: KeyConflict})
		return nil
	}
	return s.enqueue(&in, route, now)
}

// answerWithoutRun returns the answer to a request that must not run even if there is capacity, with the reason. The
// reason is empty for a request that may run.
func (s *Server) answerWithoutRun(in *IncomingRequest, route *admission.Route) (reason string, answer Answer) {
	known := s.requests.byID[in.ID]
	switch {
	case route == nil:
		return "", Answer{}
	case s.tables.unserved[in.Route]:
		return "request for a route that calls, without a dependency", Answer{Verdict: Rejected, RetryAfter: s.maxRetryAfter()}
	case known != nil && (known.active || known.sent):
		// Rejected would state that the request never ran, and its caller might send it to another server.
		return "request whose id is known already", Answer{Verdict: Aborted}
	case known == nil && s.executed.until[in.ID] > 0:
		// It was answered, or its caller canceled. A request that may have run is never run again, and never rejected.
		return "request that may have run before", Answer{Verdict: Aborted}
	}
	return "", Answer{}
}

// rejectReason returns why a request that did not run is not accepted, or an empty text if it is.
func (s *Server) rejectReason(in *IncomingRequest, route *admission.Route) string {
	if route == nil {
		return "request for an unknown route"
	}
	keyed := route.Idempotency == admission.Keyed
	switch {
	case s.requests.byID[in.ID] != nil:
		return "request whose id is known already"
	case in.OverLimit:
		return "request on a connection over the limit"
	case s.settings.RoutersSendDeadlines && in.Timeout <= 0:
		return "request without a deadline"
	case len(s.requests.byID) >= s.requests.max:
		return "request beyond the program's own memory"
	case keyed && in.Key == "":
		return "keyed request without a key"
	case keyed && !s.keys.hasSpace(keyOf(in.Route, in.Key)):
		return "keyed request beyond the program's own memory"
	}
	return ""
}

// enqueue adds a request to the next round.
func (s *Server) enqueue(in *IncomingRequest, route *admission.Route, now time.Duration) *Request {
	request := &Request{
		Request: admission.Request{
			Route: route, QueuedKB: in.QueuedKB, Arrived: in.Arrived, Rank: in.Rank, Router: in.Router,
			Tenant: in.Tenant, LastByteAt: in.LastByteAt,
		},
		id: in.ID, route: in.Route, body: in.Body, caller: in.Caller, stream: in.Stream, readAt: now,
	}
	if in.Timeout > 0 {
		// A request earns nothing after its route's deadline, however long its caller is willing to wait. With a
		// timeout of a day it would occupy memory for a day.
		request.Deadline = request.Arrived + min(in.Timeout, route.Deadline)
	}
	request.composite = s.composer.Handles(request.route)
	s.attachKey(request, in)
	s.requests.byID[request.id], s.requests.byDecision[&request.Request] = request, request
	s.round.Arrived = append(s.round.Arrived, &request.Request)
	s.round.pending = true
	return request
}

// rejectIncoming answers a request that is not accepted. The controller never sees it.
func (s *Server) rejectIncoming(in *IncomingRequest, reason string, answer Answer) {
	s.counters.Count(reason)
	kind := events.RequestRejected
	if answer.Verdict != Rejected {
		kind = events.RequestAborted
	}
	s.events.Record(kind, reason, slog.String("request", in.ID))
	answer.ShedLevel = s.shedLevel.text
	in.Caller.Answer(in.Stream, answer)
}

// RejectUnparsed rejects input that a front end could not parse. The controller never sees it.
func (s *Server) RejectUnparsed(c Caller, stream uint32, reason string) {
	s.events.Record(events.RequestRejected, reason, slog.Uint64("stream", uint64(stream)))
	c.Answer(stream, Answer{Verdict: Rejected, ShedLevel: s.shedLevel.text})
}
