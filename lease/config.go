// Package lease decides which process of a fleet holds a named lease: the right to do alone what only one may do, such as
// owning a tenant's idempotency window, announcing an address or compacting a shared folder. It does no I/O and reads no
// clock: each call gets the time on its own process's clock, and messages are values that the caller sends.
//
// A lease is granted by majority vote (docs/notes/lease.md). Each process is a Voter for every lease and may be a
// Candidate for some. Invariants, while clocks keep within Config.MaxClockDrift:
//
//   - A voter grants a lease to one candidate at a time, and to another only once Duration and the drift margin have passed
//     on its clock since the grant.
//   - A candidate holds a lease once a majority has granted it, for Duration less the margin since it sent its requests.
//   - Two majorities share a voter, and the holder's lease ends before any voter's grant does. So a lease never has two
//     holders at a time.
//
// Past the bound, a holder that stalled or whose clock runs slow may believe that it still holds. Its Token is then older
// than its successor's, and a Fence refuses its operations.
package lease

import (
	"fmt"
	"time"
)

// driftLimit bounds Config.MaxClockDrift: with half of the duration as margin a holder would have half of it left.
const driftLimit = 0.5

// Config is what all processes of a fleet must have in common.
type Config struct {
	Duration      time.Duration // of a grant
	MaxClockDrift float64       // largest difference between the rates of two clocks, as a fraction: 0.01 is 1%
	Voters        int           // number of voters in the fleet
}

// Validate returns an error that names the setting which is out of range.
func (c Config) Validate() error {
	switch {
	case c.Duration <= 0:
		return fmt.Errorf("lease.lease %v: must be above zero", c.Duration)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= driftLimit:
		return fmt.Errorf("lease.drift %v: from 0 to under %v", c.MaxClockDrift, driftLimit)
	case c.Voters < 1:
		return fmt.Errorf("lease.voters %d: one at least", c.Voters)
	}
	return nil
}

// margin is how far two clocks may drift apart during one lease. Voters wait longer by it, and the holder stops earlier.
func (c Config) margin() time.Duration { return time.Duration(c.MaxClockDrift * float64(c.Duration)) }

// majority is the number of grants that make a candidate the holder.
func (c Config) majority() int { return c.Voters/2 + 1 }
