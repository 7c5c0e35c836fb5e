package quartzpoint

import "time"

// Request is what a caller asks a Gate to run. The zero value is a request of the route "" that nobody sets a deadline for.
type Request struct {
	// Route is a route of the Options, or a name seen for the first time: the first 32 of those have the defaults of a Route,
	// and requests of further ones are rejected.
	Route string
	// Deadline is when the caller stops waiting; zero for the route's. The context's deadline holds where it is earlier.
	Deadline time.Time
	// IdempotencyKey marks duplicates of a request of a Keyed route. A request of such a route without a key is rejected.
	IdempotencyKey string
	// Fingerprint is a hash of what is asked under the key. A request with the same key and another fingerprint has
	// ErrKeyConflict.
	Fingerprint uint64
	// Tenant is a tenant of the Options; any other name is nobody's, and has no quota.
	Tenant string
	// Rank, from 0 to under 1, is the importance of the request to callers that heed Gate.ShedLevel.
	Rank float64
	// CallerID identifies where the request comes from.
	CallerID uint32
}
