package server

import (
	"cmp"
	"math"
	"slices"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

// When the worker link is lost, commands on it may or may not have been read. The next link first reports what is left of the
// one before; then a run of which nothing was heard either runs, or its start was never read. What must not run twice is
// paused first, and started again once the pause was read: then it can't end while it is started again.

// linkRecovery is what a lost link left open.
type linkRecovery struct {
	paused     []*Request // to be started again once the poll behind their pauses is answered
	pauseNonce uint64     // of that poll
}

// pauseState is how far the recovery of a run has come of which it is not known whether it began.
type pauseState int

const (
	pauseNone      pauseState = iota
	pauseRequested            // the workers were told to pause it
	pauseConfirmed            // they did, so it had begun
)

// handleLinkDown marks the runs whose start, or whose resumption, may not have been read: those sent after the last poll that
// was answered.
func (s *Server) handleLinkDown() {
	s.recovery.paused = s.recovery.paused[:0]
	for _, request := range s.requests.byID { // the order does not matter
		if s.holdsWorker(request) && request.startNonce > s.polls.answered {
			request.startUnknown = true
		}
	}
}

// handleLinkSynced recovers what the lost link left open. All notices up to now have been read, so a run that has not ended
// either runs, or never came to the workers. What was never sent is sent now. What may have been sent is sent again where a
// second run does no harm; the workers ignore it while the first runs. A run that must not run twice might end just while it
// is sent again, so it is paused first where the settings pause runs, and sent again by resumePaused. Elsewhere it stays as it
// is, and so does a run whose request is answered: it holds its place until its end is reported, or proven by the gauges.
func (s *Server) handleLinkSynced() {
	pauses := s.settings.Admission.Preemption.Resumable()
	for _, request := range s.activeRuns() {
		s.recoverRun(request, pauses)
	}
	if len(s.recovery.paused) > 0 {
		s.recovery.pauseNonce, _ = s.link.Poll()
		if s.recovery.pauseNonce == 0 { // lost again meanwhile
			s.recovery.pauseNonce = math.MaxUint64
		}
	}
	for _, c := range s.health.checks { // the work of one that went with the link is asked for again
		s.link.Verify(c.nonce)
	}
}

// activeRuns are the workers' runs that have not ended, by arrival.
func (s *Server) activeRuns() (active []*Request) {
	for _, request := range s.requests.byID {
		if request.active && !request.composite {
			active = append(active, request)
		}
	}
	slices.SortFunc(active, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.id, b.id))
	})
	return active
}

// recoverRun sends what the lost link may not have carried; pauses says that the settings pause runs.
func (s *Server) recoverRun(request *Request, pauses bool) {
	reply := request.callReply
	retryable := request.Route.Idempotency == admission.Retryable
	switch {
	case request.awaitsLedger: // never sent
	case reply != nil && !request.answered && (!reply.sent || request.startUnknown && !pauses):
		s.replyToCall(request, reply) // a run that has resumed already ignores it
	case !request.sent && request.answered:
		s.endRun(request, admission.Stopped, 0, nil)
	case !request.sent, request.startUnknown && !request.answered && reply == nil && retryable:
		request.sent, request.startUnknown = false, false
		s.recordRun(events.RunRetried, "not known to have begun when the link was lost", request)
		s.startRun(request)
	case request.startUnknown && !request.answered && pauses:
		s.link.Pause(request.id)
		if request.pauseState == pauseNone {
			request.pauseState = pauseRequested
		}
		s.recovery.paused = append(s.recovery.paused, request)
	case request.startUnknown && !request.overdue:
		s.markOverdue(request, "not known to have begun when the link was lost")
	}
}

// resumePaused goes on with the paused runs once the workers have read their pauses, as the answer to a poll shows. Each has
// ended, which was reported before, or is paused, or never began.
func (s *Server) resumePaused(answeredPoll uint64) {
	if len(s.recovery.paused) == 0 || answeredPoll < s.recovery.pauseNonce {
		return
	}
	for _, request := range s.recovery.paused {
		s.resumeOrRestart(request)
	}
	clear(s.recovery.paused)
	s.recovery.paused = s.recovery.paused[:0]
}

// resumeOrRestart resumes a run that was paused, or starts one that never began. Nothing is sent behind Resume, as from there
// on the run may end.
func (s *Server) resumeOrRestart(request *Request) {
	paused := request.pauseState == pauseConfirmed
	request.pauseState, request.startUnknown = pauseNone, false
	switch {
	case !request.active:
	case request.answered && paused:
		s.endRun(request, admission.Stopped, 0, nil) // no further end will be reported
	case request.answered:
	case paused:
		if request.callReply != nil { // first, as behind Resume it might be taken for the reply to its next call
			s.replyToCall(request, request.callReply)
		}
		request.startNonce = s.link.NextPollNonce()
		request.startUnknown = !s.link.Resume(request.id) // the link was lost again
	case request.blockedAtCall: // it has resumed, and waits for its next call
	case request.callReply != nil:
		s.counters.Count("run not known to have resumed from its call, reply sent again")
		s.replyToCall(request, request.callReply)
		s.link.Resume(request.id)
	default:
		s.counters.Count("run not known to have begun, sent again")
		s.recordRun(events.RunRetried, "not known to have begun when the link was lost", request)
		request.sent = false
		s.startRun(request)
		s.link.Resume(request.id) // ignored by one that runs; one whose Resume was lost before goes on
		request.sent, request.startUnknown = true, !request.sent
	}
}
