// Package configserve is a control machine's side of the configuration service. A Replica holds the history of changes,
// to which the replicated log applies its entries; a Server accepts proposed changes into the log, and sends every
// watcher what it lacks. Which changes there are, and their order, is decided by the log alone.
package configserve

import (
	"encoding/json"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
)

const (
	maxAcceptTimes = 4096      // latest versions whose time of acceptance is stored
	maxBatchBytes  = 256 << 10 // of the deltas of one update
)

// Replica is the history on one control machine, and the watchers connected to it. It implements raftlog.StateMachine,
// and is safe for concurrent use.
type Replica struct {
	mu         sync.Mutex
	history    *configuration.History
	snapshot   []byte        // of the latest version; nil until it is needed
	changed    chan struct{} // closed and replaced at each new version
	acceptedAt map[uint64]time.Time
	watchers   watchers
}

// NewReplica returns a replica with the empty history.
func NewReplica() *Replica {
	return &Replica{
		history: configuration.NewHistory(configuration.NewDocument()), changed: make(chan struct{}),
		acceptedAt: map[uint64]time.Time{}, watchers: newWatchers(),
	}
}

// Result is what applying an entry of the log returns. It is the same on every machine.
type Result struct {
	Version  uint64
	Repeated bool  // the change was accepted before, as Version
	Err      error // a *configuration.ValidationError
}

// Apply implements raftlog.StateMachine. An entry is a configuration.Change as JSON; it returns a Result.
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

// Restore implements raftlog.StateMachine.
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

// Validate checks a change before it is proposed to the log, so that an invalid one never gets there. It returns the
// version of a change that was accepted before, 0 for a new one. The log decides: another change may come first.
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

// parseEntry parses an entry of the log. The error is a *configuration.ValidationError.
func parseEntry(entry []byte) (change configuration.Change, err error) {
	if err := json.Unmarshal(entry, &change); err != nil {
		return change, &configuration.ValidationError{Violations: []configuration.Violation{{
			Key: "change", Allowed: "is not readable: " + err.Error(),
		}}}
	}
	return change, nil
}

// notify wakes all watchers after the history changed.
func (r *Replica) notify() {
	r.snapshot = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// cursor is how far a watcher's session has come.
type cursor struct {
	version uint64 // the last one that was sent, or that the watcher began with
	digest  configuration.Digest
	sent    bool // whether deltas or a snapshot were sent in this session
}

// step is the next update of a watcher's session.
type step struct {
	update  configwatch.Update // without deltas and snapshot where the watcher has everything
	cursor  cursor             // after the update was sent
	changed <-chan struct{}    // closed once there is a later version
}

// nextStep returns the next update for a watcher: deltas of a bounded size, or a snapshot where the deltas are no longer
// stored or the watcher has other content under the same version.
func (r *Replica) nextStep(at cursor) step {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	s := step{update: configwatch.Update{Latest: document.Version}, cursor: at, changed: r.changed}
	if at.version > document.Version { // the watcher's last machine was ahead of this one, which will catch up
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
