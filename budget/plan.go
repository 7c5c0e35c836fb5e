// Package budget decides how a request that is composed of calls to several dependencies spends the time left until its
// deadline: the timeout of each call, which calls run concurrently, which optional ones are skipped, which are retried
// or hedged, and when the request is answered with the parts that are available. For each dependency it keeps a
// concurrency limit, a circuit breaker and a retry budget.
//
// It does no I/O and reads no clock: callers pass the current time as a duration since any fixed origin, and an
// Executor carries out the decisions.
package budget

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// MaxCalls is the maximum number of calls in a plan.
const MaxCalls = 16

// Effect states what repeating a call does, and so whether it may be repeated.
type Effect int

// The effects of a call, ordered from the one that allows the most kinds of repeats to the one that allows none.
const (
	Read       Effect = iota // without effect: may be retried and hedged
	Keyed                    // carries an idempotency key, the same on every attempt: may be retried
	AtMostOnce               // is sent once, whatever its outcome
)

// Call is one call of a plan. Its result is one part of the answer to the request.
type Call struct {
	Name       string
	Dependency int           // index among the scheduler's dependencies
	Required   bool          // without its part the request is aborted; named "needed" in the settings and in error texts
	After      []int         // indexes in the plan of the calls that must be settled first
	Value      float64       // weight of its part in the answer's value
	Expected   time.Duration // configured duration, used until enough calls are measured; above 0
	Effect     Effect
	Fallback   bool // a stored result or a constant may replace its part; reads only
	Retry      bool // a failed attempt may be retried; never for AtMostOnce
	Hedge      bool // a hedged request may be sent if an attempt is slow; reads only
}

// Plan lists the calls of which requests of a route are composed. It must pass Validate before it is used.
type Plan struct {
	Route   string
	Calls   []Call
	Reserve time.Duration // part of a request's time that is reserved for composing and sending the answer

	order     []int // topological: each call follows those it depends on
	dependsOn [MaxCalls][MaxCalls]bool
}

// Validate checks a plan and prepares it for use. dependencies is the number of dependencies; available is the time of
// a request from its arrival to its deadline. Errors of several calls are joined.
func (p *Plan) Validate(dependencies int, available time.Duration) error {
	if len(p.Calls) == 0 || len(p.Calls) > MaxCalls {
		return fmt.Errorf("%d calls, want 1 to %d", len(p.Calls), MaxCalls)
	}
	var errs []error
	anyRequired := false
	for i, c := range p.Calls {
		anyRequired = anyRequired || c.Required
		errs = append(errs, c.validate(dependencies)...)
		for _, a := range c.After {
			if a < 0 || a >= len(p.Calls) || a == i {
				errs = append(errs, fmt.Errorf("call %q: waits for itself or an unknown call", c.Name))
				continue
			}
			p.dependsOn[i][a] = true
		}
	}
	if !anyRequired {
		errs = append(errs, errors.New("no call is needed, so the request would be answered without any call"))
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	if err := p.sort(); err != nil {
		return err
	}
	if path := p.requiredCallsPath(); path+p.Reserve > available {
		return fmt.Errorf("needed calls take %v on their longest path and %v is reserved, of %v in total", path, p.Reserve, available)
	}
	return nil
}

// validate returns the errors in a call, regardless of the other calls.
func (c *Call) validate(dependencies int) (errs []error) {
	addError := func(text string) { errs = append(errs, fmt.Errorf("call %q: %s", c.Name, text)) }
	if c.Dependency < 0 || c.Dependency >= dependencies {
		addError("unknown dependency")
	}
	if c.Effect == AtMostOnce && (c.Retry || c.Hedge) {
		addError("an at-most-once call can't have a second attempt")
	}
	if c.Hedge && c.Effect != Read {
		addError("only reads can be hedged")
	}
	if c.Fallback && c.Effect != Read {
		addError("only reads can have a fallback")
	}
	if c.Expected <= 0 {
		addError("the expected duration must be above 0")
	}
	return errs
}

// sort orders the calls topologically, or returns an error that names the calls that cannot be ordered because of a
// cycle.
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
