package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestColdServersAllowLessConcurrency(t *testing.T) {
	warm := newFixture(nil)
	cold := newFixture(func(s *Settings) { s.Cold = true })
	assert.InDelta(t, 0.8*6*4, warm.maxConcurrency(), 0.01)
	assert.InDelta(t, 0.8*2*4, cold.maxConcurrency(), 0.01)
	cold.at += 5 * time.Second
	cold.round(Round{})
	assert.InDelta(t, 0.8*4*4, cold.maxConcurrency(), 0.01)
}

// Workers that start after the program are cold from their own start on, not from the start of the program.
func TestWorkersThatStartLaterAreColdFromThenOn(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Cold, s.ColdSpeed, s.WarmUp = true, 0.2, 10*time.Second })
	b.pass(8*time.Second, Gauges{})
	assert.InDelta(t, 0.84, b.speed(), 0.01)
	b.round(Round{WorkersStartedAt: b.at - time.Second})
	assert.InDelta(t, 0.28, b.speed(), 0.01)
	b.round(Round{WorkersStartedAt: b.at - 5*time.Second})
	assert.InDelta(t, 0.28, b.speed(), 0.01, "an earlier start does not raise the speed")
}
