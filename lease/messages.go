package lease

import "time"

// Token is a fencing token. Each new grant of a lease has a larger one than all before it; a renewal keeps its token.
type Token uint64

// The messages are encoded with CBOR by the names in their tags, which older servers know: a tag never changes.

// VoteRequest is a candidate's request to hold a lease, or to renew the one that it holds under the same token.
type VoteRequest struct {
	Lease     string `cbor:"Duty"`
	Candidate string `cbor:"From"`
	Token     Token  `cbor:"Token"`
}

// VoteResponse is a voter's answer to a VoteRequest. HighestToken and Holder tell of the voter's last grant. RetryAfter is
// above zero where the request was refused because a grant still runs: the time for which it does, on the voter's clock.
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
