package estimate

import (
	"cmp"
	"slices"

	"quartzpoint/saturate"
)

const (
	maxDisagreement = 3.0 // largest ratio between two means at which both are used
	maxSpeedRatio   = 4.0 // largest factor by which times are scaled between two machines
)

// Merge merges snapshots that Schema.Validate has accepted into one. Their order does not matter. Each estimate is
// merged separately:
//
//   - Snapshots of one origin count as one, so a repeated snapshot adds no weight.
//   - Of three or more origins, the medians of the means, spreads, numbers of samples and ages are used. So a single wrong
//     origin cannot move any of them out of the range of the other origins' values.
//   - Two origins have no majority. If their means differ by more than a factor of maxDisagreement, neither is used.
//     Otherwise the larger of the two means, spreads and ages is used, and the smaller of the two numbers of samples.
//   - Core and run times are first scaled to the median hint ratio, if all snapshots have one.
func Merge(snapshots []Snapshot) Snapshot {
	if len(snapshots) == 0 {
		return Snapshot{}
	}
	snapshots = slices.Clone(snapshots)
	slices.SortStableFunc(snapshots, func(a, b Snapshot) int { return cmp.Compare(a.Origin, b.Origin) })
	normalizeTimes(snapshots)
	first := snapshots[0]
	merged := Snapshot{SettingsDigest: first.SettingsDigest, Routes: make([]RouteEstimates, len(first.Routes))}
	for i := range merged.Routes {
		merged.Routes[i].Name = first.Routes[i].Name
		merged.Routes[i].Core = mergeEstimates(snapshots, CoreTime, func(s *Snapshot) Estimate { return s.Routes[i].Core })
		merged.Routes[i].Run = mergeEstimates(snapshots, RunTime, func(s *Snapshot) Estimate { return s.Routes[i].Run })
	}
	merged.HintRatio = mergeEstimates(snapshots, HintRatio, func(s *Snapshot) Estimate { return s.HintRatio })
	merged.Calls = mergeEstimates(snapshots, CallTime, func(s *Snapshot) Estimate { return s.Calls })
	merged.RejectRatio = mergeEstimates(snapshots, RejectRatio, func(s *Snapshot) Estimate { return s.RejectRatio })
	merged.ReturnRatio = mergeEstimates(snapshots, ReturnRatio, func(s *Snapshot) Estimate { return s.ReturnRatio })
	return merged
}

// mergeEstimates merges one estimate of the snapshots, which are sorted by origin. Estimates without weight are
// ignored.
func mergeEstimates(snapshots []Snapshot, kind Kind, get func(*Snapshot) Estimate) Estimate {
	var origins []Estimate
	for from := 0; from < len(snapshots); {
		to := from
		var same []Estimate
		for ; to < len(snapshots) && snapshots[to].Origin == snapshots[from].Origin; to++ {
			if e := get(&snapshots[to]); e.Weight(kind) > 0 {
				same = append(same, e)
			}
		}
		if e := mergeOrigin(same); e.Known() {
			origins = append(origins, e)
		}
		from = to
	}
	return mergeOrigins(origins)
}

// normalizeTimes scales core and run times to the median hint ratio of all origins. Unless every snapshot has a
// hint ratio, all machines are assumed to be equally fast; a server's own samples later correct the error. The
// snapshots are sorted by origin.
func normalizeTimes(snapshots []Snapshot) {
	var hintRatios []float64
	for i, snapshot := range snapshots {
		switch {
		case snapshot.HintRatio.Weight(HintRatio) == 0:
			return
		case i > 0 && snapshots[i-1].Origin == snapshot.Origin:
			hintRatios[len(hintRatios)-1] = max(hintRatios[len(hintRatios)-1], snapshot.HintRatio.Mean)
		default:
			hintRatios = append(hintRatios, snapshot.HintRatio.Mean)
		}
	}
	slices.Sort(hintRatios)
	median := hintRatios[len(hintRatios)/2]
	for i := range snapshots {
		ratio := min(max(median/snapshots[i].HintRatio.Mean, 1/maxSpeedRatio), maxSpeedRatio)
		snapshots[i].Routes = slices.Clone(snapshots[i].Routes)
		for j := range snapshots[i].Routes {
			route := &snapshots[i].Routes[j]
			route.Core.Mean, route.Core.Spread = route.Core.Mean*ratio, route.Core.Spread*ratio
			route.Run.Mean, route.Run.Spread = route.Run.Mean*ratio, route.Run.Spread*ratio
		}
	}
}

// mergeOrigin merges estimates with the same origin. Copies count as one. If the means differ by more than a factor of
// maxDisagreement, none is used, because one of the estimates does not come from the origin that it states.
func mergeOrigin(same []Estimate) Estimate {
	if len(same) < 2 {
		return mergeOrigins(same)
	}
	smallest, largest := same[0].Mean, same[0].Mean
	merged := same[0]
	for _, e := range same[1:] {
		smallest, largest = min(smallest, e.Mean), max(largest, e.Mean)
		merged = pessimistic(merged, e)
	}
	if largest > maxDisagreement*smallest {
		return Estimate{}
	}
	return merged
}

// pessimistic combines two estimates: it returns the larger of their means, spreads and ages, and the smaller of their
// numbers of samples.
func pessimistic(a, b Estimate) Estimate {
	return Estimate{
		Mean: max(a.Mean, b.Mean), Spread: max(a.Spread, b.Spread), Samples: min(a.Samples, b.Samples),
		Age: max(a.Age, b.Age),
	}
}

// mergeOrigins merges estimates of different origins, as described at Merge.
func mergeOrigins(origins []Estimate) Estimate {
	switch len(origins) {
	case 0:
		return Estimate{}
	case 1:
		return origins[0]
	case 2:
		a, b := origins[0], origins[1]
		if max(a.Mean, b.Mean) > maxDisagreement*min(a.Mean, b.Mean) {
			return Estimate{}
		}
		return pessimistic(a, b)
	}
	return Estimate{
		Mean:    upperMedian(origins, func(e Estimate) float64 { return e.Mean }),
		Spread:  upperMedian(origins, func(e Estimate) float64 { return e.Spread }),
		Samples: -upperMedian(origins, func(e Estimate) float64 { return -e.Samples }),
		Age:     saturate.Nanoseconds(upperMedian(origins, func(e Estimate) float64 { return float64(e.Age) })),
	}
}

// upperMedian returns the median, or the larger of the two middle values of an even number, so that means and ages are
// overestimated rather than underestimated.
func upperMedian(estimates []Estimate, get func(Estimate) float64) float64 {
	values := make([]float64, len(estimates))
	for i, e := range estimates {
		values[i] = get(e)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
