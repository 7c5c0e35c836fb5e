// Package estimate holds what a server has learned of its work and of the systems round it, and decides what
// another server's word on that is worth: by its age, by its terms, and beside what others say. It does no I/O
// and reads no clock: ages come as durations, because the clocks of two machines need not agree.
//
// State of the moment (the limit, the level, gauges, whether runs break) is no knowledge. It tells of one
// server's last second and would be wrong at any other, so a view has no place for it.
package estimate

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPublishedRoutes bounds the routes that a view tells others of, however many there are: a newcomer needs those that
	// carry the load, and a peer's word must not fill memory.
	MaxPublishedRoutes = 256
	// MaxRoutes bounds the routes of a server whose views are used at all.
	MaxRoutes = 1 << 14
	// MaxNameBytes bounds the bytes of a traffic type's name.
	MaxNameBytes = 128

	maxAge              = 24 * time.Hour // a claim of more is no duration that a process counted
	maxSamples          = 1e9            // a claim of more is no number that a process counted
	maxSpread           = 100.0          // standard deviation over the mean; work varies, but not by that much
	maxDeadlineMultiple = 4.0            // a mean of more times its outer limit is none of work that anybody waited for
	minTime             = 1e-7           // seconds; less is below what a run's clock can tell
	maxTime             = 3600.0         // seconds, where no outer limit is known
)

// Estimate is what was seen of one quantity.
type Estimate struct {
	Mean    float64       `cbor:"1,keyasint" json:"mean"`
	Spread  float64       `cbor:"2,keyasint" json:"spread"`  // standard deviation, in the unit of the mean
	Samples float64       `cbor:"3,keyasint" json:"samples"` // that the mean stands on
	Age     time.Duration `cbor:"4,keyasint" json:"age"`     // of those samples, on the mean
}

// Known tells whether there is anything in the estimate.
func (e Estimate) Known() bool { return e.Samples > 0 }

// RouteEstimates is what was seen of a traffic type.
type RouteEstimates struct {
	Name string   `cbor:"1,keyasint" json:"name"`
	Core Estimate `cbor:"2,keyasint" json:"core"` // seconds on a core that a run takes
	Run  Estimate `cbor:"3,keyasint" json:"run"`  // seconds from a run's start to its end
}

// Snapshot is what one server has seen itself. What it borrowed is not in it: a ring of servers that pass on each
// other's word would take its echo for confirmation.
type Snapshot struct {
	Origin         uint64           `cbor:"1,keyasint" json:"origin"` // of the process that saw it, drawn at its start
	SettingsDigest uint64           `cbor:"2,keyasint" json:"terms"`  // digest of the terms it was seen under
	Routes         []RouteEstimates `cbor:"3,keyasint" json:"types"`  // in the order of the terms
	Pace           Estimate         `cbor:"4,keyasint" json:"pace"`   // core seconds for a second of hinted work
	Calls          Estimate         `cbor:"5,keyasint" json:"calls"`  // seconds that a call to the shared dependency takes
	RejectRatio    Estimate         `cbor:"6,keyasint" json:"refused"`
	ReturnRatio    Estimate         `cbor:"7,keyasint" json:"returns"` // share of tasks whose caller came within the idle time before
}

// Digest is over the settings on which estimates depend, a line each as name=value, in any order.
func Digest(settings []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(settings)), "\n"))
}

// Aged is the view after more time has passed since it was told.
func (s Snapshot) Aged(by time.Duration) Snapshot {
	by = max(by, 0)
	s.Routes = slices.Clone(s.Routes)
	for e := range s.estimates() {
		e.Age = min(max(e.Age, 0), maxAge) + min(by, maxAge)
	}
	return s
}

// estimates goes through all estimates of a view, in place.
func (s *Snapshot) estimates() func(yield func(*Estimate, Kind) bool) {
	return func(yield func(*Estimate, Kind) bool) {
		for i := range s.Routes {
			if !yield(&s.Routes[i].Core, CoreTime) || !yield(&s.Routes[i].Run, RunTime) {
				return
			}
		}
		_ = yield(&s.Pace, Pace) && yield(&s.Calls, CallTime) && yield(&s.RejectRatio, RejectRatio) &&
			yield(&s.ReturnRatio, ReturnRatio)
	}
}

// Schema is what a server knows for sure about the views that it can use: its terms.
type Schema struct {
	SettingsDigest uint64
	Origin         uint64          // its own, whose views it does not take from others
	Routes         []string        // names, in the order of the terms
	Deadlines      []time.Duration // outer limit of each
	Dynamic        bool            // routes come and go in service: a view may tell of some that are not here
}

// Published is the view as it is told to others: only the routes that something is known of, and of more than MaxPublishedRoutes those
// that the most samples stand behind.
func (s Snapshot) Published() Snapshot {
	known := slices.DeleteFunc(slices.Clone(s.Routes), func(route RouteEstimates) bool { return !route.Core.Known() && !route.Run.Known() })
	if len(known) > MaxPublishedRoutes {
		slices.SortStableFunc(known, func(a, b RouteEstimates) int { return cmp.Compare(b.samples(), a.samples()) })
		known = known[:MaxPublishedRoutes]
	}
	s.Routes = known
	return s
}

func (r RouteEstimates) samples() float64 { return max(r.Core.Samples, r.Run.Samples) }

// Align puts the routes that a view tells of into the order of the frame, with nothing known of the others. A view that
// tells of a route twice, or of one that is not in the frame and cannot be, is of other terms.
func (s Schema) Align(snapshot Snapshot) (Snapshot, error) {
	if len(snapshot.Routes) == len(s.Routes) && !s.Dynamic {
		return snapshot, nil // Fit sees to the names
	}
	places := make(map[string]int, len(snapshot.Routes))
	for i, route := range snapshot.Routes {
		if _, again := places[route.Name]; again {
			return Snapshot{}, fmt.Errorf("view that tells of route %q twice", route.Name)
		}
		places[route.Name] = i
	}
	aligned := make([]RouteEstimates, len(s.Routes))
	for i, name := range s.Routes {
		aligned[i].Name = name
		if place, told := places[name]; told {
			aligned[i] = snapshot.Routes[place]
			delete(places, name)
		}
	}
	if len(places) > 0 && !s.Dynamic {
		return Snapshot{}, fmt.Errorf("view that tells of %d routes that are not here", len(places))
	}
	snapshot.Routes = aligned
	return snapshot, nil
}

// Validate returns the view with all that is out of range dropped, or an error that says why it is not used at all.
// A peer's word is checked here and nowhere later.
func (s Schema) Validate(snapshot Snapshot) (Snapshot, error) {
	switch {
	case snapshot.SettingsDigest != s.SettingsDigest:
		return Snapshot{}, fmt.Errorf("view of other terms: %016x, and %016x here", snapshot.SettingsDigest, s.SettingsDigest)
	case snapshot.Origin == s.Origin:
		return Snapshot{}, fmt.Errorf("view of this server's own")
	case len(snapshot.Routes) > MaxRoutes || len(snapshot.Routes) != len(s.Routes):
		return Snapshot{}, fmt.Errorf("view of %d traffic types, and %d here", len(snapshot.Routes), len(s.Routes))
	}
	snapshot.Routes = slices.Clone(snapshot.Routes)
	for i := range snapshot.Routes {
		if snapshot.Routes[i].Name != s.Routes[i] {
			return Snapshot{}, fmt.Errorf("view whose traffic type %d is another", i)
		}
		most := min(maxDeadlineMultiple*s.Deadlines[i].Seconds(), maxTime)
		snapshot.Routes[i].Core = snapshot.Routes[i].Core.inRange(minTime, most)
		snapshot.Routes[i].Run = snapshot.Routes[i].Run.inRange(minTime, most)
	}
	snapshot.Pace = snapshot.Pace.inRange(1e-3, 1e3)
	snapshot.Calls = snapshot.Calls.inRange(minTime, maxTime)
	snapshot.RejectRatio = snapshot.RejectRatio.inRange(0, 1)
	snapshot.ReturnRatio = snapshot.ReturnRatio.inRange(0, 1)
	return snapshot, nil
}

// inRange drops an estimate with any figure out of range, as the rest of it is then not worth more.
func (e Estimate) inRange(least, most float64) Estimate {
	fits := e.Mean >= least && e.Mean <= most && e.Spread >= 0 && e.Spread <= maxSpread*max(e.Mean, minTime) &&
		e.Samples > 0 && e.Samples <= maxSamples && e.Age >= 0 && e.Age <= 2*maxAge &&
		!math.IsNaN(e.Mean+e.Spread+e.Samples)
	if !fits {
		return Estimate{}
	}
	return e
}
