package fronts

import (
	"context"
	"errors"
	"time"

	"quartzpoint"
	"quartzpoint/internal/testkit/conformance"
)

// newGate returns a gate for the routes of the cases. Its gauges are those that the daemon gets from its worker pool:
// the number of runs, which only sleep. The load of the process is not used, as it includes that of other gates.
func newGate() (*quartzpoint.Gate, error) {
	options := quartzpoint.Options{Cores: conformance.Cores, MemoryMB: 1 << 10, Grace: 400 * time.Millisecond, Seed: 1}
	options.Gauges = func(running int) quartzpoint.Gauges { return quartzpoint.Gauges{Runnable: float64(running)} }
	for _, definition := range conformance.Routes(true) {
		route := quartzpoint.Route{Name: definition.Name, Value: definition.Value, LatencyTarget: definition.LatencyTarget, Deadline: definition.Deadline}
		if definition.AtMostOnce {
			route.Idempotency = quartzpoint.AtMostOnce
		}
		if definition.Name == "deposit" {
			route.Idempotency = quartzpoint.Keyed
		}
		options.Routes = append(options.Routes, route)
	}
	return quartzpoint.New(options)
}

// libraryFrontEnd is a gate in process.
type libraryFrontEnd struct {
	runCounter
	gate *quartzpoint.Gate
}

// NewLibrary starts the library as a front end.
func NewLibrary() (conformance.FrontEnd, error) {
	g, err := newGate()
	if err != nil {
		return nil, err
	}
	return &libraryFrontEnd{runCounter{seenKeys: map[string]bool{}}, g}, nil
}

// Do implements conformance.FrontEnd.
func (l *libraryFrontEnd) Do(ctx context.Context, r conformance.Request) conformance.Outcome {
	_, err := l.gate.DoOnce(ctx, quartzpoint.Request{Route: conformance.Routes(true)[r.Route].Name, IdempotencyKey: r.Key},
		func(context.Context) ([]byte, error) { return nil, l.run(r) })
	return outcome(err)
}

func outcome(err error) conformance.Outcome {
	var rejected *quartzpoint.RejectedError
	switch {
	case err == nil:
		return conformance.Served
	case errors.As(err, &rejected), errors.Is(err, quartzpoint.ErrShutDown):
		return conformance.Rejected
	case errors.Is(err, quartzpoint.ErrAborted), errors.Is(err, errRunFailed):
		return conformance.Aborted
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return conformance.Canceled
	}
	return conformance.Unanswered
}

const shutdownTimeout = 1500 * time.Millisecond

func shutdownGate(g *quartzpoint.Gate) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return g.Shutdown(ctx)
}

// Shutdown implements conformance.FrontEnd.
func (l *libraryFrontEnd) Shutdown() error { return shutdownGate(l.gate) }

// Close implements conformance.FrontEnd.
func (l *libraryFrontEnd) Close() { _ = shutdownGate(l.gate) } // a second shutdown reports no new error
