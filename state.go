package quartzpoint

import (
	"fmt"
	"log/slog"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/store"
)

// State is a folder in which a gate keeps what the gate after it, in another process, goes on from: what it learned,
// and the table of numbered tasks. A numbered task then runs only once the folder has its number, so that a repeat is
// known after a crash too: it is answered from the first, or given up on where the first's end is not known.
type State struct {
	Dir       string        // of this gate alone, mode 0700; its last part is made where it is missing
	Site      string        // label; files of another are not used
	MostMB    int           // of all files (64)
	Commit    time.Duration // for which numbers are gathered before they are written (1 ms); below 0 not at all
	NoNumbers bool          // only what was learned is kept

	open func(only bool) (datadir.Folder, error) // in the place of Dir, for tests
}

// keepState opens the folder and has the gate go on from it. Only a folder that another process holds is an error;
// without any other the gate serves on, and the log says so.
func (g *Gate) keepState(t *State, origin uint64, counts *invariant.Counters, log *slog.Logger) error {
	given := *t
	if t = &given; t.MostMB == 0 {
		t.MostMB = 64
	}
	if t.Commit == 0 {
		t.Commit = time.Millisecond
	}
	if t.Dir == "" || t.MostMB < 8 {
		return fmt.Errorf("quartzpoint: State: Dir is needed, and MostMB of 8 or more")
	}
	schema := g.owner.PublishEstimates(origin, func(snapshot estimate.Snapshot, _ time.Duration) {
		g.view.Store(&snapshot)
		g.state.View(snapshot)
	})
	open := t.open
	if open == nil {
		open = datadir.Opener(t.Dir)
	}
	kept, had, err := store.New(store.Terms{
		Open: open, Clock: store.SystemClock(), ID: store.DrawID, Site: t.Site, Frame: schema,
		Most: int64(t.MostMB) << 20, Commit: max(t.Commit, 0), Numbers: !t.NoNumbers, Counts: counts, Log: log,
		Nudge: g.owner.Wake, Late: func(r store.Recovered) { store.ResumeLate(g.owner, r) },
	})
	if err != nil {
		return fmt.Errorf("quartzpoint: State: %w", err)
	}
	g.state = kept
	store.Resume(g.owner, had)
	if !t.NoNumbers {
		g.owner.SetLedger(kept)
	}
	return nil
}

var _ server.Ledger = (*store.Store)(nil)
