package budget

import "time"

// State is a snapshot of a dependency's state for operators.
type State struct {
	Name              string     `json:"name"`
	Limit             float64    `json:"limit"` // concurrent calls
	MaxInFlight       int        `json:"share"` // upper bound of Limit
	InFlight          int        `json:"in_flight"`
	CancelledInFlight int        `json:"lingering"` // cancelled calls that still use a slot
	Queued            int        `json:"waiting"`
	Breaker           string     `json:"breaker"`
	Degraded          bool       `json:"degraded"`
	FirstAttempts     int        `json:"first_attempts"`         // since the start, as are the counts below
	ExtraAttempts     int        `json:"second_attempts"`        // retries and hedged requests
	RetryTokens       float64    `json:"second_attempts_earned"` // currently available
	LateResponses     int        `json:"late_answers"`           // to cancelled calls
	BreakerOpened     int        `json:"breaker_opened"`
	QuantilesInMillis [3]float64 `json:"p50_p95_p99_ms"` // of successful calls in the current window
}

// State returns a snapshot of the dependency's state.
func (d *Dependency) State(now time.Duration) State {
	s := State{
		Name: d.options.Name, Limit: d.limit, MaxInFlight: d.options.MaxInFlight, InFlight: d.inFlight,
		CancelledInFlight: len(d.cancelledUntil), Queued: len(d.queue), Breaker: d.breaker.String(), Degraded: d.Degraded(now),
		FirstAttempts: d.FirstAttempts, ExtraAttempts: d.ExtraAttempts, RetryTokens: d.retryTokens,
		LateResponses: d.LateResponses, BreakerOpened: d.BreakerOpened,
	}
	for i, percentile := range []float64{50, 95, 99} {
		s.QuantilesInMillis[i] = float64(d.latencies.ValueAtPercentile(percentile)) / 1000
	}
	return s
}
