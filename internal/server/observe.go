package server

import (
	"log/slog"
	"time"

	"quartzpoint/internal/events"
)

const (
	observeEvery    = time.Second // between lines on the books beside the readings, while there is something to tell
	excessTolerance = 1.0         // runs by which the readings may be over the books for a moment
)

// observer compares the machine's readings with the books of the decisions, for the log only.
type observer struct {
	from   time.Duration // of the span that is compared now
	excess float64       // the least by which the readings were over the books in it, in runs
	looks  int
}

// observe tells, once a second at the most, how the books stand beside the readings: while runs may be over that were not
// reported to have ended, and where the readings were over the books in every look of that second.
func (s *Server) observe(now time.Duration) {
	if s.round.Gauges != nil {
		// One request a core is read at a time, and takes part of it.
		excess := s.gauges.Runnable - float64(s.controller.Occupancy(now).OnCores) - s.cores()
		if s.observer.looks == 0 || excess < s.observer.excess {
			s.observer.excess = excess
		}
		s.observer.looks++
	}
	if now < s.observer.from+observeEvery {
		return
	}
	s.events.Flush()
	switch {
	case s.doubtful > 0:
		s.recordOccupancy(now, "runs may be over that were not reported to have ended")
	case s.observer.looks > 0 && s.observer.excess > excessTolerance:
		s.recordOccupancy(now, "readings over the books for a second")
	}
	s.observer = observer{from: now}
}

func (s *Server) cores() float64 {
	return s.settings.Admission.Cores
}

func (s *Server) recordOccupancy(now time.Duration, reason string) {
	books := s.controller.Occupancy(now)
	memoryKB, stated := s.settings.MemoryKB()
	if !stated {
		memoryKB = 0
	}
	s.events.Record(events.Overcommitted, reason,
		slog.Int("doubtful", s.doubtful), slog.Int("on_cores", books.OnCores), slog.Int("in_flight", books.InFlight),
		slog.Int("answered", books.Answered), slog.Int("held", books.Held), slog.Float64("limit", books.Limit),
		slog.Float64("max_crowd", books.MaxConcurrency), slog.Float64("used_kb", books.UsedKB), slog.Float64("max_kb", books.MaxKB),
		slog.Float64("read_crowd", s.gauges.Runnable), slog.Float64("read_cpu", s.gauges.CPU),
		slog.Float64("read_kb", s.gauges.Memory*memoryKB))
}

// recordAnswer records that a request was answered without a result, and why.
func (s *Server) recordAnswer(kind events.Kind, request *Request) {
	s.events.Record(kind, request.Reason().String(), slog.String("request", request.id), slog.String("class", request.route),
		slog.Duration("age", s.round.Now-request.Arrived))
}

// recordRun records what became of a run.
func (s *Server) recordRun(kind events.Kind, reason string, request *Request) {
	s.events.Record(kind, reason, slog.String("request", request.id), slog.String("class", request.route),
		slog.Duration("age", s.Now()-request.Arrived), slog.Bool("answered", request.answered), slog.Bool("known_to_have_begun", !request.startUnknown))
}
