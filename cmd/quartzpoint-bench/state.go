package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// measureState measures the benefit of a state directory at a restart, and its cost.
type measureState struct {
	Daemon string        `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Seeds  int           `default:"10" help:"Number of seeds, each with all groups of servers."`
	Group  int           `default:"8" help:"Number of servers in a group."`
	Warm   time.Duration `default:"11s" help:"Duration of the load before the restart."`
	Span   time.Duration `default:"10s" help:"Duration of the load after the restart."`
	Load   float64       `default:"1.2" help:"Load as a fraction of the pools' capacity."`
	Cores  float64       `default:"4" help:"Cores of each emulated pool."`
	Kills  int           `default:"304" help:"Number of processes to kill, divided among eight state directories."`
	Only   []string      `help:"Run only these parts: kills, rounds, disk, restart."`
}

// stateMB is the size limit of the measured state directories, in MiB.
const stateMB = 64

// partResult is the result of one part of the measurement.
type partResult struct {
	objectives []objective
	summary    string
}

// statePart is one part of the measurement. run prints the part's rows to the table.
type statePart struct {
	name string
	run  func(root string, table *tabwriter.Writer) (partResult, error)
}

// Run prints the table and returns an error if an objective is missed.
func (m *measureState) Run() (err error) {
	root, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(root)) }()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "what\tmedian\tworst\tbest\t")
	var objectives []objective
	var summaries []string
	for _, part := range []statePart{{"kills", m.kills}, {"disk", m.disk}, {"rounds", m.rounds}, {"restart", m.restart}} {
		if len(m.Only) > 0 && !slices.Contains(m.Only, part.name) {
			continue
		}
		result, err := part.run(root, table)
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		objectives, summaries = append(objectives, result.objectives...), append(summaries, result.summary)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("measure state: %s, seeds %d\n", strings.Join(summaries, ", "), m.Seeds)
	return missedObjectives(objectives)
}

// missedObjectives returns an error that joins those of the missed objectives, nil for none.
func missedObjectives(objectives []objective) error {
	var missed []error
	for _, o := range objectives {
		if !(o.value >= o.min && o.value <= o.max) {
			missed = append(missed, fmt.Errorf("%s: got %.3f, want %.3f to %.3f", o.name, o.value, o.min, o.max))
		}
	}
	return errors.Join(missed...)
}

// printQuantiles prints the median, minimum and maximum of a figure over all seeds, and returns the median and the
// minimum.
func printQuantiles(table *tabwriter.Writer, what string, values []float64) (median, lowest float64) {
	values = slices.Sorted(slices.Values(values))
	median = stat.Quantile(0.5, stat.LinInterp, values, nil)
	fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t\n", what, median, values[0], values[len(values)-1])
	return median, values[0]
}

// dirSize returns the size of a directory's files in bytes.
func dirSize(dir string) (sum int64, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if info, err := e.Info(); err == nil { // a file may have been removed since
			sum += info.Size()
		}
	}
	return sum, err
}
