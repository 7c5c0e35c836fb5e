package lease

import "time"

// Token is a fencing token. Each new grant of a lease has a larger token than all grants before it; a renewal keeps its
// token.
type Token uint64

// The messages are encoded as CBOR under the names in their tags. Servers of earlier versions use these names, so a tag
// must never change.

// VoteRequest is a candidate's request to be granted a lease, or to renew the lease that it holds under the same token.
type VoteRequest struct {
	Lease     string `cbor:"Duty"`
	Candidate string `cbor:"From"`
	Token     Token  `cbor:"Token"`
}

// VoteResponse is a voter's answer to a VoteRequest. HighestToken and Holder describe the voter's last grant.
// RetryAfter is above zero if the request was refused because an earlier grant has not expired: it is the time until
// that happens, on the voter's clock.
type VoteResponse struct {
	Lease        string        `cbor:"Duty"`
	Candidate    string        `cbor:"To"`
	Voter        string        `cbor:"By"`
	Token        Token         `cbor:"Token"` // of the request
	Granted      bool          `cbor:"Granted"`
	HighestToken Token         `cbor:"Newest"`
	Holder       string        `cbor:"Holder"`
	RetryAfter   time.Duration `cbor:"Free"`
}
