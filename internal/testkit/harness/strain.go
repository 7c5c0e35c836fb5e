package harness

import (
	"time"

	"quartzpoint/emulator"
)

// Endurance is the load that a worker pool survives. Past either limit it falls over: rule 4 of the protocol page.
type Endurance struct {
	RunsPerCore float64       // on the cores in the mean of Over, for a warm pool; a cold one survives fewer
	Window      time.Duration // span of that mean
}

const (
	defaultRunsPerCore = 6.0
	defaultLoadWindow  = time.Second
)

// Strain is the highest load of a worker pool, as shares of what it survives: over 1 it has fallen over.
type Strain struct {
	Runs     float64       // runs on the cores, in the mean of the window
	Memory   float64       // held by runs
	RunsAt   time.Duration // when Runs was reached, since the pool's start
	MemoryAt time.Duration // when Memory was reached
}

// loadTracker measures the strain of a pool. The number of runs is constant between two calls of advance.
type loadTracker struct {
	limit  Endurance
	peak   Strain
	area   float64     // runs times seconds since the start
	points []loadPoint // within the window, and the last before it
}

type loadPoint struct {
	at   time.Duration
	area float64
}

func newLoadTracker(limit Endurance) *loadTracker {
	if limit.RunsPerCore == 0 {
		limit.RunsPerCore = defaultRunsPerCore
	}
	if limit.Window == 0 {
		limit.Window = defaultLoadWindow
	}
	return &loadTracker{limit: limit, points: []loadPoint{{}}}
}

// advance records that so many runs were on the cores from the last call until now. Times are since the pool's start.
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

// areaAt returns the area at a moment, interpolated between the first two points.
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

// survivableRuns returns the number of runs on the cores that a pool survives now. A pool that warms up survives fewer; a
// machine that is slow for another reason survives as many.
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
