package estimate

import (
	"math"
	"time"
)

// Kind is a kind of estimate. Each loses its worth at a rate of its own.
type Kind int

// The kinds of estimates.
const (
	CoreTime Kind = iota
	RunTime
	Pace
	CallTime
	RejectRatio
	ReturnRatio
)

// halfLives are the ages at which an estimate weighs half. Core time changes with the mix of an evening, and at once when a
// zone is lost; run and call times hang on the load of seconds; the pace of a machine changes with its neighbours, and
// callers' habits over minutes.
var halfLives = [...]time.Duration{
	CoreTime: 20 * time.Second, RunTime: 10 * time.Second, Pace: time.Minute, CallTime: 10 * time.Second,
	RejectRatio: 5 * time.Second, ReturnRatio: 2 * time.Minute,
}

const (
	// maxHalfLives is the age, in half-lives, from which on an estimate is not used. For core time that is a minute: with a
	// longer one a new server would act on a load that its peers have left behind.
	maxHalfLives = 3
	// maxWeight is the largest number of samples that another server's estimate stands for: after as many runs a server's own
	// samples outweigh it, whatever the peer states.
	maxWeight = 12.0
)

// MaxUndatedAge is the age from which on an estimate of a kind is not used.
func MaxAge(kind Kind) time.Duration { return maxHalfLives * halfLives[kind] }

// Weight is the number of own samples that an estimate stands for at its age; 0 from MaxUndatedAge on.
func (e Estimate) Weight(kind Kind) float64 {
	if !e.Known() || e.Age >= MaxAge(kind) {
		return 0
	}
	return min(e.Samples, maxWeight) * math.Exp2(-float64(e.Age)/float64(halfLives[kind]))
}

// HasFresh reports whether any estimate of the snapshot has a weight.
func (s Snapshot) HasFresh() bool {
	for e, kind := range s.estimates() {
		if e.Weight(kind) > 0 {
			return true
		}
	}
	return false
}

// NeedsPeers reports whether a server with this snapshot has too few samples of its own to do without those of its peers.
func (s Snapshot) NeedsPeers() bool {
	samples := 0.0
	for _, route := range s.Routes {
		samples += route.Core.Samples
	}
	return samples < maxWeight
}
