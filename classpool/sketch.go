package classpool

import (
	"math"
	"time"
)

const (
	sketchRows    = 4
	sketchColumns = 256
	useWindow     = 2 * time.Second // time constant of the decay of use
	decayInterval = useWindow / 20
)

// UsageSketch estimates each caller's part of a pool's use, of any number of callers. It is a count-min sketch of decaying
// use (G. Cormode, S. Muthukrishnan, 2005) of 8 KiB. An estimate is never too low, and too high by more than a 94th of all
// use with a probability of 2 %.
//
// Shuffle shards are the alternative. They give each caller fixed slots, so two callers that share theirs affect each
// other as long as they stay.
type UsageSketch struct {
	used      [sketchRows][sketchColumns]float64 // core seconds
	total     float64                            // core seconds
	decayedAt time.Duration
	seeds     [sketchRows]uint64
}

// NewUsageSketch returns an empty sketch. Seeds should differ between servers, so that the same callers do not collide on
// all of them.
func NewUsageSketch(seed uint64) *UsageSketch {
	s := &UsageSketch{}
	for i := range s.seeds {
		seed += 0x9e3779b97f4a7c15 // the increment of splitmix64
		s.seeds[i] = mix(seed)
	}
	return s
}

// mix is the finalizer of splitmix64 (G. Steele and others, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Add counts core seconds of a caller.
func (s *UsageSketch) Add(caller uint64, seconds float64, now time.Duration) {
	if passed := now - s.decayedAt; passed > decayInterval {
		decay := math.Exp(-float64(passed) / float64(useWindow))
		for row := range s.used {
			for column := range s.used[row] {
				s.used[row][column] *= decay
			}
		}
		s.total *= decay
		s.decayedAt = now
	}
	s.total += seconds
	for row, seed := range s.seeds {
		s.used[row][mix(caller^seed)%sketchColumns] += seconds
	}
}

// Share is the estimated part of all use that is a caller's, from 0 to 1.
func (s *UsageSketch) Share(caller uint64) float64 {
	if s.total <= 0 {
		return 0
	}
	least := math.Inf(1)
	for row, seed := range s.seeds {
		least = min(least, s.used[row][mix(caller^seed)%sketchColumns])
	}
	return least / s.total
}
