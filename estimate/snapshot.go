// Package estimate holds what a server has measured of the cost of its requests and of the systems around it, and
// decides how much weight the estimates of another server get: by their age, the settings under which they were made,
// and the estimates of further servers. It also decides which peers are polled for estimates and how many requests of
// peers are answered. It does no I/O and reads no clock: ages are durations, because the clocks of two machines need
// not agree.
//
// Current state (the in-flight limit, the shed level, gauges, whether runs fail) is not an estimate: it describes the
// last second of one server only, so a Snapshot does not include it.
package estimate

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPublishedRoutes is the maximum number of routes in a snapshot for other servers. A new server needs the routes
	// that carry the load, and a peer's snapshot must not fill its memory.
	MaxPublishedRoutes = 256
	// maxRoutes is the maximum number of routes in a snapshot that is used.
	maxRoutes = 1 << 14
)

// Estimate summarizes the observations of one quantity.
type Estimate struct {
	Mean    float64       `cbor:"1,keyasint" json:"mean"`
	Spread  float64       `cbor:"2,keyasint" json:"spread"`  // standard deviation, in the unit of the mean
	Samples float64       `cbor:"3,keyasint" json:"samples"` // number of samples on which the mean is based
	Age     time.Duration `cbor:"4,keyasint" json:"age"`     // mean age of the samples
}

// Known reports whether the estimate has samples.
func (e Estimate) Known() bool { return e.Samples > 0 }

// RouteEstimates holds the estimates of one route.
type RouteEstimates struct {
	Name string   `cbor:"1,keyasint" json:"name"`
	Core Estimate `cbor:"2,keyasint" json:"core"` // core seconds per run
	Run  Estimate `cbor:"3,keyasint" json:"run"`  // seconds from a run's start to its end
}

func (r RouteEstimates) samples() float64 { return max(r.Core.Samples, r.Run.Samples) }

// Snapshot holds what one server has measured itself. It never includes estimates of other servers: if servers passed
// these on, they would take the echo of their own estimates for confirmation.
type Snapshot struct {
	Origin         uint64           `cbor:"1,keyasint" json:"origin"`  // id of the process, random at each start
	SettingsDigest uint64           `cbor:"2,keyasint" json:"terms"`   // Digest of the settings in force
	Routes         []RouteEstimates `cbor:"3,keyasint" json:"types"`   // in the order of the settings
	HintRatio      Estimate         `cbor:"4,keyasint" json:"pace"`    // core seconds used per second of the callers' cost hints
	Calls          Estimate         `cbor:"5,keyasint" json:"calls"`   // seconds per call to the shared dependency
	RejectRatio    Estimate         `cbor:"6,keyasint" json:"refused"` // fraction of the calls to the shared dependency that failed
	ReturnRatio    Estimate         `cbor:"7,keyasint" json:"returns"` // fraction of requests within the idle timeout after another request of the same router
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

// estimates yields pointers to all estimates of the snapshot, with their kinds.
func (s *Snapshot) estimates() func(yield func(*Estimate, Kind) bool) {
	return func(yield func(*Estimate, Kind) bool) {
		for i := range s.Routes {
			if !yield(&s.Routes[i].Core, CoreTime) || !yield(&s.Routes[i].Run, RunTime) {
				return
			}
		}
		_ = yield(&s.HintRatio, HintRatio) && yield(&s.Calls, CallTime) && yield(&s.RejectRatio, RejectRatio) &&
			yield(&s.ReturnRatio, ReturnRatio)
	}
}

// Published returns the snapshot for other servers: only routes with samples, and at most the MaxPublishedRoutes with
// the most samples.
func (s Snapshot) Published() Snapshot {
	known := slices.DeleteFunc(slices.Clone(s.Routes), func(r RouteEstimates) bool { return !r.Core.Known() && !r.Run.Known() })
	if len(known) > MaxPublishedRoutes {
		slices.SortStableFunc(known, func(a, b RouteEstimates) int { return cmp.Compare(b.samples(), a.samples()) })
		known = known[:MaxPublishedRoutes]
	}
	s.Routes = known
	return s
}
