package scale

import (
	"errors"
	"fmt"
	"time"

	"quartzpoint/configuration"
)

// AcceptedChange is a change that the service accepted.
type AcceptedChange struct {
	Marker  float64 // that the change alone wrote, the next larger one with each change
	Version uint64
	At      time.Time // when it was first proposed
}

// VersionStep is one version, as the recording watcher received it.
type VersionStep struct {
	Version uint64
	Digest  configuration.Digest
	Marker  float64 // in force from this version on
}

// AppliedVersion is a version that a server applied.
type AppliedVersion struct {
	Server  string
	Version uint64
	Digest  configuration.Digest
	At      time.Time
	Started bool // the server has just started; what was in force before is gone
}

// History is what was recorded of a run.
type History struct {
	Accepted []AcceptedChange // in order of acceptance
	Versions []VersionStep    // in order of receipt
	Applied  []AppliedVersion // by server, in its order
}

// Check returns an error for an accepted change that is lost or at another place in the order, a server that went back to a
// version or applied one that never was, and content that is not that of its version.
func (h *History) Check() error {
	var faults []error
	report := func(format string, args ...any) {
		if len(faults) < 20 {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	digests, markers := h.checkVersions(report)
	h.checkAccepted(markers, report)
	h.checkApplied(digests, report)
	return errors.Join(faults...)
}

// checkVersions checks that versions grow one by one.
func (h *History) checkVersions(report func(string, ...any)) (digests map[uint64]configuration.Digest, markers map[uint64]float64) {
	digests, markers = map[uint64]configuration.Digest{}, map[uint64]float64{}
	for i, step := range h.Versions {
		if i > 0 && step.Version != h.Versions[i-1].Version+1 {
			report("history: version %d behind %d", step.Version, h.Versions[i-1].Version)
		}
		if i > 0 && step.Marker < h.Versions[i-1].Marker {
			report("history: version %d holds change %g, and an earlier one %g: reordered", step.Version, step.Marker, h.Versions[i-1].Marker)
		}
		digests[step.Version], markers[step.Version] = step.Digest, step.Marker
	}
	return digests, markers
}

// checkAccepted checks that each accepted change is in the history at its version.
func (h *History) checkAccepted(markers map[uint64]float64, report func(string, ...any)) {
	for i, change := range h.Accepted {
		if i > 0 && change.Version <= h.Accepted[i-1].Version {
			report("accepted: version %d behind %d", change.Version, h.Accepted[i-1].Version)
		}
		marker, found := markers[change.Version]
		switch {
		case !found:
			report("accepted: version %d is not in the history: lost", change.Version)
		case marker != change.Marker:
			report("accepted: version %d holds change %g, and %g was accepted as it: lost or reordered", change.Version, marker, change.Marker)
		}
	}
}

// checkApplied checks that servers applied only versions of the history, in growing order.
func (h *History) checkApplied(digests map[uint64]configuration.Digest, report func(string, ...any)) {
	last := map[string]uint64{}
	for _, e := range h.Applied {
		if e.Started {
			delete(last, e.Server)
			continue
		}
		digest, found := digests[e.Version]
		switch {
		case !found:
			report("%s: in force at version %d, which the history does not hold", e.Server, e.Version)
		case digest != e.Digest:
			report("%s: in force at version %d with other content", e.Server, e.Version)
		}
		if before, known := last[e.Server]; known && e.Version <= before {
			report("%s: in force at version %d behind %d", e.Server, e.Version, before)
		}
		last[e.Server] = e.Version
	}
}

// PropagationDelays are how long each change took until it was in force at each server that was there all along, or came to it by a
// later version; since and until bound its proposal. It begins with that, so a wait for a leader is in it.
func (h *History) PropagationDelays(since, until time.Time) (delays []time.Duration) {
	byServer := map[string][]AppliedVersion{}
	for _, e := range h.Applied {
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
					delays = append(delays, max(e.At.Sub(change.At), 0))
					break
				}
			}
		}
	}
	return delays
}
