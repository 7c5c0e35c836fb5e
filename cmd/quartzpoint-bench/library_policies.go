package main

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/time/rate"

	"quartzpoint"
	"quartzpoint/internal/testkit/harness"
)

// The names of the compared policies.
const (
	gatePolicy        = "gate" // the library
	noPolicy          = "none" // admits everything
	semaphorePolicy   = "semaphore"
	tokenBucketPolicy = "token bucket"
)

// comparedPolicies lists the policies in the order of the table.
var comparedPolicies = []string{gatePolicy, noPolicy, semaphorePolicy, tokenBucketPolicy}

// errRejected is returned by a baseline policy for a request that it does not run.
var errRejected = errors.New("rejected")

// admissionPolicy runs a request, or rejects it with an error. It is safe for concurrent use.
type admissionPolicy func(ctx context.Context, route *harness.Route, run func(context.Context) error) error

// newPolicy returns a policy in its initial state, and the function that shuts it down. capacity is the rate of
// requests a second that uses the cores fully.
func newPolicy(name string, routes []harness.Route, cores *harness.Cores, capacity float64) (policy admissionPolicy, shutdown func(), err error) {
	nothing := func() {}
	switch name {
	case gatePolicy:
		return newGate(routes, cores)
	case noPolicy:
		return admitAll, nothing, nil
	case semaphorePolicy:
		return newSemaphore(2 * overloadCores), nothing, nil
	case tokenBucketPolicy:
		return newTokenBucket(capacity), nothing, nil
	default:
		return nil, nil, fmt.Errorf("unknown policy %q", name)
	}
}

// newGate returns the library as a policy. The load of the emulated cores is its gauges.
func newGate(routes []harness.Route, cores *harness.Cores) (policy admissionPolicy, shutdown func(), err error) {
	options := quartzpoint.Options{Cores: overloadCores, MemoryMB: 256, Gauges: func(int) quartzpoint.Gauges {
		busy, running := cores.Load()
		return quartzpoint.Gauges{CPU: busy, Runnable: running}
	}}
	for _, r := range routes {
		options.Routes = append(options.Routes, quartzpoint.Route{Name: r.Name, Value: r.Value, LatencyTarget: r.LatencyTarget, Deadline: r.Deadline})
	}
	gate, err := quartzpoint.New(options)
	if err != nil {
		return nil, nil, fmt.Errorf("start a gate: %w", err)
	}
	policy = func(ctx context.Context, route *harness.Route, run func(context.Context) error) error {
		return gate.Do(ctx, quartzpoint.Request{Route: route.Name}, run)
	}
	return policy, func() { _ = gate.Shutdown(context.Background()) }, nil
}

func admitAll(ctx context.Context, _ *harness.Route, run func(context.Context) error) error {
	return run(ctx)
}

// newSemaphore returns a policy that runs up to limit requests at once. Others wait for a slot until their deadline.
func newSemaphore(limit int) admissionPolicy {
	slots := make(chan struct{}, limit)
	return func(ctx context.Context, _ *harness.Route, run func(context.Context) error) error {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			return run(ctx)
		case <-ctx.Done():
			return errRejected
		}
	}
}

// newTokenBucket returns a policy that admits perSecond requests a second, and bursts of a quarter of a second's
// requests.
func newTokenBucket(perSecond float64) admissionPolicy {
	bucket := rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
	return func(ctx context.Context, _ *harness.Route, run func(context.Context) error) error {
		if !bucket.Allow() {
			return errRejected
		}
		return run(ctx)
	}
}
