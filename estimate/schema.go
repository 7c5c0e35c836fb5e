package estimate

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// What an estimate of another server may state. Anything beyond is not something that a process can have measured.
const (
	maxAge              = 24 * time.Hour
	maxSamples          = 1e9
	maxSpread           = 100.0  // times the mean
	maxDeadlineMultiple = 4.0    // core and run times over the route's deadline
	minTime             = 1e-7   // seconds
	maxTime             = 3600.0 // seconds, where no deadline bounds it
	minPace, maxPace    = 1e-3, 1e3
)

var (
	// ErrOtherSettings means that a snapshot was made under other settings.
	ErrOtherSettings = errors.New("snapshot of other terms")
	// ErrOwnSnapshot means that a server was offered its own snapshot.
	ErrOwnSnapshot = errors.New("snapshot of this server's own")
	// ErrOtherRoutes means that the routes of a snapshot are not those of this server.
	ErrOtherRoutes = errors.New("snapshot of other routes")
)

// Schema is what a server requires of snapshots that it uses.
type Schema struct {
	SettingsDigest uint64
	Origin         uint64          // its own, whose snapshots it does not take from others
	Routes         []string        // names, in the order of the settings
	Deadlines      []time.Duration // by route
	Dynamic        bool            // routes come and go in service: a snapshot may have some that this server does not
}

// Align returns the snapshot with the schema's routes in their order; those that it lacks have no samples. A snapshot with a
// route twice, or with one that this server does not have and Dynamic does not allow, is an error.
func (s Schema) Align(snapshot Snapshot) (Snapshot, error) {
	if len(snapshot.Routes) == len(s.Routes) && !s.Dynamic {
		return snapshot, nil // Validate compares the names
	}
	places := make(map[string]int, len(snapshot.Routes))
	for i, route := range snapshot.Routes {
		if _, twice := places[route.Name]; twice {
			return Snapshot{}, fmt.Errorf("%w: route %q twice", ErrOtherRoutes, route.Name)
		}
		places[route.Name] = i
	}
	aligned := make([]RouteEstimates, len(s.Routes))
	for i, name := range s.Routes {
		aligned[i].Name = name
		if place, known := places[name]; known {
			aligned[i] = snapshot.Routes[place]
			delete(places, name)
		}
	}
	if len(places) > 0 && !s.Dynamic {
		return Snapshot{}, fmt.Errorf("%w: %d routes that are not here", ErrOtherRoutes, len(places))
	}
	snapshot.Routes = aligned
	return snapshot, nil
}

// Validate returns an aligned snapshot without the estimates that are out of range, or an error where none of it can be used.
// Nothing after it checks another server's snapshot.
func (s Schema) Validate(snapshot Snapshot) (Snapshot, error) {
	switch {
	case snapshot.SettingsDigest != s.SettingsDigest:
		return Snapshot{}, fmt.Errorf("%w: %016x, and %016x here", ErrOtherSettings, snapshot.SettingsDigest, s.SettingsDigest)
	case snapshot.Origin == s.Origin:
		return Snapshot{}, ErrOwnSnapshot
	case len(snapshot.Routes) > maxRoutes || len(snapshot.Routes) != len(s.Routes):
		return Snapshot{}, fmt.Errorf("%w: %d routes, and %d here", ErrOtherRoutes, len(snapshot.Routes), len(s.Routes))
	}
	snapshot.Routes = slices.Clone(snapshot.Routes)
	for i := range snapshot.Routes {
		route := &snapshot.Routes[i]
		if route.Name != s.Routes[i] {
			return Snapshot{}, fmt.Errorf("%w: route %d is another", ErrOtherRoutes, i)
		}
		longest := min(maxDeadlineMultiple*s.Deadlines[i].Seconds(), maxTime)
		route.Core = route.Core.inRange(minTime, longest)
		route.Run = route.Run.inRange(minTime, longest)
	}
	snapshot.Pace = snapshot.Pace.inRange(minPace, maxPace)
	snapshot.Calls = snapshot.Calls.inRange(minTime, maxTime)
	snapshot.RejectRatio = snapshot.RejectRatio.inRange(0, 1)
	snapshot.ReturnRatio = snapshot.ReturnRatio.inRange(0, 1)
	return snapshot, nil
}

// inRange returns the estimate, or an unknown one where any of its figures is out of range.
func (e Estimate) inRange(minMean, maxMean float64) Estimate {
	valid := e.Mean >= minMean && e.Mean <= maxMean && e.Spread >= 0 && e.Spread <= maxSpread*max(e.Mean, minTime) &&
		e.Samples > 0 && e.Samples <= maxSamples && e.Age >= 0 && e.Age <= 2*maxAge && // Aged adds up to maxAge
		!math.IsNaN(e.Mean+e.Spread+e.Samples)
	if !valid {
		return Estimate{}
	}
	return e
}
