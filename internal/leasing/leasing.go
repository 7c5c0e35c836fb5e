// Package leasing holds duties by lease among the servers of a fleet: it carries package lease's asks and
// answers over the peer exchange and keeps one process's grantor and candidates. It decides nothing itself:
// who is granted, and for how long, is package lease's.
package leasing

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/internal/peersync"
	"quartzpoint/lease"
)

const (
	mostPosted = 4096 // ballots and answers that wait for the keeper's turn; more are dropped and time out
	mostTalks  = 16   // with peers at once, as each takes a descriptor
	roundsPer  = 4    // rounds of asks within one lease, so that a holder renews three times before its end
)

// Options are what a keeper is started with.
type Options struct {
	Address string // this server's own, which no other in the fleet has: its address for peers
	Leases  []string
	Config  lease.Config
	Peers   []string // the other voters
	Keys    peersync.Keys
	Seed    int64
	Log     *slog.Logger
}

// Status is how one duty stands as this server knows it.
type Status struct {
	Lease        string        `json:"duty"`
	Holds        bool          `json:"holds"`            // this server may act on it now
	Token        uint64        `json:"token"`            // under which it acts, or last asked
	Remaining    time.Duration `json:"left_ns"`          // of what it holds, on its own clock
	Holder       string        `json:"holder,omitempty"` // as this server's own vote last granted
	HighestToken uint64        `json:"newest"`           // token its own vote last granted
	expiry       time.Duration
}

// ballot is what goes in a vote and in its answer.
type ballot struct {
	Ask    *lease.VoteRequest  `cbor:"1,keyasint,omitempty"`
	Answer *lease.VoteResponse `cbor:"2,keyasint,omitempty"`
}

// Manager is one server's part. Its goroutine owns the grantor and the candidates; ballots from the giver and
// answers from peers are posted to it.
type Manager struct {
	settings   Options
	began      time.Time
	grantor    *lease.Voter
	candidates []*lease.Candidate
	held       []bool
	heard      []string // holder last named in a refusal, so that each change is said once
	mu         sync.Mutex
	posted     []func()
	woken      chan struct{}
	talks      chan struct{}   // one of them in each that may be had
	asks       []chan [][]byte // one a peer, room for one round's ballots
	shown      atomic.Pointer[[]Status]
	over       sync.WaitGroup
}

// New makes a keeper whose grantor has granted nothing: it waits out what it may have granted before a restart.
func New(s Options) (*Manager, error) {
	if err := s.Config.Validate(); err != nil {
		return nil, err
	}
	if s.Config.Voters != len(s.Peers)+1 {
		return nil, fmt.Errorf("lease: %d voters for %d peers and this server", s.Config.Voters, len(s.Peers))
	}
	manager := &Manager{
		settings: s, began: time.Now(), grantor: lease.NewVoter(s.Address, s.Config),
		held: make([]bool, len(s.Leases)), heard: make([]string, len(s.Leases)), woken: make(chan struct{}, 1),
		talks: make(chan struct{}, mostTalks),
	}
	manager.grantor.Restart(manager.now())
	for i, duty := range s.Leases {
		manager.candidates = append(manager.candidates, lease.NewCandidate(duty, s.Address, s.Config, s.Seed+int64(i)))
	}
	for range s.Peers {
		manager.asks = append(manager.asks, make(chan [][]byte, 1))
	}
	manager.show()
	return manager, nil
}

// now is this process's own clock, which only runs forward: the lease's bound on drift is about its rate.
func (k *Manager) now() time.Duration { return time.Since(k.began) }

// HandleVote is the giver's Voter: a ballot from a peer is considered in the keeper's turn.
func (k *Manager) HandleVote(raw []byte, answer func([]byte)) {
	var b ballot
	if err := cbor.Unmarshal(raw, &b); err != nil || b.Ask == nil {
		return // the talk ends at its time; a peer that sends this is not one of ours
	}
	k.post(func() {
		a := k.grantor.HandleRequest(*b.Ask, k.now())
		if out, err := cbor.Marshal(ballot{Answer: &a}); err == nil {
			answer(out)
		}
	})
}

func (k *Manager) post(f func()) {
	k.mu.Lock()
	if len(k.posted) < mostPosted { // else the ask or answer is lost, as on the way, and the lease is made for that
		k.posted = append(k.posted, f)
	}
	k.mu.Unlock()
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

// turn does what was posted.
func (k *Manager) turn() {
	k.mu.Lock()
	batch := k.posted
	k.posted = nil // so that a queue that was long once holds no memory
	k.mu.Unlock()
	for _, f := range batch {
		f()
	}
}

// Status is how the duties stand, as last shown; any goroutine may ask.
func (k *Manager) Status() []Status {
	now, shown := k.now(), slices.Clone(*k.shown.Load())
	for i := range shown {
		shown[i].Holds = now < shown[i].expiry
		shown[i].Remaining = max(shown[i].expiry-now, 0)
	}
	return shown
}

// Holds says whether this server may act on duty now, and under which token.
func (k *Manager) Holds(duty string) (lease.Token, bool) {
	for _, status := range *k.shown.Load() {
		if status.Lease == duty && k.now() < status.expiry {
			return lease.Token(status.Token), true
		}
	}
	return 0, false
}

// Run keeps the duties until ctx ends, then gives up at once what it holds.
func (k *Manager) Run(ctx context.Context) {
	for i, address := range k.settings.Peers {
		k.over.Add(1)
		go k.ask(ctx, address, k.asks[i])
	}
	ticker := time.NewTicker(k.settings.Config.Duration / roundsPer)
	defer ticker.Stop()
	k.round()
	for {
		select {
		case <-ctx.Done():
			for i, c := range k.candidates {
				if k.held[i] {
					k.grantor.Release(c.Lease, c.ID, c.Token(), k.now())
					k.settings.Log.Info("lease given up", "duty", c.Lease, "token", c.Token(), "why", "leaving")
				}
				c.StepDown()
			}
			k.show()
			k.over.Wait()
			return
		case <-k.woken:
			k.turn()
			k.look()
		case <-ticker.C:
			k.round()
		}
	}
}

// round sends each candidate's asks to this server's grantor and to every peer.
func (k *Manager) round() {
	now := k.now()
	var batch [][]byte
	for _, c := range k.candidates {
		a, ok := c.NextRequest(now)
		if !ok {
			continue
		}
		k.heardFrom(c, k.grantor.HandleRequest(a, now))
		if raw, err := cbor.Marshal(ballot{Ask: &a}); err == nil {
			batch = append(batch, raw)
		}
	}
	for _, to := range k.asks {
		select {
		case <-to: // asks of an earlier round that were not sent yet are worth nothing now
		default:
		}
		if len(batch) > 0 {
			to <- batch // the sender alone takes from it, and it was just emptied
		}
	}
	k.look()
}

// ask is one peer's sender: it has one talk at a time, so up to mostTalks peers that do not answer hold up nobody else.
func (k *Manager) ask(ctx context.Context, address string, asks chan [][]byte) {
	defer k.over.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-asks:
			select {
			case <-ctx.Done():
				return
			case k.talks <- struct{}{}:
			}
			for _, raw := range batch {
				k.send(ctx, address, raw)
			}
			<-k.talks
		}
	}
}

// send has one talk; no answer is a refusal that says nothing.
func (k *Manager) send(ctx context.Context, address string, raw []byte) {
	wait, cancel := context.WithTimeout(ctx, k.settings.Config.Duration/roundsPer)
	got, err := peersync.RequestVote(wait, address, k.settings.Keys, raw)
	cancel()
	var b ballot
	if err != nil || cbor.Unmarshal(got, &b) != nil || b.Answer == nil {
		return
	}
	k.post(func() {
		for _, c := range k.candidates {
			if c.Lease == b.Answer.Lease {
				k.heardFrom(c, *b.Answer)
			}
		}
	})
}

func (k *Manager) heardFrom(c *lease.Candidate, a lease.VoteResponse) {
	c.HandleResponse(a, k.now())
	i := slices.Index(k.candidates, c)
	if !a.Granted && a.Holder != "" && a.Holder != c.ID && a.Holder != k.heard[i] {
		k.heard[i] = a.Holder
		k.settings.Log.Info("lease refused", "duty", c.Lease, "by", a.Voter, "holder", a.Holder, "newest", a.HighestToken)
	}
}

// look says what changed: a grant or a loss, each once.
func (k *Manager) look() {
	now := k.now()
	for i, c := range k.candidates {
		holds := c.Holds(now)
		switch {
		case holds && !k.held[i]:
			k.heard[i] = ""
			k.settings.Log.Info("lease granted", "duty", c.Lease, "token", c.Token(), "for", c.Expiry()-now)
		case !holds && k.held[i]:
			k.settings.Log.Warn("lease lost", "duty", c.Lease, "token", c.Token(), "why", "not renewed in time")
		}
		k.held[i] = holds
	}
	k.show()
}

func (k *Manager) show() {
	now := k.now()
	shown := make([]Status, 0, len(k.candidates))
	for _, c := range k.candidates {
		status := Status{Lease: c.Lease, Holds: c.Holds(now), Token: uint64(c.Token())}
		if status.Holds {
			status.Remaining, status.expiry = c.Expiry()-now, c.Expiry()
		}
		status.Holder, status.HighestToken = k.grantor.LastGrant(c.Lease)
		shown = append(shown, status)
	}
	k.shown.Store(&shown)
}
