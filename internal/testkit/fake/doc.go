// Package fake provides test doubles of the systems around a server: a worker pool, a membership service and a router.
// Each speaks its published protocol, and implements no more of it than tests need.
package fake

import "time"

// WaitLimit bounds every wait of a test. It is reached only where something has failed.
const WaitLimit = 20 * time.Second
