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

// hollow is the process that holds a part of a hollow fleet.
type hollow struct{}

// Run holds it until the input ends.
func (*hollow) Run() error { return scale.RunHollow(os.Stdin, os.Stdout) }

// scaling measures what the programs cost as everything round them grows.
type scaling struct {
	Out    string   `default:"results/scale" help:"Folder for points (CSV) and charts (SVG)."`
	Daemon string   `default:"bin/quartzpoint" help:"The app server's program."`
	Seed   int64    `default:"1" help:"Of the loads and of the fleet's choices."`
	Small  bool     `help:"Fewer series and smaller fleets, and shorter looks; a check that all of it works."`
	Only   []string `enum:"slopes,fleets" default:"slopes,fleets" help:"Parts to measure: slopes of one daemon, hollow fleets."`
}

// Run measures the parts and writes a file of points and charts for each.
func (cmd *scaling) Run() error {
	points, origin, err := cmd.measure()
	if err != nil {
		return err
	}
	return scale.PublishParts(cmd.Out, points, origin)
}

// measure measures the parts.
func (cmd *scaling) measure() (map[string]scale.Points, scale.Origin, error) {
	origin := scale.LocalOrigin(cmd.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, origin, err
	}
	defer os.RemoveAll(folder)
	self, err := os.Executable()
	if err != nil {
		return nil, origin, err
	}
	daemon, err := filepath.Abs(cmd.Daemon)
	if err != nil {
		return nil, origin, err
	}
	slopes := &scale.Slopes{Daemon: daemon, Folder: folder, Seed: cmd.Seed, Small: cmd.Small}
	fleets := &scale.Fleets{Program: self, Seed: cmd.Seed, Small: cmd.Small}
	run := map[string]func(context.Context) (scale.Points, error){"slopes": slopes.Run, "fleets": fleets.Run}
	all := map[string]scale.Points{}
	for _, part := range cmd.Only {
		began := time.Now()
		points, err := run[part](ctx)
		if err != nil {
			return nil, origin, fmt.Errorf("%s: %w", part, errors.Join(err, ctx.Err()))
		}
		fmt.Printf("%s measured in %v\n", part, time.Since(began).Round(time.Second))
		all[part] = points
	}
	return all, origin, nil
}

// measureScale is the small form of scale, held against the budgets.
type measureScale struct {
	Daemon string `default:"bin/quartzpoint" help:"The app server's program."`
	Seed   int64  `default:"1" help:"Of the loads and of the fleet's choices."`
}

// Run measures a daemon at the planned size and small fleets, and fails where a budget is passed.
func (cmd *measureScale) Run() error {
	run := &scaling{Daemon: cmd.Daemon, Seed: cmd.Seed, Small: true, Only: []string{"slopes", "fleets"}}
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

// capacity writes what the points give into the capacity page.
type capacity struct {
	Points string `default:"results/scale" help:"Folder of the points."`
	Page   string `default:"docs/CAPACITY.md" help:"The page; what stands between its two markers is replaced."`
}

// The markers of the parts of the page that are worked out.
const (
	figuresBegin  = "<!-- figures: written by make capacity -->\n"
	figuresEnd    = "<!-- end of figures -->\n"
	comparedBegin = "<!-- before and after: written by make capacity -->\n"
	comparedEnd   = "<!-- end of before and after -->\n"
)

// Run writes the page.
func (cmd *capacity) Run() error {
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
	before, err := scale.ReadBefore(cmd.Points)
	if err != nil {
		return err
	}
	made := ""
	for _, part := range slices.Sorted(maps.Keys(origins)) {
		made += fmt.Sprintf("`%s.csv`: %s. ", part, origins[part])
	}
	text, err := between(string(raw), figuresBegin, figuresEnd, "\n"+scale.RenderCapacity(rows)+"\n"+made+"\n\n")
	if err == nil {
		text, err = between(text, comparedBegin, comparedEnd, "\n"+scale.RenderCompared(before, points)+"\n")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", cmd.Page, err)
	}
	return os.WriteFile(cmd.Page, []byte(text), 0o644)
}

// between replaces what stands between two markers.
func between(text, begin, end, by string) (string, error) {
	head, rest, begun := strings.Cut(text, begin)
	_, tail, ended := strings.Cut(rest, end)
	if !begun || !ended {
		return "", fmt.Errorf("marker %q or %q is missing", strings.TrimSpace(begin), strings.TrimSpace(end))
	}
	return head + begin + by + end + tail, nil
}
