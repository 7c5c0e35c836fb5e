package server

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/workerapi"
)

// onNotice takes one notice of the worker pool.
func (s *Server) onNotice(n *workerapi.Notice) {
	switch n.Kind {
	case workerapi.Polled:
		s.polled = n.Nonce
		s.resume(n.Nonce)
		s.settings.Gauges(&s.gauges, n.Readings)
		s.reviewRuns(n)
		s.fresh = s.fresh || s.asked > 0 && n.Nonce >= s.asked
	case workerapi.RunFinished:
		s.finished(n)
	case workerapi.CommandFailed:
		s.unknown(n)
	case workerapi.RunBlocked:
		s.blocked(n)
	case workerapi.Verified:
		for i, c := range s.checks {
			if c.nonce == n.Nonce {
				s.checks = append(s.checks[:i], s.checks[i+1:]...)
				c.caller.ReportHealth(c.stream, n.Outcome == "success", s.level)
				break
			}
		}
	case workerapi.LinkBound:
		s.round.WorkersStartedAt = s.Now() - n.Duration
		s.touched = true
	case workerapi.LinkDown:
		s.linkDown()
	case workerapi.LinkSynced:
		s.linkSynced()
	}
}

// outcomes are the pool's words for the end of a run.
var outcomes = map[string]admission.Outcome{
	"success":     admission.Succeeded,
	"failure":     admission.Failed,
	"interrupted": admission.Stopped,
	"nothing":     admission.NeverStarted,
}

func (s *Server) finished(n *workerapi.Notice) {
	request := s.requests[n.RequestID]
	if request == nil || !request.active {
		s.counts.Count("end of a run nobody asked for")
		return
	}
	if request.doubt == asked && n.Outcome == "interrupted" && !request.answered {
		request.doubt = paused // not its end: it stands still and waits for resume
		return
	}
	if request.doubtful {
		s.recordRun(events.RunEndedLate, n.Outcome, request)
	}
	outcome, known := outcomes[n.Outcome]
	if !known {
		s.counts.Count("end of a run with an unknown outcome")
		outcome = admission.Failed
	}
	s.end(request, outcome, n.Duration, n.Result)
}

// end files the end of a run. It answers for itself: with the result, or as given up on.
func (s *Server) end(request *Request, outcome admission.Outcome, took time.Duration, result []byte) {
	request.active, request.atCall, request.supplied = false, false, nil
	if request.call > 0 {
		s.dependency.Abandon(request.call)
	}
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &request.Request, Outcome: outcome, Took: took})
	s.touched = true
	s.firstEnded(request, outcome, result)
	if request.answered {
		return
	}
	if outcome == admission.Succeeded {
		s.answer(request, Answer{Verdict: Served, Result: result})
	} else {
		given := Answer{Verdict: Aborted}
		if request.composed {
			given.Result = result // what is known of its parts
		}
		s.answer(request, given)
	}
}

// unknown takes that the pool did not carry out a command. A run it does not know has not begun and will not.
// That tells of a caller who invents calls, and nothing of this server: as a broken run it would count against
// its health, and as a quick one make all tasks of the type look short.
func (s *Server) unknown(n *workerapi.Notice) {
	if n.Outcome != "spawn" {
		s.counts.Count("pool did not carry out a command")
		return
	}
	s.counts.Count("pool did not carry out a spawn")
	if request := s.requests[n.RequestID]; request != nil && request.active {
		s.end(request, admission.NeverStarted, 0, nil)
	}
}

// linkDown marks the runs of which the pool may or may not have been told: those given after the last poll
// that it answered.
func (s *Server) linkDown() {
	s.doubts = s.doubts[:0]
	for _, request := range s.requests { // each for itself, so the order decides nothing
		if request.active && request.sent && !request.composed && request.spawnMark > s.polled {
			request.startUnknown = true
		}
	}
}

// linkSynced makes good what the link's loss left open. All notices up to now have been read, so a run that
// is still open runs, or never came to the pool. What was never sent is sent now. What may have been sent is
// sent again where a second run does no harm; the pool takes no notice of it while the first runs. The run of a
// task that must not run twice might end just while it is sent again. So it is paused first, where the site
// pauses runs, and sent again in resume. Elsewhere it stays as it is, and so does a run whose request is answered: it
// holds its place until its end is reported, or the machine's readings prove that it does not run.
func (s *Server) linkSynced() {
	var open []*Request
	for _, request := range s.requests {
		if request.active && !request.composed {
			open = append(open, request)
		}
	}
	slices.SortFunc(open, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.id, b.id))
	})
	pauses := s.settings.Admission.Preemption.Resumable()
	for _, request := range open {
		switch {
		case request.awaitsLedger: // for the ledger, and was never sent
		case request.supplied != nil && !request.answered && (!request.supplied.sent || request.startUnknown && !pauses):
			s.goOn(request, request.supplied) // a run that has gone on already takes no notice
		case !request.sent && request.answered:
			s.end(request, admission.Stopped, 0, nil)
		case !request.sent, request.startUnknown && !request.answered && request.supplied == nil && request.Route.Idempotency == admission.Retryable:
			request.sent, request.startUnknown = false, false
			s.recordRun(events.RunRetried, "not known to have begun when the link was lost", request)
			s.spawn(request)
		case request.startUnknown && !request.answered && pauses:
			s.link.Pause(request.id)
			if request.doubt == none {
				request.doubt = asked
			}
			s.doubts = append(s.doubts, request)
		case request.startUnknown && !request.doubtful:
			s.doubt(request, "not known to have begun when the link was lost")
		}
	}
	if len(s.doubts) > 0 {
		s.settled, _ = s.link.Poll()
		if s.settled == 0 { // lost again meanwhile
			s.settled = math.MaxUint64
		}
	}
	for _, c := range s.checks { // the work of one that went with the link is asked for again
		s.link.Verify(c.nonce)
	}
}

// resume goes on with runs in doubt once the pool has read that they are to be paused: each has ended, and that
// was told before, or stands still, or never began. So none can end while it is sent again. Nothing is sent
// behind proceed, as from there on it may.
func (s *Server) resume(answered uint64) {
	if len(s.doubts) == 0 || answered < s.settled {
		return
	}
	for _, request := range s.doubts {
		stands := request.doubt == paused
		request.doubt, request.startUnknown = none, false
		switch {
		case !request.active:
		case request.answered && stands:
			s.end(request, admission.Stopped, 0, nil) // no further end will be told
		case request.answered:
		case stands:
			if request.supplied != nil { // first, as behind proceed it might be taken for the reply to its next call
				s.goOn(request, request.supplied)
			}
			request.spawnMark = s.link.NextPollNonce()
			request.startUnknown = !s.link.Resume(request.id) // lost again: in doubt still
		case request.atCall: // it has gone on, and stands at its next call
		case request.supplied != nil:
			s.counts.Count("run not known to have gone on from its call, told again")
			s.goOn(request, request.supplied)
			s.link.Resume(request.id)
		default:
			s.counts.Count("run not known to have begun, sent again")
			s.recordRun(events.RunRetried, "not known to have begun when the link was lost", request)
			request.sent = false
			s.spawn(request)
			s.link.Resume(request.id) // no harm to one that runs; it goes on where an earlier proceed was lost
			request.sent, request.startUnknown = true, !request.sent
		}
	}
	clear(s.doubts)
	s.doubts = s.doubts[:0]
}

// spawn has the pool run a task, or notes that it could not be told.
func (s *Server) spawn(request *Request) {
	s.counts.Assert(!request.sent, "a run was sent twice")
	request.spawnMark = s.link.NextPollNonce()
	request.sent = s.link.Start(workerapi.Run{ID: request.id, Route: request.route, Body: request.body})
}
