package lease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fencedOperation is an operation under a lease as a fence saw it.
type fencedOperation struct {
	lease    string
	process  string
	token    Token
	admitted bool
	sequence int64 // orders the operations of a fence
}

// checkHistory returns an error for the first moment at which two holders operated under valid tokens: an operation was
// admitted under a token older than one admitted before it, or one token was admitted for two processes. It is the one
// checker of the lease tests.
func checkHistory(history []fencedOperation) error {
	last := map[string]fencedOperation{} // that was admitted, by lease
	for i, current := range history {
		if i > 0 && current.sequence < history[i-1].sequence {
			return fmt.Errorf("operation %d out of order: %d after %d", i, current.sequence, history[i-1].sequence)
		}
		if !current.admitted {
			continue
		}
		previous, known := last[current.lease]
		switch {
		case known && current.token < previous.token:
			return fmt.Errorf("lease %q: %s operated at %d under token %d after %s under token %d at %d", current.lease,
				current.process, current.sequence, current.token, previous.process, previous.token, previous.sequence)
		case known && current.token == previous.token && current.process != previous.process:
			return fmt.Errorf("lease %q: token %d was held by %s at %d and by %s at %d", current.lease,
				current.token, previous.process, previous.sequence, current.process, current.sequence)
		}
		last[current.lease] = current
	}
	return nil
}

// The checker must fail where a lease had two holders, or the tests that rest on it show nothing.
func TestTheCheckerFailsOnAPlantedDoubleHold(t *testing.T) {
	cases := map[string][]fencedOperation{
		// operations of a stalled holder, admitted without a fence, beside those of its successor
		"an older token after a newer": {{"d", "next", 2, true, 1}, {"d", "old", 1, true, 2}},
		"one token for two":            {{"d", "a", 3, true, 1}, {"d", "b", 3, true, 2}},
		"out of order":                 {{"d", "a", 1, true, 2}, {"d", "a", 1, true, 1}},
	}
	for name, history := range cases {
		assert.Error(t, checkHistory(history), name)
	}
	assert.NoError(t, checkHistory([]fencedOperation{{"d", "a", 1, true, 1}, {"d", "b", 1, false, 2}, {"e", "b", 1, true, 3}}))
}
