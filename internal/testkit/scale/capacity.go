package scale

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"strings"
)

// Kind is how a figure of the capacity page was obtained.
type Kind string

// The kinds of figures.
const (
	Measured  Kind = "measured"
	WorkedOut Kind = "worked out"
	Assumed   Kind = "assumed"
)

// CapacityRow is one figure of the capacity page.
type CapacityRow struct {
	Role       string
	Name       string
	Value      float64
	Unit       string
	Budget     float64 // 0 for none
	Kind       Kind
	Derivation string // the calculation, or what was measured
}

// OverBudget reports whether the figure is over its budget.
func (r CapacityRow) OverBudget() bool { return r.Budget > 0 && r.Value > r.Budget }

const (
	secondsADay = 86400
	zoneLost    = PlannedServers - ZoneServers
	regionLost  = PlannedServers / 2
	// checkFrameBytes are those of a health check and its answer with a level, without the headers below.
	checkFrameBytes = 10 + 22
	packetHeaders   = 40  // of TCP and IP, without options
	checksNear      = 500 // a second, the measured rate next to that of the plan

	measuredRequests = 260 // a second, the largest rate
)

var errNotMeasured = errors.New("not measured")

// capacityPage computes the figures. The first missing value is the error of all.
type capacityPage struct {
	points Points
	rows   []CapacityRow
	err    error
}

// at is what was measured at x.
func (p *capacityPage) at(series string, x float64) float64 {
	value, measured := p.points.MeanAt(series, x)
	if !measured && p.err == nil {
		p.err = fmt.Errorf("%q at %g: %w", series, x, errNotMeasured)
	}
	return value
}

// line is the line through a series that grows as one.
func (p *capacityPage) line(series string) Line {
	line := p.points.Fit(series)
	if line.N == 0 && p.err == nil {
		p.err = fmt.Errorf("%q: %w", series, errNotMeasured)
	}
	return line
}

func (p *capacityPage) add(row CapacityRow) float64 {
	p.rows = append(p.rows, row)
	return row.Value
}

// measured adds a figure with its measured value.
func (p *capacityPage) measured(role, name, series string, x float64, unit string, budget float64) float64 {
	return p.add(CapacityRow{role, name, p.at(series, x), unit, budget, Measured, fmt.Sprintf("%s, at %s", series, number(x))})
}

// Capacity computes the figures of the planned size from measured points.
func Capacity(points Points) ([]CapacityRow, error) {
	p := &capacityPage{points: points}
	p.appServer()
	p.membership()
	p.exchange()
	p.voters()
	p.control()
	return p.rows, p.err
}

func (p *capacityPage) appServer() {
	const role = "app server"
	memory := p.measured(role, "memory, whole tables, after reloads", seriesAfterReloads+bySize, 100, "MB", 0)
	p.measured(role, "memory, whole tables, at the start", seriesResident+bySize, 100, "MB", 0)
	idle := p.measured(role, "idle core, whole tables", seriesIdle+bySize, 100, "%", 0)
	p.measured(role, "start", seriesStart+bySize, 100, "ms", 0)
	p.measured(role, "SIGHUP that changes nothing", seriesReloadSame+bySize, 100, "ms of cpu", 0)
	p.measured(role, "SIGHUP that changes one setting", seriesReloadMoved+bySize, 100, "ms of cpu", 0)
	p.measured(role, "health check p99, quiet", seriesCheckQuiet, 100, "ms", 0)
	p.measured(role, "health check p99, within 1.5 s of a reload", seriesCheckReload, 100, "ms", 0)
	connections := p.at(seriesConnectionsMB, PlannedCallers) - p.at(seriesConnectionsMB, 0)
	p.add(CapacityRow{role, "memory of 7,600 connections", connections, "MB", 0, Measured, seriesConnectionsMB})

	checks := PlannedCallers / AssumedCheckPeriod.Seconds()
	p.add(CapacityRow{role, "period of a caller's checks", AssumedCheckPeriod.Seconds(), "s", 0, Assumed, "stated nowhere"})
	series := fmt.Sprintf(seriesChecks, PlannedRoutes)
	checkCore := p.add(CapacityRow{
		role, "core of checks", (p.at(series, checksNear) - p.at(series, 0)) * checks / checksNear, "%", 0, WorkedOut,
		fmt.Sprintf("%.0f a second, by what %d a second took over none", checks, checksNear),
	})
	checkBytes := p.add(CapacityRow{
		role, "bytes of checks, without headers", checks * checkFrameBytes, "B/s", 0, WorkedOut,
		fmt.Sprintf("%.0f a second x %d", checks, checkFrameBytes),
	})
	p.add(CapacityRow{
		role, "bytes of checks, with those of two packets' headers", checks * (checkFrameBytes + 2*packetHeaders), "B/s", BudgetBytes, WorkedOut,
		fmt.Sprintf("%.0f a second x (%d + 2 x %d)", checks, checkFrameBytes, packetHeaders),
	})
	watchCore := p.measured(role, "core of the watch, 190 times the stated rate", seriesWatchCore, 2, "%", 0)
	watchBytes := p.measured(role, "bytes of the watch, 190 times the stated rate", seriesWatchBytes, 2, "B/s", 0)
	member := p.at(seriesMemberBytes, PlannedServers)
	restart := p.at(seriesNewcomerBytes, PlannedServers) * PlannedRestarts / secondsADay / PlannedServers
	p.add(CapacityRow{role, "**control: core**", idle + checkCore + watchCore, "%", 100 * BudgetCore, WorkedOut, "idle + checks + watch"})
	p.add(CapacityRow{role, "**control: memory**", memory + connections, "MB", BudgetMemoryMB, WorkedOut, "tables after reloads + connections"})
	p.add(CapacityRow{
		role, "**control: bytes**", member + restart + watchBytes + checkBytes, "B/s", BudgetBytes, WorkedOut,
		"membership + restarts + watch + checks",
	})
	file := p.at(seriesFile+bySize, 100) * 1e6
	p.add(CapacityRow{
		role, "if whole files were sent instead of changes", file * PlannedChanges / secondsADay, "B/s", BudgetBytes, WorkedOut,
		fmt.Sprintf("%s bytes x %d a day", number(file), PlannedChanges),
	})
	p.requests()
}

// requests are the load of the day, of a lost zone, and of a lost region.
func (p *capacityPage) requests() {
	const role = "app server"
	series := fmt.Sprintf(seriesRequests, PlannedRoutes)
	line := p.line(series)
	for _, c := range []struct {
		when    string
		servers int
	}{{"on 500 servers", PlannedServers}, {"with a zone lost", zoneLost}, {"with a region lost", regionLost}} {
		rate := float64(PlannedRequests) / float64(c.servers)
		if rate > measuredRequests && !line.Straight {
			continue // nothing is worked out past the points of what is no line
		}
		p.add(CapacityRow{
			role, "requests' core " + c.when, line.At(rate), "%", 0, WorkedOut,
			fmt.Sprintf("%.0f a second, line%s", rate, nonlinearity(line)),
		})
	}
	p.measured(role, "added to a request, p50, at 220 a second", seriesAddedP50, 220, "ms", 0)
	p.measured(role, "added to a request, p99, at 220 a second", seriesAddedP99, 220, "ms", BudgetLatencyMS)
	p.measured(role, "added to a request, p99, at 260 a second", seriesAddedP99, 260, "ms", BudgetLatencyMS)
}

// nonlinearity describes a cost that is not linear.
func nonlinearity(line Line) string {
	if line.Straight {
		return ""
	}
	return fmt.Sprintf(" (no line: worst residual %s)", number(line.Worst))
}

func (p *capacityPage) membership() {
	const role = "membership"
	messages := p.measured(role, "datagrams of a server", seriesMemberMessages, PlannedServers, "a second", 0)
	bytes := p.measured(role, "bytes of a server", seriesMemberBytes, PlannedServers, "B/s", BudgetBytes)
	p.add(CapacityRow{role, "datagrams at the service", messages * PlannedServers, "a second", 0, WorkedOut, "500 servers"})
	p.add(CapacityRow{role, "bytes at the service", bytes * PlannedServers, "B/s", 0, WorkedOut, "500 servers"})
}

func (p *capacityPage) exchange() {
	const role = "peer exchange"
	restart := p.measured(role, "bytes of one restart, whole fleet", seriesNewcomerBytes, PlannedServers, "B", 0)
	p.add(CapacityRow{
		role, "bytes of the day's restarts", restart * PlannedRestarts / secondsADay / PlannedServers, "B/s a server", BudgetBytes, WorkedOut,
		fmt.Sprintf("%d a day over %d servers", PlannedRestarts, PlannedServers),
	})
	p.measured(role, "a zone back: until all have a view", seriesZoneSeconds, ZoneServers, "s", 0)
	p.measured(role, "a zone back: bytes", seriesZoneBytes, ZoneServers, "B a server", 0)
}

func (p *capacityPage) voters() {
	const role = "lease voters"
	p.measured(role, "talks of one of 5, 1 duty", seriesVoterTalks, fewVoters, "a second", 0)
	p.measured(role, "core of one of 5, 64 duties", seriesDutyCore, 64, "%", 0)
	p.measured(role, "bytes of one of 5, 64 duties", seriesDutyBytes, 64, "B/s", 0)
	p.measured(role, "duties held after 20 s, of 64", seriesDutiesHeld, 64, "", 0)
	if line := p.line(seriesVoterBytes); line.Straight {
		p.add(CapacityRow{
			role, "bytes of a voter if all 500 voted, 1 duty", line.At(PlannedServers), "B/s", BudgetBytes, WorkedOut,
			fmt.Sprintf("line, %s B/s for each voter", number(line.Slope)),
		})
	}
	p.measured(role, "regions cut 30 s: most holders at once", seriesCutHolders, 30, "", 1)
	p.measured(role, "regions cut 30 s: longest without a holder", seriesCutSeconds, 30, "s", 0)
	p.measured(role, "regions cut 30 s: held after the heal", seriesHealSeconds, 30, "s", 0)
}

func (p *capacityPage) control() {
	const role = "control machines"
	p.measured(role, "core of the busiest, 98 watchers, 190 times the stated rate", seriesControlCore, 2, "%", 0)
	p.measured(role, "memory of the largest", seriesControlMB, 2, "MB", 0)
	p.measured(role, "a change proposed to in force everywhere, p99", seriesLagP99, 2, "s", 0)
	p.measured(role, "a change proposed to in force everywhere, worst", seriesLagWorst, 2, "s", aimInForce.Seconds())
	p.measured(role, "the same, leader killed, worst", seriesLeaderWorst, 4, "s", 0)
	whole := p.measured(role, "whole document", seriesSnapshotBytes, 100, "B", 0)
	p.add(CapacityRow{
		role, "500 servers with nothing at once", whole * PlannedServers / ControlMachines, "B each", 0, WorkedOut, "a whole document for each of 100",
	})
	p.measured(role, "a zone's 72 with nothing at once: newest in force", seriesZoneWorst, ZoneServers, "s", aimInForce.Seconds())
	p.measured(role, "regions cut 20 s: newest everywhere after the heal", seriesHealWorst, hollowWatchers, "s", aimInForce.Seconds())
}

// RenderCapacity returns the generated part of the capacity page: what is over budget, and the table of all figures.
func RenderCapacity(rows []CapacityRow) string {
	var out strings.Builder
	over := 0
	for _, row := range rows {
		if row.OverBudget() {
			over++
			fmt.Fprintf(&out, "- **Over budget**: %s, %s: %s %s of %s.\n", row.Role, strings.Trim(row.Name, "*"), formatRounded(row.Value), row.Unit, formatRounded(row.Budget))
		}
	}
	if over == 0 {
		out.WriteString("- Nothing that is measured or worked out here is over its budget.\n")
	}
	out.WriteString("\n| role | what | value | budget | used | how | |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		budget, used := "", ""
		if row.Budget > 0 {
			budget, used = formatRounded(row.Budget), fmt.Sprintf("%.0f%%", 100*row.Value/row.Budget)
		}
		fmt.Fprintf(&out, "| %s | %s | %s %s | %s | %s | %s | %s |\n", row.Role, row.Name, formatRounded(row.Value), row.Unit, budget, used, row.Kind, row.Derivation)
	}
	return out.String()
}

// comparedSeries are the series whose cost was fixed, at the planned size.
var comparedSeries = []struct {
	name, series string
	x            float64
	unit         string
}{
	{"idle core, whole tables", seriesIdle + bySize, 100, "%"},
	{"SIGHUP that changes nothing", seriesReloadSame + bySize, 100, "ms of cpu"},
	{"SIGHUP that changes one setting", seriesReloadMoved + bySize, 100, "ms of cpu"},
	{"health check p99 within 1.5 s of a reload", seriesCheckReload, 100, "ms"},
	{"memory after reloads, whole tables", seriesAfterReloads + bySize, 100, "MB"},
	{"exchange bytes of a quiet fleet of 500", seriesQuietBytes, PlannedServers, "B/s a server"},
	{"control core of a quiet fleet of 500", seriesQuietCore, PlannedServers, "% a server"},
}

// RenderComparison returns the table of the costs before and after their fixes.
func RenderComparison(before, after Points) string {
	var out strings.Builder
	out.WriteString("| what | before | after | |\n| --- | --- | --- | --- |\n")
	for _, c := range comparedSeries {
		was, knownWas := before.MeanAt(c.series, c.x)
		is, knownIs := after.MeanAt(c.series, c.x)
		if !knownWas || !knownIs {
			fmt.Fprintf(&out, "| %s | not measured | | |\n", c.name)
			continue
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s |\n", c.name, formatRounded(was), formatRounded(is), c.unit)
	}
	return out.String()
}

// formatRounded formats a value with three significant figures.
func formatRounded(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// ReadBaseline reads the points that were measured before the fixes.
func ReadBaseline(folder string) (Points, error) {
	all := Points{}
	for _, part := range []string{"slopes", "fleets"} {
		points, _, err := ReadPoints(filepath.Join(folder, "before", part+".csv"))
		if err != nil {
			return nil, err
		}
		all.Merge(points)
	}
	return all, nil
}

// ReadParts reads the points of all parts in a folder, and the origin of each.
func ReadParts(folder string) (Points, map[string]string, error) {
	all, origins := Points{}, map[string]string{}
	for _, part := range []string{"slopes", "fleets", "configuration"} {
		points, origin, err := ReadPoints(filepath.Join(folder, part+".csv"))
		if err != nil {
			return nil, nil, err
		}
		all.Merge(points)
		origins[part] = origin
	}
	return all, origins, nil
}
