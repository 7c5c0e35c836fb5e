package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/internal/testkit/fake"
)

// floodedCaller records how much of the flood had been read when its request is answered.
type floodedCaller struct {
	*fixture
	read       *int
	readBefore chan int
}

func (c floodedCaller) Answer(uint32, Answer) { c.readBefore <- *c.read }

// A flood of input that took 0.3 s to read was read completely before anything was decided. The request that was read
// first waited for all of it.
func TestFloodDoesNotDelayTheFirstDecision(t *testing.T) {
	const flood = 300
	b := newFixture(t)
	read := 0
	caller := floodedCaller{b, &read, make(chan int, 1)}
	submitted := make(chan struct{})
	b.Submit(func() { <-submitted })
	b.Submit(func() {
		b.Receive(IncomingRequest{ID: fake.RequestID(1), Route: "pay", SentUnixMS: time.Now().UnixMilli(), Timeout: time.Millisecond, Caller: caller})
	})
	for range flood {
		b.Submit(func() { time.Sleep(time.Millisecond); read++ })
	}
	close(submitted)
	assert.Less(t, <-caller.readBefore, flood/10)
	b.onLoop(func() { assert.Equal(t, flood, read, "all of the flood is read") })
}
