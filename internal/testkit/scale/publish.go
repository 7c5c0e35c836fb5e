package scale

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// chart is one chart of a part's series.
type chart struct {
	file, title, x, y string
	series            []string
}

// charts lists the charts of each part.
var charts = map[string][]chart{
	"slopes": {
		{"memory.svg", "memory of a daemon", "% of the planned routes and tenants", "MB",
			[]string{seriesResident + bySize, seriesAfterReloads + bySize}},
		{"idle.svg", "idle processor time of a daemon", "% of the planned routes and tenants", "% of a core",
			[]string{seriesIdle + bySize}},
		{"reload.svg", "processor time of a reload", "% of the planned routes and tenants", "ms",
			[]string{seriesReloadSame + bySize, seriesReloadChanged + bySize}},
		{"connections.svg", "memory by connections", "connections", "MB", []string{seriesConnectionsMB}},
		{"checks.svg", "processor time by health checks", "checks a second", "% of a core",
			[]string{fmt.Sprintf(seriesChecks, fewRoutes), fmt.Sprintf(seriesChecks, PlannedRoutes)}},
		{"requests.svg", "processor time by requests", "requests a second", "% of a core",
			[]string{fmt.Sprintf(seriesRequests, fewRoutes), fmt.Sprintf(seriesRequests, PlannedRoutes)}},
		{"latency.svg", "what a daemon adds to a request", "requests a second", "ms",
			[]string{seriesAddedP50, seriesAddedP99}},
	},
	"fleets": {
		{"restart.svg", "bytes of one restart", "servers", "bytes", []string{seriesSingleRestartBytes}},
		{"voters.svg", "lease talks by voters", "voters", "talks a second and voter", []string{seriesVoterConnections}},
		{"duties.svg", "lease talks by duties, 5 voters", "duties", "talks a second and voter", []string{seriesLeaseConnections}},
	},
}

// PublishParts writes the points and the charts of each part into a folder, and prints the points on standard output.
func PublishParts(folder string, parts map[string]Points, origin Origin) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		points := parts[part]
		if err := points.Write(filepath.Join(folder, part+".csv"), origin); err != nil {
			return err
		}
		for _, c := range charts[part] {
			if err := points.Chart(filepath.Join(folder, c.file), c.title, c.x, c.y, origin, c.series...); err != nil {
				return err
			}
		}
		if err := points.Print(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

// Print writes a line for each series: its number of points, its smallest and largest x with their values, and the line
// that is fitted to its points.
func (p Points) Print(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "series\tpoints\tfrom\tto\tslope\tat 0\tr2\tworst residual\tline\t")
	for _, series := range slices.Sorted(maps.Keys(p)) {
		xs, ys := p.Series(series)
		line, last := Fit(xs, ys), len(xs)-1
		linear := "no"
		if line.Linear {
			linear = "yes"
		}
		fmt.Fprintf(table, "%s\t%d\t%s at %s\t%s at %s\t%s\t%s\t%.3f\t%s\t%s\t\n", series, len(xs),
			formatNumber(ys[0]), formatNumber(xs[0]), formatNumber(ys[last]), formatNumber(xs[last]), formatNumber(line.Slope), formatNumber(line.Intercept),
			line.R2, formatNumber(line.MaxResidual), linear)
	}
	return table.Flush()
}
