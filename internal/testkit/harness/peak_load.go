package harness

import (
	"time"

	"quartzpoint/emulator"
)

// LoadLimit is the number of runs that a worker pool survives. A pool that gets more runs, or runs that need more than
// its memory, fails (rule 4 of package rulecheck).
type LoadLimit struct {
	RunsPerCore float64       // mean number of runs on the cores over Window, for a warm pool; a cold pool survives fewer
	Window      time.Duration // period of the mean
}

const (
	defaultRunsPerCore = 6.0
	defaultLoadWindow  = time.Second
)

// PeakLoad is the highest load of a worker pool, as fractions of what it survives; above 1 the pool has failed.
type PeakLoad struct {
	Runs     float64       // mean number of runs on the cores over the window
	Memory   float64       // memory held by runs
	RunsAt   time.Duration // when Runs was reached, since the pool's start
	MemoryAt time.Duration // when Memory was reached, since the pool's start
}

// loadTracker measures the highest load of a pool. The number of runs is constant between two calls of advance.
type loadTracker struct {
	limit  LoadLimit
	peak   PeakLoad
	area   float64     // integral of the number of runs over time since the start, in run seconds
	points []loadPoint // those within the window, and the last one before it
}

type loadPoint struct {
	at   time.Duration
	area float64
}

func newLoadTracker(limit LoadLimit) *loadTracker {
	if limit.RunsPerCore == 0 {
		limit.RunsPerCore = defaultRunsPerCore
	}
	if limit.Window == 0 {
		limit.Window = defaultLoadWindow
	}
	return &loadTracker{limit: limit, points: []loadPoint{{}}}
}

// advance records that runs was the number of runs on the cores from the last call until now. Times are since the
// pool's start.
func (g *loadTracker) advance(now time.Duration, runs int, m Machine) {
	last := g.points[len(g.points)-1]
	if now <= last.at {
		return
	}
	g.area += float64(runs) * (now - last.at).Seconds()
	g.points = append(g.points, loadPoint{now, g.area})
	from := now - g.limit.Window
	for len(g.points) > 2 && g.points[1].at <= from {
		g.points = g.points[1:]
	}
	mean := (g.area - g.areaAt(from)) / g.limit.Window.Seconds()
	if load := mean / g.survivableRuns(now, m); load > g.peak.Runs {
		g.peak.Runs, g.peak.RunsAt = load, now
	}
}

// areaAt returns the area at a time, interpolated between the first two points.
func (g *loadTracker) areaAt(at time.Duration) float64 {
	if at <= 0 {
		return 0
	}
	first, second := g.points[0], g.points[1]
	if at <= first.at {
		return first.area
	}
	part := float64(at-first.at) / float64(second.at-first.at)
	return first.area + min(part, 1)*(second.area-first.area)
}

// survivableRuns returns the number of runs on the cores that a pool survives now. A pool that is warming up survives
// fewer; a machine that is slow for another reason survives as many as a fast one.
func (g *loadTracker) survivableRuns(now time.Duration, m Machine) float64 {
	warm := m
	warm.Speed = 1
	return (1 + (g.limit.RunsPerCore-1)*warm.SpeedAt(now)) * m.Cores
}

// recordMemory records the number of runs that hold memory.
func (g *loadTracker) recordMemory(now time.Duration, runs int, m Machine) {
	if load := emulator.RunKB * float64(runs) / m.MemoryKB; load > g.peak.Memory {
		g.peak.Memory, g.peak.MemoryAt = load, now
	}
}
