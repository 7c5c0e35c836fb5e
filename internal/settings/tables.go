package settings

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/configuration"
)

// RouteChange is the change of one route.
type RouteChange struct {
	Name  string
	Route *admission.Route // nil: the route is removed
}

// TenantChange is the change of one tenant.
type TenantChange struct {
	Name     string
	QuotaRPS float64 // requests per second over the whole fleet
	Removed  bool
}

// idempotencyOf maps the idempotency of a configuration's routes to that of package admission.
var idempotencyOf = map[configuration.Idempotency]admission.Idempotency{
	configuration.Retryable: admission.Retryable, configuration.Keyed: admission.Keyed, configuration.AtMostOnce: admission.AtMostOnce,
}

// RouteOf converts a route of the configuration to one of package admission, within the bounds that also apply to the
// platform's settings.
func RouteOf(name string, stated configuration.Route) admission.Route {
	return admission.Route{
		Name: name, Value: stated.Value, LateValueShare: stated.LateValueShare, CallsDependency: stated.CallsDependency, SkipValueShare: stated.SkipValueShare,
		LatencyTarget: max(spanOf(float64(stated.LatencyTarget)), time.Microsecond),
		Deadline:      spanOf(float64(stated.Deadline)), DedupWindow: spanOf(float64(stated.DedupWindow)),
		Idempotency: idempotencyOf[stated.Idempotency],
	}
}

// Changes returns the changes of routes and tenants that a delta makes.
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
			change.QuotaRPS = stated.QuotaRPS
		}
		tenants = append(tenants, change)
	}
	return routes, tenants
}
