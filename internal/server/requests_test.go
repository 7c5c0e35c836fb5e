package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/admission"
	"quartzpoint/internal/testkit/fake"
)

// A request that arrived again after its run was answered, for example after its router's connection broke, ran a
// second time although its route is at-most-once.
func TestRepeatedIDAfterTheAnswer(t *testing.T) {
	b := newFixture(t)
	b.pool.Ready()
	run := func(route string, stream uint32) {
		b.submitRequest(stream, route, time.Minute)
		b.pool.Next(t, "spawn")
		b.pool.Finish(fake.RequestID(stream), "success", []byte("done"))
		assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	}
	run("pay", 1)
	b.submitRequest(1, "pay", time.Minute)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict, "a request that has run is neither run again nor rejected")
	assert.Empty(t, b.pool.Commands)
	run("browse", 2)
	run("browse", 2) // a second run does no harm, and its caller needs an answer

	b.onLoop(func() {
		b.requests.max = 3
		for _, id := range []string{"a", "b", "c"} {
			b.rememberRun(&Request{id: id, Request: admission.Request{Route: b.tables.routes["pay"]}})
		}
		assert.Equal(t, []string{"a", "b", "c"}, b.executed.order, "the oldest is dropped if the table is full")
		assert.Len(t, b.executed.until, 3)
		b.executed.expire(b.Now() + time.Minute)
		assert.Empty(t, b.executed.until)
		assert.Empty(t, b.executed.order)
	})
}
