package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"quartzpoint/internal/testkit/scale"
)

// hollowCommand runs the process of a part of a hollow fleet.
type hollowCommand struct{}

// Run runs the part until standard input ends.
func (*hollowCommand) Run() error { return scale.RunHollowServers(os.Stdin, os.Stdout) }

// scaleCommand measures the cost of the programs up to the planned size.
type scaleCommand struct {
	Out    string   `default:"results/scale" help:"Folder for points (CSV) and charts (SVG)."`
	Daemon string   `default:"bin/quartzpoint" help:"Path of the app server's binary."`
	Seed   int64    `default:"1" help:"Seed of the loads and of the fleet's random choices."`
	Small  bool     `help:"Use fewer series, smaller fleets and shorter observations, as a smoke test."`
	Only   []string `enum:"slopes,fleets" default:"slopes,fleets" help:"Parts to measure: slopes of one daemon, hollow fleets."`
}

// Run measures the selected parts, and writes the points and charts of each.
func (cmd *scaleCommand) Run() error {
	points, origin, err := cmd.measure()
	if err != nil {
		return err
	}
	return scale.PublishParts(cmd.Out, points, origin)
}

// measure measures the selected parts, and returns the points of each.
func (cmd *scaleCommand) measure() (map[string]scale.Points, scale.Origin, error) {
	origin := scale.LocalOrigin(cmd.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, origin, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	self, err := os.Executable()
	if err != nil {
		return nil, origin, err
	}
	daemon, err := filepath.Abs(cmd.Daemon)
	if err != nil {
		return nil, origin, err
	}
	slopes := &scale.DaemonBenchmark{Daemon: daemon, Folder: folder, Seed: cmd.Seed, Small: cmd.Small}
	fleets := &scale.FleetBenchmark{Program: self, Seed: cmd.Seed, Small: cmd.Small}
	run := map[string]func(context.Context) (scale.Points, error){"slopes": slopes.Run, "fleets": fleets.Run}
	all := map[string]scale.Points{}
	for _, part := range cmd.Only {
		start := time.Now()
		points, err := run[part](ctx)
		if err != nil {
			return nil, origin, fmt.Errorf("%s: %w", part, errors.Join(err, ctx.Err()))
		}
		fmt.Printf("%s measured in %v\n", part, time.Since(start).Round(time.Second))
		all[part] = points
	}
	return all, origin, nil
}

// measureScale checks the figures of a small scaleCommand against the budgets.
type measureScale struct {
	Daemon string `default:"bin/quartzpoint" help:"Path of the app server's binary."`
	Seed   int64  `default:"1" help:"Seed of the loads and of the fleet's random choices."`
}

// Run measures a daemon at the planned size and small fleets, and returns an error if one exceeds its budget.
func (cmd *measureScale) Run() error {
	run := &scaleCommand{Daemon: cmd.Daemon, Seed: cmd.Seed, Small: true, Only: []string{"slopes", "fleets"}}
	parts, _, err := run.measure()
	if err != nil {
		return err
	}
	all := scale.Points{}
	for _, points := range parts {
		all.Merge(points)
	}
	return printFigures("scale", scale.BudgetFigures(all))
}

// capacityCommand writes the generated parts of the capacity page.
type capacityCommand struct {
	Points string `default:"results/scale" help:"Folder of the points."`
	Page   string `default:"docs/CAPACITY.md" help:"The page; the text between its markers is replaced."`
}

// The markers of the generated parts of the page.
const (
	figuresBegin  = "<!-- figures: written by make capacity -->\n"
	figuresEnd    = "<!-- end of figures -->\n"
	comparedBegin = "<!-- before and after: written by make capacity -->\n"
	comparedEnd   = "<!-- end of before and after -->\n"
)

// Run computes the figures and replaces the generated parts of the page.
func (cmd *capacityCommand) Run() error {
	points, origins, err := scale.ReadParts(cmd.Points)
	if err != nil {
		return err
	}
	rows, err := scale.Capacity(points)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(cmd.Page)
	if err != nil {
		return err
	}
	before, err := scale.ReadBaseline(cmd.Points)
	if err != nil {
		return err
	}
	originText := ""
	for _, part := range slices.Sorted(maps.Keys(origins)) {
		originText += fmt.Sprintf("`%s.csv`: %s. ", part, origins[part])
	}
	text, err := replaceBetween(string(raw), figuresBegin, figuresEnd, "\n"+scale.RenderCapacity(rows)+"\n"+originText+"\n\n")
	if err == nil {
		text, err = replaceBetween(text, comparedBegin, comparedEnd, "\n"+scale.RenderComparison(before, points)+"\n")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", cmd.Page, err)
	}
	return os.WriteFile(cmd.Page, []byte(text), 0o644)
}

// replaceBetween replaces the text between two markers. It returns an error if a marker is missing.
func replaceBetween(text, begin, end, replacement string) (string, error) {
	head, rest, begun := strings.Cut(text, begin)
	_, tail, ended := strings.Cut(rest, end)
	if !begun || !ended {
		return "", fmt.Errorf("marker %q or %q is missing", strings.TrimSpace(begin), strings.TrimSpace(end))
	}
	return head + begin + replacement + end + tail, nil
}
