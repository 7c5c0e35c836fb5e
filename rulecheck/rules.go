// Package rulecheck checks an experiment, emulated or on sockets, against four rules, event by event:
//
//  1. every request received gets exactly one answer before its deadline, unless its caller no longer waits;
//  2. no effect happens twice: a request that has run is never rejected, and one with an effect starts once;
//  3. after the notice to shut down no request that arrives after the grace runs, and every request received is answered
//     before the stop;
//  4. memory use, the runs on the cores and the load of dependencies do not exceed what servers and dependencies
//     survive.
//
// It stores the open attempts and the effects so far, does no I/O and reads no clock.
package rulecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is a kind of event.
type Kind uint8

// The kinds of events, with the fields that they use.
const (
	Received         Kind = iota + 1 // Attempt at Server, with Deadline and, for at-most-once requests, Effect
	Started                          // Attempt started to run
	Answered                         // Attempt, Rejected or not
	Abandoned                        // nobody waits for Attempt any more
	ShutdownNotified                 // Server; Deadline is the end of its grace
	ShutdownEnded                    // Server ended its graceful shutdown
	Crashed                          // Server ended with all its open attempts
	MemoryUse                        // Server; Value is the fraction in use
	RunLoad                          // Server; Value is its runs on the cores, divided by the number that it survives
	DependencyLoad                   // Server is a dependency; Value is its load divided by the load that it survives
)

// Event is an event of an experiment. Times are since the start of the experiment.
type Event struct {
	Kind     Kind
	At       time.Duration
	Server   int
	Attempt  uint64 // id of a request at one server
	Effect   uint64 // id of an at-most-once request: the same for all its attempts; 0 for others
	Deadline time.Duration
	Rejected bool
	Value    float64
}

// maxMessages is the maximum number of violations that are reported with a message; all are counted.
const maxMessages = 20

type attempt struct {
	server    int
	deadline  time.Duration
	arrivedAt time.Duration
	effect    uint64
	started   bool
	abandoned bool // nobody waits for its answer; its effect still counts
}

type shutdown struct{ graceEnd time.Duration }

// Checker checks events, which must be added in order of time. It must be used from one goroutine.
type Checker struct {
	slack        time.Duration // maximum lateness of an answer that is not a violation
	open         map[uint64]*attempt
	effectStarts map[uint64]int // number of starts, by effect
	shutdowns    map[int]shutdown
	violations   [5]int // by rule, from 1
	messages     []string
	received     int
	answers      int
}

// New returns a checker. slack is the maximum error of the times of events: 0 in simulated time.
func New(slack time.Duration) *Checker {
	return &Checker{slack: slack, open: map[uint64]*attempt{}, effectStarts: map[uint64]int{}, shutdowns: map[int]shutdown{}}
}

func (c *Checker) violate(rule int, at time.Duration, format string, args ...any) {
	c.violations[rule]++
	if len(c.messages) < maxMessages {
		c.messages = append(c.messages, fmt.Sprintf("rule %d at %v: ", rule, at)+fmt.Sprintf(format, args...))
	}
}

// Add checks an event.
func (c *Checker) Add(e Event) {
	switch e.Kind {
	case Received:
		c.received++
		if c.open[e.Attempt] != nil {
			c.violate(1, e.At, "attempt %d received twice", e.Attempt)
		}
		c.open[e.Attempt] = &attempt{server: e.Server, deadline: e.Deadline, arrivedAt: e.At, effect: e.Effect}
	case Started:
		c.started(e)
	case Answered:
		c.answered(e)
	case Abandoned:
		if a := c.open[e.Attempt]; a != nil {
			a.abandoned = true
		}
	case ShutdownNotified:
		c.shutdowns[e.Server] = shutdown{e.Deadline}
	case ShutdownEnded, Crashed:
		c.ended(e)
	case MemoryUse:
		if e.Value > 1 {
			c.violate(4, e.At, "server %d uses %.2f of its memory", e.Server, e.Value)
		}
	case RunLoad:
		if e.Value > 1 {
			c.violate(4, e.At, "server %d has %.2f of the runs that it survives on its cores", e.Server, e.Value)
		}
	case DependencyLoad:
		if e.Value > 1 {
			c.violate(4, e.At, "dependency %d has %.2f of the load that it survives", e.Server, e.Value)
		}
	}
}

// started checks that an attempt may start to run: rules 1, 2 and 3.
func (c *Checker) started(e Event) {
	a := c.open[e.Attempt]
	if a == nil {
		c.violate(1, e.At, "attempt %d started but is not open", e.Attempt)
		return
	}
	if s, shuttingDown := c.shutdowns[a.server]; shuttingDown && a.arrivedAt > s.graceEnd {
		c.violate(3, e.At, "attempt %d arrived after the grace and ran", e.Attempt)
	}
	if a.started = true; a.effect != 0 {
		if c.effectStarts[a.effect]++; c.effectStarts[a.effect] > 1 {
			c.violate(2, e.At, "effect %d started %d times", a.effect, c.effectStarts[a.effect])
		}
	}
}

// answered checks an answer: rules 1 and 2.
func (c *Checker) answered(e Event) {
	a := c.open[e.Attempt]
	if a == nil {
		c.violate(1, e.At, "attempt %d answered but is not open", e.Attempt)
		return
	}
	delete(c.open, e.Attempt)
	if a.abandoned {
		return
	}
	c.answers++
	if e.At > a.deadline+c.slack {
		c.violate(1, e.At, "attempt %d answered %v after its deadline", e.Attempt, e.At-a.deadline)
	}
	if e.Rejected && a.started {
		c.violate(2, e.At, "attempt %d ran and was rejected", e.Attempt)
	}
}

// ended removes a server and its attempts. A server that ended its shutdown must have answered everything: rule 3.
func (c *Checker) ended(e Event) {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		a := c.open[id]
		if a.server != e.Server {
			continue
		}
		if e.Kind == ShutdownEnded && !a.abandoned {
			c.violate(3, e.At, "server %d stopped with attempt %d unanswered", e.Server, id)
		}
		delete(c.open, id)
	}
	delete(c.shutdowns, e.Server)
}

// Finish ends the experiment at a moment and returns the report. An attempt that is still open after its deadline
// violates rule 1.
func (c *Checker) Finish(at time.Duration) Report {
	for _, a := range c.open { // in any order, as they are only counted
		if a.deadline+c.slack < at && !a.abandoned {
			c.violations[1]++
		}
	}
	return Report{Violations: c.violations, Messages: c.messages, Received: c.received, Answers: c.answers}
}

// Report contains the findings of a checker. The JSON names are those of stored experiments.
type Report struct {
	Violations [5]int   `json:"Broken"` // by rule, from 1; the first element is not used
	Messages   []string `json:"Words"`  // of the first maxMessages violations
	Received   int      `json:"Reads"`
	Answers    int      `json:"Answers"`
}

// Total returns the number of violations.
func (r Report) Total() (n int) {
	for _, b := range r.Violations {
		n += b
	}
	return n
}
