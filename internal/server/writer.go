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
func (s *Server) Start(t *admission.Task) {
	of := s.owner[t]
	s.counts.That(of != nil && !of.answered, "a settled task was started")
	grace, _ := s.settings.Values["grace"].(time.Duration)
	s.counts.That(s.noticed == 0 || t.Came() <= s.noticed+grace, "a task from past the grace was started")
	if of == nil || of.answered {
		return
	}
	of.active = true
	if of.composed {
		s.atCall = append(s.atCall, t)
		return
	}
	switch {
	case of.waits:
		of.stands = false
	case of.sent:
		s.link.GoOn(of.id)
	case of.number != "" && s.ledger != nil && !of.entered:
		s.enter(of)
	default:
		s.spawn(of)
	}
}

// Pause stops a task's run.
func (s *Server) Pause(t *admission.Task) {
	of := s.owner[t]
	switch {
	case of == nil:
	case of.waits:
		of.stands = true
	default:
		s.by(of).Pause(of.id)
	}
}

// Dismiss turns a task away that never ran.
func (s *Server) Dismiss(t *admission.Task, comeBack time.Duration, nowhereElse bool) {
	of := s.owner[t]
	s.counts.That(of != nil && !of.active && !of.sent, "a task that may have run was dismissed")
	switch {
	case of == nil:
	case of.answered: // its caller left in the moment it was read; its number is given back all the same
		s.firstAnswered(of, Answer{Verdict: Dismissed})
	default:
		s.recordAnswer(events.Refused, of)
		s.answer(of, Answer{Verdict: Dismissed, ComeBack: comeBack, NowhereElse: nowhereElse})
	}
}

// GiveUp answers a task that may have run without a result.
func (s *Server) GiveUp(t *admission.Task) {
	if of := s.owner[t]; of != nil {
		s.recordAnswer(events.Failed, of)
		s.answer(of, Answer{Verdict: GivenUp})
		s.abandon(of)
	}
}

// Health sets what health checks are told.
func (s *Server) Health(good, fromStore bool) {
	if good != s.good {
		s.log.Info("health", "good", good)
	}
	s.good, s.fromStore = good, fromStore
}

// Level sets what is told with every answer from here on.
func (s *Server) Level(level float64) {
	s.level, s.standing = strconv.FormatFloat(level, 'f', -1, 64), level
}

// CloseIdle has the fronts close connections that have carried nothing for a while.
func (s *Server) CloseIdle(span time.Duration) {
	for _, f := range s.fronts {
		f.CloseIdle(span)
	}
}

// Wake sets an alarm. The module sets one at each that rings; more would be chains of them.
func (s *Server) Wake(in time.Duration) {
	s.counts.That(len(s.alarms) < mostAlarms, "alarms pile up")
	if len(s.alarms) < mostAlarms {
		s.alarms = append(s.alarms, s.Now()+in)
	}
}

// Note logs the module's own words on something that operators may act on.
func (s *Server) Note(words string) { s.log.Info("decision", "note", words) }

// Call lets the calls of a task begin. They end before the moment at which the decisions would give it up, so
// that what is there by then is still answered.
func (s *Server) Call(t *admission.Task, patience time.Duration) {
	of := s.owner[t]
	if c, calls := s.calling(of); calls {
		c.Call(patience)
		return
	}
	if of != nil && of.atCall {
		if of.calls > 0 {
			s.events.Record(events.CallRetried, "the call before did not go well", slog.String("request", of.id), slog.Int("calls", of.calls))
		}
		of.calls++
		s.placeCall(of, patience)
		return
	}
	s.counts.That(of != nil && of.composed && !of.sent, "a call was to be made for a task without any, or twice")
	if of == nil || !of.composed || of.sent {
		return
	}
	of.sent = s.parts.Start(workerapi.Run{ID: of.id, Type: of.handler, Body: of.body, Until: s.round.Now + patience})
	if !of.sent {
		s.unbegun = append(s.unbegun, of)
	}
}

// SkipCall has a task go on without its call.
func (s *Server) SkipCall(t *admission.Task) {
	c, calls := s.calling(s.owner[t])
	s.counts.That(calls, "a call was to be left out for a task without any")
	if calls {
		c.Skip()
	}
}

// calling is a task whose run makes its calls itself.
func (s *Server) calling(of *Task) (c Calling, calls bool) {
	if of == nil || of.composed {
		return nil, false
	}
	c, calls = of.caller.(Calling)
	return c, calls
}
