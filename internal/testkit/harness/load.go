package harness

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/emulator"
)

// These types are the models of the emulator, which runs them in simulated time.
type (
	// Route is a kind of request, with its value, its deadline and the work that it needs.
	Route = emulator.Route
	// Arrival is one request of a load.
	Arrival = emulator.Arrival
	// Machine describes the machine of a worker pool.
	Machine = emulator.Machine
)

// BookingRoutes returns the routes of the booking mix.
func BookingRoutes() []Route { return emulator.BookingRoutes() }

// Arrivals draws a load of rate requests per second over span. The same seed gives the same load.
func Arrivals(routes []Route, rate float64, span time.Duration, seed int64) []Arrival {
	return emulator.Arrivals(routes, rate, span, seed)
}

// Rate returns the number of requests per second whose work uses the given share of a machine's capacity.
func Rate(routes []Route, m Machine, share float64) float64 { return emulator.Rate(routes, m, share) }

// Run sends a load to a server as the router sourceID, and waits until every request is answered or past its deadline.
// Requests for which all connections were full count as unanswered.
func Run(address string, routes []Route, load []Arrival, sourceID int) (Result, error) {
	r := &router{
		address: address, routes: routes, sourceID: sourceID, result: Result{Codes: map[byte]int{}, GoodputByRoute: make([]float64, len(routes))},
		answered: make(chan struct{}, 1),
	}
	defer r.close()
	begin := time.Now()
	r.result.begin = begin
	ids := rand.New(rand.NewSource(int64(sourceID)<<32 + begin.UnixNano()))
	last := begin
	for n := range load {
		time.Sleep(time.Until(begin.Add(load[n].At)))
		p := &pendingRequest{arrival: &load[n], sentAt: time.Now()}
		route := routes[load[n].Route]
		if route.AtMostOnce {
			p.effect = uint64(n) + 1
		}
		last = p.sentAt.Add(route.Deadline)
		r.result.Requests++
		r.result.OfferedValue += route.Value
		id := fmt.Sprintf("%016x", ids.Uint64())
		if err := r.send(p, id); err != nil { // the connection was closed while the request was written: the second attempt uses another connection
			if err := r.send(p, id); err != nil {
				return r.result, fmt.Errorf("router: %w", err)
			}
		}
	}
	r.waitAnswered(last.Add(time.Second))
	return r.finalResult(), nil
}

// waitAnswered waits until no request is open, at most until a time.
func (r *router) waitAnswered(until time.Time) {
	for end := time.After(time.Until(until)); r.openRequests() > 0; {
		select {
		case <-r.answered:
		case <-end:
			return
		}
	}
}

// finalResult returns a copy of the result, which later answers do not change.
func (r *router) finalResult() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unanswered = r.result.Requests
	for _, n := range r.result.Codes {
		r.result.Unanswered -= n
	}
	slices.Sort(r.result.Latencies)
	final := r.result
	final.Codes = maps.Clone(final.Codes) // the readers may still receive duplicate answers
	final.attempts = slices.Clone(final.attempts)
	return final
}
