package quartzpoint

import (
	"fmt"
	"log/slog"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
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
func (s State) withDefaults() (State, error) {
	if s.MaxMB == 0 {
		s.MaxMB = defaultStateMB
	}
	if s.CommitInterval == 0 {
		s.CommitInterval = defaultStateCommit
	}
	if s.Dir == "" || s.MaxMB < minStateMB {
		return s, fmt.Errorf("quartzpoint: State: Dir is needed, and MaxMB of %d or more", minStateMB)
	}
	if s.open == nil {
		s.open = datadir.Opener(s.Dir)
	}
	return s, nil
}

// openState opens the state directory and has the gate start from it. origin marks the estimates as this process's.
func (g *Gate) openState(state *State, origin uint64, log *slog.Logger) error {
	filled, err := state.withDefaults()
	if err != nil {
		return err
	}
	schema := g.loop.PublishEstimates(origin, func(snapshot estimate.Snapshot, _ time.Duration) {
		g.estimates.Store(&snapshot)
		g.store.SaveEstimates(snapshot)
	})
	g.store, _, err = store.Attach(g.loop, store.Options{
		OpenDir: filled.open, Site: filled.Site, Schema: schema, MaxBytes: int64(filled.MaxMB) << 20,
		CommitInterval: max(filled.CommitInterval, 0), PersistKeys: !filled.EstimatesOnly, Counts: g.counters, Log: log,
	})
	if err != nil {
		return fmt.Errorf("quartzpoint: State: %w", err)
	}
	return nil
}
