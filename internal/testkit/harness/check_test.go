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
	task := func(id string, effect uint64, code byte, answered ...time.Time) sent {
		return sent{id: id, effect: effect, at: at(0), due: at(1000), answered: answered, code: code}
	}
	gone := task("a", 0, 0)
	gone.lost = true
	cases := []struct {
		name   string
		sent   []sent
		ran    []RunStart
		broken [5]int
	}{
		{"served", []sent{task("a", 1, 20, at(50))}, []RunStart{{"a", at(10)}}, [5]int{}},
		{"never answered", []sent{task("a", 0, 0)}, nil, [5]int{1: 1}},
		{"its connection was lost", []sent{gone}, nil, [5]int{}},
		{"answered twice", []sent{task("a", 0, 20, at(50), at(60))}, nil, [5]int{1: 1}},
		{"late", []sent{task("a", 0, 51, at(1200))}, nil, [5]int{1: 1}},
		{"ran and dismissed", []sent{task("a", 0, 50, at(50))}, []RunStart{{"a", at(10)}}, [5]int{2: 1}},
		{"an effect at two servers", []sent{task("a", 7, 20, at(50)), task("b", 7, 20, at(90))}, []RunStart{{"a", at(10)}, {"b", at(60)}}, [5]int{2: 1}},
	}
	for _, c := range cases {
		r := &Result{sent: c.sent}
		assert.Equal(t, c.broken, r.Check(&Workers{ran: c.ran}).Broken, c.name)
	}
}
