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

// Ask is one task of a case.
type Ask struct {
	At     time.Duration
	Type   int
	Works  time.Duration // that its run takes, whatever else runs
	Breaks bool          // its run ends broken
	Gone   time.Duration // after which its caller leaves; 0 for one that waits
	Number string        // of a numbered one
	Left   time.Duration // that its caller waits; 0: its type's
}

// Outcome is what the caller saw.
type Outcome int

// The outcomes.
const (
	Honoured Outcome = iota
	Dismissed
	GivenUp
	Left // the caller went first
	Missing
)

// Front is a way in. Do gives what a caller sees of one ask, and must be safe to be called side by side.
type Front interface {
	Do(ctx context.Context, a Ask) Outcome
	// Leave begins the drain and returns once it is over.
	Leave() error
	// Effects counts runs, and runs of one number beside its first.
	Effects() (runs, twice int)
	Close()
}

// Case is a row of asks; Leaves is when the notice to leave comes, 0 for never.
type Case struct {
	Name    string
	Asks    []Ask
	Leaves  time.Duration
	Numbers bool // it needs a front that carries numbers
}

// Cores are those of every front in the suite.
const Cores = 2

// Types are those of every front in the suite.
func Types(numbers bool) []harness.Route {
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
	row := func(n int, each func(i int) Ask) (asks []Ask) {
		for i := range n {
			asks = append(asks, each(i))
		}
		return asks
	}
	ms := time.Millisecond
	poisson := func(rate float64, span time.Duration, kind func() Ask) (asks []Ask) {
		for at := 0.0; at < span.Seconds(); at += rng.ExpFloat64() / rate {
			a := kind()
			a.At = time.Duration(at * float64(time.Second))
			asks = append(asks, a)
		}
		return asks
	}
	mixed := func() Ask {
		if rng.Intn(4) == 0 {
			return Ask{Type: 1, Works: 80*ms + time.Duration(rng.Intn(40))*ms}
		}
		return Ask{Works: 30*ms + time.Duration(rng.Intn(30))*ms}
	}
	return []Case{
		{Name: "calm", Asks: poisson(12, 1500*ms, mixed)},
		{Name: "overload", Asks: poisson(1.5*Cores/0.0585, 2500*ms, mixed)},
		{Name: "runs past their time", Asks: row(4, func(i int) Ask {
			return Ask{At: time.Duration(i) * 700 * ms, Works: 900 * ms, Type: i % 2}
		})},
		{Name: "broken runs", Asks: row(12, func(i int) Ask {
			return Ask{At: time.Duration(i) * 60 * ms, Works: 20 * ms, Breaks: i%3 == 1}
		})},
		{Name: "callers gone", Asks: row(12, func(i int) Ask {
			a := Ask{At: time.Duration(i) * 150 * ms, Works: 100 * ms}
			if i%2 == 1 {
				a.Gone = 40 * ms
			}
			return a
		})},
		{Name: "repeats", Numbers: true, Asks: row(30, func(i int) Ask {
			return Ask{At: time.Duration(i/10) * 100 * ms, Type: 2, Works: 50 * ms, Number: fmt.Sprint(seed, i%5)}
		})},
		{Name: "notice to leave", Leaves: 300 * ms, Asks: row(16, func(i int) Ask {
			return Ask{At: time.Duration(i) * 30 * ms, Works: 60 * ms}
		})},
	}
}

// Counts is what came of a case.
type Counts struct {
	Asks      int
	Outcomes  [Missing + 1]int
	Runs      int
	Twice     int // effects run twice
	Late      int // answers past the outer limit
	LeftClean bool
}

// Run plays a case on a front.
func Run(f Front, c Case) (n Counts, err error) {
	types := Types(c.Numbers)
	began := time.Now()
	n.Asks = len(c.Asks)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, a := range c.Asks {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Until(began.Add(a.At)))
			limit := types[a.Type].Deadline
			ctx, cancel := context.WithTimeout(context.Background(), limit+time.Second)
			if a.Gone > 0 { // not by a deadline: fronts that are told of one plan by it
				timer := time.AfterFunc(a.Gone, cancel)
				defer timer.Stop()
			}
			defer cancel()
			asked := time.Now()
			got := f.Do(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			n.Outcomes[got]++
			if a.Gone == 0 && time.Since(asked) > limit+100*time.Millisecond {
				n.Late++
			}
		}()
	}
	if c.Leaves > 0 {
		time.Sleep(time.Until(began.Add(c.Leaves)))
		if err := f.Leave(); err != nil {
			return n, fmt.Errorf("%s: leaving: %w", c.Name, err)
		}
		n.LeftClean = true
	}
	all.Wait()
	n.Runs, n.Twice = f.Effects()
	return n, nil
}
