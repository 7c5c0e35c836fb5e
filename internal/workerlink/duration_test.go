package workerlink

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/saturate"
)

// A duration that is out of range must be the same on every processor. Formerly, x86-64 took the longest duration that a
// pool can state for the lowest one, and arm64 for the highest.
func TestDurationsOutOfRangeAreLimited(t *testing.T) {
	for milliseconds, want := range map[float64]time.Duration{
		1.5: 1500 * time.Microsecond, math.MaxFloat64: saturate.MaxDuration, -math.MaxFloat64: -saturate.MaxDuration,
	} {
		notice := &line{DurationMS: milliseconds}
		assert.Equal(t, want, notice.duration(), "%v ms", milliseconds)
	}
}
