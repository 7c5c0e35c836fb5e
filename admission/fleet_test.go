package admission

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// sender is a server of a fleet whose requests all call one dependency.
type sender struct {
	*fixture
	took        time.Duration // duration of a call
	calls       map[*Request]Completion
	callsMadeAt []time.Duration
}

func (s *sender) Call(request *Request, timeout time.Duration) {
	s.callsMadeAt = append(s.callsMadeAt, s.at)
	s.calls[request] = Completion{Request: request, Outcome: Succeeded, Took: s.took}
	if timeout < s.took {
		s.calls[request] = Completion{Request: request, Outcome: Unknown, Took: timeout}
	}
}

// step advances by one tick; busy keeps a request waiting for its call.
func (s *sender) step(busy bool) {
	s.at += tickInterval
	r := Round{Gauges: &Gauges{CPU: 0.3}}
	for _, request := range s.active {
		if e, made := s.calls[request]; made && request.calledAt+e.Took <= s.at {
			delete(s.calls, request)
			r.CallsEnded = append(r.CallsEnded, e)
			if e.Outcome == Succeeded {
				r.RunsEnded = append(r.RunsEnded, e)
			}
		}
	}
	if busy && len(s.active)-len(r.RunsEnded) <= len(s.calls) {
		r.Arrived = append(r.Arrived, s.request("x", 0))
	}
	r.Now = s.at
	s.Decide(&r, s)
	r = Round{Now: s.at}
	for _, request := range s.active {
		if request.phase == running {
			r.AwaitingCall = append(r.AwaitingCall, request)
		}
	}
	s.Decide(&r, s)
}

// The calls of all servers together stay within the dependency's budget of N calls per window, except for random
// variation. This holds for any number of servers, both when all start at once with requests waiting and when a burst
// arrives after all were idle. One call of each server at the same time, with hundreds of servers, was more than the
// dependency survives.
func TestCallsOfAFleetKeepToOneBudget(t *testing.T) {
	const budget = 10.0 // mean number of calls in progress
	window := 5 * time.Second
	for _, n := range []int{1, 8, 30, 350} {
		for _, took := range []time.Duration{100 * ms, 500 * ms, 1500 * ms} {
			for _, idleBefore := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d servers, %v a call, idle before %t", n, took, idleBefore), func(t *testing.T) {
					random := rand.New(rand.NewSource(int64(n)))
					var fleet []*sender
					for range n {
						b := &fixture{names: map[*Request]string{}, at: time.Second}
						b.Controller = New(testSettings(func(s *Settings) {
							s.Cold, s.CallQuota, s.CallWindow = true, budget/float64(n), window
							s.Routes[0].SkipValueShare, s.Routes[0].LateValueShare = 0, 0.5
							s.Routes[0].LatencyTarget, s.Routes[0].Deadline = 3*time.Second, 20*time.Second
						}), random.Int63())
						fleet = append(fleet, &sender{fixture: b, took: took, calls: map[*Request]Completion{}})
					}
					span, quiet := 40*time.Second, time.Duration(0)
					if idleBefore {
						quiet = 45 * time.Second // with few requests in its first half, so that all servers have measured the duration of a call
					}
					var callsMadeAt []time.Duration
					for _, s := range fleet {
						s.Decide(&Round{Now: s.at}, s)
						for at := time.Duration(0); at < quiet+span; at += tickInterval {
							s.step(at >= quiet || at < quiet/2 && random.Intn(100) == 0)
						}
						callsMadeAt = append(callsMadeAt, s.callsMadeAt...)
					}
					calls := budget * window.Seconds() / took.Seconds()
					bound := calls + 2*math.Sqrt(calls) + 2
					highest := 0
					for begin := time.Second; begin < time.Second+quiet+span; begin += tickInterval {
						count := 0
						for _, at := range callsMadeAt {
							if at >= begin && at < begin+window {
								count++
							}
						}
						highest = max(highest, count)
					}
					assert.LessOrEqual(t, float64(highest), bound, "N is %.0f", calls)
					late := 0
					for _, at := range callsMadeAt {
						if at >= time.Second+quiet+span/2 {
							late++
						}
					}
					rate := float64(late) / (span / 2).Seconds() * took.Seconds()
					if took < time.Duration(budget/float64(n)*plannedShare*float64(window))-200*ms { // a call takes no longer than one server's quota covers
						assert.Greater(t, rate, budget*initialCallShare/2, "the budget is used: mean number of calls in progress")
					}
				})
			}
		}
	}
}
