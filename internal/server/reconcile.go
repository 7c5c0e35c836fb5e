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
	tidyEvery = time.Second            // between looks for what is overdue
	heldAfter = 150 * time.Millisecond // from its reading on, the machine counts a request's memory; it does so after 100 ms
)

// tidy looks, once a second, for runs that are overdue and for entries of tables whose time is over.
func (s *Server) tidy(now time.Duration) {
	if now < s.tidied+tidyEvery {
		return
	}
	s.tidied = now
	s.expireKeys(now)
	s.expireRuns(now)
	s.doubtful = 0
	for _, request := range s.requests {
		// The time runs from the answer, as arrivals are stamped by a clock that may step.
		if s.holdsMachine(request) && request.answered && !request.doubtful && now > request.answeredAt+request.Route.Deadline {
			s.doubt(request, "its end was not reported by a deadline after its answer")
		}
		if request.active && request.doubtful {
			s.doubtful++
		}
	}
}

// holdsMachine is whether a task has a run of the worker pool that is not reported to have ended.
func (s *Server) holdsMachine(request *Request) bool {
	return request.active && request.sent && !request.composed
}

// doubt marks a run that may be over, or may never have begun. It holds its place all the same until that is proven: taken
// for ended, it would have its cores and memory given away a second time while the machine is slow or hung.
func (s *Server) doubt(request *Request, why string) {
	request.doubtful = true
	s.doubtful++
	s.recordRun(events.RunOverdue, why, request)
}

// reviewRuns takes off the books the runs of which the machine's readings prove that they are over. It is for the
// moment of the reading: all that the pool reported before is on the books by then.
func (s *Server) reviewRuns(polled *workerapi.Notice) {
	if s.doubtful == 0 || s.limits.HoldUntilRunEnds {
		return
	}
	readings, complete := s.readings(polled)
	if !complete {
		return
	}
	for _, id := range s.reviewer.Review(readings, s.books(polled.Nonce)) {
		request := s.requests[id]
		s.counts.Count("end of a run not reported, proven by the readings")
		s.recordRun(events.RunReleased, "the machine's readings leave no room for it", request)
		s.end(request, admission.Stopped, 0, nil) // not broken: it tells nothing of this server's health
	}
}

// readings are those of one answer of the pool; complete is false where it does not hold all that a proof needs.
func (s *Server) readings(polled *workerapi.Notice) (r reconcile.Readings, complete bool) {
	onCores, share, complete := s.settings.Occupied(polled.Readings)
	memoryKB, stated := s.settings.MemoryKB()
	if !complete || !stated {
		return r, false
	}
	r = reconcile.Readings{OnCores: onCores, MemoryKB: share * memoryKB}
	now := s.Now()
	for _, request := range s.requests {
		if !request.active && !request.answered && now > request.readAt+heldAfter {
			r.HeldKB += request.HeldKB
		}
	}
	return r, true
}

// books are the runs that the pool had been told of before a poll, the oldest first.
func (s *Server) books(poll uint64) (books []reconcile.Run) {
	factor := s.settings.Admission.RunningMemoryFactor
	var begun []*Request
	for _, request := range s.requests {
		if s.holdsMachine(request) && !request.awaitsLedger && request.spawnMark <= poll {
			begun = append(begun, request)
		}
	}
	slices.SortFunc(begun, func(a, b *Request) int { return cmp.Or(cmp.Compare(a.readAt, b.readAt), cmp.Compare(a.id, b.id)) })
	for _, request := range begun {
		books = append(books, reconcile.Run{
			ID: request.id, MemoryKB: request.HeldKB * factor, OnCores: !request.atCall && request.doubt != paused, Doubtful: request.doubtful,
		})
	}
	return books
}
