package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	tenantWindow      = 10 * time.Second // over which a tenant's rate is compared with its quota
	tenantWindowParts = 10
)

// tenantTable holds the tenants by their index: the quota of each, and what it asked for here. A tenant that asked for
// nothing costs no more than its quota.
type tenantTable struct {
	quotas   []float64      // requests per second over the whole fleet
	requests []*slidingSums // nil for a tenant that has asked for nothing yet
}

func newTenantTable(stated []Tenant) (t tenantTable) {
	for _, tenant := range stated {
		t.quotas = append(t.quotas, tenant.QuotaRPS)
	}
	t.requests = make([]*slidingSums, len(t.quotas))
	return t
}

// add counts a request of a tenant; one whose index is past the table is nobody's.
func (t *tenantTable) add(index int, now time.Duration) {
	if index >= len(t.requests) {
		return
	}
	t.requests[index] = cmp.Or(t.requests[index], newSlidingSums(tenantWindow, tenantWindowParts))
	t.requests[index].add(now, 1)
}

// rate is what a tenant asked for here lately, in requests per second.
func (t *tenantTable) rate(index int, now time.Duration) float64 {
	if index >= len(t.requests) || t.requests[index] == nil {
		return 0
	}
	return t.requests[index].sum(now)[0] / tenantWindow.Seconds()
}

// quota is what a tenant may ask of the whole fleet, in requests per second; without bound for nobody's requests.
func (t *tenantTable) quota(index int) float64 {
	if index >= len(t.quotas) {
		return math.Inf(1)
	}
	return t.quotas[index]
}

// PutTenant states the quota of the tenant at an index, in requests per second over the whole fleet. An index one past the
// end adds a tenant. What the tenant has asked for counts on, unless another takes its place.
func (c *Controller) PutTenant(index int, quota float64, another bool) {
	if index == len(c.tenants.quotas) {
		c.tenants.quotas = append(c.tenants.quotas, quota)
		c.tenants.requests = append(c.tenants.requests, nil)
		return
	}
	c.tenants.quotas[index] = quota
	if another {
		c.tenants.requests[index] = nil
	}
}

// TenantCount is the length of the table of tenants.
func (c *Controller) TenantCount() int { return len(c.tenants.quotas) }

// TenantQuota is the quota of the tenant at an index, in requests per second over the whole fleet.
func (c *Controller) TenantQuota(index int) float64 { return c.tenants.quota(index) }
