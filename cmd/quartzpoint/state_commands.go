package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/store"
	"quartzpoint/recovery"
)

// stateCommands are the commands on state directories.
type stateCommands struct {
	Show    stateShow    `cmd:"" help:"Print what a directory holds, and what a start would use of it."`
	Verify  stateVerify  `cmd:"" help:"Check that a directory is complete and undamaged; exit code 1 if it is not."`
	Export  stateExport  `cmd:"" help:"Print everything that a start would use, as JSON."`
	Compact stateCompact `cmd:"" help:"Compact the directory of a stopped server: write a new key table, start a new log, and remove the tables and logs that are no longer needed."`
}

// stateDir holds the arguments that all commands on state directories have.
type stateDir struct {
	Dir   string `arg:"" help:"The directory, as in [state] dir."`
	Site  string `help:"The site; by default that of the files."`
	MaxMB int    `name:"most-mb" default:"64" help:"Maximum size in MB, as in [state]."`
}

func (d *stateDir) maxBytes() int64 { return int64(d.MaxMB) << 20 }

// inspect reads the directory without taking its lock, as a server may be using it.
func (d *stateDir) inspect(now recovery.Timestamp) (store.Report, error) {
	dir, err := datadir.Open(d.Dir, true)
	if err != nil {
		return store.Report{}, err
	}
	report, err := store.Inspect(dir, recovery.Environment{Now: now, Site: d.Site}, d.maxBytes())
	return report, errors.Join(err, dir.Close())
}

// stateShow prints what a directory holds, and what a start would use of it.
type stateShow struct {
	stateDir
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the files, the idempotency keys by route, the estimates, and what is not used and why.
func (cmd *stateShow) Run() error {
	now := store.SystemClock()()
	report, err := cmd.inspect(now)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, report)
	}
	if err := printFiles(os.Stdout, report.Files, now); err != nil {
		return err
	}
	byRoute := map[string]int{}
	for _, key := range report.Keys {
		byRoute[key.Route]++
	}
	fmt.Printf("%d idempotency keys, %d not known to have been served, %d bytes\n", len(report.Keys), report.UnservedKeys, report.Bytes)
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		fmt.Printf("  %s: %d\n", route, byRoute[route])
	}
	if report.Estimates != nil {
		if err := printEstimates(os.Stdout, *report.Estimates); err != nil {
			return err
		}
	}
	for _, finding := range report.Findings {
		fmt.Printf("not used: %s: %s\n", finding.File, finding.Reason)
	}
	return nil
}

func printFiles(writer io.Writer, files []store.FileReport, now recovery.Timestamp) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "file\tbytes\tversion\tsite\tbegun ago\trecords\twhole\t")
	for _, f := range files {
		if f.Header == nil {
			fmt.Fprintf(table, "%s\t%d\t\t\t\t\t%s\t\n", f.Name, f.Bytes, f.Problem)
			continue
		}
		_, age := recovery.Age(f.Header.CreatedAt, now)
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%v\t%d\t%t\t\n", f.Name, f.Bytes, f.Header.Version, f.Header.Site,
			age.Round(time.Second), f.Records, f.Complete)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// stateVerify fails if a directory holds anything that a start would not use.
type stateVerify struct{ stateDir }

// Run reads every frame of every file.
func (cmd *stateVerify) Run() error {
	report, err := cmd.inspect(store.SystemClock()())
	if err != nil {
		return err
	}
	if problems := report.Problems(); len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	fmt.Printf("%d files, all complete\n", len(report.Files))
	return nil
}

// stateExport prints the contents of a directory that a start would use.
type stateExport struct{ stateDir }

// stateContents is the JSON that stateExport prints, with its members in alphabetical order.
type stateContents struct {
	Estimates *estimate.Snapshot `json:"learned"`
	Keys      []store.KeyReport  `json:"numbers"`
}

// Run prints the estimates and the idempotency keys as JSON.
func (cmd *stateExport) Run() error {
	report, err := cmd.inspect(store.SystemClock()())
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, stateContents{Estimates: report.Estimates, Keys: report.Keys})
}

// stateCompact rewrites a directory that no server is using.
type stateCompact struct{ stateDir }

// Run takes the directory's lock, so it fails while a server is using it.
func (cmd *stateCompact) Run() error {
	dir, err := datadir.Open(cmd.Dir, false)
	if err != nil {
		return err
	}
	before, after, err := store.Compact(dir, cmd.Site, cmd.maxBytes(), store.SystemClock())
	if err = errors.Join(err, dir.Close()); err != nil {
		return err
	}
	fmt.Printf("%d bytes, %d before\n", after, before)
	return nil
}
