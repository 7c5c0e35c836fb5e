package server

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/internal/settings"
)

// changesPerRound is how many entries of the tables change in one round; the rest of a change waits for the next ones,
// so that no request waits for a large change.
const changesPerRound = 128

// TableChange is a change of the tables of routes and tenants.
type TableChange struct {
	Routes  []settings.RouteChange
	Tenants []settings.TenantChange
	// Done is called on the event loop once all of it is in force; it may be nil.
	Done func()
}

// tables are the routes and tenants in force, and the changes that are to come, in their order.
type tables struct {
	routes   map[string]*admission.Route
	unserved map[string]bool // routes that call a dependency, where there is none
	adopted  int             // spare routes that were given a name
	tenants  map[string]int  // their index in the controller

	changes []TableChange // the first may have been made in part
	free    []freeIndex   // of tenants that were removed, the oldest first
}

// freeIndex is the index of a removed tenant, whose requests may still be under way.
type freeIndex struct {
	index       int
	availableAt time.Duration // when another tenant may have it
}

// ChangeTables changes the tables, a part in each round. Changes are made in the order in which they were submitted, and each
// entry at once: a request is taken in under what its route is in that moment, and ends under that. Any goroutine may call it,
// and submits the next change once Done was called, so the queue is bounded.
func (s *Server) ChangeTables(change TableChange) {
	s.Submit(func() { s.tables.changes = append(s.tables.changes, change) })
}

// SetTables makes a change at once. It is for before Run.
func (s *Server) SetTables(change TableChange) {
	s.tables.changes = append(s.tables.changes, change)
	s.applyChanges(math.MaxInt)
}

// applyTableChanges makes a part of the changes.
func (s *Server) applyTableChanges() {
	s.applyChanges(changesPerRound)
	if len(s.tables.changes) > 0 {
		s.Wake()
	}
}

// applyChanges changes limit entries at most.
func (s *Server) applyChanges(limit int) {
	for limit > 0 && len(s.tables.changes) > 0 {
		change := &s.tables.changes[0]
		switch {
		case len(change.Routes) > 0:
			s.changeRoute(change.Routes[0])
			change.Routes = change.Routes[1:]
			limit--
		case len(change.Tenants) > 0:
			s.changeTenant(change.Tenants[0])
			change.Tenants = change.Tenants[1:]
			limit--
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
	current, name := s.tables.routes[change.Name], change.Name
	if change.Route == nil {
		if current != nil {
			s.controller.RemoveRoute(current)
			delete(s.tables.routes, name)
			delete(s.tables.unserved, name)
		}
		return
	}
	stated := *change.Route
	composite := s.composer.Handles(name)
	if composite {
		stated.CallWait = s.composer.ExpectedWait(name)
	}
	s.tables.routes[name] = s.controller.PutRoute(current, stated)
	delete(s.tables.unserved, name)
	if stated.CallsDependency && !s.limits.Calls && !composite {
		s.tables.unserved[name] = true
	}
}

func (s *Server) changeTenant(change settings.TenantChange) {
	index, known := s.tables.tenants[change.Name]
	switch {
	case change.Removed && known:
		delete(s.tables.tenants, change.Name)
		s.tables.free = append(s.tables.free, freeIndex{index, s.Now() + s.longestDeadline()})
	case change.Removed:
	case known:
		s.controller.PutTenant(index, change.QuotaRPS, false)
	default:
		index := s.freeTenantIndex()
		s.controller.PutTenant(index, change.QuotaRPS, true)
		s.tables.tenants[change.Name] = index
	}
}

// freeTenantIndex is the index of a removed tenant of which no request can be left; else one past the table's end.
func (s *Server) freeTenantIndex() int {
	if len(s.tables.free) > 0 && s.tables.free[0].availableAt <= s.Now() {
		index := s.tables.free[0].index
		s.tables.free = s.tables.free[1:]
		return index
	}
	return s.controller.TenantCount()
}

// longestDeadline is how long any request that is here now may stay.
func (s *Server) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, request := range s.requests.byID {
		longest = max(longest, request.Route.Deadline)
	}
	return longest
}

// Tables are the routes and the tenants' rates in force, by name. It is for before Run.
func (s *Server) Tables() (routes map[string]admission.Route, tenants map[string]float64) {
	routes = make(map[string]admission.Route, len(s.tables.routes))
	for name, route := range s.tables.routes {
		routes[name] = route.Settings()
	}
	tenants = make(map[string]float64, len(s.tables.tenants))
	for name, index := range s.tables.tenants {
		tenants[name] = s.controller.TenantQuota(index)
	}
	return routes, tenants
}

// UnservedRoutes are the routes whose requests are rejected, as they call a dependency and there is none.
func (s *Server) UnservedRoutes() []string { return slices.Sorted(maps.Keys(s.tables.unserved)) }

// RouteTimeouts are the routes by name, with the time that a request of each has in all: what is answered later earns nothing.
func (s *Server) RouteTimeouts() map[string]time.Duration {
	timeouts := map[string]time.Duration{}
	for name, route := range s.tables.routes {
		timeouts[name] = route.Deadline
		if route.LateValueShare == 0 {
			timeouts[name] = min(route.LatencyTarget, route.Deadline)
		}
	}
	return timeouts
}

// AdoptRoute gives a name that the settings do not state one of their spare routes, whose names begin with a NUL byte. Once
// all are given away, requests of other names are rejected.
func (s *Server) AdoptRoute(name string) {
	if s.tables.routes[name] != nil {
		return
	}
	spare := fmt.Sprintf("\x00%d", s.tables.adopted)
	if route := s.tables.routes[spare]; route != nil {
		s.tables.adopted++
		s.tables.routes[name] = route
	}
}
