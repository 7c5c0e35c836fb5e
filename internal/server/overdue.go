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
	maintenancePeriod = time.Second            // between two maintenance passes
	queuedMemoryDelay = 150 * time.Millisecond // from reading a request until its memory shows in the gauges
)

// overdueRuns tracks the workers' runs that may have ended without a report.
type overdueRuns struct {
	count        int // counted in the last pass, plus those marked since
	maintainedAt time.Duration
	reconciler   reconcile.Reconciler
}

// runMaintenance drops expired entries of the key table and of the executed requests, and marks and counts the overdue
// runs, once per maintenancePeriod.
func (s *Server) runMaintenance(now time.Duration) {
	if now < s.overdue.maintainedAt+maintenancePeriod {
		return
	}
	s.overdue.maintainedAt = now
	s.expireKeys(now)
	s.executed.expire(now)
	s.overdue.count = 0
	for _, request := range s.requests.byID {
		// The time is counted from the answer, because arrivals are stamped by a clock that may step.
		if s.hasWorkerRun(request) && request.answered && !request.overdue && now > request.answeredAt+request.Route.Deadline {
			s.markOverdue(request, "its end was not reported by a deadline after its answer")
		}
		if request.active && request.overdue {
			s.overdue.count++
		}
	}
}

// hasWorkerRun reports whether the workers have a run of a request whose end was not reported.
func (s *Server) hasWorkerRun(request *Request) bool {
	return request.active && request.sent && !request.composite
}

// markOverdue marks a run that may have ended, or may never have begun. It counts as in flight until its end is
// reported or proven: if it counted as ended, its cores and memory would be given to another run while the machine is
// slow or hung.
func (s *Server) markOverdue(request *Request, reason string) {
	request.overdue = true
	s.overdue.count++
	s.recordRunEvent(events.RunOverdue, reason, request)
}

// releaseProvenEnds ends the overdue runs that the gauges prove to have ended. It must be called when the gauges
// arrive, after all notices that the workers sent before them were handled.
func (s *Server) releaseProvenEnds(polled *workerapi.Notice) {
	if s.overdue.count == 0 || s.limits.RunsEndOnlyByReport {
		return
	}
	readings, complete := s.readings(polled)
	if !complete {
		return
	}
	for _, id := range s.overdue.reconciler.Reconcile(readings, s.runsBefore(polled.Nonce)) {
		request := s.requests.byID[id]
		s.counters.Count("end of a run not reported, proven by the readings")
		s.recordRunEvent(events.RunReleased, "the machine's readings leave no room for it", request)
		s.endRun(request, admission.Stopped, 0, nil) // not Failed, as it says nothing of this server's health
	}
}

// readings returns the load readings of the gauges; complete is false if they lack a value that a proof needs.
func (s *Server) readings(polled *workerapi.Notice) (r reconcile.Readings, complete bool) {
	runnable, memoryShare, complete := s.settings.Occupancy(polled.Readings)
	memoryKB, configured := s.settings.MemoryKB()
	if !complete || !configured {
		return r, false
	}
	r = reconcile.Readings{Runnable: runnable, MemoryKB: memoryShare * memoryKB}
	now := s.Now()
	for _, request := range s.requests.byID {
		if !request.active && !request.answered && now > request.readAt+queuedMemoryDelay {
			r.QueuedKB += request.QueuedKB
		}
	}
	return r, true
}

// runsBefore returns the runs whose last command (start, reply or resume) was sent before a poll, oldest first.
func (s *Server) runsBefore(poll uint64) (runs []reconcile.Run) {
	factor := s.settings.Admission.RunningMemoryFactor
	var begun []*Request
	for _, request := range s.requests.byID {
		if s.hasWorkerRun(request) && !request.awaitsLedger && request.startNonce <= poll {
			begun = append(begun, request)
		}
	}
	slices.SortFunc(begun, func(a, b *Request) int { return cmp.Or(cmp.Compare(a.readAt, b.readAt), cmp.Compare(a.id, b.id)) })
	for _, request := range begun {
		runs = append(runs, reconcile.Run{
			ID: request.id, MemoryKB: request.QueuedKB * factor, MayHaveEnded: request.overdue,
			Runnable: !request.blockedAtCall && request.pauseState != pauseConfirmed,
		})
	}
	return runs
}
