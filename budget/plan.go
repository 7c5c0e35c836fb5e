// Package budget decides how a task that is made of calls to several dependencies spends its caller's remaining
// time: what each call may use, what is started side by side, what is left out, what is tried a second time, and
// when what is there is answered. It does no I/O and reads no clock; a Writer carries out what it decides.
package budget

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// MaxCalls bounds the calls of a plan.
const MaxCalls = 16

// Effect says what a repeated call does.
type Effect int

// A read may be repeated; a numbered call with its number; an at-most-once call whose outcome is unclear never.
const (
	Read Effect = iota
	Keyed
	AtMostOnce
)

// Call is one call of a plan.
type Call struct {
	Name       string
	Dependency int           // its place among the dependencies
	Required   bool          // without it there is no answer
	After      []int         // calls that must be settled before, by their place in the plan
	Value      float64       // that its part adds to the answer
	Expected   time.Duration // until enough of it was seen
	Effect     Effect
	Fallback   bool // a last good result or a constant may take its place
	Retry      bool // a second attempt may be made
	Hedge      bool // a second attempt may be made beside a slow first one; reads only
}

// Plan is how a traffic type's tasks are made. Check must have passed it.
type Plan struct {
	Route   string
	Calls   []Call
	Reserve time.Duration // of the time, for composing and answering

	order     []int // so that each call comes behind those it waits for
	dependsOn [MaxCalls][MaxCalls]bool
}

// Validate makes a plan fit for use, or tells all that is wrong with it. whole is the time that a task has, from its
// arrival, for everything.
func (p *Plan) Validate(dependencies int, whole time.Duration) error {
	var faults []error
	fault := func(words string, of ...any) { faults = append(faults, fmt.Errorf(words, of...)) }
	if len(p.Calls) == 0 || len(p.Calls) > MaxCalls {
		fault("%d calls; 1 to %d are allowed", len(p.Calls), MaxCalls)
		return errors.Join(faults...)
	}
	needed := false
	for i, c := range p.Calls {
		needed = needed || c.Required
		if c.Dependency < 0 || c.Dependency >= dependencies {
			fault("call %q: no such dependency", c.Name)
		}
		if c.Effect == AtMostOnce && (c.Retry || c.Hedge) {
			fault("call %q: an at-most-once call can't have a second attempt", c.Name)
		}
		if c.Hedge && c.Effect != Read {
			fault("call %q: only reads are hedged", c.Name)
		}
		if c.Fallback && c.Effect != Read {
			fault("call %q: nothing takes the place of an effect", c.Name)
		}
		if c.Expected <= 0 {
			fault("call %q: its expected time must be above 0", c.Name)
		}
		for _, a := range c.After {
			if a < 0 || a >= len(p.Calls) || a == i {
				fault("call %q: waits for a call that is not there", c.Name)
				continue
			}
			p.dependsOn[i][a] = true
		}
	}
	if !needed {
		fault("no call is needed, so the task would be answered without any")
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	if err := p.sort(); err != nil {
		return err
	}
	if path := p.longestPath(func(i int) time.Duration { return p.Calls[i].Expected }, true); path+p.Reserve > whole {
		return fmt.Errorf("needed calls take %v on their longest way and %v is kept back, of %v in all", path, p.Reserve, whole)
	}
	return nil
}

// sort lays the calls in an order, or names those that wait for each other.
func (p *Plan) sort() error {
	p.order = p.order[:0]
	var laid [MaxCalls]bool
	for len(p.order) < len(p.Calls) {
		before := len(p.order)
		for i := range p.Calls {
			ready := !laid[i]
			for a := range p.Calls {
				ready = ready && (!p.dependsOn[i][a] || laid[a])
			}
			if ready {
				laid[i] = true
				p.order = append(p.order, i)
			}
		}
		if len(p.order) == before {
			var circle []string
			for i, c := range p.Calls {
				if !laid[i] {
					circle = append(circle, c.Name)
				}
			}
			return fmt.Errorf("calls wait for each other: %s", strings.Join(circle, ", "))
		}
	}
	return nil
}

// longestPath is the longest way through the plan, of needed calls alone or of all.
func (p *Plan) longestPath(takes func(int) time.Duration, needed bool) (longest time.Duration) {
	var ends [MaxCalls]time.Duration
	for _, i := range p.order {
		for a := range p.Calls {
			if p.dependsOn[i][a] {
				ends[i] = max(ends[i], ends[a])
			}
		}
		if !needed || p.Calls[i].Required {
			ends[i] += takes(i)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Span is when a call is expected to run and how long it may, from the beginning of a task that has all its time.
type Span struct {
	Name       string
	Start, End time.Duration
	Timeout    time.Duration
	Required   bool
	Dependency string
}

// Spans lays the plan out on a time line for its operators.
func (p *Plan) Spans(whole time.Duration, names []string) (spans []Span) {
	var ends [MaxCalls]time.Duration
	f := Execution{plan: p, deadline: whole - p.Reserve}
	book := &Scheduler{dependencies: make([]*Dependency, len(names))}
	for i := range names {
		book.dependencies[i] = NewDependency(Options{MaxInFlight: 1, QueueLimit: 1}, 0)
	}
	for _, i := range p.order {
		begins := time.Duration(0)
		for a := range p.Calls {
			if p.dependsOn[i][a] {
				begins = max(begins, ends[a])
			}
		}
		c := p.Calls[i]
		ends[i] = begins + c.Expected
		spans = append(spans, Span{c.Name, begins, ends[i], book.callTimeout(&f, i, begins), c.Required, names[c.Dependency]})
	}
	return spans
}

// RequiredPath is how long the needed calls are expected to take on their longest way, and the answering.
func (p *Plan) RequiredPath() time.Duration {
	return p.longestPath(func(i int) time.Duration { return p.Calls[i].Expected }, true) + p.Reserve
}
