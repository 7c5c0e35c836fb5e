package lease

import "time"

// Voter votes on all leases for one process. It is not safe for concurrent use. Its grants are kept in memory only:
// after a restart, call Restart before the voter handles a request.
type Voter struct {
	name          string
	config        Config
	grants        map[string]*grant // by lease
	noGrantsUntil time.Duration     // time before which it grants nothing after a restart
}

// grant is a voter's last grant of one lease.
type grant struct {
	holder string
	token  Token // never granted to another candidate again
	expiry time.Duration
}

// NewVoter returns a voter that has never granted a lease.
func NewVoter(name string, config Config) *Voter {
	return &Voter{name: name, config: config, grants: map[string]*grant{}}
}

// Restart resets a voter that lost its grants. One of them may not have expired yet, so the voter grants nothing until
// every grant that it could have made has.
func (v *Voter) Restart(now time.Duration) {
	v.grants = map[string]*grant{}
	v.noGrantsUntil = now + v.config.Duration + 2*v.config.margin()
}

// HandleRequest votes on a request that arrived at now.
func (v *Voter) HandleRequest(request VoteRequest, now time.Duration) VoteResponse {
	last := v.grants[request.Lease]
	if last == nil {
		last = &grant{}
		v.grants[request.Lease] = last
	}
	response := VoteResponse{
		Lease: request.Lease, Candidate: request.Candidate, Voter: v.name, Token: request.Token,
		HighestToken: last.token, Holder: last.holder,
	}
	retryAfter := max(last.expiry, v.noGrantsUntil) - now
	// The holder renews under its token, or replaces its own earlier grant by one with a larger token.
	renews := request.Candidate == last.holder &&
		(request.Token == last.token && now < last.expiry || request.Token > last.token)
	switch {
	case renews:
	case request.Token <= last.token: // the candidate learns the highest token and retries with a larger one
		response.RetryAfter = max(retryAfter, 0)
		return response
	case retryAfter > 0:
		response.RetryAfter = retryAfter
		return response
	}
	last.holder, last.token, last.expiry = request.Candidate, request.Token, now+v.config.Duration+v.config.margin()
	response.Granted, response.HighestToken, response.Holder = true, last.token, last.holder
	return response
}

// Release ends a grant before it expires, if candidate holds the lease under token.
func (v *Voter) Release(lease, candidate string, token Token, now time.Duration) {
	if last := v.grants[lease]; last != nil && last.holder == candidate && last.token == token {
		last.expiry = min(last.expiry, now)
	}
}

// LastGrant returns the candidate to which this voter last granted a lease, and its token. They are "" and 0 if there
// was no grant.
func (v *Voter) LastGrant(lease string) (holder string, token Token) {
	if last := v.grants[lease]; last != nil {
		return last.holder, last.token
	}
	return "", 0
}
