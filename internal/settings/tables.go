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
	Name     string
	QuotaRPS float64 // requests a second over the whole fleet
	Removed  bool
}

// idempotencyOf are the kinds of a configuration's routes.
var idempotencyOf = map[configuration.Idempotency]admission.Idempotency{
	configuration.Retryable: admission.Retryable, configuration.Keyed: admission.Keyed, configuration.AtMostOnce: admission.AtMostOnce,
}

// RouteOf is a route of the configuration as the decisions know it, under the bounds that the platform's settings are
// read under.
func RouteOf(name string, stated configuration.Route) admission.Route {
	return admission.Route{
		Name: name, Value: stated.Value, LateValueShare: stated.LateValueShare, CallsDependency: stated.CallsDependency, SkipValueShare: stated.SkipValueShare,
		LatencyTarget: max(spanOf(float64(stated.LatencyTarget)), time.Microsecond),
		Deadline:      spanOf(float64(stated.Deadline)), DedupWindow: spanOf(float64(stated.DedupWindow)),
		Idempotency: idempotencyOf[stated.Idempotency],
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
			change.QuotaRPS = stated.QuotaRPS
		}
		tenants = append(tenants, change)
	}
	return routes, tenants
}
