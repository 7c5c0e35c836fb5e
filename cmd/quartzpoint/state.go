package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/config"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/store"
	"quartzpoint/recovery"
)

// statePersistence is what a server learns and to whom it goes, the folder among them where one is stated.
type statePersistence struct {
	schema    estimate.Schema
	recovered estimate.Snapshot // what the server before this one left; not fresh for none
	publish   []func(snapshot estimate.Snapshot, at time.Duration)
	store     *store.Store // nil without a folder
}

// openState opens the folder that is stated, and has the server go on from what it holds.
func openState(stated *config.State, owner *server.Server, counts *invariant.Counts, log *slog.Logger) (*statePersistence, error) {
	k := &statePersistence{}
	k.schema = owner.PublishEstimates(store.RandomID(), func(snapshot estimate.Snapshot, at time.Duration) {
		for _, put := range k.publish {
			put(snapshot, at)
		}
	})
	if stated == nil {
		return k, nil
	}
	kept, had, err := store.New(store.Options{
		OpenDir: datadir.Opener(stated.Dir), Clock: store.SystemClock(), NewID: store.RandomID, Site: stated.Site, Schema: k.schema,
		MaxBytes: stated.Most, CommitInterval: stated.Commit, PersistKeys: stated.Numbers, Counts: counts, Log: log, OnDurable: owner.Nudge,
		OnLateRecovery: func(r store.Recovered) { store.RestoreLate(owner, r) },
	})
	if err != nil {
		return nil, err
	}
	store.Restore(owner, had)
	if stated.Numbers {
		owner.Keep(kept)
	}
	k.store, k.recovered = kept, had.Estimates
	k.publish = append(k.publish, func(snapshot estimate.Snapshot, _ time.Duration) { kept.SaveEstimates(snapshot) })
	return k, nil
}

// close writes what is left.
func (p *statePersistence) close() {
	if p.store != nil {
		p.store.Close()
	}
}

// stateCommands are the commands about folders of state.
type stateCommands struct {
	Show    stateShow    `cmd:"" help:"Print what a folder holds, and what a start would use of it."`
	Verify  stateVerify  `cmd:"" help:"Tell whether all of a folder is whole; exit code 1 where it is not."`
	Export  stateExport  `cmd:"" help:"Print all that a start would use, as JSON."`
	Compact stateCompact `cmd:"" help:"Have the folder of a server that is stopped hold one table and one log."`
}

// stateDir is the folder that a command is about.
type stateDir struct {
	Dir    string `arg:"" help:"The folder, as in its [state] dir."`
	Site   string `help:"Its site; that of its files where it is not stated."`
	MostMB int    `name:"most-mb" default:"64" help:"As in [state]."`
}

func (f *stateDir) maxBytes() int64 { return int64(f.MostMB) << 20 }

func (f *stateDir) environment() recovery.Environment {
	return recovery.Environment{Now: store.SystemClock()(), Site: f.Site}
}

func (f *stateDir) report() (store.Report, error) {
	in, err := datadir.Open(f.Dir, true)
	if err != nil {
		return store.Report{}, err
	}
	defer in.Close()
	return store.Inspect(in, f.environment(), f.maxBytes())
}

// stateShow prints a folder as tables.
type stateShow struct {
	stateDir
	JSON bool `name:"json" help:"Print it as JSON."`
}

// Run reads the folder; a server may be using it.
func (cmd *stateShow) Run() error {
	r, err := cmd.report()
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, r)
	}
	now := store.SystemClock()()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "file\tbytes\tversion\tsite\tbegun ago\trecords\twhole\t")
	for _, f := range r.Files {
		if f.Header == nil {
			fmt.Fprintf(table, "%s\t%d\t\t\t\t\t%s\t\n", f.Name, f.Bytes, f.Problem)
			continue
		}
		_, ago := recovery.Age(f.Header.CreatedAt, now)
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%v\t%d\t%t\t\n", f.Name, f.Bytes, f.Header.Version, f.Header.Site,
			ago.Round(time.Second), f.Records, f.Complete)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	byType := map[string]int{}
	for _, n := range r.Keys {
		byType[n.Route]++
	}
	fmt.Printf("%d numbers, the end of %d not known, %d bytes\n", len(r.Keys), r.UnknownOutcomes, r.Bytes)
	for _, t := range slices.Sorted(maps.Keys(byType)) {
		fmt.Printf("  %s: %d\n", t, byType[t])
	}
	if r.Estimates != nil {
		if err := show(os.Stdout, *r.Estimates); err != nil {
			return err
		}
	}
	for _, n := range r.Findings {
		fmt.Printf("not used: %s: %s\n", n.File, n.Reason)
	}
	return nil
}

// stateVerify tells whether a folder is whole.
type stateVerify struct{ stateDir }

// Run reads every frame of every file.
func (cmd *stateVerify) Run() error {
	r, err := cmd.report()
	if err != nil {
		return err
	}
	if faults := r.Problems(); len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	fmt.Printf("%d files, all whole\n", len(r.Files))
	return nil
}

// stateExport prints what would be used.
type stateExport struct{ stateDir }

// Run prints it.
func (cmd *stateExport) Run() error {
	r, err := cmd.report()
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, map[string]any{"learned": r.Estimates, "numbers": r.Keys})
}

// stateCompact writes a folder anew.
type stateCompact struct{ stateDir }

// Run takes the folder's lock: it is refused while a server uses it.
func (cmd *stateCompact) Run() error {
	in, err := datadir.Open(cmd.Dir, false)
	if err != nil {
		return err
	}
	defer in.Close()
	before, after, err := store.Compact(in, cmd.environment(), cmd.maxBytes(), store.SystemClock())
	if err != nil {
		return err
	}
	fmt.Printf("%d bytes, and %d before\n", after, before)
	return nil
}
