package classpool

import (
	"math"
	"time"
)

const (
	sketchRows    = 4
	sketchColumns = 256
	useWindow     = 2 * time.Second // over which use is remembered: its decay
)

// UsageSketch tells which of any number of callers use more of a pool than their part. It is a count-min sketch of decaying use
// (G. Cormode, S. Muthukrishnan, 2005): 8 KiB whatever the callers, and an estimate that is never under what was used, and over
// by more than a 94th of all use with a chance of two in a hundred. Shuffle shards were the other way; they give each caller
// fixed rooms, and two that meet in theirs suffer for each other for as long as they come.
type UsageSketch struct {
	used      [sketchRows][sketchColumns]float64
	total     float64
	decayedAt time.Duration
	seeds     [sketchRows]uint64
}

// NewUsageSketch makes an empty one. Seeds differ between servers, so that the same callers do not meet on all of them.
func NewUsageSketch(seed uint64) *UsageSketch {
	c := &UsageSketch{}
	for i := range c.seeds {
		seed += 0x9e3779b97f4a7c15
		c.seeds[i] = mix(seed)
	}
	return c
}

// mix is the finalizer of splitmix64 (G. Steele and others, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Add books core seconds of a caller.
func (c *UsageSketch) Add(caller uint64, seconds float64, now time.Duration) {
	if passed := now - c.decayedAt; passed > useWindow/20 {
		decay := math.Exp(-float64(passed) / float64(useWindow))
		for r := range c.used {
			for i := range c.used[r] {
				c.used[r][i] *= decay
			}
		}
		c.total *= decay
		c.decayedAt = now
	}
	c.total += seconds
	for r, seed := range c.seeds {
		c.used[r][mix(caller^seed)%sketchColumns] += seconds
	}
}

// Share is the part of all use that a caller has, or a little more.
func (c *UsageSketch) Share(caller uint64) float64 {
	if c.total <= 0 {
		return 0
	}
	least := math.Inf(1)
	for r, seed := range c.seeds {
		least = min(least, c.used[r][mix(caller^seed)%sketchColumns])
	}
	return least / c.total
}
