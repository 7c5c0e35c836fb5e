package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/admission"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/workerapi"
)

// recordingDependency records the calls that it is asked for and their cancellations. The test ends the calls.
type recordingDependency struct {
	calls    chan workerapi.Call
	canceled chan uint64
}

func (d *recordingDependency) Call(c workerapi.Call) { d.calls <- c }
func (d *recordingDependency) Cancel(callID uint64)  { d.canceled <- callID }

func (d *recordingDependency) next(t *testing.T) workerapi.Call {
	t.Helper()
	select {
	case c := <-d.calls:
		return c
	case <-time.After(fake.WaitLimit):
		require.FailNow(t, "no call")
		return workerapi.Call{}
	}
}

// callSite is the usual site, with both routes calling a dependency that allows many calls.
var callSite = strings.NewReplacer(`"below":"none","calls-by-class":[false,false]`,
	`"below":"shared","calls-out":20,"calls-over":5000000,"calls-by-class":[true,true]`).Replace(fake.SiteSettings)

func newCallFixture(t *testing.T, site string) (*fixture, *recordingDependency) {
	d := &recordingDependency{make(chan workerapi.Call, 16), make(chan uint64, 16)}
	b := newFixtureWith(t, site, Limits{MemoryMB: 96, Sockets: 256, Calls: true}, d)
	b.pool.Ready()
	b.waitLinkSynced(t)
	return b, d
}

// runToCall submits a request, and returns the call that its run waits for.
func (b *fixture) runToCall(t *testing.T, d *recordingDependency, stream uint32, route string, timeout time.Duration) workerapi.Call {
	t.Helper()
	b.submitRequest(stream, route, timeout)
	b.pool.Next(t, "spawn")
	b.pool.Block(fake.RequestID(stream), []byte("what"))
	return d.next(t)
}

// A route that calls a dependency kept the whole server from starting.
func TestRunWaitsForItsCalls(t *testing.T) {
	b, d := newCallFixture(t, callSite)
	c := b.runToCall(t, d, 1, "browse", time.Minute)
	assert.Equal(t, fake.RequestID(1), c.RequestID)
	assert.Equal(t, "what", string(c.Body))
	assert.Positive(t, c.Timeout)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded, Duration: time.Millisecond, Result: []byte("that")})
	reply := b.pool.Next(t, "supply")
	assert.Equal(t, "that", string(reply.Body))
	b.pool.Block(fake.RequestID(1), []byte("and more"))
	c = d.next(t)
	assert.Equal(t, "and more", string(c.Body))
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.NotRun})
	c = d.next(t) // a call that was not carried out is retried
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded, Result: []byte("this")})
	b.pool.Next(t, "supply")
	b.pool.Finish(fake.RequestID(1), "success", []byte("done"))
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
	assert.Empty(t, d.canceled)
}

func TestCallThatMayHaveRun(t *testing.T) {
	b, d := newCallFixture(t, callSite)
	c := b.runToCall(t, d, 1, "pay", time.Minute)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Unknown})
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict, "a call of an at-most-once request is not retried")
	b.pool.Finish(fake.RequestID(1), "interrupted", nil)

	c = b.runToCall(t, d, 2, "browse", time.Minute)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Unknown})
	c = d.next(t)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded})
	b.pool.Next(t, "supply")
}

// A call is canceled when its request is aborted or its run ends. The end of the call then has no effect.
func TestCallOfARequestThatIsOver(t *testing.T) {
	b, d := newCallFixture(t, callSite)
	c := b.runToCall(t, d, 1, "browse", 2500*time.Millisecond)
	assert.Less(t, c.Timeout, 2500*time.Millisecond)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	assert.Equal(t, c.CallID, <-d.canceled)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded, Result: []byte("late")})
	b.pool.Finish(fake.RequestID(1), "interrupted", nil)
	c = b.runToCall(t, d, 2, "browse", time.Minute)
	b.pool.Finish(fake.RequestID(2), "failure", nil)
	assert.Equal(t, Aborted, b.nextAnswer(t).Verdict)
	assert.Equal(t, c.CallID, <-d.canceled)
	b.HandleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded})
	b.waitAllRead(t)
	for len(b.pool.Commands) > 0 {
		assert.NotEqual(t, "supply", (<-b.pool.Commands).Verb)
	}
}

// A reply that was on the link when it was lost is sent again. A reply that arrives while there is no link is sent on
// the next one.
func TestReplyAcrossALostLink(t *testing.T) {
	for _, halt := range []string{"suspend", "none"} {
		t.Run(halt, func(t *testing.T) {
			b, d := newCallFixture(t, strings.Replace(callSite, `"halt":"suspend"`, `"halt":"`+halt+`"`, 1))
			c := b.runToCall(t, d, 1, "pay", time.Minute)
			b.onLoop(func() {
				b.handleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded, Result: []byte("that")})
				b.pool.CloseLink() // before the reply is written
			})
			assert.Equal(t, "that", string(b.pool.Next(t, "supply").Body))
			b.waitLinkSynced(t)
			b.pool.Block(fake.RequestID(1), []byte("more"))
			c = d.next(t)
			b.pool.Relocate(t) // nothing listens at the link's address, so it can't reconnect
			b.pool.CloseLink()
			require.Eventually(t, func() bool {
				linkUp := true
				b.onLoop(func() { _, linkUp = b.link.Poll() })
				return !linkUp
			}, fake.WaitLimit, time.Millisecond)
			b.onLoop(func() {
				b.handleCallEnd(workerapi.CallEnd{Call: c, Outcome: admission.Succeeded, Result: []byte("this")})
			})
			b.workerLink.SetAddress(b.pool.Address)
			assert.Equal(t, "this", string(b.pool.Next(t, "supply").Body))
			b.pool.Finish(fake.RequestID(1), "success", nil)
			assert.Equal(t, Served, b.nextAnswer(t).Verdict)
		})
	}
}

// If no dependency is configured, requests of a route that calls one are rejected, and all others are served.
func TestRoutesWithoutADependency(t *testing.T) {
	site := strings.Replace(fake.SiteSettings, `"calls-by-class":[false,false]`, `"calls-by-class":[true,false]`, 1)
	b := newFixtureAt(t, site)
	b.pool.Ready()
	b.waitLinkSynced(t)
	assert.Equal(t, []string{"browse"}, b.UnservedRoutes())
	b.submitRequest(1, "browse", time.Minute)
	a := b.nextAnswer(t)
	assert.Equal(t, Rejected, a.Verdict)
	assert.Equal(t, time.Second, a.RetryAfter)
	b.submitRequest(2, "pay", time.Minute)
	b.pool.Next(t, "spawn")
	b.pool.Finish(fake.RequestID(2), "success", nil)
	assert.Equal(t, Served, b.nextAnswer(t).Verdict)
}
