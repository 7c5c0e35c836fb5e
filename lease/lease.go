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
func (t Config) Validate() error {
	switch {
	case t.Duration <= 0:
		return fmt.Errorf("lease.lease %v: must be above zero", t.Duration)
	case t.MaxClockDrift < 0 || t.MaxClockDrift >= 0.5:
		return fmt.Errorf("lease.drift %v: from 0 to under 0.5", t.MaxClockDrift)
	case t.Voters < 1:
		return fmt.Errorf("lease.voters %d: one at least", t.Voters)
	}
	return nil
}

// margin is what a lease is lengthened by on a grantor's clock and shortened by on the holder's: the most
// by which the two may have moved apart over one lease.
func (t Config) margin() time.Duration { return time.Duration(t.MaxClockDrift * float64(t.Duration)) }

// Majority is how many grants make a holder.
func (t Config) Majority() int { return t.Voters/2 + 1 }

// VoteRequest is a candidate's request to hold a duty, or to renew what it holds under the same token.
type VoteRequest struct {
	Duty  string
	From  string
	Token Token
}

// VoteResponse is a grantor's word on an Ask. Where it refused, Newest and Holder tell whom it grants now and
// Free how long, on the grantor's clock, until it may grant anew; the candidate waits that long.
type VoteResponse struct {
	Duty    string
	To      string
	By      string
	Token   Token
	Granted bool
	Newest  Token
	Holder  string
	Free    time.Duration
}

// grant is what a grantor knows of one duty.
type grant struct {
	holder string
	token  Token // the newest token granted; never granted again to another
	until  time.Duration
}

// Voter is one process's vote, for every duty. What it has granted must survive its restart, or it
// waits out a whole lease with the allowance before it grants anything (Restarted).
type Voter struct {
	Name   string
	config Config
	duties map[string]*grant
	quiet  time.Duration // until then it grants nothing, after a restart that lost its grants
}

// NewVoter starts a grantor that has granted nothing.
func NewVoter(name string, terms Config) *Voter {
	return &Voter{Name: name, config: terms, duties: map[string]*grant{}}
}

// Restarted is a grantor that came back without what it had granted: it may have granted a lease that still
// runs, so it grants nothing until that could have ended.
func (g *Voter) Restarted(now time.Duration) {
	g.duties = map[string]*grant{}
	g.quiet = now + g.config.Duration + 2*g.config.margin()
}

// HandleRequest answers an Ask read at now on the grantor's clock.
func (g *Voter) HandleRequest(a VoteRequest, now time.Duration) VoteResponse {
	d := g.duties[a.Duty]
	if d == nil {
		d = &grant{}
		g.duties[a.Duty] = d
	}
	answer := VoteResponse{Duty: a.Duty, To: a.From, By: g.Name, Token: a.Token, Newest: d.token, Holder: d.holder}
	free := max(d.until, g.quiet) - now
	// The holder renews under its token, or one that asks anew supersedes its own earlier grant.
	renews := a.From == d.holder && (a.Token == d.token && now < d.until || a.Token > d.token)
	switch {
	case renews:
	case a.Token <= d.token: // a stale asker: it must hear the newest and ask above it
		answer.Free = max(free, 0)
		return answer
	case free > 0:
		answer.Free = free
		return answer
	}
	d.holder, d.token, d.until = a.From, a.Token, now+g.config.Duration+g.config.margin()
	answer.Granted, answer.Newest, answer.Holder = true, d.token, d.holder
	return answer
}

// Release gives a duty back before its lease ends, where the holder says so under its own token.
func (g *Voter) Release(duty, from string, token Token, now time.Duration) {
	if d := g.duties[duty]; d != nil && d.holder == from && d.token == token {
		d.until = min(d.until, now)
	}
}

// Candidate is one process's wish to hold one duty.
type Candidate struct {
	Duty, Name string
	config     Config
	token      Token
	asked      time.Duration // when the present round of asks went out
	votes      map[string]bool
	until      time.Duration // it holds before this, on its own clock
	newest     Token
	notBefore  time.Duration
	rng        *rand.Rand
}

// NewCandidate wants duty for name; the seed spreads its tries.
func NewCandidate(duty, name string, terms Config, seed int64) *Candidate {
	return &Candidate{Duty: duty, Name: name, config: terms, votes: map[string]bool{}, rng: rand.New(rand.NewSource(seed))}
}

// NextRequest is the round of asks to send to every grantor at now, or none while it must wait. A holder renews
// under its token; another asks one above the newest token it heard of.
func (c *Candidate) NextRequest(now time.Duration) (VoteRequest, bool) {
	if now < c.notBefore {
		return VoteRequest{}, false
	}
	if !c.Holds(now) {
		c.token = max(c.token, c.newest) + 1
	}
	c.asked, c.votes = now, map[string]bool{}
	return VoteRequest{Duty: c.Duty, From: c.Name, Token: c.token}, true
}

// HandleResponse takes an answer read at now. A majority of grants for the present round makes it the holder until
// the lease, less the allowance, has passed since the round was sent: no grantor frees the duty sooner.
func (c *Candidate) HandleResponse(a VoteResponse, now time.Duration) {
	c.newest = max(c.newest, a.Newest)
	if a.Token != c.token || a.To != c.Name || a.Duty != c.Duty {
		return // an answer to an earlier round
	}
	if !a.Granted {
		// Candidates that split the votes would all come back the moment the grants end, and split them
		// again; each waits a part of a lease more, drawn anew. Refused for a stale token alone, it asks
		// again at once above the newest.
		if a.Free > 0 {
			c.notBefore = max(c.notBefore, now+a.Free+time.Duration(c.rng.Int63n(int64(c.config.Duration/2)+1)))
		}
		return
	}
	c.votes[a.By] = true
	if len(c.votes) >= c.config.Majority() {
		c.until = c.asked + c.config.Duration - c.config.margin()
	}
}

// Holds says whether it may act on the duty at now, and Token under which.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.until }

// Token is the one that acts on the duty show.
func (c *Candidate) Token() Token { return c.token }

// Until is the end of what it holds, on its own clock.
func (c *Candidate) Until() time.Duration { return c.until }

// StepDown gives up at once what it holds, as on a notice to leave; Release tells the grantors.
func (c *Candidate) StepDown() { c.until = 0 }

// Granted is the holder and token this grantor last granted for duty, as operators are shown it.
func (g *Voter) Granted(duty string) (holder string, token uint64) {
	if d := g.duties[duty]; d != nil {
		return d.holder, uint64(d.token)
	}
	return "", 0
}
