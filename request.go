package quartzpoint

import "time"

// Request describes a request to a Gate. The zero value is a request of the route "" without a deadline of its own.
type Request struct {
	// Route is the name of a route of the Options or any other name. The first 32 other names become routes with the
	// defaults of Route; requests of further names are rejected.
	Route string
	// Deadline is the time at which the caller stops waiting; zero means the route's deadline. An earlier deadline of
	// the context takes precedence.
	Deadline time.Time
	// IdempotencyKey identifies duplicates of a request of a Keyed route. A request of such a route is rejected if it
	// has no key.
	IdempotencyKey string
	// Fingerprint is a hash of the request's content. A request with the same key and a different fingerprint fails
	// with ErrKeyConflict.
	Fingerprint uint64
	// Tenant is the name of a tenant of the Options. Requests with any other name are subject to no quota.
	Tenant string
	// Rank is the criticality of the request, from 0 to under 1. Callers should send no requests whose rank is below
	// Gate.ShedLevel.
	Rank float64
	// CallerID identifies the caller that sent the request.
	CallerID uint32
}
