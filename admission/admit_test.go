package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against runs that wait for their call using up the concurrency bound. On a slow dependency they filled it, and
// requests without calls were rejected. They return to the cores only through a call made within the bound, so they do
// not count against it.
func TestRunsAwaitingACallDoNotCountAgainstMaxConcurrency(t *testing.T) {
	b := newFixture(func(s *Settings) { s.MaxRunsPerCore = 2 })
	b.calls.capacity, b.calls.credit = 0, 0
	maxConcurrency := int(b.maxConcurrency())
	var waiting []*Request
	for i := range maxConcurrency {
		waiting = append(waiting, b.request(fmt.Sprint("p", i), 2))
	}
	b.round(Round{Arrived: waiting})
	for range maxConcurrency {
		b.round(Round{AwaitingCall: waiting}) // no capacity for calls: each waits at its call, and the next starts
	}
	assert.Equal(t, inFlightCount{total: float64(maxConcurrency), awaitingCall: float64(maxConcurrency)}, b.inFlight())
	assert.Equal(t, "start free", b.round(Round{Arrived: []*Request{b.request("free", 0)}}))
}

func TestReadsGoFirstWhenTheyPileUp(t *testing.T) {
	b := newFixture(nil)
	b.pass(tickInterval, Gauges{Runnable: 4})
	two := []*Request{b.request("first", 0), b.request("second", 0)}
	assert.Equal(t, "start first", b.round(Round{Arrived: two}), "reads leave cores for one run")
	assert.Equal(t, "start second", b.pass(tickInterval, Gauges{Runnable: 3}))
}
