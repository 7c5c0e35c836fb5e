package config

import (
	"errors"
	"slices"
	"time"

	"quartzpoint/budget"
)

const (
	maxDependencies = 16
	maxRoutes       = 64
	maxShare        = 1000
	maxQueue        = 4096
	maxConnections  = 16
	maxDefaultBytes = 2 << 10 // bytes of a constant in the place of a part
	maxOpBytes      = 128
)

// Dependency is one that tasks call.
type Dependency struct {
	budget.Options
	Address     string
	Connections int
	Silence     time.Duration // after which a connection that owes answers and says nothing is dead
}

// RoutePlan is a traffic type that is made of calls.
type RoutePlan struct {
	Name    string
	Reserve time.Duration
	Calls   []Call
}

// Call is one of them.
type Call struct {
	budget.Call
	Op       string        // what the dependency is asked for
	MaxStale time.Duration // age up to which a last good result may take its place; 0: none may
	Default  []byte        // what takes its place else; nil: nothing does
}

// Plan is the type's plan.
func (t RoutePlan) Plan() *budget.Plan {
	p := &budget.Plan{Route: t.Name, Reserve: t.Reserve}
	for _, c := range t.Calls {
		p.Calls = append(p.Calls, c.Call)
	}
	return p
}

func readDependencies(s *section) (all []Dependency) {
	for _, one := range s.subsections(maxDependencies) {
		d := Dependency{
			Options: budget.Options{
				Name:       one.name,
				Share:      one.integer("share", 8, 1, maxShare),
				QueueLimit: one.integer("waiting", 64, 0, maxQueue),
				Linger:     one.duration("linger", 2*time.Second, 10*time.Millisecond, time.Minute),
				RetryRatio: one.float("second-attempts", 0.1, 0, 0.5),
			},
			Address: one.stringValue("address", "", "an address and port without a name, as \"127.0.0.1:9501\", is allowed",
				isAddress),
			Connections: one.integer("connections", 2, 1, maxConnections),
			Silence:     one.duration("silence", 2*time.Second, 100*time.Millisecond, time.Minute),
		}
		if _, present := one.values["address"]; !present {
			one.addError("address", nil, "is missing")
		}
		one.rejectUnknown()
		all = append(all, d)
	}
	s.rejectUnknown()
	return all
}

var effectByName = map[string]budget.Effect{"read": budget.Read, "numbered": budget.Keyed, "at-most-once": budget.AtMostOnce}

func readRoutes(s *section, dependencies []Dependency) (all []RoutePlan) {
	for _, one := range s.subsections(maxRoutes) {
		t := RoutePlan{Name: one.name, Reserve: one.duration("reserve", 30*time.Millisecond, time.Millisecond, 5*time.Second)}
		items := one.tables("calls", budget.MaxCalls)
		var names []string
		for _, item := range items {
			names = append(names, item.stringValue("name", "", "a name is allowed", func(n string) bool { return n != "" }))
		}
		before := len(s.errs)
		for i, item := range items {
			t.Calls = append(t.Calls, readCall(item, names, i, dependencies))
		}
		one.rejectUnknown()
		if len(items) == 0 {
			one.addError("calls", nil, "a type that is made of calls needs some, each as [["+one.keyPath("calls")+"]]")
		} else if len(s.errs) == before { // else the plan is wrong already, and more would be said of the same
			for _, err := range splitJoined(t.Plan().Check(len(dependencies), 24*time.Hour)) {
				one.addError("calls", nil, err.Error())
			}
		}
		all = append(all, t)
	}
	s.rejectUnknown()
	return all
}

// splitJoined are the errors that one joins.
func splitJoined(err error) []error {
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
		Required:   s.boolean("needed"),
		Value:      s.float("importance", 1, 0, 1e6),
		Expected:   s.duration("expected", 50*time.Millisecond, 100*time.Microsecond, time.Minute),
		Retry:      s.boolean("second-attempt"),
		Hedge:      s.boolean("hedge"),
	}}
	if names[i] == "" {
		s.addError("name", nil, "is missing")
	} else if slices.Index(names, names[i]) < i {
		s.addError("name", names[i], "stands twice in the plan")
	}
	var known []string
	for _, d := range dependencies {
		known = append(known, d.Name)
	}
	named := s.stringValue("dependency", "", "a name under [dependencies] is allowed", func(n string) bool {
		return slices.Contains(known, n)
	})
	c.Dependency = slices.Index(known, named)
	if _, present := s.values["dependency"]; !present {
		s.addError("dependency", nil, "is missing")
	}
	c.Op = s.stringValue("op", c.Name, "a word is allowed", func(n string) bool { return n != "" && len(n) <= maxOpBytes })
	c.Effect = effectByName[s.stringValue("effect", "read", "\"read\", \"numbered\" or \"at-most-once\" is allowed",
		func(n string) bool { _, known := effectByName[n]; return known })]
	for _, a := range s.stringList("after", budget.MaxCalls, "a name of a call of the same type", func(n string) bool {
		return slices.Contains(names, n) && n != c.Name
	}) {
		c.After = append(c.After, slices.Index(names, a))
	}
	c.MaxStale = s.duration("keep", 0, 10*time.Millisecond, 24*time.Hour)
	if _, present := s.values["default"]; present {
		c.Default = []byte(s.stringValue("default", "", "a text of 2048 bytes at most is allowed",
			func(n string) bool { return len(n) <= maxDefaultBytes }))
	}
	c.Fallback = c.MaxStale > 0 || c.Default != nil
	s.rejectUnknown()
	return c
}
