package config

import (
	"errors"
	"slices"
	"time"

	"quartzpoint/budget"
)

const (
	mostDependencies = 16
	mostTypes        = 64
	mostShare        = 1000
	mostWaiting      = 4096
	mostConnections  = 16
	mostDefault      = 2 << 10 // bytes of a constant in the place of a part
	mostOp           = 128
)

// Dependency is one that tasks call.
type Dependency struct {
	budget.Options
	Address        string
	Connections    int
	SilenceTimeout time.Duration // after which a connection that owes answers and says nothing is dead
}

// Type is a traffic type that is made of calls.
type Type struct {
	Name    string
	Reserve time.Duration
	Calls   []Call
}

// Call is one of them.
type Call struct {
	budget.Call
	Op      string        // what the dependency is asked for
	Keep    time.Duration // age up to which a last good result may take its place; 0: none may
	Default []byte        // what takes its place else; nil: nothing does
}

// Plan is the type's plan.
func (t Type) Plan() *budget.Plan {
	p := &budget.Plan{Route: t.Name, Reserve: t.Reserve}
	for _, c := range t.Calls {
		p.Calls = append(p.Calls, c.Call)
	}
	return p
}

func readDependencies(s *section) (all []Dependency) {
	for _, one := range s.all(mostDependencies) {
		d := Dependency{
			Options: budget.Options{
				Name:             one.named,
				MaxInFlight:      one.whole("share", 8, 1, mostShare),
				QueueLimit:       one.whole("waiting", 64, 0, mostWaiting),
				CancelledTimeout: one.span("linger", 2*time.Second, 10*time.Millisecond, time.Minute),
				RetryRatio:       one.number("second-attempts", 0.1, 0, 0.5),
			},
			Address: one.text("address", "", "an address and port without a name, as \"127.0.0.1:9501\", is allowed",
				address),
			Connections:    one.whole("connections", 2, 1, mostConnections),
			SilenceTimeout: one.span("silence", 2*time.Second, 100*time.Millisecond, time.Minute),
		}
		if _, stated := one.values["address"]; !stated {
			one.fault("address", nil, "is missing")
		}
		one.end()
		all = append(all, d)
	}
	s.end()
	return all
}

var effects = map[string]budget.Effect{"read": budget.Read, "numbered": budget.Keyed, "at-most-once": budget.AtMostOnce}

func readTypes(s *section, dependencies []Dependency) (all []Type) {
	for _, one := range s.all(mostTypes) {
		t := Type{Name: one.named, Reserve: one.span("reserve", 30*time.Millisecond, time.Millisecond, 5*time.Second)}
		items := one.list("calls", budget.MaxCalls)
		var names []string
		for _, item := range items {
			names = append(names, item.text("name", "", "a name is allowed", func(n string) bool { return n != "" }))
		}
		before := len(s.faults)
		for i, item := range items {
			t.Calls = append(t.Calls, readCall(item, names, i, dependencies))
		}
		one.end()
		if len(items) == 0 {
			one.fault("calls", nil, "a type that is made of calls needs some, each as [["+one.at("calls")+"]]")
		} else if len(s.faults) == before { // else the plan is wrong already, and more would be said of the same
			for _, err := range parts(t.Plan().Validate(len(dependencies), 24*time.Hour)) {
				one.fault("calls", nil, err.Error())
			}
		}
		all = append(all, t)
	}
	s.end()
	return all
}

// parts are the errors that one joins.
func parts(err error) []error {
	var many interface{ Unwrap() []error }
	if errors.As(err, &many) {
		return many.Unwrap()
	}
	if err == nil {
		return nil
	}
	return []error{err}
}

func readCall(s *section, names []string, i int, dependencies []Dependency) Call {
	c := Call{Call: budget.Call{
		Name:       names[i],
		Dependency: -1,
		Required:   s.flag("needed"),
		Value:      s.number("importance", 1, 0, 1e6),
		Expected:   s.span("expected", 50*time.Millisecond, 100*time.Microsecond, time.Minute),
		Retry:      s.flag("second-attempt"),
		Hedge:      s.flag("hedge"),
	}}
	if names[i] == "" {
		s.fault("name", nil, "is missing")
	} else if slices.Index(names, names[i]) < i {
		s.fault("name", names[i], "stands twice in the plan")
	}
	var known []string
	for _, d := range dependencies {
		known = append(known, d.Name)
	}
	named := s.text("dependency", "", "a name under [dependencies] is allowed", func(n string) bool {
		return slices.Contains(known, n)
	})
	c.Dependency = slices.Index(known, named)
	if _, stated := s.values["dependency"]; !stated {
		s.fault("dependency", nil, "is missing")
	}
	c.Op = s.text("op", c.Name, "a word is allowed", func(n string) bool { return n != "" && len(n) <= mostOp })
	c.Effect = effects[s.text("effect", "read", "\"read\", \"numbered\" or \"at-most-once\" is allowed",
		func(n string) bool { _, known := effects[n]; return known })]
	for _, a := range s.texts("after", budget.MaxCalls, "a name of a call of the same type", func(n string) bool {
		return slices.Contains(names, n) && n != c.Name
	}) {
		c.After = append(c.After, slices.Index(names, a))
	}
	c.Keep = s.span("keep", 0, 10*time.Millisecond, 24*time.Hour)
	if _, stated := s.values["default"]; stated {
		c.Default = []byte(s.text("default", "", "a text of 2048 bytes at most is allowed",
			func(n string) bool { return len(n) <= mostDefault }))
	}
	c.Fallback = c.Keep > 0 || c.Default != nil
	s.end()
	return c
}
