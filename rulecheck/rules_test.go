package rulecheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

func TestRules(t *testing.T) {
	received := Event{Kind: Received, At: s, Server: 1, Attempt: 1, Deadline: 2 * s}
	effect := Event{Kind: Received, At: s, Server: 1, Attempt: 1, Effect: 9, Deadline: 2 * s}
	started := Event{Kind: Started, At: s, Server: 1, Attempt: 1}
	answered := Event{Kind: Answered, At: s + ms, Server: 1, Attempt: 1}
	late := Event{Kind: Answered, At: 2*s + 2*ms, Server: 1, Attempt: 1}
	rejected := Event{Kind: Answered, At: s + ms, Server: 1, Attempt: 1, Rejected: true}
	abandoned := Event{Kind: Abandoned, At: s, Attempt: 1}
	notice := Event{Kind: ShutdownNotified, At: s / 2, Server: 1, Deadline: s - ms}
	shutdownEnded := Event{Kind: ShutdownEnded, At: 3 * s, Server: 1}
	crashed := Event{Kind: Crashed, At: 3 * s, Server: 1}
	second := Event{Kind: Received, At: s, Server: 2, Attempt: 2, Effect: 9, Deadline: 2 * s}
	secondStarted := Event{Kind: Started, At: s, Server: 2, Attempt: 2}
	cases := []struct {
		name       string
		events     []Event
		violations [5]int
	}{
		{"served", []Event{received, started, answered}, [5]int{}},
		{"rejected", []Event{received, rejected}, [5]int{}},
		{"never answered", []Event{received, started}, [5]int{1: 1}},
		{"answered twice", []Event{received, answered, answered}, [5]int{1: 1}},
		{"late", []Event{received, late}, [5]int{1: 1}},
		{"abandoned", []Event{received, abandoned}, [5]int{}},
		{"abandoned, then answered late", []Event{received, abandoned, late}, [5]int{}},
		{"ran and rejected", []Event{received, started, rejected}, [5]int{2: 1}},
		{"effect at two servers", []Event{effect, started, second, secondStarted, answered, {Kind: Answered, At: s, Attempt: 2}}, [5]int{2: 1}},
		{"effect after a rejection", []Event{effect, rejected, second, secondStarted, {Kind: Answered, At: s, Attempt: 2}}, [5]int{}},
		{"started after the grace", []Event{notice, received, started, answered}, [5]int{3: 1}},
		{"rejected after the grace", []Event{notice, received, rejected}, [5]int{}},
		{"stopped before the answer", []Event{received, shutdownEnded}, [5]int{3: 1}},
		{"crashed", []Event{received, crashed}, [5]int{}},
		{"received twice", []Event{received, received, answered}, [5]int{1: 1}},
		{"started but not received", []Event{started}, [5]int{1: 1}},
		{"memory", []Event{{Kind: MemoryUse, Value: 1.1}}, [5]int{4: 1}},
		{"runs per core", []Event{{Kind: RunLoad, Value: 1.1}, {Kind: RunLoad, Value: 1}}, [5]int{4: 1}},
		{"calls", []Event{{Kind: DependencyLoad, Value: 2}}, [5]int{4: 1}},
	}
	for _, c := range cases {
		checker := New(0)
		for _, e := range c.events {
			checker.Add(e)
		}
		report := checker.Finish(10 * s)
		assert.Equal(t, c.violations, report.Violations, c.name)
	}
	lenient := New(5 * ms)
	lenient.Add(received)
	lenient.Add(late)
	assert.Zero(t, lenient.Finish(10*s).Total())
}
