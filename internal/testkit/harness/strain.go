package harness

import (
	"time"

	"quartzpoint/emulator"
)

// LoadLimit is the load that a worker pool survives. Past either limit it falls over: rule 4 of the protocol page.
type LoadLimit struct {
	RunsPerCore float64       // on the cores in the mean of Over, for a warm pool; a cold one survives fewer
	Window      time.Duration // span of that mean
}

const (
	defaultRunsPerCore     = 6.0
	defaultEnduranceWindow = time.Second
)

// PeakLoad is the highest load of a worker pool, as shares of what it survives: over 1 it has fallen over.
type PeakLoad struct {
	Runs     float64       // runs on the cores, in the mean of the window
	Memory   float64       // held by runs
	RunsAt   time.Duration // when Runs was reached, since the pool's start
	MemoryAt time.Duration // when Memory was reached
}

// strainGauge measures the strain of a pool. The number of runs is constant between two calls of advance.
type strainGauge struct {
	endurance LoadLimit
	max       PeakLoad
	area      float64      // runs times seconds since the start
	points    []strainArea // within the window, and the last before it
}

type strainArea struct {
	at   time.Duration
	area float64
}

func newStrainGauge(endurance LoadLimit) *strainGauge {
	if endurance.RunsPerCore == 0 {
		endurance.RunsPerCore = defaultRunsPerCore
	}
	if endurance.Window == 0 {
		endurance.Window = defaultEnduranceWindow
	}
	return &strainGauge{endurance: endurance, points: []strainArea{{}}}
}

// advance records that so many runs were on the cores from the last call until now. Times are since the pool's start.
func (g *strainGauge) advance(now time.Duration, runs int, m Machine) {
	last := g.points[len(g.points)-1]
	if now <= last.at {
		return
	}
	g.area += float64(runs) * (now - last.at).Seconds()
	g.points = append(g.points, strainArea{now, g.area})
	from := now - g.endurance.Window
	for len(g.points) > 2 && g.points[1].at <= from {
		g.points = g.points[1:]
	}
	mean := (g.area - g.areaAt(from)) / g.endurance.Window.Seconds()
	if strain := mean / g.survivableRuns(now, m); strain > g.max.Runs {
		g.max.Runs, g.max.RunsAt = strain, now
	}
}

// areaAt returns the area at a moment, interpolated between the first two points.
func (g *strainGauge) areaAt(at time.Duration) float64 {
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
func (g *strainGauge) survivableRuns(now time.Duration, m Machine) float64 {
	warm := m
	warm.Speed = 1
	return (1 + (g.endurance.RunsPerCore-1)*warm.SpeedAt(now)) * m.Cores
}

// recordMemory records the number of runs that hold memory.
func (g *strainGauge) recordMemory(now time.Duration, runs int, m Machine) {
	if share := emulator.RunKB * float64(runs) / m.MemoryKB; share > g.max.Memory {
		g.max.Memory, g.max.MemoryAt = share, now
	}
}
