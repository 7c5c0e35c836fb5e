package scenario

import (
	"slices"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"quartzpoint/budget"
	"quartzpoint/emulator"
)

// statement applies a statement to the drill.
func (r *reader) statement(d *Drill, s *statement) {
	switch {
	case s.Title != nil:
		d.Title = *s.Title
	case s.Fleet != nil:
		r.fleet(d, s)
	case s.Load != nil:
		d.Load = r.number(&s.Load.Share, 0.8, 0.01, 20)
		d.Span = r.span(&s.Load.Span, 20*time.Second, time.Second, maxSpan)
		d.BurstFactor = r.number(s.Load.Burst, 0, 1, 100)
		d.BurstInterval, d.DailyCurve = r.span(s.Load.Every, 0, time.Second, maxSpan), s.Load.Curve
	case s.Router != nil:
		d.Fleet.RouterOptions = r.routerOptions(s.Pos, s.Router)
	case s.Clients != nil:
		d.Fleet.ClientOptions = r.clients(s.Clients)
	case s.Network != nil:
		d.Fleet.Delay = r.span(&s.Network.Delay, 0, 0, time.Second)
		d.Fleet.Jitter = r.span(s.Network.Jitter, 0, 0, time.Second)
		d.Fleet.EndpointLag = r.span(s.Network.EndpointLag, d.Fleet.EndpointLag, 0, time.Minute)
	case s.Dependency != nil:
		r.dependency(d, s)
	case s.Compose != nil:
		r.compose(d, s)
	case s.Event != nil:
		d.Incidents = append(d.Incidents, r.event(s.Pos, s.Event))
	}
}

func (r *reader) fleet(d *Drill, s *statement) {
	f := s.Fleet
	d.Fleet.Servers = int(r.number(&f.Servers, 10, 1, maxServers))
	d.Fleet.Zones = int(r.number(f.Zones, 2, 1, 100))
	d.Fleet.Machine.Cores = r.number(f.Cores, 4, 1, 256)
	d.Fleet.Machine.ColdShare = r.number(f.Cold, 0, 0.01, 1)
	d.Fleet.Machine.WarmUp = r.span(f.WarmUp, 0, 0, maxSpan)
	d.Fleet.PeerSync = f.Peers
	if f.Mix != nil {
		switch *f.Mix {
		case "branch":
		case "booking":
			d.Fleet.Routes = emulator.BookingRoutes()
		default:
			r.addError(s.Pos, "mix %s: want branch or booking", *f.Mix)
		}
	}
}

// dependency adds a dependency to the drill and sets the routes whose runs call it.
func (r *reader) dependency(d *Drill, s *statement) {
	dep := s.Dependency
	d.Fleet.Dependencies = append(d.Fleet.Dependencies, emulator.Dependency{
		Name: dep.Name, Slots: int(r.number(&dep.Slots, 1, 1, 100_000)), Mean: r.span(&dep.Mean, time.Millisecond, time.Microsecond, time.Minute), Spread: 0.5,
	})
	for _, name := range dep.Routes {
		found := false
		for i := range d.Fleet.Routes {
			if route := &d.Fleet.Routes[i]; route.Name == name {
				route.Dependency, route.SkipValueShare, found = dep.Name, r.number(dep.SkipValueShare, 0, 0, 1), true
			}
		}
		if !found {
			r.addError(s.Pos, "no route %s in this mix", name)
		}
	}
}

// compose adds the plan of a composed route. Its calls do not depend on each other, so they are made in parallel.
func (r *reader) compose(d *Drill, s *statement) {
	routeIndex := slices.IndexFunc(d.Fleet.Routes, func(t emulator.Route) bool { return t.Name == s.Compose.Route })
	if routeIndex < 0 {
		r.addError(s.Pos, "no route %s in this mix", s.Compose.Route)
		return
	}
	plan := &budget.Plan{Route: s.Compose.Route, Reserve: 5 * time.Millisecond}
	for _, c := range s.Compose.Calls {
		dependencyIndex := slices.IndexFunc(d.Fleet.Dependencies, func(o emulator.Dependency) bool { return o.Name == c.Name })
		if dependencyIndex < 0 {
			r.addError(c.Pos, "dependency %q is not defined before this statement", c.Name)
			return
		}
		plan.Calls = append(plan.Calls, budget.Call{
			Name: c.Name, Dependency: dependencyIndex, Required: c.Required, Value: r.number(c.Value, 1, 0.001, 1000),
			Expected: d.Fleet.Dependencies[dependencyIndex].Mean, Retry: true, Hedge: true,
		})
	}
	route := d.Fleet.Routes[routeIndex]
	if err := plan.Validate(len(d.Fleet.Dependencies), min(route.LatencyTarget, route.Deadline)); err != nil {
		r.addError(s.Pos, "%v", err)
		return
	}
	if d.Fleet.Plans == nil {
		d.Fleet.Plans = map[string]*budget.Plan{}
	}
	d.Fleet.Plans[route.Name] = plan
}

func (r *reader) routerOptions(at lexer.Position, options *routerOptions) emulator.RouterOptions {
	switch options.Balancing {
	case "round", "least", "subject", "walk", "random":
	default:
		r.addError(at, "habits %s: want round, least, subject, walk or random", options.Balancing)
	}
	return emulator.RouterOptions{
		Balancing: options.Balancing, MaxAttempts: int(r.number(options.MaxAttempts, 0, 1, 100)), RetryBudget: r.number(options.Budget, 0, 0.001, 10),
		HeedsBackpressure: options.HeedsBackpressure, RetriesAborted: options.RetriesAborted,
	}
}

func (r *reader) clients(c *clients) emulator.ClientOptions {
	maxRetries := int(r.number(c.MaxRetries, 0, 0, 1000))
	if c.Unlimited {
		maxRetries = -1
	}
	return emulator.ClientOptions{MaxRetries: maxRetries, Backoff: r.span(c.Backoff, 100*time.Millisecond, time.Millisecond, time.Minute)}
}

// target sets the servers of an incident.
func (r *reader) target(i *Incident, t *target) {
	switch {
	case t.Share != nil:
		i.Share = r.number(t.Share, 0, 0.001, 1)
	case t.Server != nil:
		i.Server = int(r.number(t.Server, 0, 0, maxServers))
	case t.Zone != nil:
		i.Zone = int(r.number(t.Zone, 0, 0, 100))
	}
}

// event returns the incident of an event.
func (r *reader) event(at lexer.Position, e *event) Incident {
	i := Incident{
		At: r.span(&e.When, 0, 0, maxSpan), Duration: r.span(e.Span, 0, time.Millisecond, maxSpan), Server: -1, Zone: -1,
		ShutdownLimit: r.span(e.ShutdownLimit, 2500*time.Millisecond, 500*time.Millisecond, time.Minute),
	}
	switch {
	case e.Kill != nil:
		i.Kind = KillServers
		r.target(&i, e.Kill)
	case e.Restart != nil:
		i.Kind = RestartServers
		r.target(&i, e.Restart)
	case e.Deploy != nil:
		i.Kind, i.Span = Deploy, r.span(e.Deploy, time.Second, time.Millisecond, time.Minute)
	case e.Pause != nil:
		if i.Kind = PauseServers; i.Duration == 0 {
			r.addError(at, "pause has no duration, want for example: at 5s for 2s pause ...")
		}
		r.target(&i, e.Pause)
	case e.Slow != nil:
		i.Kind, i.Factor = SlowPools, r.number(&e.Slow.By, 1, 0.1, 1000)
		r.target(&i, &e.Slow.Target)
	case e.Neighbours != nil:
		i.Kind, i.Factor = Neighbours, r.number(&e.Neighbours.By, 0, 0, 0.99)
		r.target(&i, &e.Neighbours.Target)
	case e.Flap != nil:
		if i.Kind = Disconnect; i.Duration == 0 {
			r.addError(at, "flap has no duration, want for example: at 5s for 2s flap ...")
		}
		r.target(&i, e.Flap)
	case e.Clock != nil:
		i.Kind, i.Span = StepClock, r.span(&e.Clock.By, 0, -maxSpan, maxSpan)
		r.target(&i, &e.Clock.Target)
	default:
		r.fleetEvent(at, e, &i)
	}
	return i
}

// fleetEvent sets the fields of an incident that does not concern single servers.
func (r *reader) fleetEvent(at lexer.Position, e *event, i *Incident) {
	switch {
	case e.Load != nil:
		i.Kind, i.Factor = ChangeLoad, r.number(e.Load, 1, 0, 100)
	case e.Endpoints != nil:
		i.Kind, i.Span = DelayEndpoints, r.span(e.Endpoints, 0, 0, time.Minute)
	case e.Network != nil:
		i.Kind, i.Factor = SlowNetwork, r.number(e.Network, 1, 0.1, 10_000)
	case e.Loss != nil:
		i.Kind, i.Factor = LosePackets, r.number(e.Loss, 0, 0, 0.9)
	case e.Router != nil:
		i.Kind, i.RouterOptions = ChangeRouters, r.routerOptions(at, e.Router)
	case e.Clients != nil:
		i.Kind, i.ClientOptions = ChangeClients, r.clients(e.Clients)
	case e.Stop != nil:
		i.Kind, i.Name = StopDependency, *e.Stop
	case e.Drag != nil:
		i.Kind, i.Name, i.Factor = SlowDependency, e.Drag.Name, r.number(&e.Drag.By, 1, 0.1, 10_000)
	case e.Fail != nil:
		i.Kind, i.Name, i.Factor = FailDependency, e.Fail.Name, r.number(&e.Fail.By, 0, 0, 1)
	}
}
