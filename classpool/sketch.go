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

// UsageSketch estimates each caller's fraction of a pool's use, for any number of callers. It is a count-min sketch of
// decaying use (G. Cormode, S. Muthukrishnan, 2005) and takes 8 KiB. An estimate is never too low; the probability that
// it is too high by more than 1/94 of all use is 2%.
//
// The alternative is shuffle sharding. It gives each caller fixed slots, so two callers with the same slots affect each
// other as long as both are active.
type UsageSketch struct {
	used      [sketchRows][sketchColumns]float64 // core seconds
	total     float64                            // core seconds
	decayedAt time.Duration
	seeds     [sketchRows]uint64
}

// NewUsageSketch returns an empty sketch. Seeds should differ between servers, so that the same callers do not collide
// on all of them.
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

// Add records a caller's use in core seconds.
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

// Share returns the estimate of a caller's fraction of all use, from 0 to 1.
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
