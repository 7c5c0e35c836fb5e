package leasing

import (
	"slices"
	"time"

	"quartzpoint/lease"
)

// Status is the state of one lease as known to this server.
type Status struct {
	Lease          string        `json:"duty"`
	Holds          bool          `json:"holds"`            // whether this server holds the lease now
	Token          uint64        `json:"token"`            // of the lease if it is held, otherwise of the last request
	Remaining      time.Duration `json:"left_ns"`          // time until the lease expires, on this server's clock; 0 if not held
	LastGrantedTo  string        `json:"holder,omitempty"` // candidate to which this server's voter last granted the lease
	LastGrantToken uint64        `json:"newest"`           // token of that grant
	expiry         time.Duration
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

// Holds returns the token of a lease and reports whether this server holds the lease now.
func (m *Manager) Holds(name string) (lease.Token, bool) {
	for _, status := range *m.status.Load() {
		if status.Lease == name && m.now() < status.expiry {
			return lease.Token(status.Token), true
		}
	}
	return 0, false
}

// publishStatus makes the current status available to other goroutines.
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
		status.LastGrantedTo, status.LastGrantToken = holder, uint64(token)
		published = append(published, status)
	}
	m.status.Store(&published)
}
