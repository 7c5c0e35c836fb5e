package server

import (
	"log/slog"
	"strconv"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/workerapi"
)

// Start implements admission.Writer, as do the methods below it.
func (s *Server) Start(decided *admission.Request) {
	request := s.owner[decided]
	s.counts.Assert(request != nil && !request.answered, "a settled task was started")
	grace := s.settings.Admission.Grace
	s.counts.Assert(s.noticed == 0 || decided.ReceivedAt() <= s.noticed+grace, "a task from past the grace was started")
	if request == nil || request.answered {
		return
	}
	request.active = true
	if request.composed {
		s.atCall = append(s.atCall, decided)
		return
	}
	switch {
	case request.awaitsLedger:
		request.paused = false
	case request.sent:
		s.link.Resume(request.id)
	case request.key != "" && s.ledger != nil && !request.ledgered:
		s.enter(request)
	default:
		s.spawn(request)
	}
}

// Pause stops a task's run.
func (s *Server) Pause(decided *admission.Request) {
	request := s.owner[decided]
	switch {
	case request == nil:
	case request.awaitsLedger:
		request.paused = true
	default:
		s.by(request).Pause(request.id)
	}
}

// Reject turns a task away that never ran.
func (s *Server) Reject(decided *admission.Request, comeBack time.Duration, nowhereElse bool) {
	request := s.owner[decided]
	s.counts.Assert(request != nil && !request.active && !request.sent, "a task that may have run was dismissed")
	switch {
	case request == nil:
	case request.answered: // its caller left in the moment it was read; its number is given back all the same
		s.firstAnswered(request, Answer{Verdict: Rejected})
	default:
		s.recordAnswer(events.RequestRejected, request)
		s.answer(request, Answer{Verdict: Rejected, RetryAfter: comeBack, NoRetryElsewhere: nowhereElse})
	}
}

// Abort answers a task that may have run without a result.
func (s *Server) Abort(decided *admission.Request) {
	if request := s.owner[decided]; request != nil {
		s.recordAnswer(events.RequestAborted, request)
		s.answer(request, Answer{Verdict: Aborted})
		s.abandon(request)
	}
}

// SetHealth sets what health checks are told.
func (s *Server) SetHealth(good, fromStore bool) {
	if good != s.good {
		s.log.Info("health", "good", good)
	}
	s.good, s.fromStore = good, fromStore
}

// SetShedLevel sets what is told with every answer from here on.
func (s *Server) SetShedLevel(level float64) {
	s.level, s.standing = strconv.FormatFloat(level, 'f', -1, 64), level
}

// CloseIdleAfter has the fronts close connections that have carried nothing for a while.
func (s *Server) CloseIdleAfter(span time.Duration) {
	for _, f := range s.fronts {
		f.CloseIdle(span)
	}
}

// WakeAfter sets an alarm. The module sets one at each that rings; more would be chains of them.
func (s *Server) WakeAfter(in time.Duration) {
	s.counts.Assert(len(s.alarms) < maxAlarms, "alarms pile up")
	if len(s.alarms) < maxAlarms {
		s.alarms = append(s.alarms, s.Now()+in)
	}
}

// Log logs the module's own words on something that operators may act on.
func (s *Server) Log(words string) { s.log.Info("decision", "note", words) }

// Call lets the calls of a task begin. They end before the moment at which the decisions would give it up, so
// that what is there by then is still answered.
func (s *Server) Call(decided *admission.Request, patience time.Duration) {
	request := s.owner[decided]
	if c, calls := s.calling(request); calls {
		c.AllowCall(patience)
		return
	}
	if request != nil && request.atCall {
		if request.calls > 0 {
			s.events.Record(events.CallRetried, "the call before did not go well", slog.String("request", request.id), slog.Int("calls", request.calls))
		}
		request.calls++
		s.placeCall(request, patience)
		return
	}
	s.counts.Assert(request != nil && request.composed && !request.sent, "a call was to be made for a task without any, or twice")
	if request == nil || !request.composed || request.sent {
		return
	}
	request.sent = s.parts.Start(workerapi.Run{ID: request.id, Route: request.route, Body: request.body, Deadline: s.round.Now + patience})
	if !request.sent {
		s.unbegun = append(s.unbegun, request)
	}
}

// SkipCall has a task go on without its call.
func (s *Server) SkipCall(decided *admission.Request) {
	c, calls := s.calling(s.owner[decided])
	s.counts.Assert(calls, "a call was to be left out for a task without any")
	if calls {
		c.SkipCall()
	}
}

// calling is a task whose run makes its calls itself.
func (s *Server) calling(request *Request) (c DependencyCaller, calls bool) {
	if request == nil || request.composed {
		return nil, false
	}
	c, calls = request.caller.(DependencyCaller)
	return c, calls
}
