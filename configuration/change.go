// Package configuration implements versioned changes of a fleet's routes and tenants: it validates a change, computes
// the tables that result from it, and selects the deltas that a watcher of an older version still needs. It does no I/O
// and reads no clock.
//
// A Document holds the tables at one version. A Change is a proposal; an accepted Change becomes a Delta, which takes
// the document from one version to the next. Documents change in no other way, so a document is the same whether it was
// reached by deltas from version 0 or by deltas from any snapshot.
package configuration

// Bounds of a document and of a change.
const (
	MaxRoutes      = 1 << 14
	MaxTenants     = 1 << 18
	MaxNameBytes   = 128     // of the name of a route or tenant
	MaxIDBytes     = 64      // of the ID of a change
	MaxChangeBytes = 8 << 20 // of an encoded change
)

// Idempotency specifies whether a request of a route may run more than once. Its values are those of the platform's
// settings.
type Idempotency string

// The kinds of idempotency.
const (
	Retryable  Idempotency = "retryable" // may run again at any time
	Keyed      Idempotency = "dedup"     // carries an idempotency key, by which repeated requests are recognized
	AtMostOnce Idempotency = "fragile"   // must not run again
)

// Route is the configuration of a route. Times are in microseconds. The JSON names are those of the platform's
// settings.
type Route struct {
	LatencyTarget   int64       `json:"goal-time" cbor:"1,keyasint"`
	Deadline        int64       `json:"deadline" cbor:"2,keyasint"`
	Value           float64     `json:"gain" cbor:"3,keyasint"`
	LateValueShare  float64     `json:"late-value" cbor:"4,keyasint,omitempty"` // fraction of Value, for an answer after the latency target
	Idempotency     Idempotency `json:"idempotency" cbor:"5,keyasint"`
	DedupWindow     int64       `json:"dedup-window" cbor:"6,keyasint,omitempty"` // required if Idempotency is Keyed
	CallsDependency bool        `json:"calls" cbor:"7,keyasint,omitempty"`        // whether requests call the shared dependency
	SkipValueShare  float64     `json:"skip-worth" cbor:"8,keyasint,omitempty"`   // fraction of Value, for an answer without that call
}

// Tenant is the configuration of a tenant.
type Tenant struct {
	QuotaRPS     float64 `json:"quota-rps" cbor:"1,keyasint"`          // requests per second over the whole fleet
	TrafficShare float64 `json:"fraction" cbor:"2,keyasint,omitempty"` // the tenant's fraction of all requests, from 0 to 1; servers only validate it
}

// Change is a proposed change. A route or tenant with a nil value (JSON null) is removed; any other value replaces the
// whole entry.
type Change struct {
	// ID identifies the change: if it is proposed again under the same ID, it is not applied again.
	ID string `json:"id,omitempty"`
	// Base is the version on which the change was prepared. The change is rejected if that is not the latest version.
	// Nil accepts any version.
	Base *uint64 `json:"base,omitempty"`
	// ReplaceAll removes every entry that the change does not name.
	ReplaceAll bool               `json:"whole,omitempty"`
	Routes     map[string]*Route  `json:"routes,omitempty"`
	Tenants    map[string]*Tenant `json:"tenants,omitempty"`
}
