package leasing

import (
	"slices"
	"time"

	"quartzpoint/lease"
)

// Status is what this server knows of one lease.
type Status struct {
	Lease        string        `json:"duty"`
	Holds        bool          `json:"holds"`            // whether this server holds it now
	Token        uint64        `json:"token"`            // of the lease, or of the last request where it is not held
	Remaining    time.Duration `json:"left_ns"`          // until it expires, on this server's clock; 0 where it is not held
	LastVoteFor  string        `json:"holder,omitempty"` // to which this server's own vote last went
	HighestToken uint64        `json:"newest"`           // token of that vote
	expiry       time.Duration
}

// Status returns the status of all leases.
func (m *Manager) Status() []Status {
	now, status := m.now(), slices.Clone(*m.status.Load())
	for i := range status {
		status[i].Holds = now < status[i].expiry
		status[i].Remaining = max(status[i].expiry-now, 0)
	}
	return status
}

// Holds returns the token of a lease, and whether this server holds it now.
func (m *Manager) Holds(name string) (lease.Token, bool) {
	for _, status := range *m.status.Load() {
		if status.Lease == name && m.now() < status.expiry {
			return lease.Token(status.Token), true
		}
	}
	return 0, false
}

// publishStatus makes the present state visible to other goroutines.
func (m *Manager) publishStatus() {
	now := m.now()
	published := make([]Status, 0, len(m.leases))
	for _, l := range m.leases {
		c := l.candidate
		status := Status{Lease: c.Lease, Holds: c.Holds(now), Token: uint64(c.Token())}
		if status.Holds {
			status.Remaining, status.expiry = c.Expiry()-now, c.Expiry()
		}
		holder, token := m.voter.LastGrant(c.Lease)
		status.LastVoteFor, status.HighestToken = holder, uint64(token)
		published = append(published, status)
	}
	m.status.Store(&published)
}
