package config

import (
	"errors"
	"slices"
	"time"

	"quartzpoint/budget"
)

const (
	maxRoutes       = 64
	maxDefaultBytes = 2 << 10
	maxOpBytes      = 128
	maxPlanTime     = 24 * time.Hour // the plan is validated again once the time of the route's requests is known
)

// RoutePlan is a route whose requests consist of calls to dependencies.
type RoutePlan struct {
	Name    string
	Reserve time.Duration // part of a request's time that is reserved for composing and sending the answer
	Calls   []Call
}

// Call is one call of a plan.
type Call struct {
	budget.Call
	Op       string        // operation of the dependency
	MaxStale time.Duration // maximum age of the call's last good result that may replace a failed call; 0: never
	Default  []byte        // replaces a failed call if no earlier result does; nil: none
}

// Plan returns the plan of the route's calls. It is not validated.
func (r RoutePlan) Plan() *budget.Plan {
	plan := &budget.Plan{Route: r.Name, Reserve: r.Reserve}
	for _, call := range r.Calls {
		plan.Calls = append(plan.Calls, call.Call)
	}
	return plan
}

func readRoutes(s *section, dependencies []Dependency) []RoutePlan {
	var all []RoutePlan
	for _, sub := range s.subsections(maxRoutes) {
		all = append(all, readRoute(sub, dependencies))
	}
	s.rejectUnknown()
	return all
}

func readRoute(s *section, dependencies []Dependency) RoutePlan {
	route := RoutePlan{Name: s.name, Reserve: s.duration("reserve", 30*time.Millisecond, time.Millisecond, 5*time.Second)}
	calls := s.tables("calls", budget.MaxCalls)
	var names []string
	for _, call := range calls {
		names = append(names, call.stringValue("name", "", "a name is allowed", isNotEmpty))
	}
	before := len(s.errs)
	for i, call := range calls {
		route.Calls = append(route.Calls, readCall(call, names, i, dependencies))
	}
	s.rejectUnknown()
	switch {
	case len(calls) == 0:
		s.addError("calls", nil, "a route of calls needs at least one, each as [["+s.keyPath("calls")+"]]")
	case len(s.errs) == before: // validating the plan would repeat the errors of its calls
		for _, err := range splitJoined(route.Plan().Validate(len(dependencies), maxPlanTime)) {
			s.addError("calls", nil, err.Error())
		}
	}
	return route
}

// effectByName maps the names in the file to the effects of a call.
var effectByName = map[string]budget.Effect{"read": budget.Read, "numbered": budget.Keyed, "at-most-once": budget.AtMostOnce}

// readCall reads the call at an index in the list of names.
func readCall(s *section, names []string, index int, dependencies []Dependency) Call {
	call := Call{Call: budget.Call{
		Name:     names[index],
		Required: s.boolean("needed"),
		Value:    s.float("importance", 1, 1e6),
		Expected: s.duration("expected", 50*time.Millisecond, 100*time.Microsecond, time.Minute),
		Retry:    s.boolean("second-attempt"),
		Hedge:    s.boolean("hedge"),
	}}
	if call.Name == "" {
		s.addError("name", nil, "is missing")
	} else if slices.Index(names, call.Name) < index {
		s.addError("name", call.Name, "is listed twice in the plan")
	}
	call.Dependency = readDependencyIndex(s, dependencies)
	call.Op = s.stringValue("op", call.Name, "a text of 1 to 128 bytes is allowed", func(op string) bool { return op != "" && len(op) <= maxOpBytes })
	call.Effect = effectByName[s.stringValue("effect", "read", "\"read\", \"numbered\" or \"at-most-once\" is allowed",
		func(name string) bool { _, known := effectByName[name]; return known })]
	isOtherCall := func(name string) bool { return slices.Contains(names, name) && name != call.Name }
	for _, name := range s.stringList("after", budget.MaxCalls, "a name of a call of the same route", isOtherCall) {
		call.After = append(call.After, slices.Index(names, name))
	}
	call.MaxStale = s.duration("keep", 0, 10*time.Millisecond, 24*time.Hour)
	if s.has("default") { // an empty default counts as one
		call.Default = []byte(s.stringValue("default", "", "a text of at most 2048 bytes is allowed",
			func(text string) bool { return len(text) <= maxDefaultBytes }))
	}
	call.Fallback = call.MaxStale > 0 || call.Default != nil
	s.rejectUnknown()
	return call
}

// readDependencyIndex reads the name of a call's dependency and returns the dependency's index, or -1.
func readDependencyIndex(s *section, dependencies []Dependency) int {
	var names []string
	for _, d := range dependencies {
		names = append(names, d.Name)
	}
	isDependency := func(name string) bool { return slices.Contains(names, name) }
	name := s.stringValue("dependency", "", "a name under [dependencies] is allowed", isDependency)
	if !s.has("dependency") {
		s.addError("dependency", nil, "is missing")
	}
	return slices.Index(names, name)
}

// splitJoined returns the errors that errors.Join joined, a single error as it is, or nil.
func splitJoined(err error) []error {
	var joined interface{ Unwrap() []error }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &joined):
		return joined.Unwrap()
	}
	return []error{err}
}
