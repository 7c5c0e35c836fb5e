// Package lease decides who holds a duty that one app server alone may hold: the owner of a customer's numbered
// window, the one that announces an address, the one that compacts a shared folder. It is pure: no I/O and no
// clock; time comes in as whole nanoseconds of each process's own clock, and messages go out as values that the
// caller carries.
//
// The way (docs/notes/lease.md): a majority-vote lease. Each process is a Grantor for every duty and may be a
// Candidate. A candidate asks all grantors with a fencing token one above the newest it has heard of; it holds
// once a majority granted, from the moment it asked, for the lease less the drift allowance. A grantor grants
// one candidate at a time and frees the duty only once the lease, with the allowance, has passed on its own
// clock since it granted. Two majorities share a grantor, and the holder's end comes before any grantor's, so
// two holders never stand at once while clocks keep within the stated drift. Past that bound a stalled or
// fast-clocked holder may believe it holds after others took over; the fencing token is what refuses its acts.
package lease

import (
	"fmt"
	"math/rand"
	"time"
)

// Token numbers the grants of a duty; a later grant always has a larger one. Whoever acts on a duty shows
// its token, and a Fence refuses one older than the newest it has seen.
type Token uint64

// Config are the figures every process of a fleet shares.
type Config struct {
	Duration      time.Duration // how long a grant lasts
	MaxClockDrift float64       // the most by which two clocks' rates differ, as a part (0.01 is 1%)
	Voters        int           // grantors in all; a majority is more than half of them
}

// Validate names what makes a fleet's terms unusable.
func (c Config) Validate() error {
	switch {
	case c.Duration <= 0:
		return fmt.Errorf("lease.lease %v: must be above zero", c.Duration)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5:
		return fmt.Errorf("lease.drift %v: from 0 to under 0.5", c.MaxClockDrift)
	case c.Voters < 1:
		return fmt.Errorf("lease.voters %d: one at least", c.Voters)
	}
	return nil
}

// margin is what a lease is lengthened by on a grantor's clock and shortened by on the holder's: the most
// by which the two may have moved apart over one lease.
func (c Config) margin() time.Duration { return time.Duration(c.MaxClockDrift * float64(c.Duration)) }

// Majority is how many grants make a holder.
func (c Config) Majority() int { return c.Voters/2 + 1 }

// VoteRequest is a candidate's request to hold a duty, or to renew what it holds under the same token.
type VoteRequest struct {
	Lease     string `cbor:"Duty"`
	Candidate string `cbor:"From"`
	Token     Token  `cbor:"Token"`
}

// VoteResponse is a grantor's word on an Ask. Where it refused, Newest and Holder tell whom it grants now and
// Free how long, on the grantor's clock, until it may grant anew; the candidate waits that long.
type VoteResponse struct {
	Lease        string        `cbor:"Duty"`
	Candidate    string        `cbor:"To"`
	Voter        string        `cbor:"By"`
	Token        Token         `cbor:"Token"`
	Granted      bool          `cbor:"Granted"`
	HighestToken Token         `cbor:"Newest"`
	Holder       string        `cbor:"Holder"`
	RetryAfter   time.Duration `cbor:"Free"`
}

// grant is what a grantor knows of one duty.
type grant struct {
	holder string
	token  Token // the newest token granted; never granted again to another
	expiry time.Duration
}

// Voter is one process's vote, for every duty. What it has granted must survive its restart, or it
// waits out a whole lease with the allowance before it grants anything (Restarted).
type Voter struct {
	name        string
	config      Config
	grants      map[string]*grant
	silentUntil time.Duration // until then it grants nothing, after a restart that lost its grants
}

// NewVoter starts a grantor that has granted nothing.
func NewVoter(name string, config Config) *Voter {
	return &Voter{name: name, config: config, grants: map[string]*grant{}}
}

// Restart is a grantor that came back without what it had granted: it may have granted a lease that still
// runs, so it grants nothing until that could have ended.
func (v *Voter) Restart(now time.Duration) {
	v.grants = map[string]*grant{}
	v.silentUntil = now + v.config.Duration + 2*v.config.margin()
}

// HandleRequest answers an Ask read at now on the grantor's clock.
func (v *Voter) HandleRequest(a VoteRequest, now time.Duration) VoteResponse {
	d := v.grants[a.Lease]
	if d == nil {
		d = &grant{}
		v.grants[a.Lease] = d
	}
	response := VoteResponse{Lease: a.Lease, Candidate: a.Candidate, Voter: v.name, Token: a.Token, HighestToken: d.token, Holder: d.holder}
	free := max(d.expiry, v.silentUntil) - now
	// The holder renews under its token, or one that asks anew supersedes its own earlier grant.
	renews := a.Candidate == d.holder && (a.Token == d.token && now < d.expiry || a.Token > d.token)
	switch {
	case renews:
	case a.Token <= d.token: // a stale asker: it must hear the newest and ask above it
		response.RetryAfter = max(free, 0)
		return response
	case free > 0:
		response.RetryAfter = free
		return response
	}
	d.holder, d.token, d.expiry = a.Candidate, a.Token, now+v.config.Duration+v.config.margin()
	response.Granted, response.HighestToken, response.Holder = true, d.token, d.holder
	return response
}

// Release gives a duty back before its lease ends, where the holder says so under its own token.
func (v *Voter) Release(duty, from string, token Token, now time.Duration) {
	if d := v.grants[duty]; d != nil && d.holder == from && d.token == token {
		d.expiry = min(d.expiry, now)
	}
}

// Candidate is one process's wish to hold one duty.
type Candidate struct {
	Lease, ID    string
	config       Config
	token        Token
	requestedAt  time.Duration // when the present round of asks went out
	votes        map[string]bool
	expiry       time.Duration // it holds before this, on its own clock
	highestToken Token
	notBefore    time.Duration
	rng          *rand.Rand
}

// NewCandidate wants duty for name; the seed spreads its tries.
func NewCandidate(duty, name string, config Config, seed int64) *Candidate {
	return &Candidate{Lease: duty, ID: name, config: config, votes: map[string]bool{}, rng: rand.New(rand.NewSource(seed))}
}

// NextRequest is the round of asks to send to every grantor at now, or none while it must wait. A holder renews
// under its token; another asks one above the newest token it heard of.
func (c *Candidate) NextRequest(now time.Duration) (VoteRequest, bool) {
	if now < c.notBefore {
		return VoteRequest{}, false
	}
	if !c.Holds(now) {
		c.token = max(c.token, c.highestToken) + 1
	}
	c.requestedAt, c.votes = now, map[string]bool{}
	return VoteRequest{Lease: c.Lease, Candidate: c.ID, Token: c.token}, true
}

// HandleResponse takes an answer read at now. A majority of grants for the present round makes it the holder until
// the lease, less the allowance, has passed since the round was sent: no grantor frees the duty sooner.
func (c *Candidate) HandleResponse(a VoteResponse, now time.Duration) {
	c.highestToken = max(c.highestToken, a.HighestToken)
	if a.Token != c.token || a.Candidate != c.ID || a.Lease != c.Lease {
		return // an answer to an earlier round
	}
	if !a.Granted {
		// Candidates that split the votes would all come back the moment the grants end, and split them
		// again; each waits a part of a lease more, drawn anew. Refused for a stale token alone, it asks
		// again at once above the newest.
		if a.RetryAfter > 0 {
			c.notBefore = max(c.notBefore, now+a.RetryAfter+time.Duration(c.rng.Int63n(int64(c.config.Duration/2)+1)))
		}
		return
	}
	c.votes[a.Voter] = true
	if len(c.votes) >= c.config.Majority() {
		c.expiry = c.requestedAt + c.config.Duration - c.config.margin()
	}
}

// Holds says whether it may act on the duty at now, and Token under which.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.expiry }

// Token is the one that acts on the duty show.
func (c *Candidate) Token() Token { return c.token }

// Expiry is the end of what it holds, on its own clock.
func (c *Candidate) Expiry() time.Duration { return c.expiry }

// StepDown gives up at once what it holds, as on a notice to leave; Release tells the grantors.
func (c *Candidate) StepDown() { c.expiry = 0 }

// LastGrant is the holder and token this grantor last granted for duty, as operators are shown it.
func (v *Voter) LastGrant(duty string) (holder string, token uint64) {
	if d := v.grants[duty]; d != nil {
		return d.holder, uint64(d.token)
	}
	return "", 0
}
