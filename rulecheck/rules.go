// Package rulecheck checks the four rules on what happened, emulated or on sockets, one event after the other:
//
//  1. every task read gets exactly one answer before its due time, unless its caller is gone;
//  2. no effect twice: a task that has run is never dismissed, and one with an effect begins once;
//  3. after the notice to leave nothing that arrives past the grace runs, and all read is answered before the stop;
//  4. memory, the crowd on the cores and a dependency's load stay under what they survive.
//
// It keeps what is open and the effects that came about, does no I/O and reads no clock.
package rulecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is what happened.
type Kind uint8

// The kinds of events.
const (
	Received         Kind = iota + 1 // Try at Server, with Due and, where it has an effect, Effect
	Started                          // Try began to run
	Answered                         // Try, Dismissed or not
	Abandoned                        // nobody waits for Try any more
	ShutdownNotified                 // Server is told to leave; Due is the end of its grace
	Stopped                          // Server ended as told
	Crashed                          // Server ended at once, with all it had
	Memory                           // Server: Value is the share in use
	RunsPerCore                      // Server: Value is runs a core, against what it survives
	CallsOpen                        // dependency Server: Value is its load over what it survives
)

// Event is one thing that happened. Times are since the beginning of the run.
type Event struct {
	Kind     Kind
	At       time.Duration
	Server   int
	Attempt  uint64 // one task at one server; the same at no other
	Effect   uint64 // of a task that must not run twice: the same for all its tries
	Deadline time.Duration
	Rejected bool
	Value    float64
}

// maxMessages bounds the violations that are told; all are counted.
const maxMessages = 20

type attempt struct {
	server   int
	deadline time.Duration
	arrived  time.Duration
	effect   uint64
	started  bool
	gone     bool // nobody waits: what becomes of it is of no account, but for its effect
}

type shutdown struct{ grace time.Duration }

// Checker takes events in their order.
type Checker struct {
	slack        time.Duration // by which an answer may be seen late, on sockets
	open         map[uint64]*attempt
	effectStarts map[uint64]int // effects that have begun, and how often
	shutdowns    map[int]shutdown
	violations   [5]int
	messages     []string
	received     int
	answers      int
}

// New makes a checker; slack is by how much moments may be off, nothing where time is simulated.
func New(slack time.Duration) *Checker {
	return &Checker{slack: slack, open: map[uint64]*attempt{}, effectStarts: map[uint64]int{}, shutdowns: map[int]shutdown{}}
}

func (c *Checker) violate(rule int, at time.Duration, words string, of ...any) {
	c.violations[rule]++
	if len(c.messages) < maxMessages {
		c.messages = append(c.messages, fmt.Sprintf("rule %d at %v: ", rule, at)+fmt.Sprintf(words, of...))
	}
}

// Add takes one event.
func (c *Checker) Add(e Event) {
	switch e.Kind {
	case Received:
		c.received++
		if c.open[e.Attempt] != nil {
			c.violate(1, e.At, "try %d read twice", e.Attempt)
		}
		c.open[e.Attempt] = &attempt{server: e.Server, deadline: e.Deadline, arrived: e.At, effect: e.Effect}
	case Started:
		t := c.open[e.Attempt]
		if t == nil {
			c.violate(1, e.At, "try %d started and not open", e.Attempt)
			return
		}
		if l, leaves := c.shutdowns[t.server]; leaves && t.arrived > l.grace {
			c.violate(3, e.At, "try %d arrived past the grace and ran", e.Attempt)
		}
		if t.started = true; t.effect != 0 {
			if c.effectStarts[t.effect]++; c.effectStarts[t.effect] > 1 {
				c.violate(2, e.At, "effect %d began %d times", t.effect, c.effectStarts[t.effect])
			}
		}
	case Answered:
		t := c.open[e.Attempt]
		if t == nil {
			c.violate(1, e.At, "try %d answered and not open", e.Attempt)
			return
		}
		if t.gone {
			delete(c.open, e.Attempt)
			return
		}
		c.answers++
		if e.At > t.deadline+c.slack {
			c.violate(1, e.At, "try %d answered %v late", e.Attempt, e.At-t.deadline)
		}
		if e.Rejected && t.started {
			c.violate(2, e.At, "try %d ran and was dismissed", e.Attempt)
		}
		delete(c.open, e.Attempt)
	case Abandoned:
		if t := c.open[e.Attempt]; t != nil {
			t.gone = true
		}
	case ShutdownNotified:
		c.shutdowns[e.Server] = shutdown{e.Deadline}
	case Stopped, Crashed:
		for _, id := range slices.Sorted(maps.Keys(c.open)) {
			t := c.open[id]
			if t.server != e.Server {
				continue
			}
			if e.Kind == Stopped && !t.gone {
				c.violate(3, e.At, "server %d stopped with try %d unanswered", e.Server, id)
			}
			delete(c.open, id)
		}
		delete(c.shutdowns, e.Server)
	case Memory:
		if e.Value > 1 {
			c.violate(4, e.At, "server %d has %.2f of its memory in use", e.Server, e.Value)
		}
	case RunsPerCore:
		if e.Value > 1 {
			c.violate(4, e.At, "server %d has %.2f of the crowd that it survives on its cores", e.Server, e.Value)
		}
	case CallsOpen:
		if e.Value > 1 {
			c.violate(4, e.At, "dependency %d has %.2f of the load that it survives", e.Server, e.Value)
		}
	}
}

// Finish closes the run: what is open and due by then was never answered.
func (c *Checker) Finish(at time.Duration) Report {
	for _, t := range c.open { // each by itself
		if t.deadline+c.slack < at && !t.gone {
			c.violations[1]++
		}
	}
	return Report{Violations: c.violations, Messages: c.messages, Received: c.received, Answers: c.answers}
}

// Report is what a checker found. The JSON names are those of stored experiments.
type Report struct {
	Violations [5]int   `json:"Broken"` // by rule, from 1; the first element is not used
	Messages   []string `json:"Words"`  // of the first maxMessages violations
	Received   int      `json:"Reads"`
	Answers    int      `json:"Answers"`
}

// Total is the number of violations.
func (r Report) Total() (n int) {
	for _, b := range r.Violations {
		n += b
	}
	return n
}
