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

// changesPerRound is the number of table entries that change in one round. The rest of a change waits for the next
// rounds, so that no request waits for a large change.
const changesPerRound = 128

// TableChange is a change of the tables of routes and tenants.
type TableChange struct {
	Routes  []settings.RouteChange
	Tenants []settings.TenantChange
	// Done is called on the event loop once the whole change is in force; it may be nil.
	Done func()
}

// tables holds the routes and tenants in force, and the pending changes in their order.
type tables struct {
	routes         map[string]*admission.Route
	unserved       map[string]bool // routes that call a dependency although none is configured
	assignedSpares int             // number of spare routes that were given a name
	tenants        map[string]int  // name to index in the controller

	changes []TableChange // pending; the first may have been made in part
	free    []freeIndex   // of removed tenants, oldest first
}

// freeIndex is the index of a removed tenant, whose requests may still be queued or in flight.
type freeIndex struct {
	index       int
	availableAt time.Duration // when another tenant may take it
}

// ChangeTables changes the tables over one or more rounds. Changes are made in the order of submission, and each entry
// changes at once: a request is accepted under the definition that its route has at that moment, and keeps that
// definition until it ends. Any goroutine may call ChangeTables. A caller must wait for Done before it submits its next
// change, which bounds the queue.
func (s *Server) ChangeTables(change TableChange) {
	s.Submit(func() { s.tables.changes = append(s.tables.changes, change) })
}

// SetTables makes a whole change at once. It must be called before Run.
func (s *Server) SetTables(change TableChange) {
	s.tables.changes = append(s.tables.changes, change)
	s.applyChanges(math.MaxInt)
}

// applyTableChanges makes one round's part of the pending changes.
func (s *Server) applyTableChanges() {
	s.applyChanges(changesPerRound)
	if len(s.tables.changes) > 0 {
		s.Wake()
	}
}

// applyChanges changes at most limit entries.
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
	route := *change.Route
	composite := s.composer.Handles(name)
	if composite {
		route.CallWait = s.composer.ExpectedWait(name)
	}
	s.tables.routes[name] = s.controller.PutRoute(current, route)
	delete(s.tables.unserved, name)
	if route.CallsDependency && !s.limits.Calls && !composite {
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

// freeTenantIndex returns the index of a removed tenant of which no request can be left, or one past the table's end.
func (s *Server) freeTenantIndex() int {
	if len(s.tables.free) > 0 && s.tables.free[0].availableAt <= s.Now() {
		index := s.tables.free[0].index
		s.tables.free = s.tables.free[1:]
		return index
	}
	return s.controller.TenantCount()
}

// longestDeadline returns the longest route deadline of the requests that the server now has, which bounds how long
// they may stay.
func (s *Server) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, request := range s.requests.byID {
		longest = max(longest, request.Route.Deadline)
	}
	return longest
}

// Tables returns the routes and the tenants' quotas in force, by name. It must be called before Run.
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

// UnservedRoutes returns the sorted names of the routes whose requests are rejected because they call a dependency and
// none is configured.
func (s *Server) UnservedRoutes() []string { return slices.Sorted(maps.Keys(s.tables.unserved)) }

// RouteTimeouts returns for each route the time from arrival after which an answer earns nothing.
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

// AssignSpareRoute assigns one of the settings' spare routes, whose names begin with a NUL byte, to a route name that
// the settings do not define. Once no spare route is left, requests for other names are rejected.
func (s *Server) AssignSpareRoute(name string) {
	if s.tables.routes[name] != nil {
		return
	}
	spare := fmt.Sprintf("\x00%d", s.tables.assignedSpares)
	if route := s.tables.routes[spare]; route != nil {
		s.tables.assignedSpares++
		s.tables.routes[name] = route
	}
}
