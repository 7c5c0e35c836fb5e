// Package conformance is one suite of cases for every front end of the admission decisions: the daemon over its frame
// protocol, the library in process, and its middleware. A case is a seeded list of requests. The counts of outcomes
// must be the same at every front end, except for requests whose outcome depends on exact timing.
//
// The front ends that use the library are in cmd/quartzpoint-bench/fronts, because no package under internal imports
// the root package.
package conformance

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is one request of a case.
type Request struct {
	At          time.Duration // since the start of the case
	Route       int           // index in the result of Routes
	Work        time.Duration // time that its run takes, independent of other runs
	Fails       bool          // its run ends with an error
	CancelAfter time.Duration // time after which its caller cancels; 0 for never
	Key         string        // idempotency key, empty for none
}

// Outcome is the result of a request as its caller sees it.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Aborted
	Canceled // by the caller
	Unanswered
)

// FrontEnd is a front end: an interface through which requests reach the admission decisions.
type FrontEnd interface {
	// Do sends a request and returns what its caller sees. It may be called from several goroutines.
	Do(ctx context.Context, r Request) Outcome
	// Shutdown shuts the front end down gracefully, and returns after it has ended.
	Shutdown() error
	// Runs returns the number of runs, and the number of runs of a key after its first.
	Runs() (runs, repeated int)
	// Close ends the front end and releases its resources.
	Close()
}

// Case is a list of requests.
type Case struct {
	Name       string
	Requests   []Request
	ShutdownAt time.Duration // since the start of the case; 0 for never
	NeedsKeys  bool          // only for front ends that carry idempotency keys
}

// Cores is the number of cores of every front end.
const Cores = 2

// Routes returns the routes of every front end. keyed adds the route whose requests have idempotency keys.
func Routes(keyed bool) []harness.Route {
	routes := []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		{Name: "confirm-booking", Value: 4, LatencyTarget: time.Second, Deadline: 2 * time.Second, AtMostOnce: true},
	}
	if keyed {
		routes = append(routes, harness.Route{Name: "deposit", Value: 4, LatencyTarget: 2 * time.Second, Deadline: 3 * time.Second})
	}
	return routes
}

// Cases returns the suite for a seed, which draws the arrivals and the work of the random cases.
func Cases(seed int64) []Case {
	rng := rand.New(rand.NewSource(seed))
	sequence := func(n int, each func(i int) Request) (requests []Request) {
		for i := range n {
			requests = append(requests, each(i))
		}
		return requests
	}
	ms := time.Millisecond
	poisson := func(rate float64, span time.Duration, draw func() Request) (requests []Request) {
		for at := 0.0; at < span.Seconds(); at += rng.ExpFloat64() / rate {
			r := draw()
			r.At = time.Duration(at * float64(time.Second))
			requests = append(requests, r)
		}
		return requests
	}
	mixed := func() Request {
		if rng.Intn(4) == 0 {
			return Request{Route: 1, Work: 80*ms + time.Duration(rng.Intn(40))*ms}
		}
		return Request{Work: 30*ms + time.Duration(rng.Intn(30))*ms}
	}
	return []Case{
		{Name: "calm", Requests: poisson(12, 1500*ms, mixed)},
		{Name: "overload", Requests: poisson(1.5*Cores/0.0585, 2500*ms, mixed)}, // 1.5 times the capacity: the mean work of mixed is about 0.0585 s
		{Name: "runs past their time", Requests: sequence(4, func(i int) Request {
			return Request{At: time.Duration(i) * 700 * ms, Work: 900 * ms, Route: i % 2}
		})},
		{Name: "broken runs", Requests: sequence(12, func(i int) Request {
			return Request{At: time.Duration(i) * 60 * ms, Work: 20 * ms, Fails: i%3 == 1}
		})},
		{Name: "callers gone", Requests: sequence(12, func(i int) Request {
			r := Request{At: time.Duration(i) * 150 * ms, Work: 100 * ms}
			if i%2 == 1 {
				r.CancelAfter = 40 * ms
			}
			return r
		})},
		{Name: "repeats", NeedsKeys: true, Requests: sequence(30, func(i int) Request {
			return Request{At: time.Duration(i/10) * 100 * ms, Route: 2, Work: 50 * ms, Key: fmt.Sprint(seed, i%5)}
		})},
		{Name: "notice to leave", ShutdownAt: 300 * ms, Requests: sequence(16, func(i int) Request {
			return Request{At: time.Duration(i) * 30 * ms, Work: 60 * ms}
		})},
	}
}

// Counts contains the counts of one case at one front end.
type Counts struct {
	Requests      int
	Outcomes      [Unanswered + 1]int
	Runs          int
	RepeatedRuns  int // runs of a key after its first
	LateAnswers   int // after the deadline and lateSlack
	ShutdownClean bool
}

// lateSlack is the time after the deadline within which an answer still counts as in time.
const lateSlack = 100 * time.Millisecond

// Run runs a case at a front end.
func Run(f FrontEnd, c Case) (n Counts, err error) {
	routes := Routes(c.NeedsKeys)
	began := time.Now()
	n.Requests = len(c.Requests)
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, r := range c.Requests {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(r.At)))
			limit := routes[r.Route].Deadline
			ctx, cancel := context.WithTimeout(context.Background(), limit+time.Second)
			if r.CancelAfter > 0 { // by a timer and not by the deadline of ctx, because front ends that see a deadline plan by it
				timer := time.AfterFunc(r.CancelAfter, cancel)
				defer timer.Stop()
			}
			defer cancel()
			sentAt := time.Now()
			outcome := f.Do(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			n.Outcomes[outcome]++
			if r.CancelAfter == 0 && time.Since(sentAt) > limit+lateSlack {
				n.LateAnswers++
			}
		})
	}
	if c.ShutdownAt > 0 {
		time.Sleep(time.Until(began.Add(c.ShutdownAt)))
		if err := f.Shutdown(); err != nil {
			return n, fmt.Errorf("%s: shutdown: %w", c.Name, err)
		}
		n.ShutdownClean = true
	}
	running.Wait()
	n.Runs, n.RepeatedRuns = f.Runs()
	return n, nil
}
