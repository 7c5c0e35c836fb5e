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
	// MaxTold bounds the routes that a view tells others of, however many there are: a newcomer needs those that
	// carry the load, and a peer's word must not fill memory.
	MaxTold = 256
	// MaxRoutes bounds the routes of a server whose views are used at all.
	MaxRoutes = 1 << 14
	// MostName bounds the bytes of a traffic type's name.
	MostName = 128

	mostAge     = 24 * time.Hour // a claim of more is no duration that a process counted
	mostSamples = 1e9            // a claim of more is no number that a process counted
	mostSpread  = 100.0          // standard deviation over the mean; work varies, but not by that much
	overOuter   = 4.0            // a mean of more times its outer limit is none of work that anybody waited for
	leastTime   = 1e-7           // seconds; less is below what a run's clock can tell
	mostTime    = 3600.0         // seconds, where no outer limit is known
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

// TypeView is what was seen of a traffic type.
type TypeView struct {
	Name string   `cbor:"1,keyasint" json:"name"`
	Core Estimate `cbor:"2,keyasint" json:"core"` // seconds on a core that a run takes
	Run  Estimate `cbor:"3,keyasint" json:"run"`  // seconds from a run's start to its end
}

// View is what one server has seen itself. What it borrowed is not in it: a ring of servers that pass on each
// other's word would take its echo for confirmation.
type View struct {
	Origin  uint64     `cbor:"1,keyasint" json:"origin"` // of the process that saw it, drawn at its start
	Terms   uint64     `cbor:"2,keyasint" json:"terms"`  // digest of the terms it was seen under
	Types   []TypeView `cbor:"3,keyasint" json:"types"`  // in the order of the terms
	Pace    Estimate   `cbor:"4,keyasint" json:"pace"`   // core seconds for a second of hinted work
	Calls   Estimate   `cbor:"5,keyasint" json:"calls"`  // seconds that a call to the shared dependency takes
	Refused Estimate   `cbor:"6,keyasint" json:"refused"`
	Returns Estimate   `cbor:"7,keyasint" json:"returns"` // share of tasks whose caller came within the idle time before
}

// Digest tells terms apart: views learned under other traffic types are of no use. Cores, memory and the number
// of servers are not in it, as pace and core time allow for another machine; nor are routes where they move, as those
// are known by their names.
func Digest(terms map[string]any, moving bool) uint64 {
	var lines []string
	for name, value := range terms {
		if strings.HasPrefix(name, "type.") && !moving || name == "importance-by" || name == "idle" {
			lines = append(lines, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}

// Aged is the view after more time has passed since it was told.
func (v View) Aged(by time.Duration) View {
	by = max(by, 0)
	v.Types = slices.Clone(v.Types)
	for e := range v.estimates() {
		e.Age = min(max(e.Age, 0), mostAge) + min(by, mostAge)
	}
	return v
}

// estimates goes through all estimates of a view, in place.
func (v *View) estimates() func(yield func(*Estimate, Kind) bool) {
	return func(yield func(*Estimate, Kind) bool) {
		for i := range v.Types {
			if !yield(&v.Types[i].Core, CoreTime) || !yield(&v.Types[i].Run, RunTime) {
				return
			}
		}
		_ = yield(&v.Pace, Pace) && yield(&v.Calls, CallTime) && yield(&v.Refused, Refusals) &&
			yield(&v.Returns, Returning)
	}
}

// Frame is what a server knows for sure about the views that it can use: its terms.
type Frame struct {
	Terms  uint64
	Origin uint64          // its own, whose views it does not take from others
	Types  []string        // names, in the order of the terms
	Outer  []time.Duration // outer limit of each
	Moving bool            // routes come and go in service: a view may tell of some that are not here
}

// Told is the view as it is told to others: only the routes that something is known of, and of more than MaxTold those
// that the most samples stand behind.
func (v View) Told() View {
	known := slices.DeleteFunc(slices.Clone(v.Types), func(t TypeView) bool { return !t.Core.Known() && !t.Run.Known() })
	if len(known) > MaxTold {
		slices.SortStableFunc(known, func(a, b TypeView) int { return cmp.Compare(b.samples(), a.samples()) })
		known = known[:MaxTold]
	}
	v.Types = known
	return v
}

func (t TypeView) samples() float64 { return max(t.Core.Samples, t.Run.Samples) }

// Align puts the routes that a view tells of into the order of the frame, with nothing known of the others. A view that
// tells of a route twice, or of one that is not in the frame and cannot be, is of other terms.
func (f Frame) Align(v View) (View, error) {
	if len(v.Types) == len(f.Types) && !f.Moving {
		return v, nil // Fit sees to the names
	}
	places := make(map[string]int, len(v.Types))
	for i, t := range v.Types {
		if _, again := places[t.Name]; again {
			return View{}, fmt.Errorf("view that tells of route %q twice", t.Name)
		}
		places[t.Name] = i
	}
	aligned := make([]TypeView, len(f.Types))
	for i, name := range f.Types {
		aligned[i].Name = name
		if place, told := places[name]; told {
			aligned[i] = v.Types[place]
			delete(places, name)
		}
	}
	if len(places) > 0 && !f.Moving {
		return View{}, fmt.Errorf("view that tells of %d routes that are not here", len(places))
	}
	v.Types = aligned
	return v, nil
}

// Fit returns the view with all that is out of range dropped, or an error that says why it is not used at all.
// A peer's word is checked here and nowhere later.
func (f Frame) Fit(v View) (View, error) {
	switch {
	case v.Terms != f.Terms:
		return View{}, fmt.Errorf("view of other terms: %016x, and %016x here", v.Terms, f.Terms)
	case v.Origin == f.Origin:
		return View{}, fmt.Errorf("view of this server's own")
	case len(v.Types) > MaxRoutes || len(v.Types) != len(f.Types):
		return View{}, fmt.Errorf("view of %d traffic types, and %d here", len(v.Types), len(f.Types))
	}
	v.Types = slices.Clone(v.Types)
	for i := range v.Types {
		if v.Types[i].Name != f.Types[i] {
			return View{}, fmt.Errorf("view whose traffic type %d is another", i)
		}
		most := min(overOuter*f.Outer[i].Seconds(), mostTime)
		v.Types[i].Core = v.Types[i].Core.within(leastTime, most)
		v.Types[i].Run = v.Types[i].Run.within(leastTime, most)
	}
	v.Pace = v.Pace.within(1e-3, 1e3)
	v.Calls = v.Calls.within(leastTime, mostTime)
	v.Refused = v.Refused.within(0, 1)
	v.Returns = v.Returns.within(0, 1)
	return v, nil
}

// within drops an estimate with any figure out of range, as the rest of it is then not worth more.
func (e Estimate) within(least, most float64) Estimate {
	fits := e.Mean >= least && e.Mean <= most && e.Spread >= 0 && e.Spread <= mostSpread*max(e.Mean, leastTime) &&
		e.Samples > 0 && e.Samples <= mostSamples && e.Age >= 0 && e.Age <= 2*mostAge &&
		!math.IsNaN(e.Mean+e.Spread+e.Samples)
	if !fits {
		return Estimate{}
	}
	return e
}
