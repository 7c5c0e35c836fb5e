package lease

import (
	"math/rand"
	"time"
)

// Candidate is one process's attempt to get and keep one lease. It is not safe for concurrent use.
type Candidate struct {
	Lease, ID    string
	config       Config
	token        Token
	requestedAt  time.Duration // when the current round of requests was sent
	votes        map[string]bool
	expiry       time.Duration // the candidate holds the lease before this
	highestToken Token         // that a voter has reported
	notBefore    time.Duration // of the next round
	rng          *rand.Rand
}

// NewCandidate returns a candidate that does not hold the lease. The seed draws its backoff after a refusal.
func NewCandidate(lease, id string, config Config, seed int64) *Candidate {
	return &Candidate{
		Lease: lease, ID: id, config: config, votes: map[string]bool{}, rng: rand.New(rand.NewSource(seed)),
	}
}

// NextRequest begins a round: it returns the request to send to every voter, or false while the candidate backs off. A
// holder renews under its token; any other candidate uses one above the highest that it knows.
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

// HandleResponse counts a response that arrived at now. A majority of grants makes the candidate the holder for Duration
// less the margin, counted from the sending of the round: no voter's grant ends sooner.
func (c *Candidate) HandleResponse(response VoteResponse, now time.Duration) {
	c.highestToken = max(c.highestToken, response.HighestToken)
	if response.Token != c.token || response.Candidate != c.ID || response.Lease != c.Lease {
		return // of an earlier round
	}
	if !response.Granted {
		// Candidates that split the votes would all come back when the grants expire and split them again, so each adds
		// a random part of a lease. A refusal for a stale token alone needs no wait.
		if response.RetryAfter > 0 {
			jitter := time.Duration(c.rng.Int63n(int64(c.config.Duration/2) + 1))
			c.notBefore = max(c.notBefore, now+response.RetryAfter+jitter)
		}
		return
	}
	c.votes[response.Voter] = true
	if len(c.votes) >= c.config.majority() {
		c.expiry = c.requestedAt + c.config.Duration - c.config.margin()
	}
}

// Holds reports whether the candidate holds the lease at now.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.expiry }

// Token is the one to pass with operations under the lease, and of the last request where the lease is not held.
func (c *Candidate) Token() Token { return c.token }

// Expiry is when the lease ends unless it is renewed, on the candidate's clock.
func (c *Candidate) Expiry() time.Duration { return c.expiry }

// StepDown ends the lease at once on this side. Voters keep their grants until they expire or Release is called.
func (c *Candidate) StepDown() { c.expiry = 0 }
