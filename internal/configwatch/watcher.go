// Package configwatch is the app server's client of the configuration service. A Watcher holds a session with one of the
// control machines, receives the deltas or snapshots that the server lacks, applies them in order, reports the version in
// force, and stores it for the next start. The package also defines the service's messages, for both of its sides.
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
	contactTimeout  = 3 * Heartbeat // without a message, after which the machine is considered lost
	dialTimeout     = time.Second
	minBackoff      = 100 * time.Millisecond // mean wait before the next attempt; doubled up to maxBackoff
	maxBackoff      = 2 * time.Second
	maxRetryAfter   = 4 * time.Second // bound of the Retry-After of a machine
	reconnectSpread = time.Second     // over which the watchers of a lost machine reconnect
)

// Endpoint is where a control machine is reached.
type Endpoint struct {
	Zone    string
	Address string
}

// Store stores the version in force for the next start. It is called by one goroutine.
type Store interface {
	// Replace stores a whole document in place of everything before it.
	Replace(d *configuration.Document) error
	// Append stores the delta that led to the document d.
	Append(delta configuration.Delta, d *configuration.Document) error
}

// Watcher keeps a server's configuration at the latest version of the service. The exported fields are set before Run
// and not changed after; Run owns Document.
type Watcher struct {
	Name      string     // of the server, in the status of the service
	Zone      string     // of the server; endpoints of it are tried first
	Endpoints []Endpoint // at least one
	Keys      peersync.Keys
	Document  *configuration.Document // in force
	// Apply applies a delta, which leads to the document to, and returns once it is in force. Where it returns an error
	// nothing of the delta is in force. It must not retain the document.
	Apply  func(ctx context.Context, delta configuration.Delta, to *configuration.Document) error
	Store  Store // nil where nothing is stored
	Seed   int64 // of the backoff and of the order of endpoints
	Logger *slog.Logger

	attempted   map[string]bool // addresses that were tried since all were
	version     atomic.Uint64
	connected   atomic.Bool
	lastContact atomic.Int64 // Unix nanoseconds of the last message; 0 for never
}

// WatcherStatus is the state of a Watcher.
type WatcherStatus struct {
	Version      uint64        `json:"version"`   // in force
	Connected    bool          `json:"connected"` // to a control machine
	SinceContact time.Duration `json:"silent_ns"` // since the last message of a control machine; negative for never
}

// Status returns the present state. It is safe for concurrent use.
func (w *Watcher) Status() WatcherStatus {
	status := WatcherStatus{Version: w.version.Load(), Connected: w.connected.Load(), SinceContact: -1}
	if last := w.lastContact.Load(); last > 0 {
		status.SinceContact = time.Since(time.Unix(0, last))
	}
	return status
}

// Run watches the service, and reconnects with backoff, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.version.Store(w.Document.Version)
	random := rand.New(rand.NewSource(w.Seed))
	backoff := minBackoff
	for {
		endpoint := w.nextEndpoint(random)
		started := time.Now()
		err := w.runSession(ctx, endpoint)
		w.connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		w.Logger.Warn("configuration: session with control machine ended", "machine", endpoint.Address, "error", err,
			"version", w.Document.Version)
		// A machine that served for a while and is lost loses all its watchers at once; they reconnect spread out.
		served := time.Since(started) > contactTimeout
		if served {
			backoff = minBackoff
		}
		wait := time.Duration(random.Int63n(int64(2 * backoff)))
		if served {
			wait = time.Duration(random.Int63n(int64(reconnectSpread)))
		}
		var rejected *peersync.RejectedError
		if errors.As(err, &rejected) {
			wait += min(rejected.RetryAfter, maxRetryAfter)
		}
		backoff = min(2*backoff, maxBackoff)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// nextEndpoint returns a random endpoint among those not tried since all were, in the server's own zone if there is one.
func (w *Watcher) nextEndpoint(random *rand.Rand) Endpoint {
	if len(w.attempted) >= len(w.Endpoints) || w.attempted == nil {
		w.attempted = map[string]bool{}
	}
	order := slices.Clone(w.Endpoints)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	rank := func(e Endpoint) int {
		switch {
		case w.attempted[e.Address]:
			return 2
		case e.Zone != w.Zone:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b Endpoint) int { return rank(a) - rank(b) })
	w.attempted[order[0].Address] = true
	return order[0]
}

// runSession watches one control machine until the session fails.
func (w *Watcher) runSession(ctx context.Context, endpoint Endpoint) error {
	session, closeSession, err := openSession(ctx, endpoint.Address, w.Keys)
	if err != nil {
		return err
	}
	defer closeSession()
	watch := WatchRequest{Name: w.Name, Zone: w.Zone, Version: w.Document.Version, Digest: w.Document.Digest}
	if err := session.Send(Encode(Request{Watch: &watch})); err != nil {
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
			w.Logger.Info("configuration: watching", "machine", endpoint.Address, "version", w.Document.Version, "newest", update.Latest)
		}
		w.lastContact.Store(time.Now().UnixNano())
		if len(update.Deltas) == 0 && update.Snapshot == nil {
			continue
		}
		if err := w.applyAndReport(ctx, session, update); err != nil {
			return err
		}
	}
}

// applyAndReport applies an update and reports the version in force. Any error ends the session: a corrupt update is
// requested again from another machine, and one that could not be applied is tried again after the backoff.
func (w *Watcher) applyAndReport(ctx context.Context, session *peersync.Session, update Update) error {
	applyErr := w.applyUpdate(ctx, update)
	if errors.Is(applyErr, configuration.ErrCorrupt) {
		return applyErr
	}
	report := Report{Version: w.Document.Version, Digest: w.Document.Digest}
	if applyErr != nil {
		reason := applyErr.Error()
		// The newest version that this machine knew: the one that failed may be an earlier one, which Version is just before.
		report.Rejected, report.Reason = update.Latest, reason[:min(len(reason), maxReasonBytes)]
	}
	return errors.Join(session.Send(Encode(report)), applyErr)
}

// applyUpdate applies an update's snapshot or deltas. What was in force before the failing one stays in force.
func (w *Watcher) applyUpdate(ctx context.Context, update Update) error {
	if update.Snapshot != nil {
		if err := w.applySnapshot(ctx, update.Snapshot); err != nil {
			return err
		}
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

func (w *Watcher) applySnapshot(ctx context.Context, raw []byte) error {
	to, err := configuration.DecodeSnapshot(raw)
	if err != nil {
		return err
	}
	if to.Version < w.Document.Version {
		return fmt.Errorf("%w: a snapshot of version %d, and %d is in force", configuration.ErrCorrupt, to.Version, w.Document.Version)
	}
	if err := w.Apply(ctx, configuration.Diff(w.Document, to), to); err != nil {
		return err
	}
	w.Document = to
	w.markInForce()
	w.persist(func() error { return w.Store.Replace(w.Document) })
	return nil
}

func (w *Watcher) applyDelta(ctx context.Context, delta configuration.Delta) error {
	inverse := w.Document.Inverse(delta)
	if err := w.Document.Apply(delta); err != nil {
		return err
	}
	if err := w.Apply(ctx, delta, w.Document); err != nil {
		w.Document.Revert(inverse)
		return err
	}
	w.markInForce()
	w.persist(func() error { return w.Store.Append(delta, w.Document) })
	return nil
}

func (w *Watcher) markInForce() {
	w.version.Store(w.Document.Version)
	w.Logger.Info("configuration: in force", "version", w.Document.Version,
		"routes", len(w.Document.Routes), "tenants", len(w.Document.Tenants))
}

// persist stores the version in force. A failing disk leaves the next start with an older version; this server goes on.
func (w *Watcher) persist(write func() error) {
	if w.Store == nil {
		return
	}
	if err := write(); err != nil {
		w.Logger.Error("configuration: version in force not stored", "version", w.Document.Version, "error", err)
	}
}
