package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is a kind of knowledge; kinds grow old at different speeds.
type Kind int

// The kinds.
const (
	CoreTime Kind = iota
	RunTime
	Pace
	CallTime
	RejectRatio
	ReturnRatio
)

// halfLives are the ages at which an estimate is worth half. What the work needs changes with the mix over an
// evening, and at once when a zone is lost; a view from before that must be gone from use within a minute. Run
// times and calls hang on the load of seconds. A machine's pace changes with its neighbours, and the habits of
// callers over many minutes.
var halfLives = [...]time.Duration{
	CoreTime: 20 * time.Second, RunTime: 10 * time.Second, Pace: time.Minute, CallTime: 10 * time.Second,
	RejectRatio: 5 * time.Second, ReturnRatio: 2 * time.Minute,
}

const (
	// maxHalfLives is the number of half-lives after which knowledge is old: an eighth is left of it. A minute for
	// core time is twice what a lost zone takes to show in a running peer's own samples and in the lists of
	// routers; longer would let a newcomer act on a world that its peers have left.
	maxHalfLives = 3
	// maxWeight is the number of samples that any borrowed estimate is taken for at the most. So a newcomer's
	// own samples outweigh it after that many runs, whatever the peer claims.
	maxWeight = 12.0
	// maxDisagreement is by how much two estimates may differ and still speak of the same.
	maxDisagreement = 3.0
	// maxPaceRatio bounds what a difference of machines is allowed to explain.
	maxPaceRatio = 4.0
)

// MaxAge is the age from which on an estimate of a kind is old and not acted on: the newcomer then decides as a
// cold one does.
func MaxAge(k Kind) time.Duration { return maxHalfLives * halfLives[k] }

// Weight is the number of own samples that an estimate is worth now; 0 where it is old.
func (e Estimate) Weight(k Kind) float64 {
	if !e.Known() || e.Age >= MaxAge(k) {
		return 0
	}
	return min(e.Samples, maxWeight) * math.Exp2(-float64(e.Age)/float64(halfLives[k]))
}

// HasFresh tells whether anything in a view is still worth being taken.
func (s Snapshot) HasFresh() bool {
	for e, k := range s.estimates() {
		if e.Weight(k) > 0 {
			return true
		}
	}
	return false
}

// NeedsPeers tells whether a server has seen too little itself to go without its peers' word.
func (s Snapshot) NeedsPeers() bool {
	samples := 0.0
	for _, route := range s.Routes {
		samples += route.Core.Samples
	}
	return samples < maxWeight
}

// Merge makes one view of several that Fit has passed. The order of views does not matter. Each estimate is
// merged by itself:
//
//   - views of one origin have one voice, so an echo adds nothing;
//   - where three or more answer, mean, samples and age are each the median, so one that lies or is broken can
//     at most choose between two values that honest ones told;
//   - where two answer there is no majority: if they are further apart than three times, neither is believed,
//     else the larger need, the fewer samples and the greater age count;
//   - core and run times are first brought to the median pace, where all that answer state theirs.
func Merge(snapshots []Snapshot) Snapshot {
	if len(snapshots) == 0 {
		return Snapshot{}
	}
	snapshots = slices.Clone(snapshots)
	slices.SortStableFunc(snapshots, func(a, b Snapshot) int { return cmp.Compare(a.Origin, b.Origin) })
	normalizePace(snapshots)
	merged := Snapshot{SettingsDigest: snapshots[0].SettingsDigest, Routes: make([]RouteEstimates, len(snapshots[0].Routes))}
	of := func(get func(*Snapshot) *Estimate, k Kind) {
		var voices []Estimate
		for from := 0; from < len(snapshots); {
			to := from
			var voice []Estimate
			for ; to < len(snapshots) && snapshots[to].Origin == snapshots[from].Origin; to++ {
				if e := *get(&snapshots[to]); e.Weight(k) > 0 {
					voice = append(voice, e)
				}
			}
			if e := mergeOrigin(voice); e.Known() {
				voices = append(voices, e)
			}
			from = to
		}
		*get(&merged) = mergeOrigins(voices)
	}
	for i := range merged.Routes {
		merged.Routes[i].Name = snapshots[0].Routes[i].Name
		of(func(v *Snapshot) *Estimate { return &v.Routes[i].Core }, CoreTime)
		of(func(v *Snapshot) *Estimate { return &v.Routes[i].Run }, RunTime)
	}
	of(func(v *Snapshot) *Estimate { return &v.Pace }, Pace)
	of(func(v *Snapshot) *Estimate { return &v.Calls }, CallTime)
	of(func(v *Snapshot) *Estimate { return &v.RejectRatio }, RejectRatio)
	of(func(v *Snapshot) *Estimate { return &v.ReturnRatio }, ReturnRatio)
	return merged
}

// normalizePace brings core and run times to the median pace of all origins. Without a pace from each, machines are
// taken to be alike: own samples then correct what is wrong in that. The views are sorted by origin.
func normalizePace(snapshots []Snapshot) {
	var paces []float64
	for i, snapshot := range snapshots {
		switch {
		case snapshot.Pace.Weight(Pace) == 0:
			return
		case i > 0 && snapshots[i-1].Origin == snapshot.Origin:
			paces[len(paces)-1] = max(paces[len(paces)-1], snapshot.Pace.Mean)
		default:
			paces = append(paces, snapshot.Pace.Mean)
		}
	}
	slices.Sort(paces)
	median := paces[len(paces)/2]
	for i := range snapshots {
		by := min(max(median/snapshots[i].Pace.Mean, 1/maxPaceRatio), maxPaceRatio)
		snapshots[i].Routes = slices.Clone(snapshots[i].Routes)
		for j := range snapshots[i].Routes {
			t := &snapshots[i].Routes[j]
			t.Core.Mean, t.Core.Spread = t.Core.Mean*by, t.Core.Spread*by
			t.Run.Mean, t.Run.Spread = t.Run.Mean*by, t.Run.Spread*by
		}
	}
}

// mergeOrigin makes one estimate of those that claim the same origin. Copies are as good as one; those that
// contradict each other are not believed, as one of them is not what it claims to be.
func mergeOrigin(voice []Estimate) Estimate {
	if len(voice) < 2 {
		return mergeOrigins(voice)
	}
	least, most := voice[0].Mean, voice[0].Mean
	worst := voice[0]
	for _, e := range voice[1:] {
		least, most = min(least, e.Mean), max(most, e.Mean)
		worst = pessimistic(worst, e)
	}
	if most > maxDisagreement*least {
		return Estimate{}
	}
	return worst
}

// pessimistic is the estimate that promises least of two.
func pessimistic(a, b Estimate) Estimate {
	return Estimate{
		Mean: max(a.Mean, b.Mean), Spread: max(a.Spread, b.Spread), Samples: min(a.Samples, b.Samples),
		Age: max(a.Age, b.Age),
	}
}

// mergeOrigins merges voices that are independent of each other.
func mergeOrigins(voices []Estimate) Estimate {
	switch len(voices) {
	case 0:
		return Estimate{}
	case 1:
		return voices[0]
	case 2:
		a, b := voices[0], voices[1]
		if max(a.Mean, b.Mean) > maxDisagreement*min(a.Mean, b.Mean) {
			return Estimate{}
		}
		return pessimistic(a, b)
	}
	return Estimate{
		Mean:    upperMedian(voices, func(e Estimate) float64 { return e.Mean }),
		Spread:  upperMedian(voices, func(e Estimate) float64 { return e.Spread }),
		Samples: -upperMedian(voices, func(e Estimate) float64 { return -e.Samples }),
		Age:     time.Duration(upperMedian(voices, func(e Estimate) float64 { return float64(e.Age) })),
	}
}

// upperMedian is the median, of an even number the larger of the middle two: needs and ages err upwards.
func upperMedian(voices []Estimate, of func(Estimate) float64) float64 {
	values := make([]float64, len(voices))
	for i, e := range voices {
		values[i] = of(e)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
