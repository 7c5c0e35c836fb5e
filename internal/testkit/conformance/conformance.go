// Package conformance holds one suite of cases for every front of the admission decisions: the daemon over its frame
// protocol, the library in process, and its middleware. A case is a seeded list of requests. The counts of outcomes must be
// the same at every front, but for requests whose outcome depends on exact timing.
//
// The fronts that are made of the library stand in cmd/quartzpoint-bench/fronts, as no package under internal imports the
// root package.
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
	Route       int           // index in Routes
	Work        time.Duration // time that its run takes, whatever else runs
	Fails       bool          // its run ends with an error
	CancelAfter time.Duration // after which its caller cancels; 0 for never
	Key         string        // idempotency key, empty for none
}

// Outcome is what the caller of a request saw.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Aborted
	Canceled // by the caller
	Unanswered
)

// FrontEnd is a way in which requests reach the admission decisions.
type FrontEnd interface {
	// Do sends a request and returns what its caller sees. It may be called from several goroutines.
	Do(ctx context.Context, r Request) Outcome
	// Shutdown shuts the front down gracefully, and returns after its end.
	Shutdown() error
	// Effects returns the number of runs, and of runs of a key after its first.
	Effects() (runs, repeated int)
	// Close ends the front and releases what it holds.
	Close()
}

// Case is a list of requests.
type Case struct {
	Name       string
	Requests   []Request
	ShutdownAt time.Duration // since the start of the case; 0 for never
	NeedsKeys  bool          // for fronts that carry idempotency keys
}

// Cores is the number of cores of every front.
const Cores = 2

// Routes returns the routes of every front; keyed adds the route whose requests have idempotency keys.
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

// Cases returns the suite for a seed.
func Cases(seed int64) []Case {
	rng := rand.New(rand.NewSource(seed))
	row := func(n int, each func(i int) Request) (requests []Request) {
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
		{Name: "overload", Requests: poisson(1.5*Cores/0.0585, 2500*ms, mixed)},
		{Name: "runs past their time", Requests: row(4, func(i int) Request {
			return Request{At: time.Duration(i) * 700 * ms, Work: 900 * ms, Route: i % 2}
		})},
		{Name: "broken runs", Requests: row(12, func(i int) Request {
			return Request{At: time.Duration(i) * 60 * ms, Work: 20 * ms, Fails: i%3 == 1}
		})},
		{Name: "callers gone", Requests: row(12, func(i int) Request {
			r := Request{At: time.Duration(i) * 150 * ms, Work: 100 * ms}
			if i%2 == 1 {
				r.CancelAfter = 40 * ms
			}
			return r
		})},
		{Name: "repeats", NeedsKeys: true, Requests: row(30, func(i int) Request {
			return Request{At: time.Duration(i/10) * 100 * ms, Route: 2, Work: 50 * ms, Key: fmt.Sprint(seed, i%5)}
		})},
		{Name: "notice to leave", ShutdownAt: 300 * ms, Requests: row(16, func(i int) Request {
			return Request{At: time.Duration(i) * 30 * ms, Work: 60 * ms}
		})},
	}
}

// Counts are the counts of one case at one front.
type Counts struct {
	Requests        int
	Outcomes        [Unanswered + 1]int
	Runs            int
	RepeatedEffects int // runs of a key after its first
	LateAnswers     int // after the deadline and lateSlack
	ShutdownClean   bool
}

// lateSlack is the time after the deadline within which an answer is in time.
const lateSlack = 100 * time.Millisecond

// Run runs a case at a front.
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
			if r.CancelAfter > 0 { // not by a deadline, as fronts that know of one plan by it
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
	n.Runs, n.RepeatedEffects = f.Effects()
	return n, nil
}
