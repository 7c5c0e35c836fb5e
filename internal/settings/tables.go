package settings

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/configuration"
)

// RouteChange is what becomes of one route.
type RouteChange struct {
	Name  string
	Route *admission.Route // nil where it is removed
}

// TenantChange is what becomes of one tenant.
type TenantChange struct {
	Name    string
	Rate    float64 // requests a second over the whole fleet
	Removed bool
}

// routeRepeats are the kinds of a configuration's routes.
var routeRepeats = map[configuration.Idempotency]admission.Repeats{
	configuration.Retryable: admission.Reissuable, configuration.Keyed: admission.Numbered, configuration.Fragile: admission.AtMostOnce,
}

// RouteOf is a route of the configuration as the decisions know it, under the bounds that the platform's settings are
// read under.
func RouteOf(name string, stated configuration.Route) admission.Route {
	return admission.Route{
		Name: name, Importance: stated.Value, LateShare: stated.LateValue, Calls: stated.Calls, SkipShare: stated.SkipValue,
		ContractTime: max(spanOf(float64(stated.LatencyTarget)), time.Microsecond),
		OuterLimit:   spanOf(float64(stated.Deadline)), Window: spanOf(float64(stated.Window)),
		Repeats: routeRepeats[stated.Idempotency],
	}
}

// Changes are those of a delta.
func Changes(delta configuration.Delta) (routes []RouteChange, tenants []TenantChange) {
	for name, stated := range delta.Routes {
		change := RouteChange{Name: name}
		if stated != nil {
			route := RouteOf(name, *stated)
			change.Route = &route
		}
		routes = append(routes, change)
	}
	for name, stated := range delta.Tenants {
		change := TenantChange{Name: name, Removed: stated == nil}
		if stated != nil {
			change.Rate = stated.Rate
		}
		tenants = append(tenants, change)
	}
	return routes, tenants
}
