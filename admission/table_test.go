package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// After any sequence of additions, changes and removals the table holds exactly the configured routes, each at its
// index, and a route keeps its measurements when its settings change.
func TestTableOfRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.Routes = []Route{{Name: "first", Value: 1, LatencyTarget: time.Second, Deadline: time.Second}}
		controller := New(settings, 1)
		live := map[string]*Route{"first": controller.Routes[0]}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "name"))
			previous := live[name]
			if previous != nil && rapid.Bool().Draw(t, "remove") {
				controller.limit.busyRoutes[previous.routeStats] = true
				controller.RemoveRoute(previous)
				assert.False(t, controller.limit.busyRoutes[previous.routeStats])
				delete(live, name)
				continue
			}
			configured := Route{Name: name, Value: rapid.Float64Range(0, 9).Draw(t, "value"), LatencyTarget: time.Second}
			current := controller.PutRoute(previous, configured)
			if previous != nil {
				assert.Same(t, previous.routeStats, current.routeStats)
			}
			assert.Equal(t, configured, current.Settings())
			live[name] = current
		}
		assert.Len(t, controller.Routes, len(live))
		for index, route := range controller.Routes {
			assert.Equal(t, index, route.index)
			assert.Same(t, live[route.Name], route)
		}
	})
}

// Latencies are checked only for routes whose runs ended recently, and a rise on one of these routes is still detected.
func TestOnlyBusyRoutesAreChecked(t *testing.T) {
	b := newFixture(nil)
	for i := range 50 {
		b.PutRoute(nil, Route{Name: fmt.Sprint("idle", i), LatencyTarget: time.Second, Deadline: time.Second})
	}
	ends := func(took time.Duration) {
		x := b.request("x", 0)
		b.round(Round{Arrived: []*Request{x}})
		b.round(Round{RunsEnded: []Completion{{Request: x, Outcome: Succeeded, Took: took}}})
	}
	for range 200 {
		ends(10 * time.Millisecond)
	}
	assert.Len(t, b.limit.busyRoutes, 1)
	b.pass(10*time.Second, Gauges{})
	assert.Empty(t, b.limit.busyRoutes, "the runs of the route ended long ago")
	for range 8 {
		ends(time.Second)
	}
	b.limit.backoff = BackoffNone
	b.pass(tickInterval, Gauges{})
	assert.Equal(t, BackoffLatency, b.limit.backoff, "latency has risen on the busy route")
}

// A tenant without requests takes no memory beyond its quota, and an index past the table means no tenant.
func TestTableOfTenants(t *testing.T) {
	settings := DefaultSettings()
	settings.Tenants = []Tenant{{QuotaRPS: 4}, DefaultTenant()}
	controller := New(settings, 1)
	assert.Equal(t, 2, controller.TenantCount())
	controller.PutTenant(2, 9, true)
	controller.tenants.add(2, time.Second)
	controller.tenants.add(7, time.Second)
	assert.Equal(t, 0.1, controller.tenants.rate(2, time.Second))
	assert.Zero(t, controller.tenants.rate(0, time.Second))
	assert.Zero(t, controller.tenants.rate(7, time.Second))
	assert.Nil(t, controller.tenants.requests[0])
	controller.PutTenant(2, 3, false)
	assert.Equal(t, 0.1, controller.tenants.rate(2, time.Second), "its quota changed, not its counted requests")
	assert.Equal(t, 3.0, controller.TenantQuota(2))
	controller.PutTenant(2, 3, true)
	assert.Zero(t, controller.tenants.rate(2, time.Second), "another tenant has taken the index")
}
