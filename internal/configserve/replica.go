// Package configserve is the control machine's side of the configuration service. A Replica holds the history of
// changes and applies the entries of the replicated log to it. A Server proposes changes to the log and sends every
// watcher the versions that it lacks. The log alone determines which changes are accepted and in which order.
package configserve

import (
	"encoding/json"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
)

const (
	maxAcceptTimes = 4096      // number of latest versions whose acceptance time is stored
	maxBatchBytes  = 256 << 10 // total size of the deltas in one update
)

// Replica is one control machine's copy of the history, together with the watchers connected to the machine. It
// implements raftlog.StateMachine and is safe for concurrent use.
type Replica struct {
	mu         sync.Mutex
	history    *configuration.History
	snapshot   []byte               // of the latest version, encoded on first use; nil until then
	changed    chan struct{}        // closed and replaced when the history changes
	acceptedAt map[uint64]time.Time // by version, on the clock of the leader at that time
	watchers   watchers
}

// NewReplica returns a replica with an empty history.
func NewReplica() *Replica {
	return &Replica{
		history: configuration.NewHistory(configuration.NewDocument()), changed: make(chan struct{}),
		acceptedAt: map[uint64]time.Time{}, watchers: newWatchers(),
	}
}

// Result is the value that Replica.Apply returns for a log entry. It is the same on every machine.
type Result struct {
	Version  uint64
	Repeated bool  // the change had already been accepted, as Version
	Err      error // a *configuration.ValidationError
}

// Apply implements raftlog.StateMachine. The entry is a configuration.Change encoded as JSON. Apply returns a Result.
func (r *Replica) Apply(entry []byte, appendedAt time.Time) any {
	change, err := parseEntry(entry)
	if err != nil {
		return Result{Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.history.Document.Version
	version, err := r.history.Accept(change)
	if version > before {
		r.acceptedAt[version] = appendedAt
		delete(r.acceptedAt, version-maxAcceptTimes)
		r.notify()
	}
	return Result{Version: version, Repeated: err == nil && version <= before, Err: err}
}

// Snapshot implements raftlog.StateMachine: it encodes the whole history.
func (r *Replica) Snapshot() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Encode()
}

// Restore implements raftlog.StateMachine. It replaces the history by the one encoded in the snapshot.
func (r *Replica) Restore(snapshot []byte) error {
	history, err := configuration.DecodeHistory(snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = history
	r.notify()
	return nil
}

// Validate checks a change before it is proposed, so that invalid changes do not enter the log. It returns the version
// of a change that was already accepted, or 0 for a new one. Acceptance is decided when the log entry is applied, as
// another change may be appended first.
func (r *Replica) Validate(entry []byte) (version uint64, err error) {
	change, err := parseEntry(entry)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, known := r.history.VersionOf(change.ID); known {
		return version, nil
	}
	return 0, r.history.Document.Validate(change)
}

// parseEntry parses a log entry. The error is a *configuration.ValidationError.
func parseEntry(entry []byte) (change configuration.Change, err error) {
	if err := json.Unmarshal(entry, &change); err != nil {
		return change, &configuration.ValidationError{Violations: []configuration.Violation{{
			Key: "change", Allowed: "is not readable: " + err.Error(),
		}}}
	}
	return change, nil
}

// notify wakes all watchers and discards the cached snapshot after the history changed.
func (r *Replica) notify() {
	r.snapshot = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// cursor is the position of a watcher's session in the history.
type cursor struct {
	version uint64               // last version sent in this session, or else the one the watcher started with
	digest  configuration.Digest // of the document that the watcher started with; unused once sent is true
	sent    bool                 // whether an update from this machine's history was sent, even an empty one
}

// step is the next update of a watcher's session.
type step struct {
	update  configwatch.Update // without deltas and snapshot if the watcher is up to date
	cursor  cursor             // after the update was sent
	changed <-chan struct{}    // closed when the history changes
}

// nextStep returns the next update for a watcher. It has deltas of a bounded total size, or a snapshot if the deltas
// are no longer stored or if the watcher's content differs under the same version.
func (r *Replica) nextStep(at cursor) step {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	s := step{update: configwatch.Update{Latest: document.Version}, cursor: at, changed: r.changed}
	if at.version > document.Version { // the watcher's previous machine was ahead of this one, which will catch up
		return s
	}
	deltas, needsSnapshot := r.history.Since(at.version)
	diverged := !at.sent && at.version == document.Version && at.digest != document.Digest
	if needsSnapshot || diverged {
		if r.snapshot == nil {
			r.snapshot = document.Snapshot()
		}
		s.update.Snapshot = r.snapshot
		s.cursor = cursor{version: document.Version, sent: true}
		return s
	}
	size := 0
	for i, delta := range deltas {
		if size += len(delta); i > 0 && size > maxBatchBytes {
			break
		}
		s.update.Deltas = append(s.update.Deltas, delta)
	}
	s.cursor = cursor{version: at.version + uint64(len(s.update.Deltas)), sent: true}
	return s
}
