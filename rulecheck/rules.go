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
	Read      Kind = iota + 1 // Try at Server, with Due and, where it has an effect, Effect
	Started                   // Try began to run
	Answered                  // Try, Dismissed or not
	Gone                      // nobody waits for Try any more
	Notice                    // Server is told to leave; Due is the end of its grace
	Stopped                   // Server ended as told
	Crashed                   // Server ended at once, with all it had
	Memory                    // Server: Value is the share in use
	Crowd                     // Server: Value is runs a core, against what it survives
	CallsOpen                 // dependency Server: Value is its load over what it survives
)

// Event is one thing that happened. Times are since the beginning of the run.
type Event struct {
	Kind      Kind
	At        time.Duration
	Server    int
	Try       uint64 // one task at one server; the same at no other
	Effect    uint64 // of a task that must not run twice: the same for all its tries
	Due       time.Duration
	Dismissed bool
	Value     float64
}

// mostWords bounds the violations that are told; all are counted.
const mostWords = 20

type try struct {
	server  int
	due     time.Duration
	arrived time.Duration
	effect  uint64
	started bool
	gone    bool // nobody waits: what becomes of it is of no account, but for its effect
}

type leaving struct{ grace time.Duration }

// Checker takes events in their order.
type Checker struct {
	slack   time.Duration // by which an answer may be seen late, on sockets
	open    map[uint64]*try
	begun   map[uint64]int // effects that have begun, and how often
	leaving map[int]leaving
	byRule  [5]int
	words   []string
	reads   int
	answers int
}

// New makes a checker; slack is by how much moments may be off, nothing where time is simulated.
func New(slack time.Duration) *Checker {
	return &Checker{slack: slack, open: map[uint64]*try{}, begun: map[uint64]int{}, leaving: map[int]leaving{}}
}

func (c *Checker) broke(rule int, at time.Duration, words string, of ...any) {
	c.byRule[rule]++
	if len(c.words) < mostWords {
		c.words = append(c.words, fmt.Sprintf("rule %d at %v: ", rule, at)+fmt.Sprintf(words, of...))
	}
}

// Take takes one event.
func (c *Checker) Take(e Event) {
	switch e.Kind {
	case Read:
		c.reads++
		if c.open[e.Try] != nil {
			c.broke(1, e.At, "try %d read twice", e.Try)
		}
		c.open[e.Try] = &try{server: e.Server, due: e.Due, arrived: e.At, effect: e.Effect}
	case Started:
		t := c.open[e.Try]
		if t == nil {
			c.broke(1, e.At, "try %d started and not open", e.Try)
			return
		}
		if l, leaves := c.leaving[t.server]; leaves && t.arrived > l.grace {
			c.broke(3, e.At, "try %d arrived past the grace and ran", e.Try)
		}
		if t.started = true; t.effect != 0 {
			if c.begun[t.effect]++; c.begun[t.effect] > 1 {
				c.broke(2, e.At, "effect %d began %d times", t.effect, c.begun[t.effect])
			}
		}
	case Answered:
		t := c.open[e.Try]
		if t == nil {
			c.broke(1, e.At, "try %d answered and not open", e.Try)
			return
		}
		if t.gone {
			delete(c.open, e.Try)
			return
		}
		c.answers++
		if e.At > t.due+c.slack {
			c.broke(1, e.At, "try %d answered %v late", e.Try, e.At-t.due)
		}
		if e.Dismissed && t.started {
			c.broke(2, e.At, "try %d ran and was dismissed", e.Try)
		}
		delete(c.open, e.Try)
	case Gone:
		if t := c.open[e.Try]; t != nil {
			t.gone = true
		}
	case Notice:
		c.leaving[e.Server] = leaving{e.Due}
	case Stopped, Crashed:
		for _, id := range slices.Sorted(maps.Keys(c.open)) {
			t := c.open[id]
			if t.server != e.Server {
				continue
			}
			if e.Kind == Stopped && !t.gone {
				c.broke(3, e.At, "server %d stopped with try %d unanswered", e.Server, id)
			}
			delete(c.open, id)
		}
		delete(c.leaving, e.Server)
	case Memory:
		if e.Value > 1 {
			c.broke(4, e.At, "server %d has %.2f of its memory in use", e.Server, e.Value)
		}
	case Crowd:
		if e.Value > 1 {
			c.broke(4, e.At, "server %d has %.2f of the crowd that it survives on its cores", e.Server, e.Value)
		}
	case CallsOpen:
		if e.Value > 1 {
			c.broke(4, e.At, "dependency %d has %.2f of the load that it survives", e.Server, e.Value)
		}
	}
}

// End closes the run: what is open and due by then was never answered.
func (c *Checker) End(at time.Duration) Report {
	for _, t := range c.open { // each by itself
		if t.due+c.slack < at && !t.gone {
			c.byRule[1]++
		}
	}
	return Report{Broken: c.byRule, Words: c.words, Reads: c.reads, Answers: c.answers}
}

// Report is what the checker found.
type Report struct {
	Broken  [5]int // by rule; the first is not used
	Words   []string
	Reads   int
	Answers int
}

// Total is the number of violations.
func (r Report) Total() (n int) {
	for _, b := range r.Broken {
		n += b
	}
	return n
}
