package leasing

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/lease"
)

// Servers of different versions vote for each other during a rolling upgrade. A field whose encoded name changed would
// be read as empty by the other version: votes would not count, and no lease would be granted. The test therefore
// compares the encoding of both messages with fixed bytes.
func TestBallotBytesStayTheSame(t *testing.T) {
	request := lease.VoteRequest{Lease: "compact", Candidate: "10.0.0.1:7400", Token: 258}
	response := lease.VoteResponse{
		Lease: "compact", Candidate: "10.0.0.1:7400", Voter: "10.0.0.2:7400", Token: 258, Granted: true, HighestToken: 300,
		Holder: "10.0.0.3:7400", RetryAfter: 1500 * time.Millisecond,
	}
	for want, message := range map[string]ballot{
		"a101a3644475747967636f6d706163746446726f6d6d31302e302e302e313a3734303065546f6b656e190102":                                                                                                                                   {Request: &request},
		"a102a8644475747967636f6d7061637462546f6d31302e302e302e313a373430306242796d31302e302e302e323a3734303065546f6b656e190102674772616e746564f5664e657765737419012c66486f6c6465726d31302e302e302e333a3734303064467265651a59682f00": {Response: &response},
	} {
		raw, err := cbor.Marshal(message)
		require.NoError(t, err)
		assert.Equal(t, want, hex.EncodeToString(raw))
		var decoded ballot
		require.NoError(t, cbor.Unmarshal(raw, &decoded))
		assert.Equal(t, message, decoded)
	}
}
