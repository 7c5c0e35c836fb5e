// Package budget decides how a request that is made of calls to several dependencies spends its caller's remaining
// time: the timeout of each call, which calls run concurrently, which optional ones are skipped, which are retried or
// hedged, and when the request is answered with the parts that are there. For each dependency it holds a concurrency
// limit, a circuit breaker and a retry budget.
//
// It does no I/O and reads no clock: callers pass the moment, as a time since any fixed origin, and an Executor carries
// out what is decided.
package budget

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// MaxCalls is the largest number of calls in a plan.
const MaxCalls = 16

// Effect says what repeating a call does, and so whether it may be repeated.
type Effect int

// The effects of a call.
const (
	Read       Effect = iota // without effect: may be retried and hedged
	Keyed                    // carries an idempotency key, the same on every attempt: may be retried
	AtMostOnce               // is sent once, whatever its outcome
)

// Call is one call of a plan.
type Call struct {
	Name       string
	Dependency int           // index among the scheduler's dependencies
	Required   bool          // without its part the request is aborted
	After      []int         // indexes in the plan of calls that must be settled before
	Value      float64       // weight of its part in the answer's value
	Expected   time.Duration // configured duration, used until enough calls were measured; above 0
	Effect     Effect
	Fallback   bool // a stored result or a constant may replace its part; reads only
	Retry      bool // a failed attempt may be retried; never for AtMostOnce
	Hedge      bool // a slow attempt may get a hedged request beside it; reads only
}

// Plan lists the calls that requests of a route are made of. Validate must have accepted it before it is used.
type Plan struct {
	Route   string
	Calls   []Call
	Reserve time.Duration // part of a request's time that is kept for composing and sending the answer

	order     []int // topological: each call stands behind those it depends on
	dependsOn [MaxCalls][MaxCalls]bool
}

// Validate prepares a plan for use. available is the time a request has from its arrival to its deadline. The error
// joins all faults that were found.
func (p *Plan) Validate(dependencies int, available time.Duration) error {
	if len(p.Calls) == 0 || len(p.Calls) > MaxCalls {
		return fmt.Errorf("%d calls; 1 to %d are allowed", len(p.Calls), MaxCalls)
	}
	var faults []error
	anyRequired := false
	for i, c := range p.Calls {
		anyRequired = anyRequired || c.Required
		faults = append(faults, c.faults(dependencies)...)
		for _, a := range c.After {
			if a < 0 || a >= len(p.Calls) || a == i {
				faults = append(faults, fmt.Errorf("call %q: waits for a call that is not there", c.Name))
				continue
			}
			p.dependsOn[i][a] = true
		}
	}
	if !anyRequired {
		faults = append(faults, errors.New("no call is needed, so the task would be answered without any"))
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	if err := p.sort(); err != nil {
		return err
	}
	if path := p.requiredCallsPath(); path+p.Reserve > available {
		return fmt.Errorf("needed calls take %v on their longest way and %v is kept back, of %v in all", path, p.Reserve, available)
	}
	return nil
}

// faults checks a call by itself.
func (c *Call) faults(dependencies int) (faults []error) {
	fault := func(text string) { faults = append(faults, fmt.Errorf("call %q: %s", c.Name, text)) }
	if c.Dependency < 0 || c.Dependency >= dependencies {
		fault("no such dependency")
	}
	if c.Effect == AtMostOnce && (c.Retry || c.Hedge) {
		fault("an at-most-once call can't have a second attempt")
	}
	if c.Hedge && c.Effect != Read {
		fault("only reads are hedged")
	}
	if c.Fallback && c.Effect != Read {
		fault("nothing takes the place of an effect")
	}
	if c.Expected <= 0 {
		fault("its expected time must be above 0")
	}
	return faults
}

// sort orders the calls topologically, or names those that form a cycle.
func (p *Plan) sort() error {
	p.order = p.order[:0]
	var placed [MaxCalls]bool
	for len(p.order) < len(p.Calls) {
		before := len(p.order)
		for i := range p.Calls {
			ready := !placed[i]
			for a := range p.Calls {
				ready = ready && (!p.dependsOn[i][a] || placed[a])
			}
			if ready {
				placed[i] = true
				p.order = append(p.order, i)
			}
		}
		if len(p.order) == before {
			var cycle []string
			for i, c := range p.Calls {
				if !placed[i] {
					cycle = append(cycle, c.Name)
				}
			}
			return fmt.Errorf("calls wait for each other: %s", strings.Join(cycle, ", "))
		}
	}
	return nil
}
