package server

import (
	"log/slog"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/workerapi"
)

// handleNotice handles one notice of the workers.
func (s *Server) handleNotice(notice *workerapi.Notice) {
	switch notice.Kind {
	case workerapi.Polled:
		s.polls.answered = notice.Nonce
		s.resumePaused(notice.Nonce)
		s.settings.SetGauges(&s.polls.gauges, notice.Readings)
		s.polls.readAt = s.Now()
		s.releaseProvenEnds(notice)
		s.polls.ready = s.polls.ready || s.polls.nonce > 0 && notice.Nonce >= s.polls.nonce
	case workerapi.RunFinished:
		s.handleFinished(notice)
	case workerapi.CommandFailed:
		s.handleCommandFailed(notice)
	case workerapi.RunBlocked:
		s.handleBlocked(notice)
	case workerapi.Verified:
		s.finishCheck(notice.Nonce, notice.Healthy)
	case workerapi.LinkBound:
		s.round.WorkersStartedAt = s.Now() - notice.Duration
		s.round.pending = true
	case workerapi.LinkDown:
		s.handleLinkDown()
	case workerapi.LinkSynced:
		s.handleLinkSynced()
	}
}

// outcomes maps the outcomes that the workers report to those of the controller.
var outcomes = map[string]admission.Outcome{
	workerapi.OutcomeSucceeded:    admission.Succeeded,
	workerapi.OutcomeFailed:       admission.Failed,
	workerapi.OutcomeStopped:      admission.Stopped,
	workerapi.OutcomeNeverStarted: admission.NeverStarted,
}

// startRun has the workers run a request. If there is no link, the request is sent on the next one.
func (s *Server) startRun(request *Request) {
	s.counters.Assert(!request.sent, "a run was sent twice")
	request.startNonce = s.link.NextPollNonce()
	request.sent = s.link.Start(workerapi.Run{ID: request.id, Route: request.route, Body: request.body})
}

// handleFinished handles the end of a run.
func (s *Server) handleFinished(notice *workerapi.Notice) {
	request := s.requests.byID[notice.RequestID]
	if request == nil || !request.active {
		s.counters.Count("end of a run nobody asked for")
		return
	}
	if request.pauseState == pauseRequested && notice.Outcome == workerapi.OutcomeStopped && !request.answered {
		request.pauseState = pauseConfirmed // not its end: the run is paused until resumePaused
		return
	}
	if request.overdue {
		s.recordRunEvent(events.RunEndedLate, notice.Outcome, request)
	}
	outcome, known := outcomes[notice.Outcome]
	if !known {
		s.counters.Count("end of a run with an unknown outcome")
		outcome = admission.Failed
	}
	s.endRun(request, outcome, notice.Duration, notice.Result)
}

// endRun reports the end of a run to the controller. If the request is unanswered it is answered with the result, or
// aborted.
func (s *Server) endRun(request *Request, outcome admission.Outcome, took time.Duration, result []byte) {
	request.active, request.blockedAtCall, request.callReply = false, false, nil
	if request.callID > 0 {
		s.dependency.Cancel(request.callID)
	}
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &request.Request, Outcome: outcome, Took: took})
	s.round.pending = true
	if outcome == admission.NeverStarted {
		s.releaseKeyOfUnstarted(request)
	}
	s.completeKeyOnEnd(request, outcome, result)
	switch {
	case request.answered:
	case outcome == admission.Succeeded:
		s.answer(request, Answer{Verdict: Served, Result: result})
	case request.composite:
		s.answer(request, Answer{Verdict: Aborted, Result: result}) // the result states what is known of its calls
	default:
		s.answer(request, Answer{Verdict: Aborted})
	}
}

// handleCommandFailed handles a command that the workers did not carry out. A run that they did not start has not begun
// and never will. The cause is a caller that invents request IDs, not this server: counted as a failed run it would
// count against the server's health, and counted as a short run it would make all runs of the route look short.
func (s *Server) handleCommandFailed(notice *workerapi.Notice) {
	if notice.Command != workerapi.StartCommand {
		s.counters.Count("pool did not carry out a command")
		return
	}
	s.counters.Count("pool did not carry out a spawn")
	if request := s.requests.byID[notice.RequestID]; request != nil && request.active {
		s.endRun(request, admission.NeverStarted, 0, nil)
	}
}

// recordRunEvent records an event of a run.
func (s *Server) recordRunEvent(kind events.Kind, reason string, request *Request) {
	s.events.Record(kind, reason, slog.String("request", request.id), slog.String("class", request.route),
		slog.Duration("age", s.Now()-request.Arrived), slog.Bool("answered", request.answered),
		slog.Bool("known_to_have_begun", !request.startUnknown))
}
