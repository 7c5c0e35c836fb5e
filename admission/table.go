package admission

import (
	"cmp"
	"math"
	"time"
)

// The tables of routes and tenants, which may change in service. Nothing here decides: it holds what is stated and what
// was seen of each. A change costs what it changes, not what the tables hold.

// PutRoute adds a route, or states anew the one that was: tasks taken in before keep what they were taken in under, and what
// was learned of the route stays. Of stated only the settings count. It returns the route that new tasks are to have.
func (c *Controller) PutRoute(was *Route, stated Route) *Route {
	t := &stated
	if was != nil {
		t.index, t.routeStats = was.index, was.routeStats
		c.Routes[t.index] = t
	} else {
		t.index, t.routeStats = len(c.Routes), &routeStats{runs: newRing(6*time.Second, 12)}
		c.Routes = append(c.Routes, t)
	}
	c.callGuess = max(c.callGuess, t.LatencyTarget.Seconds()/guess)
	if c.coldShare < 1 { // at a release the whole fleet knows as little, in the same moment
		c.callGuess = max(c.callGuess, t.LatencyTarget.Seconds()/2)
	}
	return t
}

// RemoveRoute takes a route out. Tasks of it that were taken in go on under it to their end.
func (c *Controller) RemoveRoute(t *Route) {
	last := c.Routes[len(c.Routes)-1]
	last.index = t.index
	c.Routes[t.index] = last
	c.Routes[len(c.Routes)-1] = nil
	c.Routes = c.Routes[:len(c.Routes)-1]
	delete(c.busy, t.routeStats)
}

// PutTenant states the rate of the tenant at a place of the table, in requests a second over the whole fleet. A place
// one past the end adds one. What the tenant at the place has asked for counts on, unless another takes the place.
func (c *Controller) PutTenant(place int, rate float64, another bool) {
	if place == len(c.tenants.rates) {
		c.tenants.rates = append(c.tenants.rates, rate)
		c.tenants.seen = append(c.tenants.seen, nil)
		return
	}
	c.tenants.rates[place] = rate
	if another {
		c.tenants.seen[place] = nil
	}
}

// TenantCount is the number of places in the table of tenants.
func (c *Controller) TenantCount() int { return len(c.tenants.rates) }

// TenantRate is the rate stated of the tenant at a place, in requests a second over the whole fleet.
func (c *Controller) TenantRate(place int) float64 { return c.tenants.rate(place) }

// Settings is the route as it was stated, with nothing of what was learned.
func (t *Route) Settings() Route {
	stated := *t
	stated.index, stated.routeStats = 0, nil
	return stated
}

// tenants are those who share the fleet, by their places: the rate that each may ask of it, and what it asked for here.
type tenants struct {
	rates []float64 // a second
	seen  []*ring   // nil for one that has asked for nothing yet
}

func newTenants(stated []Tenant) (all tenants) {
	for _, tenant := range stated {
		all.rates = append(all.rates, tenant.Rate)
	}
	all.seen = make([]*ring, len(all.rates))
	return all
}

// add counts a task of a tenant; one that the settings do not name is nobody's.
func (t *tenants) add(place int, now time.Duration) {
	if place >= len(t.seen) {
		return
	}
	t.seen[place] = cmp.Or(t.seen[place], newRing(customerSpan, 10))
	t.seen[place].add(now, 1)
}

// asked is what a tenant asked for here lately, a second.
func (t *tenants) asked(place int, now time.Duration) float64 {
	if place >= len(t.seen) || t.seen[place] == nil {
		return 0
	}
	return t.seen[place].sum(now)[0] / customerSpan.Seconds()
}

// rate is what a tenant may ask of the fleet, a second; without bound for one that the settings do not name.
func (t *tenants) rate(place int) float64 {
	if place >= len(t.rates) {
		return math.Inf(1)
	}
	return t.rates[place]
}
