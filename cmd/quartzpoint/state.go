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

// keeping is what a server learns and to whom it goes, the folder among them where one is stated.
type keeping struct {
	frame estimate.Schema
	view  estimate.Snapshot // what the server before this one left; not fresh for none
	share []func(snapshot estimate.Snapshot, at time.Duration)
	state *store.Store // nil without a folder
}

// keep opens the folder that is stated, and has the server go on from what it holds.
func keep(stated *config.State, owner *server.Server, counts *invariant.Counters, log *slog.Logger) (*keeping, error) {
	k := &keeping{}
	k.frame = owner.PublishEstimates(store.DrawID(), func(snapshot estimate.Snapshot, at time.Duration) {
		for _, put := range k.share {
			put(snapshot, at)
		}
	})
	if stated == nil {
		return k, nil
	}
	kept, had, err := store.New(store.Terms{
		Open: datadir.Opener(stated.Dir), Clock: store.SystemClock(), ID: store.DrawID, Site: stated.Site, Frame: k.frame,
		Most: stated.Most, Commit: stated.Commit, Numbers: stated.Numbers, Counts: counts, Log: log, Nudge: owner.Wake,
		Late: func(r store.Recovered) { store.ResumeLate(owner, r) },
	})
	if err != nil {
		return nil, err
	}
	store.Resume(owner, had)
	if stated.Numbers {
		owner.SetLedger(kept)
	}
	k.state, k.view = kept, had.View
	k.share = append(k.share, func(snapshot estimate.Snapshot, _ time.Duration) { kept.View(snapshot) })
	return k, nil
}

// close writes what is left.
func (k *keeping) close() {
	if k.state != nil {
		k.state.Close()
	}
}

// states are the commands about folders of state.
type states struct {
	Show    stateShow    `cmd:"" help:"Print what a folder holds, and what a start would use of it."`
	Verify  stateVerify  `cmd:"" help:"Tell whether all of a folder is whole; exit code 1 where it is not."`
	Export  stateExport  `cmd:"" help:"Print all that a start would use, as JSON."`
	Compact stateCompact `cmd:"" help:"Have the folder of a server that is stopped hold one table and one log."`
}

// stateFolder is the folder that a command is about.
type stateFolder struct {
	Dir    string `arg:"" help:"The folder, as in its [state] dir."`
	Site   string `help:"Its site; that of its files where it is not stated."`
	MostMB int    `name:"most-mb" default:"64" help:"As in [state]."`
}

func (f *stateFolder) most() int64 { return int64(f.MostMB) << 20 }

func (f *stateFolder) here() recovery.Here {
	return recovery.Here{Now: store.SystemClock()(), Site: f.Site}
}

func (f *stateFolder) report() (store.Report, error) {
	in, err := datadir.OpenDisk(f.Dir, true)
	if err != nil {
		return store.Report{}, err
	}
	defer in.Close()
	return store.Inspect(in, f.here(), f.most())
}

// stateShow prints a folder as tables.
type stateShow struct {
	stateFolder
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
			fmt.Fprintf(table, "%s\t%d\t\t\t\t\t%s\t\n", f.Name, f.Bytes, f.Why)
			continue
		}
		_, ago := recovery.Age(f.Header.At, now)
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%v\t%d\t%t\t\n", f.Name, f.Bytes, f.Header.Version, f.Header.Site,
			ago.Round(time.Second), f.Records, f.Whole)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	byType := map[string]int{}
	for _, n := range r.Numbers {
		byType[n.Type]++
	}
	fmt.Printf("%d numbers, the end of %d not known, %d bytes\n", len(r.Numbers), r.Unknown, r.Bytes)
	for _, t := range slices.Sorted(maps.Keys(byType)) {
		fmt.Printf("  %s: %d\n", t, byType[t])
	}
	if r.Learned != nil {
		if err := show(os.Stdout, *r.Learned); err != nil {
			return err
		}
	}
	for _, n := range r.Notes {
		fmt.Printf("not used: %s: %s\n", n.Name, n.Why)
	}
	return nil
}

// stateVerify tells whether a folder is whole.
type stateVerify struct{ stateFolder }

// Run reads every frame of every file.
func (cmd *stateVerify) Run() error {
	r, err := cmd.report()
	if err != nil {
		return err
	}
	if faults := r.Faults(); len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	fmt.Printf("%d files, all whole\n", len(r.Files))
	return nil
}

// stateExport prints what would be used.
type stateExport struct{ stateFolder }

// Run prints it.
func (cmd *stateExport) Run() error {
	r, err := cmd.report()
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, map[string]any{"learned": r.Learned, "numbers": r.Numbers})
}

// stateCompact writes a folder anew.
type stateCompact struct{ stateFolder }

// Run takes the folder's lock: it is refused while a server uses it.
func (cmd *stateCompact) Run() error {
	in, err := datadir.OpenDisk(cmd.Dir, false)
	if err != nil {
		return err
	}
	defer in.Close()
	before, after, err := store.Compact(in, cmd.here(), cmd.most(), store.SystemClock())
	if err != nil {
		return err
	}
	fmt.Printf("%d bytes, and %d before\n", after, before)
	return nil
}
