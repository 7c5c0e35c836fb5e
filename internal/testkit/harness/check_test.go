package harness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What was sent, begun and answered on sockets is held against the rules: each broken once.
func TestCheck(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	task := func(id string, effect uint64, code byte, answered ...time.Time) attempt {
		return attempt{id: id, effect: effect, at: at(0), due: at(1000), answered: answered, code: code}
	}
	gone := task("a", 0, 0)
	gone.connectionLost = true
	cases := []struct {
		name   string
		sent   []attempt
		ran    []RunStart
		broken [5]int
	}{
		{"served", []attempt{task("a", 1, 20, at(50))}, []RunStart{{"a", at(10)}}, [5]int{}},
		{"never answered", []attempt{task("a", 0, 0)}, nil, [5]int{1: 1}},
		{"its connection was lost", []attempt{gone}, nil, [5]int{}},
		{"answered twice", []attempt{task("a", 0, 20, at(50), at(60))}, nil, [5]int{1: 1}},
		{"late", []attempt{task("a", 0, 51, at(1200))}, nil, [5]int{1: 1}},
		{"ran and dismissed", []attempt{task("a", 0, 50, at(50))}, []RunStart{{"a", at(10)}}, [5]int{2: 1}},
		{"an effect at two servers", []attempt{task("a", 7, 20, at(50)), task("b", 7, 20, at(90))}, []RunStart{{"a", at(10)}, {"b", at(60)}}, [5]int{2: 1}},
	}
	for _, c := range cases {
		r := &Result{attempts: c.sent}
		assert.Equal(t, c.broken, r.Check(&Workers{runStarts: c.ran}).Violations, c.name)
	}
}
