package server

import (
	"math"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
)

// changesPerRound is how many entries of the tables change in one round; the rest of a change waits for the next ones,
// so that no request waits for a large change.
const changesPerRound = 128

// TableChange is what becomes different of the tables of routes and tenants.
type TableChange struct {
	Routes  []settings.RouteChange
	Tenants []settings.TenantChange
	// Done is called in the owner's turn once all of it is in force; nil for nothing to be called.
	Done func()
}

// tableQueue are changes of the tables in their order, of which some may have been made.
type tableQueue struct {
	changes []TableChange
	free    []freePlace // places in the table of tenants that removed ones have left, the oldest first
}

// freePlace is a place that nobody has; requests of the tenant that left it may still be under way.
type freePlace struct {
	place int
	from  time.Duration // when it may be taken by another
}

// ChangeTables has the tables become different, a part in each round. Changes are made in the order in which they are
// handed over, and each entry at once: a request is taken in under what its route was stated as in that moment, and ends
// under that. Any goroutine may call it, and hands over the next change once Done was called, so what waits is bounded.
func (s *Server) ChangeTables(change TableChange) {
	s.Submit(func() { s.tables.changes = append(s.tables.changes, change) })
}

// SetTables makes a change at once. It is for before Run.
func (s *Server) SetTables(change TableChange) {
	s.tables.changes = append(s.tables.changes, change)
	s.makeChanges(math.MaxInt)
}

// changeTables makes a part of what waits.
func (s *Server) changeTables() {
	s.makeChanges(changesPerRound)
	if len(s.tables.changes) > 0 {
		s.Wake()
	}
}

// makeChanges makes so many entries different at the most.
func (s *Server) makeChanges(left int) {
	for left > 0 && len(s.tables.changes) > 0 {
		change := &s.tables.changes[0]
		switch {
		case len(change.Routes) > 0:
			s.changeRoute(change.Routes[0])
			change.Routes = change.Routes[1:]
			left--
		case len(change.Tenants) > 0:
			s.changeTenant(change.Tenants[0])
			change.Tenants = change.Tenants[1:]
			left--
		default:
			done := change.Done
			s.tables.changes = slices.Delete(s.tables.changes, 0, 1)
			if done != nil {
				done()
			}
		}
	}
}

func (s *Server) changeRoute(change settings.RouteChange) {
	was, name := s.routes[change.Name], change.Name
	if change.Route == nil {
		if was != nil {
			s.controller.RemoveRoute(was)
			delete(s.routes, name)
			delete(s.unserved, name)
		}
		return
	}
	stated := *change.Route
	composed := s.parts.Composes(name)
	if composed {
		stated.CallWait = s.parts.Waits(name)
	}
	s.routes[name] = s.controller.PutRoute(was, stated)
	delete(s.unserved, name)
	if stated.CallsDependency && !s.limits.Calls && !composed {
		s.unserved[name] = true
	}
}

func (s *Server) changeTenant(change settings.TenantChange) {
	place, known := s.tenants[change.Name]
	switch {
	case change.Removed && known:
		delete(s.tenants, change.Name)
		s.tables.free = append(s.tables.free, freePlace{place, s.Now() + s.longestDeadline()})
	case change.Removed:
	case known:
		s.controller.PutTenant(place, change.Rate, false)
	default:
		place := s.freePlace()
		s.controller.PutTenant(place, change.Rate, true)
		s.tenants[change.Name] = place
	}
}

// freePlace is one that nobody has, and of whose last tenant no request can be left; else one past the table's end.
func (s *Server) freePlace() int {
	if len(s.tables.free) > 0 && s.tables.free[0].from <= s.Now() {
		place := s.tables.free[0].place
		s.tables.free = s.tables.free[1:]
		return place
	}
	return s.controller.TenantCount()
}

// longestDeadline is how long any request that is here now may stay.
func (s *Server) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, request := range s.requests {
		longest = max(longest, request.Route.Deadline)
	}
	return longest
}

// Tables are the routes and tenants in force, by name, as New was told of them or as they have changed since. It is for
// before Run.
func (s *Server) Tables() (routes map[string]admission.Route, tenants map[string]float64) {
	routes, tenants = make(map[string]admission.Route, len(s.routes)), make(map[string]float64, len(s.tenants))
	for name, route := range s.routes {
		routes[name] = route.Settings()
	}
	for name, place := range s.tenants {
		tenants[name] = s.controller.TenantRate(place)
	}
	return routes, tenants
}
