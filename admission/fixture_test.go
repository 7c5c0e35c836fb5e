package admission

import (
	"fmt"
	"strings"
	"time"
)

const ms = time.Millisecond

// fixture drives one Controller as a program would, and records its decisions by request name.
type fixture struct {
	*Controller
	names            map[*Request]string
	decisions        []string
	retryAfter       time.Duration // advice of the last rejection
	noRetryElsewhere bool
	closeAfter       time.Duration // last idle timeout for connections
	lastTimeout      time.Duration // timeout of the last call
	at               time.Duration // current time
}

// testSettings returns the settings of a server with four cores, modified by change if not nil. Routes 0, 1 and 2 are
// retryable, keyed and at-most-once.
func testSettings(change func(*Settings)) Settings {
	settings := DefaultSettings()
	settings.Cores, settings.MemoryKB, settings.RunningMemoryFactor, settings.KeyKB = 4, 10000, 10, 50
	settings.MaxRunsPerCore, settings.ColdSpeed, settings.WarmUp = 6, 0.2, 10*time.Second
	settings.Grace, settings.ShedLevelFormat = 2*time.Second, ShedLevelThreshold
	settings.RetryAfter, settings.MaxRetryAfter = true, time.Second
	settings.CallQuota, settings.CallWindow, settings.CallLinger = 10, 5*time.Second, 200*ms
	for i, idempotency := range []Idempotency{Retryable, Keyed, AtMostOnce} {
		settings.Routes = append(settings.Routes, Route{
			Idempotency: idempotency, Value: float64(1 + i), LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second,
			DedupWindow: 20 * time.Second, CallsDependency: true,
		})
	}
	settings.Routes[0].SkipValueShare = 0.5
	if change != nil {
		change(&settings)
	}
	return settings
}

func newFixture(change func(*Settings)) *fixture {
	b := &fixture{Controller: New(testSettings(change), 1), names: map[*Request]string{}, at: time.Second}
	b.round(Round{})
	return b
}

// request returns a request of the route with an index, which arrives now.
func (b *fixture) request(name string, route int) *Request {
	request := &Request{Route: b.Routes[route], QueuedKB: 10, Arrived: b.at, Rank: 0.99}
	b.names[request] = name
	return request
}

// round has the controller process a round at the current time, and returns the decisions.
func (b *fixture) round(r Round) string {
	b.decisions = nil
	r.Now = b.at
	b.Decide(&r, b)
	return strings.Join(b.decisions, ", ")
}

// pass advances the time by span, with a tick for each tickInterval, and returns the decisions.
func (b *fixture) pass(span time.Duration, g Gauges) string {
	var all []string
	for end := b.at + span; b.at < end; {
		b.at += tickInterval
		if decisions := b.round(Round{Gauges: &g}); decisions != "" {
			all = append(all, decisions)
		}
	}
	return strings.Join(all, ", ")
}

// run lets a request arrive, run for span and succeed.
func (b *fixture) run(request *Request, span time.Duration) {
	b.round(Round{Arrived: []*Request{request}})
	b.at += span
	b.round(Round{RunsEnded: []Completion{{Request: request, Outcome: Succeeded, Took: span}}})
}

func (b *fixture) record(what string, request *Request) {
	b.decisions = append(b.decisions, what+" "+b.names[request])
}

func (b *fixture) Start(request *Request) { b.record("start", request) }
func (b *fixture) Pause(request *Request) { b.record("pause", request) }
func (b *fixture) Reject(request *Request, retryAfter time.Duration, noRetryElsewhere bool) {
	b.record("reject", request)
	b.retryAfter, b.noRetryElsewhere = retryAfter, noRetryElsewhere
}
func (b *fixture) Abort(request *Request)                        { b.record("abort", request) }
func (b *fixture) AnswerFromOriginal(request *Request)           { b.record("answer-from-original", request) }
func (b *fixture) RememberKey(request *Request, _ time.Duration) { b.record("remember", request) }
func (b *fixture) ForgetKey(request *Request)                    { b.record("forget", request) }
func (b *fixture) Call(request *Request, timeout time.Duration) {
	b.record("call", request)
	b.lastTimeout = timeout
}
func (b *fixture) SkipCall(request *Request) { b.record("skip", request) }
func (b *fixture) SetHealth(good, _ bool) {
	b.decisions = append(b.decisions, fmt.Sprint("health ", good))
}
func (b *fixture) SetShedLevel(level float64) {
	b.decisions = append(b.decisions, fmt.Sprintf("level %.2f", level))
}
func (b *fixture) SetIdleTimeout(span time.Duration) { b.closeAfter = span }
func (b *fixture) WakeAfter(time.Duration)           {}
func (b *fixture) Log(string)                        {}
