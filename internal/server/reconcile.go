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
	s.forgetNumbers(now)
	s.forgetSpent(now)
	s.doubtful = 0
	for _, t := range s.tasks {
		// The time runs from the answer, as arrivals are stamped by a clock that may step.
		if s.holdsMachine(t) && t.answered && !t.doubtful && now > t.answeredAt+t.Type.OuterLimit {
			s.doubt(t, "its end was not reported by a deadline after its answer")
		}
		if t.active && t.doubtful {
			s.doubtful++
		}
	}
}

// holdsMachine is whether a task has a run of the worker pool that is not reported to have ended.
func (s *Server) holdsMachine(t *Task) bool { return t.active && t.sent && !t.composed }

// doubt marks a run that may be over, or may never have begun. It holds its place all the same until that is proven: taken
// for ended, it would have its cores and memory given away a second time while the machine is slow or hung.
func (s *Server) doubt(t *Task, why string) {
	t.doubtful = true
	s.doubtful++
	s.recordRun(events.RunOverdue, why, t)
}

// reviewRuns takes off the books the runs of which the machine's readings prove that they are over. It is for the
// moment of the reading: all that the pool reported before is on the books by then.
func (s *Server) reviewRuns(polled *workerapi.Notice) {
	if s.doubtful == 0 || s.limits.RunsStay {
		return
	}
	readings, complete := s.readings(polled)
	if !complete {
		return
	}
	for _, id := range s.reviewer.Review(readings, s.books(polled.Nonce)) {
		t := s.tasks[id]
		s.counts.Saw("end of a run not reported, proven by the readings")
		s.recordRun(events.RunReleased, "the machine's readings leave no room for it", t)
		s.end(t, admission.Stopped, 0, nil) // not broken: it tells nothing of this server's health
	}
}

// readings are those of one answer of the pool; complete is false where it does not hold all that a proof needs.
func (s *Server) readings(polled *workerapi.Notice) (r reconcile.Readings, complete bool) {
	onCores, share, complete := s.settings.Occupied(polled.Readings)
	memoryKB, stated := s.settings.Values["memory-kb"].(float64)
	if !complete || !stated {
		return r, false
	}
	r = reconcile.Readings{OnCores: onCores, MemoryKB: share * memoryKB}
	now := s.Now()
	for _, t := range s.tasks {
		if !t.active && !t.answered && now > t.readAt+heldAfter {
			r.HeldKB += t.HeldKB
		}
	}
	return r, true
}

// books are the runs that the pool had been told of before a poll, the oldest first.
func (s *Server) books(poll uint64) (books []reconcile.Run) {
	factor, stated := s.settings.Values["running-factor"].(float64)
	if !stated {
		factor = 1
	}
	var begun []*Task
	for _, t := range s.tasks {
		if s.holdsMachine(t) && !t.waits && t.mark <= poll {
			begun = append(begun, t)
		}
	}
	slices.SortFunc(begun, func(a, b *Task) int { return cmp.Or(cmp.Compare(a.readAt, b.readAt), cmp.Compare(a.id, b.id)) })
	for _, t := range begun {
		books = append(books, reconcile.Run{
			ID: t.id, MemoryKB: t.HeldKB * factor, OnCores: !t.atCall && t.doubt != paused, Doubtful: t.doubtful,
		})
	}
	return books
}
