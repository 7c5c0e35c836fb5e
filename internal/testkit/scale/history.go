package scale

import (
	"errors"
	"fmt"
	"time"

	"quartzpoint/configuration"
)

// AcceptedChange is a change that the service accepted.
type AcceptedChange struct {
	Marker  float64 // written by this change only; greater than that of the change before
	Version uint64
	At      time.Time // when it was first proposed
}

// RecordedVersion is one version, as the recorder received it.
type RecordedVersion struct {
	Version uint64
	Digest  configuration.Digest
	Marker  float64 // in the configuration as of this version
}

// AppliedVersion states that a server applied a version or has started.
type AppliedVersion struct {
	Server  string
	Version uint64
	Digest  configuration.Digest
	At      time.Time
	Started bool // the server has just started without the versions that it had applied before
}

// History is the record of a run.
type History struct {
	Accepted []AcceptedChange  // in order of acceptance
	Versions []RecordedVersion // in order of receipt
	Applied  []AppliedVersion  // of each server in the order in which it applied them
}

// Check returns an error if an accepted change is lost or reordered, if a server applied a version that is not in the
// history or not later than its last one, or if the content does not match the version. It reports the first 20 faults.
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

// checkVersions checks that versions increase by one and that markers do not decrease. It returns the digest and the
// marker of each version.
func (h *History) checkVersions(report func(string, ...any)) (digests map[uint64]configuration.Digest, markers map[uint64]float64) {
	digests, markers = map[uint64]configuration.Digest{}, map[uint64]float64{}
	for i, recorded := range h.Versions {
		if i > 0 && recorded.Version != h.Versions[i-1].Version+1 {
			report("history: version %d after %d", recorded.Version, h.Versions[i-1].Version)
		}
		if i > 0 && recorded.Marker < h.Versions[i-1].Marker {
			report("history: version %d contains change %g, and the version before it change %g: reordered", recorded.Version, recorded.Marker, h.Versions[i-1].Marker)
		}
		digests[recorded.Version], markers[recorded.Version] = recorded.Digest, recorded.Marker
	}
	return digests, markers
}

// checkAccepted checks that the accepted versions increase and that each accepted change is in the history at its
// version.
func (h *History) checkAccepted(markers map[uint64]float64, report func(string, ...any)) {
	for i, change := range h.Accepted {
		if i > 0 && change.Version <= h.Accepted[i-1].Version {
			report("accepted: version %d after %d", change.Version, h.Accepted[i-1].Version)
		}
		marker, found := markers[change.Version]
		switch {
		case !found:
			report("accepted: version %d is not in the history: lost", change.Version)
		case marker != change.Marker:
			report("accepted: version %d contains change %g, but change %g was accepted as this version: lost or reordered", change.Version, marker, change.Marker)
		}
	}
}

// checkApplied checks that servers applied only versions of the history, with the content of these, in increasing order
// between two starts.
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
			report("%s: applied version %d, which is not in the history", e.Server, e.Version)
		case digest != e.Digest:
			report("%s: applied version %d with other content", e.Server, e.Version)
		}
		if before, known := last[e.Server]; known && e.Version <= before {
			report("%s: applied version %d after %d", e.Server, e.Version, before)
		}
		last[e.Server] = e.Version
	}
}

// PropagationDelays returns the delays of the accepted changes that were proposed between since and until: for each
// change and server, the time until the server applied the version of the change or a later one. A server that applied
// neither has no delay. A delay begins with the first proposal, so it includes a wait for a leader.
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
