package admission

import (
	"math"
	"time"

	"quartzpoint/estimate"
)

// maxSums is the maximum number of quantities of a slidingSums.
const maxSums = 4

// slidingSums keeps sums of up to maxSums quantities over a sliding window. The window is divided into parts, which are
// reused once they are out of the window.
type slidingSums struct {
	partWidth time.Duration
	parts     []windowPart
}

type windowPart struct {
	slot int64 // number of the part since the epoch
	sums [maxSums]float64
}

func newSlidingSums(window time.Duration, parts int) *slidingSums {
	return &slidingSums{partWidth: max(window/time.Duration(parts), 1), parts: make([]windowPart, parts)}
}

// add adds quantities at time now.
func (s *slidingSums) add(now time.Duration, quantities ...float64) {
	slot := int64(now / s.partWidth)
	part := &s.parts[slot%int64(len(s.parts))]
	if part.slot != slot {
		*part = windowPart{slot: slot}
	}
	for i, quantity := range quantities {
		part.sums[i] += quantity
	}
}

// reset clears all sums.
func (s *slidingSums) reset() { clear(s.parts) }

// sum returns the sums over the whole window.
func (s *slidingSums) sum(now time.Duration) [maxSums]float64 { return s.recent(now, len(s.parts)) }

// recent returns the sums over the newest parts, including the current one.
func (s *slidingSums) recent(now time.Duration, parts int) (total [maxSums]float64) {
	newest := int64(now / s.partWidth)
	for i := range s.parts {
		part := &s.parts[i]
		if part.slot > newest-int64(parts) && part.slot <= newest {
			for k, sum := range part.sums {
				total[k] += sum
			}
		}
	}
	return total
}

// movingMean is an exponentially decaying mean that starts as an arithmetic mean.
type movingMean struct {
	mean  float64
	count float64 // number of samples, up to the span of add
}

// add updates the mean with one sample; span is the number of samples that it averages over.
func (m *movingMean) add(sample, span float64) {
	m.count = min(m.count+1, span)
	m.mean += (sample - m.mean) / m.count
}

// sampleSpan is the number of samples that a sampleStats averages over.
const sampleSpan = 32

// sampleStats is a decaying mean of the last samples with their variance and mean time. It is published to other
// servers.
type sampleStats struct {
	mean, variance, count float64
	meanAt                float64 // mean time of the samples, in nanoseconds
}

// add updates mean, variance and mean time with one sample.
func (s *sampleStats) add(sample float64, now time.Duration) {
	s.count = min(s.count+1, sampleSpan)
	before := s.mean
	s.mean += (sample - s.mean) / s.count
	s.variance += ((sample-before)*(sample-s.mean) - s.variance) / s.count
	s.meanAt += (float64(now) - s.meanAt) / s.count
}

// estimate returns the estimate that is published to other servers; it is empty without samples.
func (s *sampleStats) estimate(now time.Duration) estimate.Estimate {
	if s.count == 0 {
		return estimate.Estimate{}
	}
	return estimate.Estimate{
		Mean: s.mean, Spread: math.Sqrt(max(s.variance, 0)), Samples: s.count,
		Age: max(now-time.Duration(s.meanAt), 0),
	}
}
