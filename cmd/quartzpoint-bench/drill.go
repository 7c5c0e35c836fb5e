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

// playing is the command that plays one drill.
type playing struct {
	File   string   `arg:"" help:"The drill, as in drills/."`
	Policy []string `default:"quartzpoint" help:"Policies, the first of which the others are compared with."`
	Seeds  int      `default:"3" help:"Seeds, from 1."`
	Real   bool     `help:"Play it on real daemons with emulated workers too."`
	Daemon string   `default:"bin/quartzpoint" help:"The daemon's program, for --real."`
	Chart  string   `placeholder:"FILE" help:"Draw what was honoured each second, as .svg or .png."`
}

func readDrill(path string) (*scenario.Drill, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	return scenario.Parse(path, string(text))
}

// Run plays it in simulated time and prints what became of it.
func (cmd *playing) Run() error {
	d, err := readDrill(cmd.File)
	if err != nil {
		return err
	}
	var runs []experiment.Run
	for _, policy := range cmd.Policy {
		made, err := baseline.PolicyByName(policy)
		if err != nil {
			return err
		}
		for seed := range cmd.Seeds {
			began := time.Now()
			r := experiment.RunDrill(d, policy, made, int64(seed+1))
			fmt.Fprintf(os.Stderr, "%s, %s, seed %d: %d events in %v\n", d.Name, policy, seed+1, r.Result.Events, time.Since(began).Round(time.Millisecond))
			for _, words := range r.Result.Rules.Messages {
				fmt.Fprintln(os.Stderr, " ", words)
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
	as := experiment.Format(strings.TrimPrefix(filepath.Ext(cmd.Chart), "."))
	if as != experiment.SVG && as != experiment.PNG {
		return fmt.Errorf("chart %s: .svg and .png are known", cmd.Chart)
	}
	raw, err := experiment.SecondsChart(cells, d.Name, d.Title, as)
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.Chart, raw, 0o644)
}

// real plays it once on real daemons, with what the emulator makes of the same arrivals.
func (cmd *playing) real(d *scenario.Drill) error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	load := d.Arrivals(1)
	r, found, err := playFleet(cmd.Daemon, folder, d, 1, load)
	if err != nil {
		return err
	}
	for _, p := range []struct {
		on string
		of parts
	}{{"sockets", realParts(r)}, {"emulated", partsOf(d.EmulateLoad(emulator.QuartzpointPolicy, 1, load))}} {
		fmt.Printf("%-9s honoured %.3f, dismissed %.3f, given up %.3f\n", p.on, p.of.honoured, p.of.dismissed, p.of.givenUp)
	}
	fmt.Printf("on sockets: %d tasks, %d unanswered, %d answered twice, rules broken %v\n", r.Requests, r.Unanswered, r.DuplicateAnswers, found.Violations[1:])
	for _, words := range found.Messages {
		fmt.Println(" ", words)
	}
	return nil
}
