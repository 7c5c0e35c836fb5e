// Package leasing obtains leases for one server of a fleet. It runs the server's voter and candidates, whose rules
// package lease implements, and exchanges their messages over package peersync.
package leasing

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/internal/peersync"
	"quartzpoint/lease"
)

const (
	maxPosted      = 4096 // calls queued for the manager's goroutine; further ones are dropped, which has the effect of a lost message
	maxExchanges   = 16   // concurrent exchanges with peers, each of which uses a file descriptor
	roundsPerLease = 4    // lets a holder try three times to renew before its lease expires
)

// Options configures a Manager.
type Options struct {
	Address string   // of this server, by which its peers know it
	Leases  []string // names of the leases that this server requests
	Config  lease.Config
	Peers   []string // addresses of the other voters
	Keys    peersync.Keys
	Seed    int64 // of the candidates' random backoff
	Log     *slog.Logger
}

// managedLease is one lease that this server requests.
type managedLease struct {
	candidate *lease.Candidate
	held      bool   // as last logged
	refusedBy string // holder named in the last logged refusal
}

// Manager votes on leases and holds those that were granted to this server. The goroutine that calls Run owns the voter
// and the candidates; other goroutines post calls to it. HandleVote, Status and Holds are safe for concurrent use.
type Manager struct {
	options   Options
	started   time.Time
	voter     *lease.Voter
	leases    []*managedLease
	requests  []chan [][]byte // one channel per peer, with capacity for the requests of one round
	exchanges chan struct{}   // semaphore with one element for each exchange in progress
	status    atomic.Pointer[[]Status]
	senders   sync.WaitGroup

	mu     sync.Mutex
	posted []func()
	wake   chan struct{}
}

// New returns a manager. Its voter grants nothing until all grants that it could have made before a restart have
// expired.
func New(options Options) (*Manager, error) {
	if err := options.Config.Validate(); err != nil {
		return nil, err
	}
	if options.Config.Voters != len(options.Peers)+1 {
		return nil, fmt.Errorf("lease: %d voters configured, want one for each of the %d peers and one for this server", options.Config.Voters, len(options.Peers))
	}
	m := &Manager{
		options: options, started: time.Now(), voter: lease.NewVoter(options.Address, options.Config),
		wake: make(chan struct{}, 1), exchanges: make(chan struct{}, maxExchanges),
	}
	m.voter.Restart(m.now())
	for i, name := range options.Leases {
		candidate := lease.NewCandidate(name, options.Address, options.Config, options.Seed+int64(i))
		m.leases = append(m.leases, &managedLease{candidate: candidate})
	}
	for range options.Peers {
		m.requests = append(m.requests, make(chan [][]byte, 1))
	}
	m.publishStatus()
	return m, nil
}

// now returns the time since the start on the monotonic clock. Leases depend on the rate of this clock and must not be
// affected by changes of the wall clock.
func (m *Manager) now() time.Duration { return time.Since(m.started) }

// post queues f to be called by Run's goroutine.
func (m *Manager) post(f func()) {
	m.mu.Lock()
	if len(m.posted) < maxPosted {
		m.posted = append(m.posted, f)
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// runPosted makes the queued calls.
func (m *Manager) runPosted() {
	m.mu.Lock()
	batch := m.posted
	m.posted = nil // a new slice, so that the memory of a long queue is released
	m.mu.Unlock()
	for _, f := range batch {
		f()
	}
}

// Run requests and renews the leases until the context ends. It then releases them and returns after all its goroutines
// have ended.
func (m *Manager) Run(ctx context.Context) {
	for i, address := range m.options.Peers {
		m.senders.Go(func() { m.sendRequests(ctx, address, m.requests[i]) })
	}
	defer m.senders.Wait()
	ticker := time.NewTicker(m.options.Config.Duration / roundsPerLease)
	defer ticker.Stop()
	m.startRound()
	for {
		select {
		case <-ctx.Done():
			m.release()
			return
		case <-m.wake:
			m.runPosted()
			m.logChanges()
		case <-ticker.C:
			m.startRound()
		}
	}
}

// startRound requests each lease from all voters. This server's own voter responds immediately.
func (m *Manager) startRound() {
	now := m.now()
	var batch [][]byte
	for _, l := range m.leases {
		request, ok := l.candidate.NextRequest(now)
		if !ok {
			continue
		}
		m.handleResponse(l, m.voter.HandleRequest(request, now))
		if raw, err := cbor.Marshal(ballot{Request: &request}); err == nil {
			batch = append(batch, raw)
		}
	}
	for _, requests := range m.requests {
		select {
		case <-requests: // discards unsent requests of an earlier round, whose responses would be ignored
		default:
		}
		if len(batch) > 0 {
			requests <- batch // does not block: the channel was emptied above, and no other goroutine sends on it
		}
	}
	m.logChanges()
}

// handleResponse passes a response to the candidate. It logs a refusal that names another server as the holder, unless
// the last logged refusal named the same one.
func (m *Manager) handleResponse(l *managedLease, response lease.VoteResponse) {
	l.candidate.HandleResponse(response, m.now())
	heldByOther := response.Holder != "" && response.Holder != l.candidate.ID
	if !response.Granted && heldByOther && response.Holder != l.refusedBy {
		l.refusedBy = response.Holder
		m.options.Log.Info("lease refused", "lease", l.candidate.Lease, "voter", response.Voter, "holder", response.Holder,
			"highest_token", response.HighestToken)
	}
}

// logChanges logs each lease that was granted or lost since the last call, and publishes the status.
func (m *Manager) logChanges() {
	now := m.now()
	for _, l := range m.leases {
		c := l.candidate
		holds := c.Holds(now)
		switch {
		case holds && !l.held:
			l.refusedBy = ""
			m.options.Log.Info("lease granted", "lease", c.Lease, "token", c.Token(), "remaining", c.Expiry()-now)
		case !holds && l.held:
			m.options.Log.Warn("lease lost", "lease", c.Lease, "token", c.Token(), "reason", "not renewed in time")
		}
		l.held = holds
	}
	m.publishStatus()
}

// release steps down from all leases, and releases those held at this server's own voter. The grants of other voters
// remain until they expire.
func (m *Manager) release() {
	for _, l := range m.leases {
		c := l.candidate
		if l.held {
			m.voter.Release(c.Lease, c.ID, c.Token(), m.now())
			m.options.Log.Info("lease released", "lease", c.Lease, "token", c.Token(), "reason", "draining")
		}
		c.StepDown()
	}
	m.publishStatus()
}
