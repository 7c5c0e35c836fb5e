package lease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fencedOperation is an operation under a lease, with the decision of the fence.
type fencedOperation struct {
	lease    string
	process  string
	token    Token
	admitted bool
	sequence int64 // position in the order of the fence's operations
}

// checkHistory returns an error for the first operation which shows that two processes held a lease at once: it was
// admitted under an older token than an operation before it, or under a token that was admitted for another process. It
// also returns an error for operations out of order. All tests of the lease use this checker.
func checkHistory(history []fencedOperation) error {
	last := map[string]fencedOperation{} // last admitted operation, by lease
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

// The checker must fail if a lease had two holders; otherwise the tests that use it prove nothing.
func TestTheCheckerFailsOnAPlantedDoubleHold(t *testing.T) {
	cases := map[string][]fencedOperation{
		// operations of a stalled holder, admitted without a fence, after those of its successor
		"older token after a newer one": {{"d", "next", 2, true, 1}, {"d", "old", 1, true, 2}},
		"same token for two processes":  {{"d", "a", 3, true, 1}, {"d", "b", 3, true, 2}},
		"sequence decreases":            {{"d", "a", 1, true, 2}, {"d", "a", 1, true, 1}},
	}
	for name, history := range cases {
		assert.Error(t, checkHistory(history), name)
	}
	assert.NoError(t, checkHistory([]fencedOperation{{"d", "a", 1, true, 1}, {"d", "b", 1, false, 2}, {"e", "b", 1, true, 3}}))
}
