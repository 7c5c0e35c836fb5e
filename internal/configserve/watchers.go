package configserve

import (
	"cmp"
	"slices"
	"time"

	"quartzpoint/internal/configwatch"
)

const (
	maxDelays  = 4096 // number of latest propagation delays that are stored
	maxLagging = 1024 // maximum number of lagging watchers in a status, and of stored rejections
)

// watcher is a connected watcher.
type watcher struct {
	name, zone string
	inForce    uint64
}

// rejection records why a watcher could not apply a version.
type rejection struct {
	zone    string
	inForce uint64
	reason  string
}

// watchers holds the connected watchers of a Replica and what they reported. It is guarded by the Replica's mutex.
type watchers struct {
	connected   map[*watcher]bool
	rejections  map[string]rejection // by watcher name, until its next report; kept while the watcher is disconnected
	delays      []time.Duration      // latest propagation delays; a ring buffer once it holds maxDelays
	oldestDelay int                  // index of the oldest delay once the ring buffer is full
}

func newWatchers() watchers {
	return watchers{connected: map[*watcher]bool{}, rejections: map[string]rejection{}}
}

func (w *watchers) recordDelay(delay time.Duration) {
	if len(w.delays) < maxDelays {
		w.delays = append(w.delays, delay)
		return
	}
	w.delays[w.oldestDelay] = delay
	w.oldestDelay = (w.oldestDelay + 1) % maxDelays
}

// addWatcher adds the watcher of a new session.
func (r *Replica) addWatcher(request configwatch.WatchRequest) *watcher {
	w := &watcher{name: request.Name, zone: request.Zone, inForce: request.Version}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers.connected[w] = true
	return w
}

// removeWatcher removes the watcher of a session that ended.
func (r *Replica) removeWatcher(w *watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchers.connected, w)
}

// recordReport records a watcher's report. If a newer version came into force, it also records that version's
// propagation delay.
func (r *Replica) recordReport(w *watcher, report configwatch.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.acceptedAt[report.Version]; known && report.Version > w.inForce {
		r.watchers.recordDelay(max(now.Sub(at), 0)) // the leader's clock may be ahead of this machine's
	}
	w.inForce = report.Version
	delete(r.watchers.rejections, w.name)
	if report.Reason != "" && len(r.watchers.rejections) < maxLagging {
		r.watchers.rejections[w.name] = rejection{zone: w.zone, inForce: report.Version, reason: report.Reason}
	}
}

// Status returns the status of this machine and of its watchers. name is the name of this machine, and leader that of
// the leader that it knows.
func (r *Replica) Status(name, leader string, now time.Time) configwatch.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	return configwatch.ReplicaStatus{
		Name: name, Leader: leader, Version: document.Version, Digest: document.Digest, Watchers: len(r.watchers.connected),
		PropagationDelays: slices.Clone(r.watchers.delays), Lagging: r.lagging(now),
	}
}

// lagging returns the watchers that do not have the latest version in force, ordered by version and name.
func (r *Replica) lagging(now time.Time) []configwatch.LaggingWatcher {
	var all []configwatch.LaggingWatcher
	add := func(name, zone string, inForce uint64, reason string) {
		lagging := configwatch.LaggingWatcher{Name: name, Zone: zone, Version: inForce, Reason: reason}
		if at, known := r.acceptedAt[inForce+1]; known {
			lagging.Lag = max(now.Sub(at), 0)
		}
		all = append(all, lagging)
	}
	for name, rejected := range r.watchers.rejections {
		add(name, rejected.zone, rejected.inForce, rejected.reason)
	}
	for w := range r.watchers.connected {
		if _, reported := r.watchers.rejections[w.name]; !reported && w.inForce != r.history.Document.Version {
			add(w.name, w.zone, w.inForce, "")
		}
	}
	slices.SortFunc(all, func(a, b configwatch.LaggingWatcher) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(len(all), maxLagging)]
}
