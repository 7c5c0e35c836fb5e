// Package lease decides which process of a fleet holds a named lease: the exclusive right to do work that only one
// process may do, such as owning a tenant's idempotency window, announcing an address or compacting a shared folder. It
// does no I/O and reads no clock: the caller passes the time of its process's clock to each call and sends the
// messages.
//
// A lease is granted by majority vote (docs/notes/lease.md). Each process is a Voter for every lease and may be a
// Candidate for some. While the rates of all clocks differ by no more than Config.MaxClockDrift, these invariants hold:
//
//   - A voter grants a lease to one candidate at a time. It grants it to another candidate only after Duration and the
//     drift margin have passed on its clock since the last grant.
//   - A candidate holds a lease after a majority has granted it, for Duration minus the margin from the time when it sent
//     its requests.
//   - Any two majorities have a voter in common, and the holder's lease ends before any voter's grant does. A lease
//     therefore never has two holders at the same time.
//
// If clocks drift further, a holder that stalled or whose clock runs slow may believe that it still holds the lease.
// Its Token is then older than its successor's, and a Fence refuses its operations.
package lease

import (
	"fmt"
	"time"
)

// driftLimit is the exclusive upper bound of Config.MaxClockDrift: with a margin of half the duration, a holder's lease
// would last only the other half.
const driftLimit = 0.5

// Config is the configuration that all processes of a fleet must share.
type Config struct {
	Duration      time.Duration // of a grant
	MaxClockDrift float64       // largest difference between the rates of two clocks, as a fraction: 0.01 is 1%
	Voters        int           // number of voters in the fleet
}

// Validate returns an error that names the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Duration <= 0:
		return fmt.Errorf("lease.lease %v: must be greater than 0", c.Duration)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= driftLimit:
		return fmt.Errorf("lease.drift %v: must be at least 0 and less than %v", c.MaxClockDrift, driftLimit)
	case c.Voters < 1:
		return fmt.Errorf("lease.voters %d: must be at least 1", c.Voters)
	}
	return nil
}

// margin returns how far two clocks may drift apart during one lease. Voters wait longer by the margin, and the holder
// stops earlier by it.
func (c Config) margin() time.Duration { return time.Duration(c.MaxClockDrift * float64(c.Duration)) }

// majority returns the number of grants that make a candidate the holder.
func (c Config) majority() int { return c.Voters/2 + 1 }
