package estimate

import (
	"math"
	"time"
)

// Kind is the kind of an estimate. It determines how fast an estimate loses weight as it ages.
type Kind int

// The kinds of estimates.
const (
	CoreTime Kind = iota
	RunTime
	HintRatio
	CallTime
	RejectRatio
	ReturnRatio
)

// halfLives are the ages at which an estimate has half its weight. Core time changes with the mix of requests over an
// evening, and at once when a zone is lost; run and call times depend on the load of the last seconds; the hint
// ratio of a machine changes with its noisy neighbours, and callers' habits change over minutes.
var halfLives = [...]time.Duration{
	CoreTime: 20 * time.Second, RunTime: 10 * time.Second, HintRatio: time.Minute, CallTime: 10 * time.Second,
	RejectRatio: 5 * time.Second, ReturnRatio: 2 * time.Minute,
}

const (
	// maxHalfLives is the age, in half-lives, from which an estimate is not used. For core time that is a minute; if it
	// were longer, a new server would act on a load that its peers no longer have.
	maxHalfLives = 3
	// maxWeight is the maximum weight of another server's estimate, in samples: after that many runs a server's own
	// samples outweigh it, whatever the peer states.
	maxWeight = 12.0
)

// MaxAge returns the age from which an estimate of a kind is not used.
func MaxAge(kind Kind) time.Duration { return maxHalfLives * halfLives[kind] }

// Weight returns the weight of the estimate at its age, as a number of the server's own samples. It is 0 from MaxAge
// on.
func (e Estimate) Weight(kind Kind) float64 {
	if !e.Known() || e.Age >= MaxAge(kind) {
		return 0
	}
	return min(e.Samples, maxWeight) * math.Exp2(-float64(e.Age)/float64(halfLives[kind]))
}

// HasFresh reports whether any estimate of the snapshot has a weight above 0.
func (s Snapshot) HasFresh() bool {
	for e, kind := range s.estimates() {
		if e.Weight(kind) > 0 {
			return true
		}
	}
	return false
}

// NeedsPeers reports whether a server with this snapshot has too few samples of its own and needs its peers' estimates.
func (s Snapshot) NeedsPeers() bool {
	samples := 0.0
	for _, route := range s.Routes {
		samples += route.Core.Samples
	}
	return samples < maxWeight
}
