package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"quartzpoint/baseline"
	"quartzpoint/emulator"
	"quartzpoint/internal/testkit/experiment"
	"quartzpoint/scenario"
)

// drillCommand runs one drill.
type drillCommand struct {
	File   string   `arg:"" help:"The drill file, as in drills/."`
	Policy []string `default:"quartzpoint" help:"Policies to run; the first is the reference that the others are compared with."`
	Seeds  int      `default:"3" help:"Number of seeds, from 1."`
	Real   bool     `help:"Also run the drill on real daemons with emulated workers."`
	Daemon string   `default:"bin/quartzpoint" help:"Path of the daemon's binary, for --real."`
	Chart  string   `placeholder:"FILE" help:"Write a chart of the value served in each second to this .svg or .png file."`
}

// readDrill reads and parses a drill.
func readDrill(path string) (*scenario.Drill, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	return scenario.Parse(path, string(text))
}

// Run runs the drill in simulated time and prints its results.
func (cmd *drillCommand) Run() error {
	d, err := readDrill(cmd.File)
	if err != nil {
		return err
	}
	var runs []experiment.Run
	for _, policy := range cmd.Policy {
		newPolicy, err := baseline.PolicyByName(policy)
		if err != nil {
			return err
		}
		for seed := range cmd.Seeds {
			start := time.Now()
			r := experiment.RunDrill(d, policy, newPolicy, int64(seed+1))
			fmt.Fprintf(os.Stderr, "%s, %s, seed %d: %d events in %v\n", d.Name, policy, seed+1, r.Result.Events, time.Since(start).Round(time.Millisecond))
			for _, message := range r.Result.Rules.Messages {
				fmt.Fprintln(os.Stderr, " ", message)
			}
			runs = append(runs, r)
		}
	}
	fmt.Printf("%s (simulated)\n", d.Title)
	cells := experiment.Cells(runs)
	if err := experiment.Table(os.Stdout, cells); err != nil {
		return err
	}
	if cmd.Real {
		if err := cmd.real(d); err != nil {
			return err
		}
	}
	if cmd.Chart == "" {
		return nil
	}
	format := experiment.Format(strings.TrimPrefix(filepath.Ext(cmd.Chart), "."))
	if format != experiment.SVG && format != experiment.PNG {
		return fmt.Errorf("chart %s: want a file name that ends in .svg or .png", cmd.Chart)
	}
	raw, err := experiment.SecondsChart(cells, d.Name, d.Title, format)
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.Chart, raw, 0o644)
}

// real runs the drill once on real daemons, and on the emulator with the same arrivals.
func (cmd *drillCommand) real(d *scenario.Drill) error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	load := d.Arrivals(1)
	r, report, err := runFleet(cmd.Daemon, folder, d, 1, load)
	if err != nil {
		return err
	}
	for _, side := range []struct {
		name   string
		shares outcomeShares
	}{{"sockets", measuredShares(r)}, {"emulated", emulatedShares(d.EmulateLoad(emulator.QuartzpointPolicy, 1, load))}} {
		fmt.Printf("%-9s honoured %.3f, dismissed %.3f, given up %.3f\n", side.name, side.shares.goodput, side.shares.rejected, side.shares.aborted)
	}
	fmt.Printf("on sockets: %d requests, %d unanswered, %d answered twice, rules broken %v\n", r.Requests, r.Unanswered, r.DuplicateAnswers, report.Violations[1:])
	for _, message := range report.Messages {
		fmt.Println(" ", message)
	}
	return nil
}
