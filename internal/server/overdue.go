package server

import (
	"cmp"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/events"
	"quartzpoint/internal/workerapi"
	"quartzpoint/reconcile"
)

const (
	sweepPeriod     = time.Second            // between looks for what is overdue
	heldMemoryDelay = 150 * time.Millisecond // from reading a request until its memory shows in the gauges
)

// overdueRuns are the workers' runs that may have ended without a report.
type overdueRuns struct {
	count    int // as of the last sweep, and marked since
	sweptAt  time.Duration
	reviewer reconcile.Reviewer
}

// sweep looks, once a second, for overdue runs and for expired entries of tables.
func (s *Server) sweep(now time.Duration) {
	if now < s.overdue.sweptAt+sweepPeriod {
		return
	}
	s.overdue.sweptAt = now
	s.expireKeys(now)
	s.executed.expire(now)
	s.overdue.count = 0
	for _, request := range s.requests.byID {
		// The time runs from the answer, as arrivals are stamped by a clock that may step.
		if s.holdsWorker(request) && request.answered && !request.overdue && now > request.answeredAt+request.Route.Deadline {
			s.markOverdue(request, "its end was not reported by a deadline after its answer")
		}
		if request.active && request.overdue {
			s.overdue.count++
		}
	}
}

// holdsWorker is whether a request has a run of the workers whose end was not reported.
func (s *Server) holdsWorker(request *Request) bool {
	return request.active && request.sent && !request.composite
}

// markOverdue marks a run that may have ended, or may never have begun. It holds its place until that is proven: counted as
// ended, it would have its cores and memory used a second time while the machine is slow or hung.
func (s *Server) markOverdue(request *Request, reason string) {
	request.overdue = true
	s.overdue.count++
	s.recordRun(events.RunOverdue, reason, request)
}

// releaseProvenEnds ends the overdue runs of which the gauges prove that they are over. It is for the moment in which the
// gauges came: all that the workers reported before has been handled.
func (s *Server) releaseProvenEnds(polled *workerapi.Notice) {
	if s.overdue.count == 0 || s.limits.HoldUntilRunEnds {
		return
	}
	readings, complete := s.readings(polled)
	if !complete {
		return
	}
	for _, id := range s.overdue.reviewer.Review(readings, s.runsBefore(polled.Nonce)) {
		request := s.requests.byID[id]
		s.counters.Count("end of a run not reported, proven by the readings")
		s.recordRun(events.RunReleased, "the machine's readings leave no room for it", request)
		s.endRun(request, admission.Stopped, 0, nil) // not Failed: it says nothing of this server's health
	}
}

// readings are the gauges of one answer; complete is false where it does not hold all that a proof needs.
func (s *Server) readings(polled *workerapi.Notice) (r reconcile.Readings, complete bool) {
	runnable, memoryShare, complete := s.settings.Occupied(polled.Readings)
	memoryKB, stated := s.settings.MemoryKB()
	if !complete || !stated {
		return r, false
	}
	r = reconcile.Readings{Runnable: runnable, MemoryKB: memoryShare * memoryKB}
	now := s.Now()
	for _, request := range s.requests.byID {
		if !request.active && !request.answered && now > request.readAt+heldMemoryDelay {
			r.WaitingKB += request.HeldKB
		}
	}
	return r, true
}

// runsBefore are the runs that the workers had been told of before a poll, the oldest first.
func (s *Server) runsBefore(poll uint64) (runs []reconcile.Run) {
	factor := s.settings.Admission.RunningMemoryFactor
	var begun []*Request
	for _, request := range s.requests.byID {
		if s.holdsWorker(request) && !request.awaitsLedger && request.startNonce <= poll {
			begun = append(begun, request)
		}
	}
	slices.SortFunc(begun, func(a, b *Request) int { return cmp.Or(cmp.Compare(a.readAt, b.readAt), cmp.Compare(a.id, b.id)) })
	for _, request := range begun {
		runs = append(runs, reconcile.Run{
			ID: request.id, MemoryKB: request.HeldKB * factor, MayHaveEnded: request.overdue,
			Runnable: !request.blockedAtCall && request.pauseState != pauseConfirmed,
		})
	}
	return runs
}
