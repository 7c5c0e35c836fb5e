// Package configwatch is the app server's client of the configuration service. A Watcher maintains a session with one
// of the control machines. It receives the deltas or snapshots that the server lacks, applies them in order, reports
// the version in force and stores it for the next start. The package also defines the messages of the service for both
// sides.
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
	contactTimeout  = 3 * Heartbeat // time without a message after which the session is closed
	dialTimeout     = time.Second
	minBackoff      = 100 * time.Millisecond // mean wait before the next attempt; doubles with each failure, up to maxBackoff
	maxBackoff      = 2 * time.Second
	maxRetryAfter   = 4 * time.Second // a longer Retry-After of a control machine is shortened to this
	reconnectSpread = time.Second     // period over which the watchers of a failed machine reconnect
)

// Endpoint is the address of a control machine and its zone.
type Endpoint struct {
	Zone    string
	Address string
}

// Store stores the version in force for the next start. Its methods are called from a single goroutine.
type Store interface {
	// Replace stores a whole document and discards everything stored before.
	Replace(d *configuration.Document) error
	// Append stores a delta; d is the document after it.
	Append(delta configuration.Delta, d *configuration.Document) error
}

// Watcher keeps a server's configuration at the latest version of the service. The exported fields must be set before
// Run and not changed afterwards. Run modifies Document, which must not be used elsewhere meanwhile.
type Watcher struct {
	Name      string     // name of the server in the status of the service
	Zone      string     // zone of the server; its endpoints are tried first
	Endpoints []Endpoint // at least one
	Keys      peersync.Keys
	Document  *configuration.Document // in force
	// Apply applies a delta and returns once it is in force; to is the document after the delta. If it returns an
	// error, no part of the delta is in force. It must not retain the document.
	Apply  func(ctx context.Context, delta configuration.Delta, to *configuration.Document) error
	Store  Store // nil if versions are not stored
	Seed   int64 // of the random backoff and order of endpoints
	Logger *slog.Logger

	attempted   map[string]bool // addresses tried in the current pass over all endpoints
	version     atomic.Uint64
	connected   atomic.Bool
	lastContact atomic.Int64 // Unix nanoseconds of the last message; 0 if none was received
}

// WatcherStatus is the state of a Watcher.
type WatcherStatus struct {
	Version      uint64        `json:"version"`   // in force
	Connected    bool          `json:"connected"` // to a control machine
	SinceContact time.Duration `json:"silent_ns"` // since the last message of a control machine; negative if none was received
}

// Status returns the current status. It is safe for concurrent use.
func (w *Watcher) Status() WatcherStatus {
	status := WatcherStatus{Version: w.version.Load(), Connected: w.connected.Load(), SinceContact: -1}
	if last := w.lastContact.Load(); last > 0 {
		status.SinceContact = time.Since(time.Unix(0, last))
	}
	return status
}

// Run watches the service until the context ends. It reconnects with backoff after a failure.
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
		// If a machine fails after serving for a while, all its watchers lose their sessions at the same time. Random
		// delays spread out their reconnections.
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

// nextEndpoint returns a random endpoint among those not yet tried in the current pass over all endpoints. It prefers
// endpoints in the server's own zone.
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
// requested again from another machine, and one that could not be applied is retried after the backoff.
func (w *Watcher) applyAndReport(ctx context.Context, session *peersync.Session, update Update) error {
	applyErr := w.applyUpdate(ctx, update)
	if errors.Is(applyErr, configuration.ErrCorrupt) {
		return applyErr
	}
	report := Report{Version: w.Document.Version, Digest: w.Document.Digest}
	if applyErr != nil {
		reason := applyErr.Error()
		// Rejected is the latest version that the control machine knows. The delta that failed may be an earlier one,
		// the next after Version.
		report.Rejected, report.Reason = update.Latest, reason[:min(len(reason), maxReasonBytes)]
	}
	return errors.Join(session.Send(Encode(report)), applyErr)
}

// applyUpdate applies an update's snapshot or deltas. If one fails, the version before it stays in force.
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
		return fmt.Errorf("%w: snapshot of version %d is older than version %d in force", configuration.ErrCorrupt, to.Version, w.Document.Version)
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

// persist stores the version in force. If the write fails, the server continues, but its next start begins with an
// older version.
func (w *Watcher) persist(write func() error) {
	if w.Store == nil {
		return
	}
	if err := write(); err != nil {
		w.Logger.Error("configuration: version in force not stored", "version", w.Document.Version, "error", err)
	}
}
