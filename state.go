package quartzpoint

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/store"
)

// Defaults and bounds of State.
const (
	defaultStateMB     = 64
	minStateMB         = 8
	defaultStateCommit = time.Millisecond
)

// State names a directory in which a gate stores what the next process starts from: its estimates, and its table of
// idempotency keys. A request with an idempotency key then runs only once its key is durable, so that a repeat is
// recognized after a crash too: it is answered with the original's result, or aborted if the original's outcome is not
// known.
//
// Only a directory that another process uses makes New fail. If the directory cannot be used for another reason, the gate
// serves without it, logs that, and retries.
type State struct {
	Dir            string        // used by this gate alone, mode 0700; its last element is created if missing
	Site           string        // label; files of another site are not used
	MaxMB          int           `toml:"MostMB"`    // limit of all files together, in MiB, 8 or more (64)
	CommitInterval time.Duration `toml:"Commit"`    // for which keys are gathered before they are written together (1 ms); negative for none
	EstimatesOnly  bool          `toml:"NoNumbers"` // store only the estimates

	open func(readOnly bool) (datadir.Dir, error) // set by tests, in place of Dir
}

// withDefaults returns a copy whose zero values are replaced by the defaults.
func (t State) withDefaults() (State, error) {
	if t.MaxMB == 0 {
		t.MaxMB = defaultStateMB
	}
	if t.CommitInterval == 0 {
		t.CommitInterval = defaultStateCommit
	}
	if t.Dir == "" || t.MaxMB < minStateMB {
		return t, errors.New("quartzpoint: State: Dir is needed, and MostMB of 8 or more")
	}
	if t.open == nil {
		t.open = datadir.Opener(t.Dir)
	}
	return t, nil
}

// openState opens the state directory and has the gate start from it.
func (g *Gate) openState(stated *State, origin uint64, counts *invariant.Counters, log *slog.Logger) error {
	t, err := stated.withDefaults()
	if err != nil {
		return err
	}
	schema := g.owner.PublishEstimates(origin, func(snapshot estimate.Snapshot, _ time.Duration) {
		g.view.Store(&snapshot)
		g.state.SaveEstimates(snapshot)
	})
	g.state, _, err = store.Attach(g.owner, store.Options{
		OpenDir: t.open, Site: t.Site, Schema: schema, MaxBytes: int64(t.MaxMB) << 20, CommitInterval: max(t.CommitInterval, 0),
		PersistKeys: !t.EstimatesOnly, Counts: counts, Log: log,
	})
	if err != nil {
		return fmt.Errorf("quartzpoint: State: %w", err)
	}
	return nil
}
