package configserve

import (
	"cmp"
	"slices"
	"time"

	"quartzpoint/internal/configwatch"
)

const (
	maxDelays  = 4096 // latest propagation delays that are stored
	maxLagging = 1024 // watchers of a status, and stored rejections
)

// watcher is a connected watcher.
type watcher struct {
	name, zone string
	inForce    uint64
}

// rejection is why a watcher could not apply a version.
type rejection struct {
	zone    string
	inForce uint64
	reason  string
}

// watchers are the connected watchers of a Replica and what they reported. The Replica's mutex guards it.
type watchers struct {
	connected   map[*watcher]bool
	rejections  map[string]rejection // by name, until its next report; the watcher disconnects in between
	delays      []time.Duration      // a ring once it is full
	oldestDelay int                  // index in the full ring
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

// addWatcher adds a watcher whose session begins.
func (r *Replica) addWatcher(request configwatch.WatchRequest) *watcher {
	w := &watcher{name: request.Name, zone: request.Zone, inForce: request.Version}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers.connected[w] = true
	return w
}

// removeWatcher removes a watcher whose session ended.
func (r *Replica) removeWatcher(w *watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchers.connected, w)
}

// recordReport records a watcher's report, and the propagation delay of the version that came into force.
func (r *Replica) recordReport(w *watcher, report configwatch.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.acceptedAt[report.Version]; known && report.Version > w.inForce {
		r.watchers.recordDelay(max(now.Sub(at), 0)) // the leader's clock may be ahead
	}
	w.inForce = report.Version
	delete(r.watchers.rejections, w.name)
	if report.Reason != "" && len(r.watchers.rejections) < maxLagging {
		r.watchers.rejections[w.name] = rejection{zone: w.zone, inForce: report.Version, reason: report.Reason}
	}
}

// Status returns the state of this machine, which has a name and knows a leader, and of its watchers.
func (r *Replica) Status(name, leader string, now time.Time) configwatch.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	document := r.history.Document
	return configwatch.ReplicaStatus{
		Name: name, Leader: leader, Version: document.Version, Digest: document.Digest, Watchers: len(r.watchers.connected),
		PropagationDelays: slices.Clone(r.watchers.delays), Lagging: r.lagging(now),
	}
}

// lagging returns the watchers that do not have the latest version in force, those furthest behind first.
func (r *Replica) lagging(now time.Time) []configwatch.LaggingWatcher {
	var all []configwatch.LaggingWatcher
	add := func(name, zone string, inForce uint64, reason string) {
		lagging := configwatch.LaggingWatcher{Name: name, Zone: zone, Version: inForce, Reason: reason}
		if at, known := r.acceptedAt[inForce+1]; known {
			lagging.BehindFor = max(now.Sub(at), 0)
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
