package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"text/tabwriter"

	"quartzpoint/internal/testkit/scale"
)

// watchersCommand runs the process of the hollow watchers.
type watchersCommand struct{}

// Run runs the watchers until standard input ends.
func (*watchersCommand) Run() error { return scale.RunWatchers(os.Stdin, os.Stdout) }

// measureConfiguration measures the configuration service.
type measureConfiguration struct {
	Daemon  string `default:"bin/quartzpoint" help:"Path of the app server's binary."`
	Service string `default:"bin/quartzconfig" help:"Path of the configuration service's binary."`
	Seed    int64  `default:"1" help:"Seed of the changes and of the fleet's random choices."`
	Small   bool   `help:"Use a tenth of the tables and watchers, and shorter spans, as a smoke test."`
	Out     string `help:"Folder for the points (CSV); nothing is written without it."`
}

// Run measures and prints all figures. It returns an error if an objective is missed or the recorded history is
// invalid.
func (cmd *measureConfiguration) Run() error {
	origin := scale.LocalOrigin(cmd.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "configuration")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	self, errSelf := os.Executable()
	daemon, errDaemon := filepath.Abs(cmd.Daemon)
	service, errService := filepath.Abs(cmd.Service)
	if err := errors.Join(errSelf, errDaemon, errService); err != nil {
		return err
	}
	run := &scale.ConfigurationBenchmark{Daemon: daemon, Service: service, Program: self, Folder: folder, Seed: cmd.Seed, Small: cmd.Small}
	figures, points, err := run.Run(ctx)
	failed := errors.Join(err, printFigures("configuration", figures))
	if cmd.Out != "" && err == nil {
		failed = errors.Join(failed, scale.PublishParts(cmd.Out, map[string]scale.Points{"configuration": points}, origin))
	}
	return failed
}

// printFigures prints figures with their objectives and a summary line. The error joins the missed objectives.
func printFigures(name string, figures []scale.Figure) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "what\tvalue\tat most\tunit\t")
	var missed []error
	line := ""
	for _, f := range figures {
		limit := "-"
		if f.Max > 0 {
			limit = fmt.Sprintf("%.4g", f.Max)
			line += fmt.Sprintf(" %s %.3g of %.3g%s;", f.Name, f.Value, f.Max, f.Unit)
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\t\n", f.Name, f.Value, limit, f.Unit)
		if f.Missed() {
			missed = append(missed, fmt.Errorf("%s: got %.4g%s, want at most %.4g", f.Name, f.Value, f.Unit, f.Max))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("measure %s:%s\n", name, line)
	return errors.Join(missed...)
}
