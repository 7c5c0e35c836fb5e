package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// hungFixture returns a fixture whose runs took 50 ms until its machine hung for eight seconds with a run on each core.
// Now all of those runs have ended.
func hungFixture(outcome Outcome) *fixture {
	b := newFixture(func(s *Settings) { s.Preemption = PreemptionNone })
	for range 20 {
		b.run(b.request("usual", 0), 50*ms)
	}
	var stuck []*Request
	for range 4 {
		stuck = append(stuck, b.request("stuck", 0))
	}
	b.round(Round{Arrived: stuck})
	b.pass(8*time.Second, Gauges{CPU: 0.5, Runnable: 4})
	var ended []Completion
	for _, request := range stuck {
		ended = append(ended, Completion{Request: request, Outcome: outcome, Took: 8 * time.Second})
	}
	b.round(Round{RunsEnded: ended})
	return b
}

// Guards against rejecting everything on an idle machine after a hang has ended, when the stuck runs count as the work
// that requests need. One request is started, the others wait for its end, and as it takes no longer than usual all are
// served.
func TestATrialShowsThatAHangIsOver(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, Stopped} {
		b := hungFixture(outcome)
		first, second, third := b.request("first", 0), b.request("second", 0), b.request("third", 0)
		assert.Equal(t, "start first", b.round(Round{Arrived: []*Request{first}}))
		assert.Empty(t, b.round(Round{Arrived: []*Request{second, third}}), "they wait for the trial")
		b.at += 50 * ms
		decisions := b.round(Round{RunsEnded: []Completion{{Request: first, Outcome: Succeeded, Took: 50 * ms}}})
		assert.Equal(t, "start second, start third", decisions)
		assert.Less(t, b.expectedWork(third), 100*ms)
	}
}

// The machine is still slow: the request on trial takes long and those that wait are rejected in time. From then on one
// request at a time is tried, and the others are rejected at once.
func TestATrialOnASlowMachine(t *testing.T) {
	b := hungFixture(Succeeded)
	first, second := b.request("first", 0), b.request("second", 0)
	assert.Equal(t, "start first", b.round(Round{Arrived: []*Request{first, second}}))
	assert.Contains(t, b.pass(800*ms, Gauges{CPU: 1, Runnable: 1}), "reject second")
	b.round(Round{RunsEnded: []Completion{{Request: first, Outcome: Succeeded, Took: 800 * ms}}})
	assert.Greater(t, b.expectedWork(second), time.Second)
	third, fourth := b.request("third", 0), b.request("fourth", 0)
	assert.Equal(t, "reject fourth, start third", b.round(Round{Arrived: []*Request{third, fourth}}))
	fifth := b.request("fifth", 0)
	assert.Equal(t, "reject fifth", b.round(Round{Arrived: []*Request{fifth}}), "one trial at a time")
	b.at += 50 * ms
	b.round(Round{RunsEnded: []Completion{{Request: third, Outcome: Succeeded, Took: 50 * ms}}})
	assert.Equal(t, "start sixth", b.round(Round{Arrived: []*Request{b.request("sixth", 0)}}))
	assert.Less(t, b.expectedWork(fifth), 100*ms, "the short trial restores the estimate")
}

// A trial needs a core without a run, and time for the usual work.
func TestNoTrialWithoutACoreOrTime(t *testing.T) {
	b := hungFixture(Succeeded)
	unmeetable := b.request("unmeetable", 0)
	unmeetable.Deadline = b.at + answerMargin + 10*ms
	assert.Equal(t, "reject unmeetable", b.round(Round{Arrived: []*Request{unmeetable}}))
	for range 4 {
		b.round(Round{Arrived: []*Request{b.request("busy", 2)}})
	}
	assert.Equal(t, "reject other", b.round(Round{Arrived: []*Request{b.request("other", 0)}}))
}

// A trial whose run failed quickly shows nothing of the machine's speed.
func TestATrialThatFailsShowsNothing(t *testing.T) {
	b := hungFixture(Succeeded)
	first := b.request("first", 0)
	b.round(Round{Arrived: []*Request{first}})
	b.round(Round{RunsEnded: []Completion{{Request: first, Outcome: Failed, Took: ms}}})
	assert.Greater(t, b.expectedWork(first), time.Second)
	assert.Equal(t, "start second", b.round(Round{Arrived: []*Request{b.request("second", 0)}}), "the next trial starts")
}
