package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestValidate(t *testing.T) {
	call := func(name string, after ...int) Call {
		return Call{Name: name, Required: true, Expected: 20 * ms, After: after}
	}
	cases := []struct {
		name      string
		calls     []Call
		available time.Duration
		want      string
	}{
		{"no calls", nil, time.Second, "0 calls"},
		{"a cycle", []Call{call("a", 2), call("b", 0), call("c", 1), call("d")}, time.Second, "wait for each other: a, b, c"},
		{"a call waits for itself", []Call{call("a", 0)}, time.Second, "waits for itself or an unknown call"},
		{"a call waits for an unknown call", []Call{call("a", 7)}, time.Second, "waits for itself or an unknown call"},
		{"an unknown dependency", []Call{{Name: "a", Required: true, Expected: ms, Dependency: 3}}, time.Second, "unknown dependency"},
		{"nothing required", []Call{{Name: "a", Expected: ms}}, time.Second, "no call is needed"},
		{"an at-most-once call with a second attempt", []Call{{Name: "a", Required: true, Expected: ms, Effect: AtMostOnce, Retry: true}}, time.Second, "can't have a second"},
		{"a hedged effect", []Call{{Name: "a", Required: true, Expected: ms, Effect: Keyed, Hedge: true}}, time.Second, "only reads can be hedged"},
		{"an effect with a fallback", []Call{{Name: "a", Required: true, Expected: ms, Effect: Keyed, Fallback: true}}, time.Second, "only reads can have a fallback"},
		{"too little time", []Call{call("a"), call("b", 0)}, 30 * ms, "needed calls take 40ms"},
		{"no expected duration", []Call{{Name: "a", Required: true}}, time.Second, "above 0"},
	}
	for _, c := range cases {
		err := (&Plan{Calls: c.calls}).Validate(1, c.available)
		assert.ErrorContains(t, err, c.want, c.name)
	}
	spans := testPlan(t, nil).Spans(400*ms, []string{"d"})
	assert.Equal(t, Span{"c", 20 * ms, 60 * ms, 370 * ms, true, "d"}, spans[2])
}
