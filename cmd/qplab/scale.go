package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"quartzpoint/internal/scale"
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
	Small  bool     `help:"A fifth of the planned size and shorter looks; a check that all of it works."`
	Only   []string `enum:"slopes,fleets" default:"slopes,fleets" help:"Parts to measure: slopes of one daemon, hollow fleets."`
}

// Run measures the parts and writes a file of points and charts for each.
func (cmd *scaling) Run() error {
	points, origin, err := cmd.measure()
	if err != nil {
		return err
	}
	return scale.Publish(cmd.Out, points, origin)
}

// measure measures the parts.
func (cmd *scaling) measure() (map[string]scale.Points, scale.Origin, error) {
	origin := scale.Here(cmd.Seed)
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
