package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/internal/testkit/harness"
)

// The classes of the histories below.
const (
	safeClass = iota
	keyedClass
	unsafeClass
)

var second0 = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return second0.Add(time.Duration(ms) * time.Millisecond) }

// kept is a history without a violation: a request of each class is served, one refused, one cut off by its client, one
// crosses the end of its connection, and one comes past the grace and is refused.
func kept() *History {
	life := &Life{Notice: at(5000), Ended: at(8000)}
	h := &History{
		Plan: Plan{
			Grace: time.Second,
			Classes: []Class{
				{Name: "look", Effect: Safe}, {Name: "book", Effect: Keyed, Window: 2 * time.Second}, {Name: "pay", Effect: Unsafe},
			},
		},
		Lives: []*Life{life},
	}
	request := func(id string, class, sent int, answered ...Answered) *Request {
		r := &Request{ID: id, Class: class, Life: life, Sent: at(sent), Due: at(sent + 1000), Answer: answered}
		h.Requests = append(h.Requests, r)
		return r
	}
	ran := func(id string, ms int) { life.Runs = append(life.Runs, harness.RunStart{ID: id, At: at(ms)}) }
	request("safe", safeClass, 0, Answered{at(500), CodeServed})
	ran("safe", 10)
	request("keyed", keyedClass, 0, Answered{at(500), CodeServed}).Key = "k"
	ran("keyed", 10)
	request("repeat", keyedClass, 1000, Answered{at(1010), CodeServed}).Key = "k"
	request("unsafe", unsafeClass, 0, Answered{at(500), CodeServed})
	ran("unsafe", 10)
	request("refused", unsafeClass, 0, Answered{at(5), CodeRefused})
	cut := request("cut off", safeClass, 0)
	cut.Ended, cut.Reset = at(300), true
	crossing := request("crossing", unsafeClass, 4000)
	crossing.Ended = at(4020)
	request("past the grace", safeClass, 6100, Answered{at(6110), CodeRefused})
	return h
}

func (h *History) request(id string) *Request {
	for _, r := range h.Requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (h *History) ran(id string, ms int) {
	h.Lives[0].Runs = append(h.Lives[0].Runs, harness.RunStart{ID: id, At: at(ms)})
}

func TestAHistoryThatKeepsTheRules(t *testing.T) { assert.Empty(t, Check(kept())) }

// Each planted bug has to be found, by its rule and no other.
func TestTheCheckerFindsPlantedBugs(t *testing.T) {
	cases := []struct {
		name  string
		rule  int
		plant func(h *History)
	}{
		{"a request is never answered", 1, func(h *History) { h.request("safe").Answer = nil }},
		{"a request is answered twice", 1, func(h *History) {
			h.request("safe").Answer = append(h.request("safe").Answer, Answered{at(600), CodeFailed})
		}},
		{"an answer is late", 1, func(h *History) { h.request("safe").Answer[0].At = at(1060) }},
		{"a request is lost with its connection", 1, func(h *History) { h.request("crossing").Ended = at(4100) }},
		{"a request that ran crosses the end of its connection", 1, func(h *History) { h.ran("crossing", 4010) }},
		{"an answer to nobody", 1, func(h *History) { h.stray = 1 }},
		{"a process ends by itself with an error", 1, func(h *History) { h.Lives[0].Exit = 2 }},
		{"an unsafe request runs twice", 2, func(h *History) { h.ran("unsafe", 200) }},
		{"what has run is refused", 2, func(h *History) { h.ran("refused", 3) }},
		{"a key runs again in its window", 2, func(h *History) { h.ran("repeat", 1005) }},
		{"a repeat of a key that ran is refused", 2, func(h *History) { h.request("repeat").Answer[0].Code = CodeRefused }},
		{"a request from past the grace runs", 3, func(h *History) {
			h.request("past the grace").Answer[0].Code = CodeServed
			h.ran("past the grace", 6105)
		}},
		{"the cores are crowded", 4, func(h *History) { h.Lives[0].Strain.Runs = 1.01 }},
		{"the dependency is overloaded", 4, func(h *History) { h.Calls.Runs = 1.01 }},
		{"the memory is passed", 4, func(h *History) { h.Lives[0].Strain.Memory = 1.01 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := kept()
			c.plant(h)
			broken := Check(h)
			if assert.Len(t, broken, 1) {
				assert.Equal(t, c.rule, broken[0].Rule, broken[0])
			}
		})
	}
}

// What is no fault of the server is not held against it.
func TestWhatTheCheckerAllows(t *testing.T) {
	cases := map[string]func(h *History){
		"the process was killed under it": func(h *History) { h.request("safe").Answer, h.Lives[0].Killed = nil, at(200) },
		"the process was stopped meanwhile": func(h *History) {
			h.request("safe").Answer[0].At = at(1300)
			h.Lives[0].Stopped = []Span{{at(900), at(1200)}}
		},
		"this machine was late": func(h *History) { h.request("safe").Answer[0].At, h.Lateness = at(1060), 20*time.Millisecond },
		"this machine saw the end of a connection late": func(h *History) {
			h.request("crossing").Ended, h.Lateness = at(4065), 20*time.Millisecond
		},
		"the process waited for a core": func(h *History) {
			h.request("safe").Answer[0].At = at(1080)
			h.Lives[0].Starved = []Wait{{at(0), 0}, {at(900), time.Second}, {at(1040), 1040 * time.Millisecond}, {at(2000), 1040 * time.Millisecond}}
		},
		"a safe request ran twice":  func(h *History) { h.ran("safe", 20) },
		"a key behind its window":   func(h *History) { h.request("repeat").Sent = at(2100); h.ran("repeat", 2110) },
		"a refusal behind a window": func(h *History) { h.request("repeat").Sent, h.request("repeat").Answer[0].Code = at(2100), CodeRefused },
		"the process had to be killed behind its notice, with all answered": func(h *History) { h.Lives[0].ByKill = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := kept()
			change(h)
			assert.Empty(t, Check(h))
		})
	}
}

// A thread of the process ended between two looks: its waiting is missing in the later total, and nothing follows.
func TestAThreadThatEndsTakesNothingOffTheSlack(t *testing.T) {
	h := kept()
	h.Lives[0].Starved = []Wait{{at(0), time.Second}, {at(900), time.Second}, {at(1100), 800 * time.Millisecond}, {at(9000), 800 * time.Millisecond}}
	h.request("safe").Answer[0].At = at(990) // in time
	assert.Empty(t, Check(h))
	h.request("safe").Answer[0].At = at(1060)
	assert.Len(t, Check(h), 1)
}

func TestTheSameSeedGivesTheSamePlan(t *testing.T) {
	for seed := range int64(50) {
		plan := Draw(seed, 8*time.Second)
		assert.Equal(t, plan, Draw(seed, 8*time.Second))
		assert.NotEqual(t, plan.Faults, Draw(seed+1, 8*time.Second).Faults)
		assert.LessOrEqual(t, plan.KillAfter(), maxDeadline+killDelay)
		for _, f := range plan.Faults {
			assert.Less(t, f.Server, plan.Servers)
		}
	}
}
