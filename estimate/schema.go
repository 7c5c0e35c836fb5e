package estimate

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Bounds on the estimates of another server. A value outside them cannot have been measured by any process.
const (
	maxAge                     = 24 * time.Hour
	maxSamples                 = 1e9
	maxSpread                  = 100.0  // multiple of the mean
	maxDeadlineMultiple        = 4.0    // multiple of the route's deadline, for core and run times
	minTime                    = 1e-7   // seconds
	maxTime                    = 3600.0 // seconds; maxDeadlineMultiple may limit core and run times to less
	minHintRatio, maxHintRatio = 1e-3, 1e3
)

var (
	// ErrOtherSettings means that a snapshot was made under other settings.
	ErrOtherSettings = errors.New("snapshot made under other settings")
	// ErrOwnSnapshot means that a server received its own snapshot.
	ErrOwnSnapshot = errors.New("snapshot is this server's own")
	// ErrOtherRoutes means that the routes of a snapshot are not those of this server.
	ErrOtherRoutes = errors.New("snapshot has other routes")
)

// Schema describes the snapshots that a server can use.
type Schema struct {
	SettingsDigest uint64
	Origin         uint64          // origin of this server; snapshots with it are rejected
	Routes         []string        // names, in the order of the settings
	Deadlines      []time.Duration // by route
	Dynamic        bool            // routes change at run time: a snapshot may have some that this server lacks
}

// Align returns the snapshot with the schema's routes in the schema's order; routes that the snapshot lacks have no
// samples. It returns an error if the snapshot has a route twice, or one that the schema lacks unless Dynamic is set.
// Without Dynamic, a snapshot with as many routes as the schema is returned as it is: Validate rejects it if a name
// differs.
func (s Schema) Align(snapshot Snapshot) (Snapshot, error) {
	if len(snapshot.Routes) == len(s.Routes) && !s.Dynamic {
		return snapshot, nil
	}
	indexes := make(map[string]int, len(snapshot.Routes))
	for i, route := range snapshot.Routes {
		if _, duplicate := indexes[route.Name]; duplicate {
			return Snapshot{}, fmt.Errorf("%w: duplicate route %q", ErrOtherRoutes, route.Name)
		}
		indexes[route.Name] = i
	}
	aligned := make([]RouteEstimates, len(s.Routes))
	for i, name := range s.Routes {
		aligned[i].Name = name
		if index, known := indexes[name]; known {
			aligned[i] = snapshot.Routes[index]
			delete(indexes, name)
		}
	}
	if len(indexes) > 0 && !s.Dynamic {
		return Snapshot{}, fmt.Errorf("%w: %d routes that this server lacks", ErrOtherRoutes, len(indexes))
	}
	snapshot.Routes = aligned
	return snapshot, nil
}

// Validate returns an aligned snapshot without the estimates that are out of range, or an error if no part of it can be
// used. No later code checks another server's snapshot.
func (s Schema) Validate(snapshot Snapshot) (Snapshot, error) {
	switch {
	case snapshot.SettingsDigest != s.SettingsDigest:
		return Snapshot{}, fmt.Errorf("%w: digest %016x, want %016x", ErrOtherSettings, snapshot.SettingsDigest, s.SettingsDigest)
	case snapshot.Origin == s.Origin:
		return Snapshot{}, ErrOwnSnapshot
	case len(snapshot.Routes) > maxRoutes || len(snapshot.Routes) != len(s.Routes):
		return Snapshot{}, fmt.Errorf("%w: %d routes, want %d", ErrOtherRoutes, len(snapshot.Routes), len(s.Routes))
	}
	snapshot.Routes = slices.Clone(snapshot.Routes)
	for i := range snapshot.Routes {
		route := &snapshot.Routes[i]
		if route.Name != s.Routes[i] {
			return Snapshot{}, fmt.Errorf("%w: route %d has another name", ErrOtherRoutes, i)
		}
		longest := min(maxDeadlineMultiple*s.Deadlines[i].Seconds(), maxTime)
		route.Core = route.Core.inRange(minTime, longest)
		route.Run = route.Run.inRange(minTime, longest)
	}
	snapshot.HintRatio = snapshot.HintRatio.inRange(minHintRatio, maxHintRatio)
	snapshot.Calls = snapshot.Calls.inRange(minTime, maxTime)
	snapshot.RejectRatio = snapshot.RejectRatio.inRange(0, 1)
	snapshot.ReturnRatio = snapshot.ReturnRatio.inRange(0, 1)
	return snapshot, nil
}

// inRange returns the estimate, or an unknown one if any of its figures is out of range.
func (e Estimate) inRange(minMean, maxMean float64) Estimate {
	valid := e.Mean >= minMean && e.Mean <= maxMean && e.Spread >= 0 && e.Spread <= maxSpread*max(e.Mean, minTime) &&
		e.Samples > 0 && e.Samples <= maxSamples && e.Age >= 0 && e.Age <= 2*maxAge && // Aged adds up to maxAge
		!math.IsNaN(e.Mean+e.Spread+e.Samples)
	if !valid {
		return Estimate{}
	}
	return e
}
