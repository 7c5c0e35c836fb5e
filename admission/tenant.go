package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	tenantWindow      = 10 * time.Second // window over which a tenant's rate is compared with its quota
	tenantWindowParts = 10
)

// tenantTable holds the tenants by index: the quota of each, and its requests to this server. A tenant without requests
// takes no memory beyond its quota.
type tenantTable struct {
	quotas   []float64      // requests per second over the whole fleet
	requests []*slidingSums // nil for a tenant that has sent no request yet
}

func newTenantTable(configured []Tenant) (t tenantTable) {
	for _, tenant := range configured {
		t.quotas = append(t.quotas, tenant.QuotaRPS)
	}
	t.requests = make([]*slidingSums, len(t.quotas))
	return t
}

// add counts a request of a tenant. An index past the table means no tenant, and is not counted.
func (t *tenantTable) add(index int, now time.Duration) {
	if index >= len(t.requests) {
		return
	}
	t.requests[index] = cmp.Or(t.requests[index], newSlidingSums(tenantWindow, tenantWindowParts))
	t.requests[index].add(now, 1)
}

// rate returns the recent rate of a tenant's requests to this server, in requests per second.
func (t *tenantTable) rate(index int, now time.Duration) float64 {
	if index >= len(t.requests) || t.requests[index] == nil {
		return 0
	}
	return t.requests[index].sum(now)[0] / tenantWindow.Seconds()
}

// quota returns the quota of a tenant over the whole fleet, in requests per second, and +Inf for requests without a
// tenant.
func (t *tenantTable) quota(index int) float64 {
	if index >= len(t.quotas) {
		return math.Inf(1)
	}
	return t.quotas[index]
}

// PutTenant sets the quota of the tenant at an index, in requests per second over the whole fleet. An index one past
// the end adds a tenant. The requests counted so far are kept, unless replaced states that another tenant takes the
// index.
func (c *Controller) PutTenant(index int, quota float64, replaced bool) {
	if index == len(c.tenants.quotas) {
		c.tenants.quotas = append(c.tenants.quotas, quota)
		c.tenants.requests = append(c.tenants.requests, nil)
		return
	}
	c.tenants.quotas[index] = quota
	if replaced {
		c.tenants.requests[index] = nil
	}
}

// TenantCount returns the length of the tenant table.
func (c *Controller) TenantCount() int { return len(c.tenants.quotas) }

// TenantQuota returns the quota of the tenant at an index, in requests per second over the whole fleet.
func (c *Controller) TenantQuota(index int) float64 { return c.tenants.quota(index) }
