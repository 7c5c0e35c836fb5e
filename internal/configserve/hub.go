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
	maxLags   = 4096 // of the latest reports
	maxBehind = 1024 // told in a status
	maxTimes  = 4096 // versions whose acceptance is remembered
	batch     = 256 << 10
)

// Hub holds the history on one machine and who watches it. The replicated log applies entries to it; it implements
// raftlog.Machine.
type Hub struct {
	mu       sync.Mutex
	history  *configuration.History
	snapshot []byte // of the document, made when first wanted
	changed  chan struct{}
	accepted map[uint64]time.Time
	watchers map[*watcher]bool
	faults   map[string]fault // by name, until the watcher has a later version in force; it may be away meanwhile
	lags     []time.Duration
	nextLag  int // the place of the oldest, once all are taken
}

// watcher is one that holds a session.
type watcher struct {
	name, zone string
	inForce    uint64
}

// fault is why a watcher could not bring a version into force.
type fault struct {
	zone    string
	inForce uint64
	words   string
}

// NewHub begins with a history of nothing.
func NewHub() *Hub {
	return &Hub{
		history: configuration.NewHistory(configuration.NewDocument()), changed: make(chan struct{}),
		accepted: map[uint64]time.Time{}, watchers: map[*watcher]bool{}, faults: map[string]fault{},
	}
}

// Result is what an entry of the log came to. The same entry comes to the same on every machine.
type Result struct {
	Version uint64
	Err     error // a *configuration.Refusal
}

// Apply takes the next entry of the log, which the leader appended at a moment.
func (h *Hub) Apply(entry []byte, at time.Time) any {
	var change configuration.Change
	if err := json.Unmarshal(entry, &change); err != nil {
		return Result{Err: unreadable(err)}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.history.Document.Version
	version, err := h.history.Accept(change)
	if version > before {
		h.accepted[version] = at
		delete(h.accepted, version-maxTimes)
		h.tell()
	}
	return Result{Version: version, Err: err}
}

func unreadable(err error) *configuration.ValidationError {
	return &configuration.ValidationError{Violations: []configuration.Violation{{Key: "change", Allowed: "is not readable: " + err.Error()}}}
}

// tell wakes all watchers.
func (h *Hub) tell() {
	h.snapshot = nil
	close(h.changed)
	h.changed = make(chan struct{})
}

// Snapshot is the whole history.
func (h *Hub) Snapshot() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.Encode()
}

// Restore takes a whole history in the place of what was there.
func (h *Hub) Restore(raw []byte) error {
	history, err := configuration.DecodeHistory(raw)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = history
	h.tell()
	return nil
}

// Check tells what would keep a change from being accepted now, so that one with a fault never gets into the log. The log
// decides: another change may come first.
func (h *Hub) Check(entry []byte) (version uint64, err error) {
	var change configuration.Change
	if err := json.Unmarshal(entry, &change); err != nil {
		return 0, unreadable(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if version, known := h.history.VersionOf(change.ID); known {
		return version, nil
	}
	return 0, h.history.Document.Validate(change)
}

// position is how far a watcher was told.
type position struct {
	version uint64
	digest  configuration.Digest
	any     bool // something was told in this session
}

// lacks is the next message for a watcher: deltas of a bounded size or a whole snapshot, nothing where it has all; and
// what is closed once there is more.
func (h *Hub) lacks(at position) (update configwatch.Update, then position, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	document := h.history.Document
	update.Newest, changed = document.Version, h.changed
	if at.version > document.Version { // this machine is behind the one that was watched before
		return update, at, changed
	}
	deltas, whole := h.history.Since(at.version)
	forked := !at.any && at.version == document.Version && at.digest != document.Digest
	if whole || forked {
		if h.snapshot == nil {
			h.snapshot = document.Snapshot()
		}
		update.Snapshot = h.snapshot
		return update, position{version: document.Version, any: true}, changed
	}
	size := 0
	for i, delta := range deltas {
		if size += len(delta); i > 0 && size > batch {
			break
		}
		update.Deltas = append(update.Deltas, delta)
	}
	return update, position{version: at.version + uint64(len(update.Deltas)), any: true}, changed
}

// join adds a watcher.
func (h *Hub) join(ask configwatch.Watch) *watcher {
	w := &watcher{name: ask.Name, zone: ask.Zone, inForce: ask.Version}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers[w] = true
	return w
}

func (h *Hub) leave(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
}

// report takes a watcher's word on what is in force there.
func (h *Hub) report(w *watcher, report configwatch.Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, known := h.accepted[report.Version]; known && report.Version > w.inForce {
		h.lag(max(now.Sub(at), 0))
	}
	w.inForce = report.Version
	delete(h.faults, w.name)
	if report.Fault != "" && len(h.faults) < maxBehind {
		h.faults[w.name] = fault{w.zone, report.Version, report.Fault}
	}
}

func (h *Hub) lag(lag time.Duration) {
	if len(h.lags) < maxLags {
		h.lags = append(h.lags, lag)
		return
	}
	h.lags[h.nextLag] = lag
	h.nextLag = (h.nextLag + 1) % maxLags
}

// Status is how the machine and its watchers stand.
func (h *Hub) Status(name, leader string, now time.Time) configwatch.MachineStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	document := h.history.Document
	status := configwatch.MachineStatus{
		Name: name, Leader: leader, Version: document.Version, Digest: document.Digest, Watchers: len(h.watchers),
		Lags: slices.Clone(h.lags),
	}
	for name, f := range h.faults {
		status.Behind = append(status.Behind, h.behind(name, f.zone, f.inForce, f.words, now))
	}
	for w := range h.watchers {
		if _, told := h.faults[w.name]; !told && w.inForce != document.Version {
			status.Behind = append(status.Behind, h.behind(w.name, w.zone, w.inForce, "", now))
		}
	}
	slices.SortFunc(status.Behind, func(a, b configwatch.Straggler) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	status.Behind = status.Behind[:min(len(status.Behind), maxBehind)]
	return status
}

// behind is a watcher that does not have the newest version in force.
func (h *Hub) behind(name, zone string, inForce uint64, words string, now time.Time) configwatch.Straggler {
	behind := configwatch.Straggler{Name: name, Zone: zone, Version: inForce, Fault: words}
	if at, known := h.accepted[inForce+1]; known {
		behind.Since = max(now.Sub(at), 0)
	}
	return behind
}
