// Package scale measures the cost of the real programs for growing numbers of routes, tenants, connections, requests
// and servers, up to the planned size, and computes the figures of the capacity page. Hollow servers and watchers run
// only the control code of a server, so that one machine can run hundreds of them. The package is used for measurements
// only.
package scale

import "time"

// The planned size.
const (
	PlannedServers        = 500
	PlannedRouters        = 7600
	PlannedRequestRate    = 110_000 // a second
	PlannedRoutes         = 3300
	PlannedTenants        = 30_000
	PlannedZones          = 7
	PlannedChangesPerDay  = 910  // of the configuration
	PlannedRestartsPerDay = 1300 // of servers
	ControlMachines       = 5
	ZoneServers           = 72 // in the largest zone, with 500 servers in 7 zones
)

// Budgets of control for one app server.
const (
	BudgetCore      = 0.048 // share of a core
	BudgetMemoryMB  = 256.0
	BudgetBytes     = 25e3 // a second, sent and received
	BudgetLatencyMS = 6.5  // added to a request, p99
)

// AssumedCheckPeriod is the assumed time between two health checks of one router.
const AssumedCheckPeriod = 15 * time.Second
