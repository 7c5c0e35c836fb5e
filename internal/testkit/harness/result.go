package harness

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"quartzpoint/rulecheck"
)

// Result contains the outcomes of a load. Values are sums of Route.Value.
type Result struct {
	Goodput          float64   // value served within the latency target; a partial answer counts with its share of the value
	Partial          int       // partial answers
	GoodputByRoute   []float64 // Goodput by route
	OfferedValue     float64   // value of all requests
	Requests         int
	Codes            map[byte]int // answers by status code
	LateAnswers      int          // answers after the deadline and answerSlack
	Unanswered       int
	DuplicateAnswers int
	Latencies        []time.Duration // of requests that were served, sorted by Run

	begin    time.Time // start of the load
	attempts []attempt // by router, in the order in which they were sent
}

// ServedBetween returns the number of served requests that were sent from one time of the load (inclusive) to another
// (exclusive).
func (r *Result) ServedBetween(from, to time.Duration) (served int) {
	for _, a := range r.attempts {
		if sent := a.sentAt.Sub(r.begin); sent >= from && sent < to && len(a.answered) > 0 && a.code == StatusServed {
			served++
		}
	}
	return served
}

// attempt is one request sent to one server.
type attempt struct {
	id               string
	effect           uint64 // ID of the effect of an at-most-once request, the same in all its attempts; 0 for other requests
	sentAt, deadline time.Time
	answered         []time.Time
	code             byte
	connectionLost   bool // the connection was lost before an answer
}

// Check checks the load against the four rules of package rulecheck. pools must contain all worker pools that ran any
// of its requests.
func (r *Result) Check(pools ...*Workers) rulecheck.Report {
	var first time.Time
	starts := map[string][]time.Time{}
	for _, w := range pools {
		w.mu.Lock()
		for _, s := range w.runStarts {
			starts[s.ID] = append(starts[s.ID], s.At)
		}
		w.mu.Unlock()
	}
	var events []rulecheck.Event
	for i, s := range r.attempts {
		if first.IsZero() || s.sentAt.Before(first) {
			first = s.sentAt
		}
		attemptID := uint64(i + 1)
		event := func(kind rulecheck.Kind, at time.Time) rulecheck.Event {
			return rulecheck.Event{Kind: kind, At: at.Sub(first), Attempt: attemptID, Effect: s.effect, Deadline: s.deadline.Sub(first), Rejected: s.code == StatusRejected}
		}
		events = append(events, event(rulecheck.Received, s.sentAt))
		for _, at := range starts[s.id] {
			events = append(events, event(rulecheck.Started, at))
		}
		for _, at := range s.answered {
			events = append(events, event(rulecheck.Answered, at))
		}
		if s.connectionLost {
			events = append(events, event(rulecheck.Abandoned, s.deadline))
		}
	}
	slices.SortStableFunc(events, func(a, b rulecheck.Event) int { return cmp.Compare(a.At, b.At) })
	checker := rulecheck.New(answerSlack)
	last := time.Duration(0)
	for _, e := range events {
		checker.Add(e)
		last = max(last, e.At, e.Deadline)
	}
	return checker.Finish(last + 2*answerSlack)
}

// record records the final answer of a request.
func (r *Result) record(p *pendingRequest, route Route, reply Reply, now time.Time) {
	r.Codes[reply.Code]++
	latency := now.Sub(p.sentAt)
	if latency > route.Deadline+answerSlack {
		r.LateAnswers++
	}
	if reply.Code != StatusServed {
		return
	}
	r.Latencies = append(r.Latencies, latency)
	share := 1.0
	if route.Composed {
		var composed struct {
			Complete bool    `json:"whole"`
			Share    float64 `json:"worth"`
		}
		if json.Unmarshal([]byte(reply.Body), &composed) != nil {
			return // an answer in another form has no value
		}
		if share = composed.Share; !composed.Complete {
			r.Partial++
		}
	}
	if latency <= route.LatencyTarget {
		r.Goodput += share * route.Value
		r.GoodputByRoute[p.arrival.Route] += share * route.Value
	}
}
