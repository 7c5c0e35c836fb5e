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

// State configures a directory in which a gate stores its estimates and its table of idempotency keys for the next
// process. A request with an idempotency key then runs only after its key is durable, so that a duplicate is recognized
// even after a crash: it gets the result of the original, or is aborted if the original's outcome is unknown.
//
// New fails if a field is out of range or if another process uses the directory. If the directory can't be used for any
// other reason, the gate runs without it, logs the error, and retries.
type State struct {
	Dir            string        // used by this gate only, and not writable by other users; its last element is created with mode 0700 if missing
	Site           string        // label of the site; files of other sites are ignored
	MaxMB          int           `toml:"MostMB"`    // limit of the total file size in MiB; at least 8 (64)
	CommitInterval time.Duration `toml:"Commit"`    // time for which keys are collected before they are written together (1 ms); negative for none
	EstimatesOnly  bool          `toml:"NoNumbers"` // store the estimates but no idempotency keys

	open func(readOnly bool) (datadir.Dir, error) // set by tests to replace the directory Dir
}

// withDefaults returns a copy in which zero values are replaced by the defaults. It returns an error if the options are
// invalid.
func (s State) withDefaults() (State, error) {
	if s.MaxMB == 0 {
		s.MaxMB = defaultStateMB
	}
	if s.CommitInterval == 0 {
		s.CommitInterval = defaultStateCommit
	}
	if s.Dir == "" || s.MaxMB < minStateMB {
		return s, fmt.Errorf("quartzpoint: State: Dir is needed, and MaxMB must be %d or more", minStateMB)
	}
	if s.open == nil {
		s.open = datadir.Opener(s.Dir)
	}
	return s, nil
}

// openState opens the state directory and loads its content into the gate. origin identifies this process as the source
// of its estimates.
func (g *Gate) openState(state *State, origin uint64, log *slog.Logger) error {
	effective, err := state.withDefaults()
	if err != nil {
		return err
	}
	schema := g.loop.PublishEstimates(origin, func(snapshot estimate.Snapshot, _ time.Duration) {
		g.estimates.Store(&snapshot)
		g.store.SaveEstimates(snapshot)
	})
	g.store, _, err = store.Attach(g.loop, store.Options{
		OpenDir: effective.open, Site: effective.Site, Schema: schema, MaxBytes: int64(effective.MaxMB) << 20,
		CommitInterval: max(effective.CommitInterval, 0), PersistKeys: !effective.EstimatesOnly, Counts: g.counters, Log: log,
	})
	if err != nil {
		return fmt.Errorf("quartzpoint: State: %w", err)
	}
	return nil
}
