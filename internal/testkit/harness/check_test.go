package harness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestCheck compares what was sent, started and answered on sockets with the rules. The cases break each rule that a
// load can break.
func TestCheck(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	newAttempt := func(id string, effect uint64, code byte, answered ...time.Time) attempt {
		return attempt{id: id, effect: effect, sentAt: at(0), deadline: at(1000), answered: answered, code: code}
	}
	lost := newAttempt("a", 0, 0)
	lost.connectionLost = true
	cases := []struct {
		name   string
		sent   []attempt
		ran    []RunStart
		broken [5]int
	}{
		{"served", []attempt{newAttempt("a", 1, 20, at(50))}, []RunStart{{"a", at(10)}}, [5]int{}},
		{"never answered", []attempt{newAttempt("a", 0, 0)}, nil, [5]int{1: 1}},
		{"connection lost before the answer", []attempt{lost}, nil, [5]int{}},
		{"answered twice", []attempt{newAttempt("a", 0, 20, at(50), at(60))}, nil, [5]int{1: 1}},
		{"answered after the deadline", []attempt{newAttempt("a", 0, 51, at(1200))}, nil, [5]int{1: 1}},
		{"run and then rejected", []attempt{newAttempt("a", 0, 50, at(50))}, []RunStart{{"a", at(10)}}, [5]int{2: 1}},
		{"same effect run at two servers", []attempt{newAttempt("a", 7, 20, at(50)), newAttempt("b", 7, 20, at(90))}, []RunStart{{"a", at(10)}, {"b", at(60)}}, [5]int{2: 1}},
	}
	for _, c := range cases {
		r := &Result{attempts: c.sent}
		assert.Equal(t, c.broken, r.Check(&Workers{runStarts: c.ran}).Violations, c.name)
	}
}
