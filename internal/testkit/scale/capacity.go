package scale

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"strings"
)

// Kind states how a figure of the capacity page was obtained.
type Kind string

// The kinds of figures.
const (
	Measured Kind = "measured"
	Derived  Kind = "worked out"
	Assumed  Kind = "assumed"
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
	secondsADay          = 86400
	serversWithoutZone   = PlannedServers - ZoneServers
	serversWithoutRegion = PlannedServers / 2 // the lost region has half of the servers
	// checkFrameBytes is the size of a health check and of its answer with a shed level, without the packet headers.
	checkFrameBytes   = 10 + 22
	packetHeaderBytes = 40  // of TCP and IP, without options
	measuredCheckRate = 500 // a second; the measured rate nearest to the planned one

	maxRequestRate = 260 // a second; the highest measured rate
)

var errNotMeasured = errors.New("not measured")

// capacityPage computes the rows of the capacity page. err states the first value that is missing.
type capacityPage struct {
	points Points
	rows   []CapacityRow
	err    error
}

// at returns the mean of the values of a series at x. If there are none, it sets err and returns 0.
func (p *capacityPage) at(series string, x float64) float64 {
	value, measured := p.points.MeanAt(series, x)
	if !measured && p.err == nil {
		p.err = fmt.Errorf("%q at %g: %w", series, x, errNotMeasured)
	}
	return value
}

// line returns the line that is fitted to a series. If the series has no points, it sets err.
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

// measured adds a row with the measured value of a series at x, and returns the value.
func (p *capacityPage) measured(role, name, series string, x float64, unit string, budget float64) float64 {
	return p.add(CapacityRow{role, name, p.at(series, x), unit, budget, Measured, fmt.Sprintf("%s, at %s", series, formatNumber(x))})
}

// Capacity computes the figures of the planned size from measured points. The error wraps errNotMeasured if a value is
// missing.
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
	p.measured(role, "SIGHUP that changes one setting", seriesReloadChanged+bySize, 100, "ms of cpu", 0)
	p.measured(role, "health check p99, quiet", seriesCheckQuiet, 100, "ms", 0)
	p.measured(role, "health check p99, within 1.5 s of a reload", seriesCheckReload, 100, "ms", 0)
	connections := p.at(seriesConnectionsMB, PlannedRouters) - p.at(seriesConnectionsMB, 0)
	p.add(CapacityRow{role, "memory of 7,600 connections", connections, "MB", 0, Measured, seriesConnectionsMB})

	checks := PlannedRouters / AssumedCheckPeriod.Seconds()
	p.add(CapacityRow{role, "period of a caller's checks", AssumedCheckPeriod.Seconds(), "s", 0, Assumed, "stated nowhere"})
	series := fmt.Sprintf(seriesChecks, PlannedRoutes)
	checkCore := p.add(CapacityRow{
		role, "core of checks", (p.at(series, measuredCheckRate) - p.at(series, 0)) * checks / measuredCheckRate, "%", 0, Derived,
		fmt.Sprintf("%.0f a second, by what %d a second took over none", checks, measuredCheckRate),
	})
	checkBytes := p.add(CapacityRow{
		role, "bytes of checks, without headers", checks * checkFrameBytes, "B/s", 0, Derived,
		fmt.Sprintf("%.0f a second x %d", checks, checkFrameBytes),
	})
	p.add(CapacityRow{
		role, "bytes of checks, with those of two packets' headers", checks * (checkFrameBytes + 2*packetHeaderBytes), "B/s", BudgetBytes, Derived,
		fmt.Sprintf("%.0f a second x (%d + 2 x %d)", checks, checkFrameBytes, packetHeaderBytes),
	})
	watchCore := p.measured(role, "core of the watch, 190 times the stated rate", seriesWatchCore, 2, "%", 0)
	watchBytes := p.measured(role, "bytes of the watch, 190 times the stated rate", seriesWatchBytes, 2, "B/s", 0)
	member := p.at(seriesMemberBytes, PlannedServers)
	restart := p.at(seriesSingleRestartBytes, PlannedServers) * PlannedRestartsPerDay / secondsADay / PlannedServers
	p.add(CapacityRow{role, "**control: core**", idle + checkCore + watchCore, "%", 100 * BudgetCore, Derived, "idle + checks + watch"})
	p.add(CapacityRow{role, "**control: memory**", memory + connections, "MB", BudgetMemoryMB, Derived, "tables after reloads + connections"})
	p.add(CapacityRow{
		role, "**control: bytes**", member + restart + watchBytes + checkBytes, "B/s", BudgetBytes, Derived,
		"membership + restarts + watch + checks",
	})
	file := p.at(seriesFile+bySize, 100) * 1e6
	p.add(CapacityRow{
		role, "if whole files were sent instead of changes", file * PlannedChangesPerDay / secondsADay, "B/s", BudgetBytes, Derived,
		fmt.Sprintf("%s bytes x %d a day", formatNumber(file), PlannedChangesPerDay),
	})
	p.requests()
}

// requests adds the cost of requests on all servers, with a zone lost and with a region lost, and the latency that is
// added to a request.
func (p *capacityPage) requests() {
	const role = "app server"
	series := fmt.Sprintf(seriesRequests, PlannedRoutes)
	line := p.line(series)
	for _, c := range []struct {
		when    string
		servers int
	}{{"on 500 servers", PlannedServers}, {"with a zone lost", serversWithoutZone}, {"with a region lost", serversWithoutRegion}} {
		rate := float64(PlannedRequestRate) / float64(c.servers)
		if rate > maxRequestRate && !line.Linear {
			continue // a cost that is not linear is not extrapolated beyond the measured rates
		}
		p.add(CapacityRow{
			role, "requests' core " + c.when, line.At(rate), "%", 0, Derived,
			fmt.Sprintf("%.0f a second, line%s", rate, nonlinearity(line)),
		})
	}
	p.measured(role, "added to a request, p50, at 220 a second", seriesAddedP50, 220, "ms", 0)
	p.measured(role, "added to a request, p99, at 220 a second", seriesAddedP99, 220, "ms", BudgetLatencyMS)
	p.measured(role, "added to a request, p99, at 260 a second", seriesAddedP99, 260, "ms", BudgetLatencyMS)
}

// nonlinearity returns a note for a cost that is not linear, and an empty string for one that is.
func nonlinearity(line Line) string {
	if line.Linear {
		return ""
	}
	return fmt.Sprintf(" (no line: worst residual %s)", formatNumber(line.MaxResidual))
}

func (p *capacityPage) membership() {
	const role = "membership"
	messages := p.measured(role, "datagrams of a server", seriesMemberMessages, PlannedServers, "a second", 0)
	bytes := p.measured(role, "bytes of a server", seriesMemberBytes, PlannedServers, "B/s", BudgetBytes)
	p.add(CapacityRow{role, "datagrams at the service", messages * PlannedServers, "a second", 0, Derived, "500 servers"})
	p.add(CapacityRow{role, "bytes at the service", bytes * PlannedServers, "B/s", 0, Derived, "500 servers"})
}

func (p *capacityPage) exchange() {
	const role = "peer exchange"
	restart := p.measured(role, "bytes of one restart, whole fleet", seriesSingleRestartBytes, PlannedServers, "B", 0)
	p.add(CapacityRow{
		role, "bytes of the day's restarts", restart * PlannedRestartsPerDay / secondsADay / PlannedServers, "B/s a server", BudgetBytes, Derived,
		fmt.Sprintf("%d a day over %d servers", PlannedRestartsPerDay, PlannedServers),
	})
	p.measured(role, "a zone back: until all have a view", seriesZoneSeconds, ZoneServers, "s", 0)
	p.measured(role, "a zone back: bytes", seriesZoneBytes, ZoneServers, "B a server", 0)
}

func (p *capacityPage) voters() {
	const role = "lease voters"
	p.measured(role, "talks of one of 5, 1 duty", seriesVoterConnections, fewVoters, "a second", 0)
	p.measured(role, "core of one of 5, 64 duties", seriesLeaseCore, 64, "%", 0)
	p.measured(role, "bytes of one of 5, 64 duties", seriesLeaseBytes, 64, "B/s", 0)
	p.measured(role, "duties held after 20 s, of 64", seriesLeasesHeld, 64, "", 0)
	if line := p.line(seriesVoterBytes); line.Linear {
		p.add(CapacityRow{
			role, "bytes of a voter if all 500 voted, 1 duty", line.At(PlannedServers), "B/s", BudgetBytes, Derived,
			fmt.Sprintf("line, %s B/s for each voter", formatNumber(line.Slope)),
		})
	}
	p.measured(role, "regions cut 30 s: most holders at once", seriesPartitionHolders, 30, "", 1)
	p.measured(role, "regions cut 30 s: longest without a holder", seriesPartitionNoHolderSeconds, 30, "s", 0)
	p.measured(role, "regions cut 30 s: held after the heal", seriesHealSeconds, 30, "s", 0)
}

func (p *capacityPage) control() {
	const role = "control machines"
	p.measured(role, "core of the busiest, 98 watchers, 190 times the stated rate", seriesControlCore, 2, "%", 0)
	p.measured(role, "memory of the largest", seriesControlMB, 2, "MB", 0)
	p.measured(role, "a change proposed to in force everywhere, p99", seriesPropagationP99, 2, "s", 0)
	p.measured(role, "a change proposed to in force everywhere, worst", seriesPropagationWorst, 2, "s", propagationTarget.Seconds())
	p.measured(role, "the same, leader killed, worst", seriesLeaderWorst, 4, "s", 0)
	documentBytes := p.measured(role, "whole document", seriesSnapshotBytes, 100, "B", 0)
	p.add(CapacityRow{
		role, "500 servers with nothing at once", documentBytes * PlannedServers / ControlMachines, "B each", 0, Derived, "a whole document for each of 100",
	})
	p.measured(role, "a zone's 72 with nothing at once: newest in force", seriesZoneWorst, ZoneServers, "s", propagationTarget.Seconds())
	p.measured(role, "regions cut 20 s: newest everywhere after the heal", seriesHealWorst, hollowWatchers, "s", propagationTarget.Seconds())
}

// RenderCapacity returns the generated part of the capacity page: a list of the figures over budget, and a table of all
// figures.
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

// comparedSeries are the series of the costs that were fixed, each with the x of the planned size.
var comparedSeries = []struct {
	name, series string
	x            float64
	unit         string
}{
	{"idle core, whole tables", seriesIdle + bySize, 100, "%"},
	{"SIGHUP that changes nothing", seriesReloadSame + bySize, 100, "ms of cpu"},
	{"SIGHUP that changes one setting", seriesReloadChanged + bySize, 100, "ms of cpu"},
	{"health check p99 within 1.5 s of a reload", seriesCheckReload, 100, "ms"},
	{"memory after reloads, whole tables", seriesAfterReloads + bySize, 100, "MB"},
	{"exchange bytes of a quiet fleet of 500", seriesQuietBytes, PlannedServers, "B/s a server"},
	{"control core of a quiet fleet of 500", seriesQuietCore, PlannedServers, "% a server"},
}

// RenderComparison returns a table of the costs in comparedSeries before and after their fixes.
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

// formatRounded formats a value with three significant digits, and one of 1000 or more as a whole number.
func formatRounded(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// ReadBaseline reads the points that were measured before the fixes, from the folder "before" in a folder of parts.
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

// ReadParts reads the points of all parts in a folder, and returns them with the origin of each part.
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
