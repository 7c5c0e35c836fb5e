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
