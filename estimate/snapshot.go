// Package estimate is what a server has learned of the cost of its requests and of the systems around it, and decides what
// the estimates of another server are worth, by their age, the settings under which they were made, and those of other
// servers. It also decides which peers are polled for estimates and how many requests of peers are served. It does no I/O and
// reads no clock: ages are durations, because the clocks of two machines need not agree.
//
// State of the moment (the limit, the shed level, gauges, whether runs fail) is no estimate: it holds for one server's last
// second, and a Snapshot has no place for it.
package estimate

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPublishedRoutes is the number of routes in a snapshot for other servers: a new server needs those that carry the
	// load, and a peer's snapshot must not fill its memory.
	MaxPublishedRoutes = 256
	// maxRoutes is the number of routes of a server whose snapshots are used.
	maxRoutes = 1 << 14
)

// Estimate is what was observed of one quantity.
type Estimate struct {
	Mean    float64       `cbor:"1,keyasint" json:"mean"`
	Spread  float64       `cbor:"2,keyasint" json:"spread"`  // standard deviation, in the unit of the mean
	Samples float64       `cbor:"3,keyasint" json:"samples"` // that the mean rests on
	Age     time.Duration `cbor:"4,keyasint" json:"age"`     // of those samples, in the mean
}

// Known reports whether there are samples.
func (e Estimate) Known() bool { return e.Samples > 0 }

// RouteEstimates is what was observed of one route.
type RouteEstimates struct {
	Name string   `cbor:"1,keyasint" json:"name"`
	Core Estimate `cbor:"2,keyasint" json:"core"` // core seconds of a run
	Run  Estimate `cbor:"3,keyasint" json:"run"`  // seconds from a run's start to its end
}

func (r RouteEstimates) samples() float64 { return max(r.Core.Samples, r.Run.Samples) }

// Snapshot is what one server has observed itself. It has no estimates of other servers: servers that pass on each other's
// would take the echo of their own for confirmation.
type Snapshot struct {
	Origin         uint64           `cbor:"1,keyasint" json:"origin"` // of the process, drawn at its start
	SettingsDigest uint64           `cbor:"2,keyasint" json:"terms"`  // Digest of the settings in force
	Routes         []RouteEstimates `cbor:"3,keyasint" json:"types"`  // in the order of the settings
	Pace           Estimate         `cbor:"4,keyasint" json:"pace"`   // core seconds for a second of hinted work
	Calls          Estimate         `cbor:"5,keyasint" json:"calls"`  // seconds of a call to the shared dependency
	RejectRatio    Estimate         `cbor:"6,keyasint" json:"refused"`
	ReturnRatio    Estimate         `cbor:"7,keyasint" json:"returns"` // fraction of requests whose caller came within the idle time before
}

// Aged returns the snapshot with a duration added to all ages.
func (s Snapshot) Aged(by time.Duration) Snapshot {
	by = max(by, 0)
	s.Routes = slices.Clone(s.Routes)
	for e := range s.estimates() {
		e.Age = min(max(e.Age, 0), maxAge) + min(by, maxAge)
	}
	return s
}

// estimates yields all estimates in place, with their kinds.
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

// Published returns the snapshot for other servers: only routes with samples, and of those the MaxPublishedRoutes with the
// most.
func (s Snapshot) Published() Snapshot {
	known := slices.DeleteFunc(slices.Clone(s.Routes), func(r RouteEstimates) bool { return !r.Core.Known() && !r.Run.Known() })
	if len(known) > MaxPublishedRoutes {
		slices.SortStableFunc(known, func(a, b RouteEstimates) int { return cmp.Compare(b.samples(), a.samples()) })
		known = known[:MaxPublishedRoutes]
	}
	s.Routes = known
	return s
}
