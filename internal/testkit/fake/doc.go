// Package fake provides test doubles of the systems around a server: a worker pool, a membership service and a router.
// Each speaks its published protocol, but implements only what tests need.
package fake

import "time"

// WaitLimit is the limit of every wait of a test. It is reached only if something has failed.
const WaitLimit = 20 * time.Second
