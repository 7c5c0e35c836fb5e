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
	flatTimeout      = 500 * time.Millisecond // of every attempt, regardless of the request's time left
	flatRetries      = 3                      // of every call, after its first attempt
	flatRetryDelay   = 10 * time.Millisecond  // after an attempt that no connection accepted; without it retries would spin
	flatPollInterval = 5 * time.Millisecond   // between checks of the attempts in flight
)

// flatComposer implements server.Composer without budgets. It starts every call whose predecessors are settled, gives all
// attempts the same timeout, and retries failed attempts at once.
type flatComposer struct {
	srv        *server.Server
	routes     map[string]config.RoutePlan
	transports []fanout.Transport
	requests   map[string]*flatRequest
	inFlight   map[*fanout.Attempt]flatAttempt
	unsent     []flatAttempt // attempts that no connection accepted
	notices    []workerapi.Notice
}

// flatRequest is a request in progress. Its slices are indexed by call.
type flatRequest struct {
	id        string
	route     config.RoutePlan
	body      []byte
	settled   []bool
	available []bool
	attempts  []int
	finished  bool
}

// flatAttempt is one attempt of a call.
type flatAttempt struct {
	request  *flatRequest
	call     int
	deadline time.Duration
}

// flatAnswer is the answer to a request. Unlike the daemon's, it does not contain the results of the calls.
type flatAnswer struct {
	Complete bool    `json:"whole"`
	Value    float64 `json:"worth"`
}

// newFlatComposer returns a composer that stays connected to the dependencies until the context ends.
func newFlatComposer(
	ctx context.Context, ownConfig *config.Config, srv *server.Server, counts *invariant.Counters, log *slog.Logger,
) *flatComposer {
	f := &flatComposer{
		srv: srv, routes: map[string]config.RoutePlan{}, requests: map[string]*flatRequest{},
		inFlight: map[*fanout.Attempt]flatAttempt{},
	}
	var connections sync.WaitGroup // nothing waits for it, as the connections end with the process
	for i, d := range ownConfig.Dependencies {
		transport := fanout.Dial(ctx, fanout.Dependency(d), int64(i), log, counts.Count, srv.Wake, &connections)
		f.transports = append(f.transports, transport)
	}
	for _, t := range ownConfig.Routes {
		f.routes[t.Name] = t
	}
	return f
}

// Handles implements server.Composer, as do the other exported methods.
func (f *flatComposer) Handles(route string) bool {
	_, composed := f.routes[route]
	return composed
}

// ExpectedWait returns 0, since the baseline does not estimate the duration of calls.
func (f *flatComposer) ExpectedWait(string) time.Duration { return 0 }

// Resume returns false, since Pause has ended the request.
func (f *flatComposer) Resume(string) bool { return false }

// AppendNotices appends the notices of the requests that ended since the last call.
func (f *flatComposer) AppendNotices(notices []workerapi.Notice) []workerapi.Notice {
	notices = append(notices, f.notices...)
	f.notices = f.notices[:0]
	return notices
}

// Flush writes the buffered calls to the connections.
func (f *flatComposer) Flush() {
	for _, transport := range f.transports {
		transport.Flush()
	}
}

// NextTimer returns when Advance must be called next.
func (f *flatComposer) NextTimer() time.Duration {
	if len(f.notices)+len(f.unsent) > 0 {
		return 0
	}
	if len(f.inFlight) > 0 {
		return f.srv.Now() + flatPollInterval
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

// Pause ends a request without a result.
func (f *flatComposer) Pause(id string) bool {
	if r := f.requests[id]; r != nil {
		f.finish(r, "interrupted", nil)
	}
	return true
}

// Advance handles unsent attempts that are due for a retry, responses, and attempts whose timeout has passed.
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

// startReady starts all calls whose predecessors are settled. It finishes the request if a required call has no result
// or all calls are settled.
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
	if encoded, err := json.Marshal(answer); err == nil { // fails only if no call has a value
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
	attempt := flatAttempt{r, call, f.srv.Now() + flatTimeout}
	if f.transports[c.Dependency].Send(sent) {
		f.inFlight[sent] = attempt
	} else {
		f.unsent = append(f.unsent, attempt)
	}
}

// attemptFailed retries a call, or settles it without a result. At-most-once calls are not retried. Client libraries
// would retry them too, but that would violate the rule on repeated effects, whose violations the comparison counts.
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
