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
func RouteOf(name string, configured configuration.Route) admission.Route {
	return admission.Route{
		Name: name, Value: configured.Value, LateValueShare: configured.LateValueShare, CallsDependency: configured.CallsDependency, SkipValueShare: configured.SkipValueShare,
		LatencyTarget: max(boundedDuration(float64(configured.LatencyTarget)), time.Microsecond),
		Deadline:      boundedDuration(float64(configured.Deadline)), DedupWindow: boundedDuration(float64(configured.DedupWindow)),
		Idempotency: idempotencyOf[configured.Idempotency],
	}
}

// Changes returns the changes of routes and tenants that a delta makes.
func Changes(delta configuration.Delta) (routes []RouteChange, tenants []TenantChange) {
	for name, configured := range delta.Routes {
		change := RouteChange{Name: name}
		if configured != nil {
			route := RouteOf(name, *configured)
			change.Route = &route
		}
		routes = append(routes, change)
	}
	for name, configured := range delta.Tenants {
		change := TenantChange{Name: name, Removed: configured == nil}
		if configured != nil {
			change.QuotaRPS = configured.QuotaRPS
		}
		tenants = append(tenants, change)
	}
	return routes, tenants
}
