// Package conformance is one suite of scripted cases for every way into the decisions: the daemon over its frames,
// the library in process, and middleware. Each case is a seeded row of asks; what becomes of them is counted, and must
// be the same everywhere, up to what the moments of reading decide.
package conformance

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"quartzpoint/internal/testkit/harness"
)

// Request is one task of a case.
type Request struct {
	At          time.Duration
	Route       int
	Work        time.Duration // that its run takes, whatever else runs
	Fails       bool          // its run ends broken
	CancelAfter time.Duration // after which its caller leaves; 0 for one that waits
	Key         string        // of a numbered one
	Left        time.Duration // that its caller waits; 0: its type's
}

// Outcome is what the caller saw.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Aborted
	Canceled // the caller went first
	Unanswered
)

// Front is a way in. Do gives what a caller sees of one ask, and must be safe to be called side by side.
type Front interface {
	Do(ctx context.Context, a Request) Outcome
	// Leave begins the drain and returns once it is over.
	Shutdown() error
	// Effects counts runs, and runs of one number beside its first.
	Effects() (runs, twice int)
	Close()
}

// Case is a row of asks; Leaves is when the notice to leave comes, 0 for never.
type Case struct {
	Name       string
	Requests   []Request
	ShutdownAt time.Duration
	NeedsKeys  bool // it needs a front that carries numbers
}

// Cores are those of every front in the suite.
const Cores = 2

// Routes are those of every front in the suite.
func Routes(numbers bool) []harness.Route {
	types := []harness.Route{
		{Name: "slot-check", Value: 1, LatencyTarget: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		{Name: "confirm-booking", Value: 4, LatencyTarget: time.Second, Deadline: 2 * time.Second, AtMostOnce: true},
	}
	if numbers {
		types = append(types, harness.Route{Name: "deposit", Value: 4, LatencyTarget: 2 * time.Second, Deadline: 3 * time.Second})
	}
	return types
}

// Cases are the suite for a seed.
func Cases(seed int64) []Case {
	rng := rand.New(rand.NewSource(seed))
	row := func(n int, each func(i int) Request) (asks []Request) {
		for i := range n {
			asks = append(asks, each(i))
		}
		return asks
	}
	ms := time.Millisecond
	poisson := func(rate float64, span time.Duration, kind func() Request) (asks []Request) {
		for at := 0.0; at < span.Seconds(); at += rng.ExpFloat64() / rate {
			a := kind()
			a.At = time.Duration(at * float64(time.Second))
			asks = append(asks, a)
		}
		return asks
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
			a := Request{At: time.Duration(i) * 150 * ms, Work: 100 * ms}
			if i%2 == 1 {
				a.CancelAfter = 40 * ms
			}
			return a
		})},
		{Name: "repeats", NeedsKeys: true, Requests: row(30, func(i int) Request {
			return Request{At: time.Duration(i/10) * 100 * ms, Route: 2, Work: 50 * ms, Key: fmt.Sprint(seed, i%5)}
		})},
		{Name: "notice to leave", ShutdownAt: 300 * ms, Requests: row(16, func(i int) Request {
			return Request{At: time.Duration(i) * 30 * ms, Work: 60 * ms}
		})},
	}
}

// Counts is what came of a case.
type Counts struct {
	Requests        int
	Outcomes        [Unanswered + 1]int
	Runs            int
	RepeatedEffects int // effects run twice
	LateAnswers     int // answers past the outer limit
	ShutdownClean   bool
}

// Run plays a case on a front.
func Run(f Front, c Case) (n Counts, err error) {
	types := Routes(c.NeedsKeys)
	began := time.Now()
	n.Requests = len(c.Requests)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, a := range c.Requests {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Until(began.Add(a.At)))
			limit := types[a.Route].Deadline
			ctx, cancel := context.WithTimeout(context.Background(), limit+time.Second)
			if a.CancelAfter > 0 { // not by a deadline: fronts that are told of one plan by it
				timer := time.AfterFunc(a.CancelAfter, cancel)
				defer timer.Stop()
			}
			defer cancel()
			asked := time.Now()
			got := f.Do(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			n.Outcomes[got]++
			if a.CancelAfter == 0 && time.Since(asked) > limit+100*time.Millisecond {
				n.LateAnswers++
			}
		}()
	}
	if c.ShutdownAt > 0 {
		time.Sleep(time.Until(began.Add(c.ShutdownAt)))
		if err := f.Shutdown(); err != nil {
			return n, fmt.Errorf("%s: leaving: %w", c.Name, err)
		}
		n.ShutdownClean = true
	}
	all.Wait()
	n.Runs, n.RepeatedEffects = f.Effects()
	return n, nil
}
