package scale

import (
	"errors"
	"fmt"
	"time"

	"quartzpoint/configuration"
)

// Accepted is a change that the service said to have accepted.
type Accepted struct {
	Marker  float64 // that the change alone wrote, the next larger one with each change
	Version uint64
	At      time.Time // when it was first proposed
}

// Step is one version of the history, as a watcher that missed nothing was told of it.
type Step struct {
	Version uint64
	Digest  configuration.Digest
	Marker  float64 // in force from this version on
}

// InForce is a version that came into force at a server.
type InForce struct {
	Server  string
	Version uint64
	Digest  configuration.Digest
	At      time.Time
	Started bool // the server has just started; what was in force before is gone
}

// History is what was recorded of a run.
type History struct {
	Accepted []Accepted // in the order in which they were accepted
	Steps    []Step     // in the order in which they came
	InForce  []InForce  // of each server in its order
}

// Check tells what should not have been: an accepted change that is lost, or stands elsewhere in the order; a version
// that came back, or was never there; content that is not that of its version.
func (h *History) Check() error {
	var faults []error
	fault := func(words string, of ...any) {
		if len(faults) < 20 {
			faults = append(faults, fmt.Errorf(words, of...))
		}
	}
	digests, markers := h.steps(fault)
	h.accepted(markers, fault)
	h.inForce(digests, fault)
	return errors.Join(faults...)
}

// steps sees that versions only grow, one by one.
func (h *History) steps(fault func(string, ...any)) (digests map[uint64]configuration.Digest, markers map[uint64]float64) {
	digests, markers = map[uint64]configuration.Digest{}, map[uint64]float64{}
	for i, step := range h.Steps {
		if i > 0 && step.Version != h.Steps[i-1].Version+1 {
			fault("history: version %d behind %d", step.Version, h.Steps[i-1].Version)
		}
		if i > 0 && step.Marker < h.Steps[i-1].Marker {
			fault("history: version %d holds change %g, and an earlier one %g: reordered", step.Version, step.Marker, h.Steps[i-1].Marker)
		}
		digests[step.Version], markers[step.Version] = step.Digest, step.Marker
	}
	return digests, markers
}

// accepted sees that each accepted change is in the history where it was said to be.
func (h *History) accepted(markers map[uint64]float64, fault func(string, ...any)) {
	for i, change := range h.Accepted {
		if i > 0 && change.Version <= h.Accepted[i-1].Version {
			fault("accepted: version %d behind %d", change.Version, h.Accepted[i-1].Version)
		}
		marker, there := markers[change.Version]
		switch {
		case !there:
			fault("accepted: version %d is not in the history: lost", change.Version)
		case marker != change.Marker:
			fault("accepted: version %d holds change %g, and %g was accepted as it: lost or reordered", change.Version, marker, change.Marker)
		}
	}
}

// inForce sees that servers were only ever in force at versions of the history, each behind the one before.
func (h *History) inForce(digests map[uint64]configuration.Digest, fault func(string, ...any)) {
	last := map[string]uint64{}
	for _, e := range h.InForce {
		if e.Started {
			delete(last, e.Server)
			continue
		}
		digest, there := digests[e.Version]
		switch {
		case !there:
			fault("%s: in force at version %d, which the history does not hold", e.Server, e.Version)
		case digest != e.Digest:
			fault("%s: in force at version %d with other content", e.Server, e.Version)
		}
		if before, known := last[e.Server]; known && e.Version <= before {
			fault("%s: in force at version %d behind %d", e.Server, e.Version, before)
		}
		last[e.Server] = e.Version
	}
}

// Lags are how long each change took until it was in force at each server that was there all along, or came to it by a
// later version; since and until bound its proposal. It begins with that, so a wait for a leader is in it.
func (h *History) Lags(since, until time.Time) (lags []time.Duration) {
	byServer := map[string][]InForce{}
	for _, e := range h.InForce {
		if !e.Started {
			byServer[e.Server] = append(byServer[e.Server], e)
		}
	}
	for _, change := range h.Accepted {
		if change.At.Before(since) || change.At.After(until) {
			continue
		}
		for _, events := range byServer {
			for _, e := range events {
				if e.Version >= change.Version {
					lags = append(lags, max(e.At.Sub(change.At), 0))
					break
				}
			}
		}
	}
	return lags
}
