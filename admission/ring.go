package admission

import (
	"math"
	"time"

	"quartzpoint/estimate"
)

// ring sums up to four quantities in buckets of time that are used again once they are too old.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	slot int64
	sums [4]float64
}

func newRing(span time.Duration, buckets int) *ring {
	return &ring{width: max(span/time.Duration(buckets), 1), buckets: make([]bucket, buckets)}
}

// add puts quantities into the bucket of a moment.
func (r *ring) add(now time.Duration, quantities ...float64) {
	slot := int64(now / r.width)
	b := &r.buckets[slot%int64(len(r.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	for i, q := range quantities {
		b.sums[i] += q
	}
}

// sum adds up what the ring's whole span holds.
func (r *ring) sum(now time.Duration) [4]float64 { return r.recent(now, len(r.buckets)) }

// recent adds up the newest buckets, the present one included.
func (r *ring) recent(now time.Duration, buckets int) (total [4]float64) {
	newest := int64(now / r.width)
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.slot > newest-int64(buckets) && b.slot <= newest {
			for k, s := range b.sums {
				total[k] += s
			}
		}
	}
	return total
}

// trend is a decaying mean that starts as a plain one.
type trend struct {
	mean  float64
	count float64
}

// take moves the mean by one sample; memory is the number of samples it looks back over.
func (t *trend) take(sample, memory float64) {
	t.count = min(t.count+1, memory)
	t.mean += (sample - t.mean) / t.count
}

// sight is a decaying mean of the last few samples with their spread and age, to be handed to other servers.
type sight struct {
	mean, variance, count float64
	when                  float64 // mean moment of the samples
}

// take moves mean, spread and moment by one sample.
func (s *sight) take(sample float64, now time.Duration) {
	s.count = min(s.count+1, sightSpan)
	before := s.mean
	s.mean += (sample - s.mean) / s.count
	s.variance += ((sample-before)*(sample-s.mean) - s.variance) / s.count
	s.when += (float64(now) - s.when) / s.count
}

func (s *sight) tell(now time.Duration) estimate.Estimate {
	if s.count == 0 {
		return estimate.Estimate{}
	}
	return estimate.Estimate{
		Mean: s.mean, Spread: math.Sqrt(max(s.variance, 0)), Samples: s.count,
		Age: max(now-time.Duration(s.when), 0),
	}
}
