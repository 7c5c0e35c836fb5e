package lease

import (
	"math/rand"
	"time"
)

// Candidate requests one lease for one process and keeps it by renewal. It is not safe for concurrent use.
type Candidate struct {
	Lease, ID    string
	config       Config
	token        Token
	requestedAt  time.Duration // when the requests of the current round were sent
	votes        map[string]bool
	expiry       time.Duration // when the candidate's lease ends, on its own clock
	highestToken Token         // reported by any voter
	notBefore    time.Duration // earliest start of the next round
	rng          *rand.Rand
}

// NewCandidate returns a candidate that does not hold the lease. The seed determines its random backoff after a
// refusal.
func NewCandidate(lease, id string, config Config, seed int64) *Candidate {
	return &Candidate{
		Lease: lease, ID: id, config: config, votes: map[string]bool{}, rng: rand.New(rand.NewSource(seed)),
	}
}

// NextRequest starts a round: it returns the request to send to every voter, or false while the candidate backs off. A
// holder renews under its current token; any other candidate uses a token one above the highest that it knows.
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

// HandleResponse records a response that arrived at now. A majority of grants makes the candidate the holder for
// Duration minus the margin, measured from the start of the round, so its lease ends before any voter's grant does.
func (c *Candidate) HandleResponse(response VoteResponse, now time.Duration) {
	c.highestToken = max(c.highestToken, response.HighestToken)
	if response.Token != c.token || response.Candidate != c.ID || response.Lease != c.Lease {
		return // response to an earlier round
	}
	if !response.Granted {
		// Candidates that split the votes would otherwise all retry when the grants expire and split them again, so
		// each adds a random delay of up to half a lease. A refusal only because of a stale token needs no wait.
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

// Token returns the fencing token to pass with operations under the lease. If the candidate does not hold the lease, it
// is the token of its last request.
func (c *Candidate) Token() Token { return c.token }

// Expiry returns when the lease ends unless it is renewed, on the candidate's clock.
func (c *Candidate) Expiry() time.Duration { return c.expiry }

// StepDown ends the lease at once on the candidate's side. Voters keep their grants until these expire or Release is
// called.
func (c *Candidate) StepDown() { c.expiry = 0 }
