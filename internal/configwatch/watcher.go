package configwatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/peersync"
)

const (
	contactTimeout  = 3 * Heartbeat          // after which a control machine is taken for lost
	dialTimeout     = time.Second            // for the opening of a session
	minBackoff      = 100 * time.Millisecond // before the next machine is tried, on the mean; doubled up to the longest
	maxBackoff      = 2 * time.Second
	maxRetryAfter   = 4 * time.Second // that a machine may ask a watcher to stay away
	reconnectSpread = time.Second     // reconnects of a fleet whose machine is lost come over this time
)

// Endpoint is a control machine.
type Endpoint struct {
	Zone    string
	Address string
}

// Store keeps the version in force for the next start. It is called by one goroutine.
type Store interface {
	// Replace keeps a whole document, in the place of all that was kept.
	Replace(d *configuration.Document) error
	// Append keeps a delta behind what is kept.
	Append(delta configuration.Delta, d *configuration.Document) error
}

// Watcher has a server follow the configuration service. All fields but Document are needed before Run.
type Watcher struct {
	Name      string // that operators know the server by
	Zone      string // its own: machines of it are tried first
	Endpoints []Endpoint
	Keys      peersync.Keys
	Document  *configuration.Document // in force now; the watcher's own from Run on
	// Apply has a delta, which leads to a document, come into force and returns once it is, or why it cannot; then nothing
	// of it is in force. It keeps nothing of the document.
	Apply  func(ctx context.Context, delta configuration.Delta, to *configuration.Document) error
	Store  Store // nil where nothing is kept
	Seed   int64
	Logger *slog.Logger

	attempted   map[string]bool // addresses of machines that were lost or not reached since all were tried
	version     atomic.Uint64
	connected   atomic.Bool
	lastContact atomic.Int64 // when a machine was last heard of, in Unix nanoseconds; 0 for never
}

// WatcherStatus is how a watch stands.
type WatcherStatus struct {
	Version      uint64        `json:"version"`   // in force
	Connected    bool          `json:"connected"` // to a control machine
	SinceContact time.Duration `json:"silent_ns"` // since a control machine was last heard of; negative for never
}

// Status may be asked for by any goroutine.
func (w *Watcher) Status() WatcherStatus {
	s := WatcherStatus{Version: w.version.Load(), Connected: w.connected.Load(), SinceContact: -1}
	if heard := w.lastContact.Load(); heard > 0 {
		s.SinceContact = time.Since(time.Unix(0, heard))
	}
	return s
}

// Run follows the service until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.version.Store(w.Document.Version)
	chance := rand.New(rand.NewSource(w.Seed))
	pause := minBackoff
	for {
		machine := w.nextEndpoint(chance)
		began := time.Now()
		err := w.runSession(ctx, machine)
		w.connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		held := time.Since(began) > contactTimeout
		if held { // the machine was there: all its watchers come at once
			pause = minBackoff
		}
		w.Logger.Warn("configuration: no word of the control machine", "machine", machine.Address, "error", err,
			"version", w.Document.Version)
		wait := time.Duration(chance.Int63n(int64(2 * pause)))
		if held {
			wait = time.Duration(chance.Int63n(int64(reconnectSpread)))
		}
		var refused *peersync.RejectedError
		if errors.As(err, &refused) {
			wait += min(refused.RetryAfter, maxRetryAfter)
		}
		if pause = min(2*pause, maxBackoff); !sleep(ctx, wait) {
			return
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextEndpoint is the machine to be tried: one that was not tried since all were, of the server's own zone where there is one,
// drawn among equals.
func (w *Watcher) nextEndpoint(chance *rand.Rand) Endpoint {
	if len(w.attempted) >= len(w.Endpoints) || w.attempted == nil {
		w.attempted = map[string]bool{}
	}
	order := slices.Clone(w.Endpoints)
	chance.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	rank := func(m Endpoint) int {
		switch {
		case w.attempted[m.Address]:
			return 2
		case m.Zone != w.Zone:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b Endpoint) int { return rank(a) - rank(b) })
	w.attempted[order[0].Address] = true
	return order[0]
}

// runSession holds a session with a machine until it fails.
func (w *Watcher) runSession(ctx context.Context, machine Endpoint) error {
	opening, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := peersync.Open(opening, machine.Address, w.Keys)
	if err != nil {
		return err
	}
	defer session.Close()
	defer context.AfterFunc(ctx, func() { session.Close() })()
	ask := WatchRequest{Name: w.Name, Zone: w.Zone, Version: w.Document.Version, Digest: w.Document.Digest}
	if err := session.Send(Encode(Request{Watch: &ask})); err != nil {
		return err
	}
	for {
		raw, err := session.Receive(MaxUpdateBytes, contactTimeout)
		if err != nil {
			return err
		}
		var update Update
		if err := Decode(raw, &update); err != nil {
			return err
		}
		if !w.connected.Swap(true) {
			w.Logger.Info("configuration: watching", "machine", machine.Address, "version", w.Document.Version, "newest", update.Latest)
		}
		w.lastContact.Store(time.Now().UnixNano())
		if len(update.Deltas) == 0 && update.Snapshot == nil {
			continue
		}
		fault := w.applyUpdate(ctx, update)
		if errors.Is(fault, configuration.ErrCorrupt) {
			return fault // dropped whole, and had from another machine
		}
		report := Report{Version: w.Document.Version, Digest: w.Document.Digest}
		if fault != nil {
			report.Rejected, report.Reason = update.Latest, fault.Error()[:min(len(fault.Error()), maxReasonBytes)]
		}
		if err := errors.Join(session.Send(Encode(report)), fault); err != nil {
			return err
		}
	}
}

// applyUpdate has an update come into force. What was in force stays where it cannot.
func (w *Watcher) applyUpdate(ctx context.Context, update Update) error {
	if update.Snapshot != nil {
		to, err := configuration.DecodeSnapshot(update.Snapshot)
		if err != nil {
			return err
		}
		if to.Version < w.Document.Version {
			return fmt.Errorf("%w: a snapshot of version %d, and %d is in force", configuration.ErrCorrupt, to.Version, w.Document.Version)
		}
		if err := w.applyDiff(ctx, configuration.Diff(w.Document, to), to); err != nil {
			return err
		}
		w.persist(func() error { return w.Store.Replace(w.Document) })
	}
	for _, raw := range update.Deltas {
		delta, err := configuration.DecodeDelta(raw)
		if err != nil {
			return err
		}
		if err := w.applyDelta(ctx, delta); err != nil {
			return err
		}
	}
	return nil
}

// applyDelta has one delta come into force.
func (w *Watcher) applyDelta(ctx context.Context, delta configuration.Delta) error {
	undo := w.Document.Inverse(delta)
	if err := w.Document.Apply(delta); err != nil {
		return err
	}
	if err := w.Apply(ctx, delta, w.Document); err != nil {
		w.Document.Revert(undo)
		return err
	}
	w.markInForce()
	w.persist(func() error { return w.Store.Append(delta, w.Document) })
	return nil
}

// applyDiff has a whole document come into force by what differs.
func (w *Watcher) applyDiff(ctx context.Context, delta configuration.Delta, to *configuration.Document) error {
	if err := w.Apply(ctx, delta, to); err != nil {
		return err
	}
	w.Document = to
	w.markInForce()
	return nil
}

func (w *Watcher) markInForce() {
	w.version.Store(w.Document.Version)
	w.Logger.Info("configuration: in force", "version", w.Document.Version,
		"routes", len(w.Document.Routes), "tenants", len(w.Document.Tenants))
}

// persist puts what is in force on disk. A disk that fails costs the next start its configuration, and not this server.
func (w *Watcher) persist(put func() error) {
	if w.Store == nil {
		return
	}
	if err := put(); err != nil {
		w.Logger.Error("configuration: not kept on disk", "version", w.Document.Version, "error", err)
	}
}
