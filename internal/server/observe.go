package server

import (
	"log/slog"
	"time"

	"quartzpoint/internal/events"
)

const (
	occupancyPeriod = time.Second // length of a comparison period, for which at most one line is logged
	excessTolerance = 1.0         // runs by which the gauges may exceed the server's own count without being logged
)

// occupancyMonitor compares the workers' gauges with the server's own count of runs, for the log only.
type occupancyMonitor struct {
	since     time.Duration // start of the current comparison period
	minExcess float64       // smallest excess of the gauges over the count in this period, in runs
	samples   int
}

// monitorOccupancy compares the server's count of runs with the gauges. Once per occupancyPeriod, it logs both if runs
// may have ended without a report, or if the gauges exceeded the count by more than excessTolerance in every sample of
// the period. It also flushes the event log once per period.
func (s *Server) monitorOccupancy(now time.Duration) {
	o := &s.occupancyMonitor
	if s.round.Gauges != nil {
		// Runnable also includes reads of requests, of which there is at most one per core at a time.
		excess := s.polls.gauges.Runnable - float64(s.controller.Occupancy(now).OnCores) - s.settings.Admission.Cores
		if o.samples == 0 || excess < o.minExcess {
			o.minExcess = excess
		}
		o.samples++
	}
	if now < o.since+occupancyPeriod {
		return
	}
	s.events.Flush()
	switch {
	case s.overdue.count > 0:
		s.recordOccupancy(now, "runs may be over that were not reported to have ended")
	case o.samples > 0 && o.minExcess > excessTolerance:
		s.recordOccupancy(now, "readings over the books for a second")
	}
	s.occupancyMonitor = occupancyMonitor{since: now}
}

func (s *Server) recordOccupancy(now time.Duration, reason string) {
	occupancy := s.controller.Occupancy(now)
	memoryKB, configured := s.settings.MemoryKB()
	if !configured {
		memoryKB = 0
	}
	gauges := s.polls.gauges
	s.events.Record(events.Overcommitted, reason,
		slog.Int("doubtful", s.overdue.count), slog.Int("on_cores", occupancy.OnCores), slog.Int("in_flight", occupancy.InFlight),
		slog.Int("answered", occupancy.Answered), slog.Int("held", occupancy.Queued), slog.Float64("limit", occupancy.Limit),
		slog.Float64("max_crowd", occupancy.MaxConcurrency), slog.Float64("used_kb", occupancy.UsedKB),
		slog.Float64("max_kb", occupancy.MaxKB), slog.Float64("read_crowd", gauges.Runnable),
		slog.Float64("read_cpu", gauges.CPU), slog.Float64("read_kb", gauges.Memory*memoryKB))
}
