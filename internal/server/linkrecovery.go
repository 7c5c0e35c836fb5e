package server

import (
	"cmp"
	"math"
	"slices"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
)

// When the worker link is lost, the workers may or may not have read the last commands on it. The next link first
// reports all notices left from the lost one. After that, a run without a notice either still runs, or its start
// command was never read. A run that must not run twice is first paused, and started again once the workers have read
// the pause, so that it can't end while it is started again.

// linkRecovery is the state of the recovery after a lost link.
type linkRecovery struct {
	paused     []*Request // runs to resume or restart once the poll after their pauses is answered
	pauseNonce uint64     // of that poll
}

// pauseState states how far the recovery has paused a run that is not known to have begun.
type pauseState int

const (
	pauseNone      pauseState = iota
	pauseRequested            // the pause command was sent
	pauseConfirmed            // the workers reported the pause, so the run had begun
)

// handleLinkDown marks the runs whose last command (start, reply or resume) the workers may not have read: those for
// which it was sent after the last poll that was answered.
func (s *Server) handleLinkDown() {
	s.recovery.paused = s.recovery.paused[:0]
	for _, request := range s.requests.byID { // the order does not matter
		if s.hasWorkerRun(request) && request.startNonce > s.polls.answered {
			request.startUnknown = true
		}
	}
}

// handleLinkSynced recovers the runs after a lost link. All earlier notices have been read, so a run that has not ended
// either runs or never reached the workers.
//
//   - A run that was never sent is sent now, or ended if its request is answered.
//   - A run that may have been sent is sent again if a second run does no harm. The workers ignore the command while the
//     first runs.
//   - A run that must not run twice might end just while it is sent again. If the settings allow runs to be paused and
//     resumed, it is paused first, and resumePaused resumes or restarts it. Otherwise it is only marked as overdue.
//   - A reply to a call is sent again if it may not have reached the run.
//   - Any other run stays as it is, or is marked as overdue if it is not known to have begun.
//
// A run counts as in flight until its end is reported. The gauges may prove the end of an overdue one.
func (s *Server) handleLinkSynced() {
	resumable := s.settings.Admission.Preemption.Resumable()
	for _, request := range s.activeRuns() {
		s.recoverRun(request, resumable)
	}
	if len(s.recovery.paused) > 0 {
		s.recovery.pauseNonce, _ = s.link.Poll()
		if s.recovery.pauseNonce == 0 { // the link was lost again
			s.recovery.pauseNonce = math.MaxUint64
		}
	}
	for _, c := range s.health.checks { // a check that was lost with the link is sent again
		s.link.Verify(c.nonce)
	}
}

// activeRuns returns the workers' runs that have not ended, by arrival.
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

// recoverRun resends what the workers may not have received on the lost link. resumable states whether runs can be
// paused and resumed.
func (s *Server) recoverRun(request *Request, resumable bool) {
	reply := request.callReply
	retryable := request.Route.Idempotency == admission.Retryable
	switch {
	case request.awaitsLedger: // not sent yet: startRecorded will send it
	case reply != nil && !request.answered && (!reply.sent || request.startUnknown && !resumable):
		s.replyToCall(request, reply) // ignored by a run that has already resumed
	case !request.sent && request.answered:
		s.endRun(request, admission.Stopped, 0, nil)
	case !request.sent, request.startUnknown && !request.answered && reply == nil && retryable:
		request.sent, request.startUnknown = false, false
		s.recordRunEvent(events.RunRetried, "not known to have begun when the link was lost", request)
		s.startRun(request)
	case request.startUnknown && !request.answered && resumable:
		s.link.Pause(request.id)
		if request.pauseState == pauseNone {
			request.pauseState = pauseRequested
		}
		s.recovery.paused = append(s.recovery.paused, request)
	case request.startUnknown && !request.overdue:
		s.markOverdue(request, "not known to have begun when the link was lost")
	}
}

// resumePaused resumes or restarts the paused runs once the workers have read the pauses, as the answer to the poll
// after them shows. By then each run has ended, which was reported before, or is paused, or never began.
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

// resumeOrRestart resumes a run that was paused, or starts one that never began. No command follows Resume, as the run
// may end from then on.
func (s *Server) resumeOrRestart(request *Request) {
	paused := request.pauseState == pauseConfirmed
	request.pauseState, request.startUnknown = pauseNone, false
	switch {
	case !request.active:
	case request.answered && paused:
		s.endRun(request, admission.Stopped, 0, nil) // no other end will be reported
	case request.answered:
	case paused:
		if request.callReply != nil { // sent first: after Resume it might be taken for the reply to the next call
			s.replyToCall(request, request.callReply)
		}
		request.startNonce = s.link.NextPollNonce()
		request.startUnknown = !s.link.Resume(request.id) // true if the link was lost again
	case request.blockedAtCall: // it has resumed, and waits for its next call
	case request.callReply != nil:
		s.counters.Count("run not known to have resumed from its call, reply sent again")
		s.replyToCall(request, request.callReply)
		s.link.Resume(request.id)
	default:
		s.counters.Count("run not known to have begun, sent again")
		s.recordRunEvent(events.RunRetried, "not known to have begun when the link was lost", request)
		request.sent = false
		s.startRun(request)
		s.link.Resume(request.id) // ignored by a run that is not paused; a run whose last Resume was lost continues
		request.sent, request.startUnknown = true, !request.sent
	}
}
