package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestQueueStartsByDeadlineUnderTheLimit(t *testing.T) {
	b := newFixture(nil)
	var first []*Request
	for i := range 4 {
		first = append(first, b.request(fmt.Sprint(i), 0))
	}
	assert.Equal(t, "start 0, start 1, start 2, start 3", b.round(Round{Arrived: first}))
	late, soon := b.request("late", 0), b.request("soon", 0)
	late.Deadline, soon.Deadline = b.at+4*time.Second, b.at+3*time.Second
	assert.Empty(t, b.round(Round{Arrived: []*Request{late, soon}}), "the limit keeps them queued")
	assert.Equal(t, "start soon", b.round(Round{RunsEnded: []Completion{{Request: first[0], Outcome: Succeeded}}}))
	assert.Equal(t, "call 1, start late", b.round(Round{AwaitingCall: []*Request{first[1]}}), "a core without a run admits one beyond the limit")
}

func TestEveryKindIsAnsweredAtItsDeadline(t *testing.T) {
	cases := []struct {
		name string
		kind int
		into func(b *fixture, x *Request)
		want string
	}{
		{"queued retryable", 0, func(b *fixture, x *Request) { b.limit.value, b.limit.minimum, b.settings.Cores = 0, 0, 0 }, "reject x"},
		{"queued keyed", 1, func(b *fixture, x *Request) { b.limit.value, b.limit.minimum, b.settings.Cores = 0, 0, 0 }, "forget x, reject x"},
		{"running retryable", 0, nil, "abort x, pause x"},
		{"running keyed", 1, nil, "abort x, pause x"},
		{"running at-most-once", 2, nil, "abort x, pause x"},
		{"at a call", 2, func(b *fixture, x *Request) { b.round(Round{AwaitingCall: []*Request{x}}) }, "abort x"},
		{"waiting for its call", 2, func(b *fixture, x *Request) {
			b.calls.capacity = 0
			b.round(Round{AwaitingCall: []*Request{x}})
		}, "abort x"},
		{"duplicate of a keyed", 1, nil, "abort x"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			x := b.request("x", c.kind)
			x.Duplicate = i == len(cases)-1
			if c.into != nil && i < 2 {
				c.into(b, x)
			}
			b.round(Round{Arrived: []*Request{x}})
			if c.into != nil && i >= 2 {
				c.into(b, x)
			}
			x.usefulUntil = b.at + 100*ms
			assert.NotContains(t, b.pass(75*ms, Gauges{CPU: 1}), "x")
			assert.Contains(t, b.pass(25*ms, Gauges{CPU: 1}), c.want)
			x.phase = max(x.phase, queued)
			assert.NotContains(t, b.pass(time.Second, Gauges{CPU: 1}), "abort", "answered more than once")
		})
	}
	t.Run("a stall of the process", func(t *testing.T) {
		b := newFixture(nil)
		x := b.request("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.at += 10 * time.Second
		assert.Equal(t, "abort x, pause x", b.round(Round{}), "any round answers overdue requests")
	})
}

func TestKeyedRequestsTakeEffectOnce(t *testing.T) {
	b := newFixture(nil)
	x, duplicate := b.request("x", 1), b.request("again", 1)
	duplicate.Duplicate = true
	assert.Equal(t, "remember x, start x", b.round(Round{Arrived: []*Request{x}}), "the entry is created before the run")
	assert.Equal(t, "answer-from-original again", b.round(Round{Arrived: []*Request{duplicate}}))
	b.round(Round{AwaitingCall: []*Request{x}})
	decisions := b.round(Round{CallsEnded: []Completion{{Request: x, Outcome: Unknown}}})
	assert.Equal(t, "abort x", decisions, "a call that may have taken effect is not made again")

	y := b.request("y", 1)
	b.round(Round{Arrived: []*Request{y}})
	b.round(Round{AwaitingCall: []*Request{y}})
	assert.Empty(t, b.round(Round{CallsEnded: []Completion{{Request: y, Outcome: NotRun}}}), "the retry is delayed")
	assert.Contains(t, b.pass(time.Second, Gauges{CPU: 1}), "call y", "retried later, as the call never ran")
}

func TestMemoryIsReservedAndAQueueBeyondItIsShed(t *testing.T) {
	b := newFixture(func(s *Settings) { s.MemoryKB = 200 })
	assert.Equal(t, "remember a, start a", b.round(Round{Arrived: []*Request{b.request("a", 1)}}))
	assert.Equal(t, "reject b", b.round(Round{Arrived: []*Request{b.request("b", 1)}}), "no run without memory for the key's entry")
	assert.Empty(t, b.round(Round{Arrived: []*Request{b.request("c", 0)}}), "no start beyond the memory bound")
	b = newFixture(func(s *Settings) { s.MemoryKB, s.Cores = 600, 0 })
	var burst []*Request
	for i := range 56 {
		burst = append(burst, b.request("low", i/55*2))
	}
	assert.Equal(t, "reject low, reject low", b.round(Round{Arrived: burst}), "not the one of higher value")
	assert.Contains(t, b.queue, burst[55])
}

func TestCanceledRequests(t *testing.T) {
	b := newFixture(nil)
	x, n := b.request("x", 0), b.request("n", 1)
	b.round(Round{Arrived: []*Request{x, n}})
	assert.Equal(t, "pause x", b.round(Round{Canceled: []*Request{x, n}}), "a keyed run continues for its duplicates")
	assert.Empty(t, b.round(Round{RunsEnded: []Completion{{Request: x}}, AwaitingCall: []*Request{n}}), "no call for a canceled request")
	assert.Empty(t, b.pass(10*time.Second, Gauges{CPU: 1}), "no answer to a canceled request")
}

func TestACallerMayLeaveAsItsRequestIsRead(t *testing.T) {
	for kind, want := range []string{"", "remember x, forget x", ""} {
		b := newFixture(nil)
		x := b.request("x", kind)
		assert.Equal(t, want, b.round(Round{Arrived: []*Request{x}, Canceled: []*Request{x}}))
		assert.NotContains(t, b.pass(10*time.Second, Gauges{CPU: 1}), "x", "no answer to a canceled request")
	}
}
