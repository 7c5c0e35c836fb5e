// Package configserve is a control machine's side of the configuration service: it answers proposals of changes, and
// tells every watcher what it lacks. Which changes there are, and in which order, is its replicated log's.
package configserve

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/configwatch"
)

const (
	maxDelays      = 4096 // of the latest reports
	maxLagging     = 1024 // told in a status
	maxAcceptTimes = 4096 // versions whose acceptance is remembered
	maxBatchBytes  = 256 << 10
)

// Replica holds the history on one machine and who watches it. The replicated log applies entries to it; it implements
// raftlog.Machine.
type Replica struct {
	mu          sync.Mutex
	history     *configuration.History
	snapshot    []byte // of the document, made when first wanted
	changed     chan struct{}
	acceptedAt  map[uint64]time.Time
	watchers    map[*watcher]bool
	rejections  map[string]rejection // by name, until the watcher has a later version in force; it may be away meanwhile
	delays      []time.Duration
	oldestDelay int // the place of the oldest, once all are taken
}

// watcher is one that holds a session.
type watcher struct {
	name, zone string
	inForce    uint64
}

// rejection is why a watcher could not bring a version into force.
type rejection struct {
	zone    string
	inForce uint64
	reason  string
}

// NewReplica begins with a history of nothing.
func NewReplica() *Replica {
	return &Replica{
		history: configuration.NewHistory(configuration.NewDocument()), changed: make(chan struct{}),
		acceptedAt: map[uint64]time.Time{}, watchers: map[*watcher]bool{}, rejections: map[string]rejection{},
	}
}

// Result is what an entry of the log came to. The same entry comes to the same on every machine.
type Result struct {
	Version uint64
	Err     error // a *configuration.Refusal
}

// Apply takes the next entry of the log, which the leader appended at a moment.
func (r *Replica) Apply(entry []byte, at time.Time) any {
	var change configuration.Change
	if err := json.Unmarshal(entry, &change); err != nil {
		return Result{Err: unreadableChange(err)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.history.Document.Version
	version, err := r.history.Accept(change)
	if version > before {
		r.acceptedAt[version] = at
		delete(r.acceptedAt, version-maxAcceptTimes)
		r.notify()
	}
	return Result{Version: version, Err: err}
}

func unreadableChange(err error) *configuration.ValidationError {
	return &configuration.ValidationError{Violations: []configuration.Violation{{Key: "change", Allowed: "is not readable: " + err.Error()}}}
}

// notify wakes all watchers.
func (r *Replica) notify() {
	r.snapshot = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot is the whole history.
func (r *Replica) Snapshot() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Encode()
}

// Restore takes a whole history in the place of what was there.
func (r *Replica) Restore(raw []byte) error {
	history, err := configuration.DecodeHistory(raw)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = history
	r.notify()
	return nil
}

// Validate tells what would keep a change from being accepted now, so that one with a fault never gets into the log. The log
// decides: another change may come first.
func (r *Replica) Validate(entry []byte) (version uint64, err error) {
	var change configuration.Change
	if err := json.Unmarshal(entry, &change); err != nil {
		return 0, unreadableChange(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, accepted := r.history.VersionOf(change.ID); accepted {
		return version, nil
	}
	return 0, r.history.Document.Validate(change)
}

// cursor is how far a watcher was told.
type cursor struct {
	version uint64
	digest  configuration.Digest
	sent    bool // something was told in this session
}

// nextUpdate is the next message for a watcher: deltas of a bounded size or a whole snapshot, nothing where it has all; and
// what is closed once there is more.
func (r *Replica) nextUpdate(at cursor) (update configwatch.Update, then cursor, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	update.Latest, changed = document.Version, r.changed
	if at.version > document.Version { // this machine is behind the one that was watched before
		return update, at, changed
	}
	deltas, whole := r.history.Since(at.version)
	forked := !at.sent && at.version == document.Version && at.digest != document.Digest
	if whole || forked {
		if r.snapshot == nil {
			r.snapshot = document.Snapshot()
		}
		update.Snapshot = r.snapshot
		return update, cursor{version: document.Version, sent: true}, changed
	}
	size := 0
	for i, delta := range deltas {
		if size += len(delta); i > 0 && size > maxBatchBytes {
			break
		}
		update.Deltas = append(update.Deltas, delta)
	}
	return update, cursor{version: at.version + uint64(len(update.Deltas)), sent: true}, changed
}

// addWatcher adds a watcher.
func (r *Replica) addWatcher(ask configwatch.WatchRequest) *watcher {
	w := &watcher{name: ask.Name, zone: ask.Zone, inForce: ask.Version}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w] = true
	return w
}

func (r *Replica) removeWatcher(w *watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchers, w)
}

// recordReport takes a watcher's word on what is in force there.
func (r *Replica) recordReport(w *watcher, report configwatch.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.acceptedAt[report.Version]; known && report.Version > w.inForce {
		r.recordDelay(max(now.Sub(at), 0))
	}
	w.inForce = report.Version
	delete(r.rejections, w.name)
	if report.Reason != "" && len(r.rejections) < maxLagging {
		r.rejections[w.name] = rejection{w.zone, report.Version, report.Reason}
	}
}

func (r *Replica) recordDelay(lag time.Duration) {
	if len(r.delays) < maxDelays {
		r.delays = append(r.delays, lag)
		return
	}
	r.delays[r.oldestDelay] = lag
	r.oldestDelay = (r.oldestDelay + 1) % maxDelays
}

// Status is how the machine and its watchers stand.
func (r *Replica) Status(name, leader string, now time.Time) configwatch.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	status := configwatch.ReplicaStatus{
		Name: name, Leader: leader, Version: document.Version, Digest: document.Digest, Watchers: len(r.watchers),
		PropagationDelays: slices.Clone(r.delays),
	}
	for name, f := range r.rejections {
		status.Lagging = append(status.Lagging, r.laggingWatcher(name, f.zone, f.inForce, f.reason, now))
	}
	for w := range r.watchers {
		if _, told := r.rejections[w.name]; !told && w.inForce != document.Version {
			status.Lagging = append(status.Lagging, r.laggingWatcher(w.name, w.zone, w.inForce, "", now))
		}
	}
	slices.SortFunc(status.Lagging, func(a, b configwatch.LaggingWatcher) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	status.Lagging = status.Lagging[:min(len(status.Lagging), maxLagging)]
	return status
}

// laggingWatcher is a watcher that does not have the newest version in force.
func (r *Replica) laggingWatcher(name, zone string, inForce uint64, words string, now time.Time) configwatch.LaggingWatcher {
	behind := configwatch.LaggingWatcher{Name: name, Zone: zone, Version: inForce, Reason: words}
	if at, known := r.acceptedAt[inForce+1]; known {
		behind.BehindFor = max(now.Sub(at), 0)
	}
	return behind
}
