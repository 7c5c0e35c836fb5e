package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"quartzpoint/internal/testkit/harness"
)

// The indexes of the routes in validHistory.
const (
	retryableRoute = iota
	keyedRoute
	atMostOnceRoute
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// validHistory returns a history without a violation: a request of each route is served, a keyed one is repeated, one
// is rejected, one is reset by its client, one crosses the end of its connection, and one arrives after the grace and
// is rejected.
func validHistory() *History {
	incarnation := &Incarnation{NotifiedAt: at(5000), EndedAt: at(8000)}
	h := &History{
		Plan: Plan{
			Grace: time.Second,
			Routes: []Route{
				{Name: "look", Idempotency: Retryable}, {Name: "book", Idempotency: Keyed, DedupWindow: 2 * time.Second}, {Name: "pay", Idempotency: AtMostOnce},
			},
		},
		Incarnations: []*Incarnation{incarnation},
	}
	addRequest := func(id string, route, sent int, answered ...Answer) *Request {
		r := &Request{ID: id, Route: route, Incarnation: incarnation, SentAt: at(sent), Deadline: at(sent + 1000), Answers: answered}
		h.Requests = append(h.Requests, r)
		return r
	}
	addRun := func(id string, ms int) {
		incarnation.Runs = append(incarnation.Runs, harness.RunStart{ID: id, At: at(ms)})
	}
	addRequest("retryable", retryableRoute, 0, Answer{at(500), CodeServed})
	addRun("retryable", 10)
	addRequest("keyed", keyedRoute, 0, Answer{at(500), CodeServed}).Key = "k"
	addRun("keyed", 10)
	addRequest("repeat", keyedRoute, 1000, Answer{at(1010), CodeServed}).Key = "k"
	addRequest("at-most-once", atMostOnceRoute, 0, Answer{at(500), CodeServed})
	addRun("at-most-once", 10)
	addRequest("refused", atMostOnceRoute, 0, Answer{at(5), CodeRejected})
	resetRequest := addRequest("cut off", retryableRoute, 0)
	resetRequest.ConnectionEnded, resetRequest.ResetByClient = at(300), true
	crossing := addRequest("crossing", atMostOnceRoute, 4000)
	crossing.ConnectionEnded = at(4020)
	addRequest("past the grace", retryableRoute, 6100, Answer{at(6110), CodeRejected})
	return h
}

func (h *History) findRequest(id string) *Request {
	for _, r := range h.Requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (h *History) addRun(id string, ms int) {
	h.Incarnations[0].Runs = append(h.Incarnations[0].Runs, harness.RunStart{ID: id, At: at(ms)})
}

func TestAHistoryThatKeepsTheRules(t *testing.T) { assert.Empty(t, Check(validHistory())) }

// Each planted bug is found as exactly one violation, of the right rule.
func TestTheCheckerFindsPlantedBugs(t *testing.T) {
	cases := []struct {
		name  string
		rule  int
		plant func(h *History)
	}{
		{"a request is never answered", 1, func(h *History) { h.findRequest("retryable").Answers = nil }},
		{"a request is answered twice", 1, func(h *History) {
			h.findRequest("retryable").Answers = append(h.findRequest("retryable").Answers, Answer{at(600), CodeAborted})
		}},
		{"an answer is late", 1, func(h *History) { h.findRequest("retryable").Answers[0].At = at(1060) }},
		{"a request is lost with its connection", 1, func(h *History) { h.findRequest("crossing").ConnectionEnded = at(4100) }},
		{"a request that ran crosses the end of its connection", 1, func(h *History) { h.addRun("crossing", 4010) }},
		{"an answer on a stream without an open request", 1, func(h *History) { h.strayAnswers = 1 }},
		{"a process ends with an error", 1, func(h *History) { h.Incarnations[0].ExitCode = 2 }},
		{"an at-most-once request runs twice", 2, func(h *History) { h.addRun("at-most-once", 200) }},
		{"a request that ran is rejected", 2, func(h *History) { h.addRun("refused", 3) }},
		{"a key runs again in its dedup window", 2, func(h *History) { h.addRun("repeat", 1005) }},
		{"a repeat of a key that ran is rejected", 2, func(h *History) { h.findRequest("repeat").Answers[0].Code = CodeRejected }},
		{"a request sent after the grace runs", 3, func(h *History) {
			h.findRequest("past the grace").Answers[0].Code = CodeServed
			h.addRun("past the grace", 6105)
		}},
		{"too many runs on the cores", 4, func(h *History) { h.Incarnations[0].PeakLoad.Runs = 1.01 }},
		{"the dependency is overloaded", 4, func(h *History) { h.DependencyPeakLoad.Runs = 1.01 }},
		{"the memory limit is exceeded", 4, func(h *History) { h.Incarnations[0].PeakLoad.Memory = 1.01 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.plant(h)
			violations := Check(h)
			if assert.Len(t, violations, 1) {
				assert.Equal(t, c.rule, violations[0].Rule, violations[0])
			}
		})
	}
}

// The checker allows what is not a fault of the server.
func TestWhatTheCheckerAllows(t *testing.T) {
	cases := map[string]func(h *History){
		"the process was killed before it answered": func(h *History) { h.findRequest("retryable").Answers, h.Incarnations[0].KilledAt = nil, at(200) },
		"the process was paused before it answered": func(h *History) {
			h.findRequest("retryable").Answers[0].At = at(1300)
			h.Incarnations[0].Pauses = []Span{{at(900), at(1200)}}
		},
		"the timers of the client were late": func(h *History) {
			h.findRequest("retryable").Answers[0].At, h.TimerLateness = at(1060), 20*time.Millisecond
		},
		"the client saw the end of a connection late": func(h *History) {
			h.findRequest("crossing").ConnectionEnded, h.TimerLateness = at(4065), 20*time.Millisecond
		},
		"the process waited for a core": func(h *History) {
			h.findRequest("retryable").Answers[0].At = at(1080)
			h.Incarnations[0].CPUWaits = []CPUWait{{at(0), 0}, {at(900), time.Second}, {at(1040), 1040 * time.Millisecond}, {at(2000), 1040 * time.Millisecond}}
		},
		"a retryable request ran twice":          func(h *History) { h.addRun("retryable", 20) },
		"a key ran again after its dedup window": func(h *History) { h.findRequest("repeat").SentAt = at(2100); h.addRun("repeat", 2110) },
		"a repeat was rejected after the dedup window": func(h *History) {
			h.findRequest("repeat").SentAt, h.findRequest("repeat").Answers[0].Code = at(2100), CodeRejected
		},
		"the process was killed after its notice, with all requests answered": func(h *History) { h.Incarnations[0].Killed = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			assert.Empty(t, Check(h))
		})
	}
}

// The total waiting time of a process drops when one of its threads ends, because the time of that thread is no longer
// counted. The drop must not reduce the slack of answers.
func TestAThreadThatEndsDoesNotReduceTheSlack(t *testing.T) {
	h := validHistory()
	h.Incarnations[0].CPUWaits = []CPUWait{{at(0), time.Second}, {at(900), time.Second}, {at(1100), 800 * time.Millisecond}, {at(9000), 800 * time.Millisecond}}
	h.findRequest("retryable").Answers[0].At = at(990) // in time
	assert.Empty(t, Check(h))
	h.findRequest("retryable").Answers[0].At = at(1060)
	assert.Len(t, Check(h), 1)
}

func TestTheSameSeedGivesTheSamePlan(t *testing.T) {
	for seed := range int64(50) {
		plan := Draw(seed, 8*time.Second)
		assert.Equal(t, plan, Draw(seed, 8*time.Second))
		assert.NotEqual(t, plan.Faults, Draw(seed+1, 8*time.Second).Faults)
		assert.LessOrEqual(t, plan.KillAfter(), maxDeadline+killMargin)
		for _, f := range plan.Faults {
			assert.Less(t, f.Server, plan.Servers)
		}
	}
}
