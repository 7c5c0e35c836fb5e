package saturate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestConversionsAreTheSameOnEveryProcessor(t *testing.T) {
	for _, c := range []struct {
		number float64
		want   time.Duration
	}{
		{0, 0}, {1.9, 1}, {-1.9, -1}, {1e9, time.Second}, {math.NaN(), 0}, {math.Inf(1), MaxDuration}, {math.Inf(-1), -MaxDuration},
		{1e300, MaxDuration}, {-1e300, -MaxDuration}, {math.MaxInt64, MaxDuration},
	} {
		assert.Equal(t, c.want, Nanoseconds(c.number), "%v", c.number)
	}
	assert.Equal(t, 1500*time.Millisecond, Seconds(1.5))
	assert.Equal(t, MaxDuration, Seconds(math.MaxFloat64), "the product overflows to an infinity")
	for number, want := range map[float64]int{7.9: 7, -7.9: -7, math.Inf(1): math.MaxInt32, math.Inf(-1): math.MinInt32, 1e300: math.MaxInt32} {
		assert.Equal(t, want, Int(number), "%v", number)
	}
	assert.Zero(t, Int(math.NaN()))
	assert.Positive(t, MaxDuration+MaxDuration+MaxDuration, "a few of them don't overflow")
}
