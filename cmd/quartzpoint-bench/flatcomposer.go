package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"quartzpoint/budget"
	"quartzpoint/internal/config"
	"quartzpoint/internal/fanout"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/workerapi"
)

const (
	flatTimeout      = 500 * time.Millisecond // of every attempt, whatever time is left
	flatRetries      = 3                      // after every first attempt that failed
	flatRetryDelay   = 10 * time.Millisecond  // after an attempt that no connection took: else retries would spin
	flatPollInterval = 5 * time.Millisecond   // between looks at the attempts in flight
)

// flatComposer implements server.Composer without budgets. It starts every call whose predecessors are settled, gives all
// attempts the same timeout, and retries at once.
type flatComposer struct {
	owner      *server.Server
	routes     map[string]config.RoutePlan
	transports []fanout.Transport
	requests   map[string]*flatRequest
	inFlight   map[*fanout.Attempt]flatAttempt
	unsent     []flatAttempt // that no connection took
	notices    []workerapi.Notice
}

// flatRequest is a request in progress; its slices are by call.
type flatRequest struct {
	id        string
	route     config.RoutePlan
	body      []byte
	settled   []bool
	available []bool
	attempts  []int
	finished  bool
}

// flatAttempt is an attempt of a call of a request.
type flatAttempt struct {
	request  *flatRequest
	call     int
	deadline time.Duration
}

// flatAnswer is the answer without its parts.
type flatAnswer struct {
	Complete bool    `json:"whole"`
	Value    float64 `json:"worth"`
}

// newFlatComposer connects to the dependencies until the context ends.
func newFlatComposer(
	ctx context.Context, ownConfig *config.Config, owner *server.Server, counts *invariant.Counters, log *slog.Logger,
) *flatComposer {
	f := &flatComposer{
		owner: owner, routes: map[string]config.RoutePlan{}, requests: map[string]*flatRequest{},
		inFlight: map[*fanout.Attempt]flatAttempt{},
	}
	var connections sync.WaitGroup // not waited for: they end with the process
	for i, d := range ownConfig.Dependencies {
		transport := fanout.Dial(ctx, fanout.Dependency(d), int64(i), log, counts.Count, owner.Wake, &connections)
		f.transports = append(f.transports, transport)
	}
	for _, t := range ownConfig.Routes {
		f.routes[t.Name] = t
	}
	return f
}

// Handles implements server.Composer, as do the exported methods below.
func (f *flatComposer) Handles(route string) bool {
	_, composed := f.routes[route]
	return composed
}

// ExpectedWait is not known to the baseline.
func (f *flatComposer) ExpectedWait(string) time.Duration { return 0 }

// Resume refuses: Pause has ended the request.
func (f *flatComposer) Resume(string) bool { return false }

// AppendNotices appends the notices of requests that ended.
func (f *flatComposer) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	notices = append(notices, f.notices...)
	f.notices = f.notices[:0]
	return notices
}

// Flush writes the calls that were sent.
func (f *flatComposer) Flush() {
	for _, transport := range f.transports {
		transport.Flush()
	}
}

// NextTimer is when Advance must be called next.
func (f *flatComposer) NextTimer() time.Duration {
	if len(f.notices)+len(f.unsent) > 0 {
		return 0
	}
	if len(f.inFlight) > 0 {
		return f.owner.Now() + flatPollInterval
	}
	return 1<<63 - 1
}

// Start sends the first calls of a request.
func (f *flatComposer) Start(run workerapi.Run) bool {
	route := f.routes[run.Route]
	calls := len(route.Calls)
	r := &flatRequest{
		id: run.ID, route: route, body: run.Body,
		settled: make([]bool, calls), available: make([]bool, calls), attempts: make([]int, calls),
	}
	f.requests[run.ID] = r
	f.startReady(r)
	return true
}

// Pause ends a request.
func (f *flatComposer) Pause(id string) bool {
	if r := f.requests[id]; r != nil {
		f.finish(r, "interrupted", nil)
	}
	return true
}

// Advance retries what was not sent, takes responses and times attempts out.
func (f *flatComposer) Advance(now time.Duration) {
	unsent := f.unsent
	f.unsent = nil
	for _, attempt := range unsent {
		if now >= attempt.deadline-flatTimeout+flatRetryDelay {
			f.attemptFailed(attempt)
		} else {
			f.unsent = append(f.unsent, attempt)
		}
	}
	for _, transport := range f.transports {
		for _, response := range transport.Receive(nil) {
			f.receive(response)
		}
		transport.CheckConnections(time.Now())
	}
	for sent, attempt := range f.inFlight {
		if now >= attempt.deadline {
			delete(f.inFlight, sent)
			f.attemptFailed(attempt)
		}
	}
}

func (f *flatComposer) receive(response fanout.Response) {
	attempt, inFlight := f.inFlight[response.Attempt]
	delete(f.inFlight, response.Attempt)
	switch {
	case !inFlight || attempt.request.finished:
	case response.Outcome == budget.Succeeded:
		attempt.request.settled[attempt.call], attempt.request.available[attempt.call] = true, true
		f.startReady(attempt.request)
	default:
		f.attemptFailed(attempt)
	}
}

// startReady starts all calls whose predecessors are settled, or answers a request whose calls all are.
func (f *flatComposer) startReady(r *flatRequest) {
	answer := flatAnswer{Complete: true}
	allSettled, total, available := true, 0.0, 0.0
	for i, c := range r.route.Calls {
		total += c.Value
		if r.settled[i] {
			if r.available[i] {
				available += c.Value
			} else if answer.Complete = false; c.Required {
				f.finish(r, "interrupted", nil)
				return
			}
			continue
		}
		allSettled = false
		ready := r.attempts[i] == 0
		for _, a := range c.After {
			ready = ready && r.settled[a]
		}
		if ready {
			f.send(r, i)
		}
	}
	if !allSettled {
		return
	}
	answer.Value = available / total
	if encoded, err := json.Marshal(answer); err == nil { // fails only where no call has a value
		f.finish(r, "success", encoded)
	}
}

func (f *flatComposer) send(r *flatRequest, call int) {
	c := r.route.Calls[call]
	r.attempts[call]++
	sent := &fanout.Attempt{Op: c.Op, Body: r.body, Timeout: flatTimeout}
	if c.Effect != budget.Read {
		sent.IdempotencyKey = r.id + "/" + c.Name
	}
	attempt := flatAttempt{r, call, f.owner.Now() + flatTimeout}
	if f.transports[c.Dependency].Send(sent) {
		f.inFlight[sent] = attempt
	} else {
		f.unsent = append(f.unsent, attempt)
	}
}

// attemptFailed retries a call or settles it. Client libraries would also retry at-most-once calls; that would break the
// rule that the comparison counts.
func (f *flatComposer) attemptFailed(attempt flatAttempt) {
	r := attempt.request
	if r.finished {
		return
	}
	if r.attempts[attempt.call] <= flatRetries && r.route.Calls[attempt.call].Effect != budget.AtMostOnce {
		f.send(r, attempt.call)
		return
	}
	r.settled[attempt.call] = true
	f.startReady(r)
}

func (f *flatComposer) finish(r *flatRequest, outcome string, answer []byte) {
	if r.finished {
		return
	}
	r.finished = true
	delete(f.requests, r.id)
	f.notices = append(f.notices, workerapi.Notice{Kind: workerapi.RunFinished, RequestID: r.id, Outcome: outcome, Result: answer})
}
