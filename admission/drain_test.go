package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrain(t *testing.T) {
	b := newFixture(nil)
	x := b.request("x", 2)
	b.round(Round{Arrived: []*Request{x}})
	assert.Contains(t, b.round(Round{StopAt: b.at + 3*time.Second}), "health false")
	x.answerBy, x.usefulUntil = b.drain.deadline, b.drain.deadline
	assert.Contains(t, b.round(Round{Arrived: []*Request{b.request("in", 0)}}), "start in")
	b.at += 2*time.Second + ms
	assert.Contains(t, b.round(Round{Arrived: []*Request{b.request("out", 0)}}), "reject out")
	assert.Contains(t, b.pass(tickInterval, Gauges{}), "level 1.00")
	assert.Contains(t, b.pass(time.Second-2*tickInterval, Gauges{}), "abort x, pause x", "aborted before the stop")
}

// Guards against a fault: a duplicate that arrived after the notice kept its own deadline. If its original's run outlasted
// the stop, the process ended without an answer to it.
func TestDuplicateThatArrivesInADrainIsAnsweredBeforeTheStop(t *testing.T) {
	for _, afterNotice := range []time.Duration{0, time.Second, 2500 * ms} { // the grace is 2 s
		b := newFixture(func(s *Settings) { s.Routes[1].LatencyTarget = s.Routes[1].Deadline })
		x, duplicate := b.request("x", 1), b.request("again", 1)
		b.round(Round{Arrived: []*Request{x}})
		stopAt := b.at + 3*time.Second
		b.round(Round{StopAt: stopAt})
		b.at += afterNotice
		duplicate.Duplicate, duplicate.Arrived = true, b.at
		assert.Equal(t, "answer-from-original again", b.round(Round{Arrived: []*Request{duplicate}}))
		assert.Contains(t, b.pass(stopAt-b.at-tickInterval, Gauges{}), "abort again", "%v after the notice", afterNotice)
	}
}
