// Package baseline implements admission policies that the project's decisions are compared with. The daemon does not
// use them. All of them queue requests in order of arrival, answer requests before their deadlines and shut down
// gracefully. They differ in how many requests run at once and in which they reject.
package baseline

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/admission"
	"quartzpoint/emulator"
)

const (
	shutdownGrace  = 400 * time.Millisecond // after the notice to shut down; arrivals are queued until then
	tick           = 25 * time.Millisecond
	deadlineMargin = 2 * tick // a request is answered this long before its deadline
	queueFactor    = 4.0      // queue length beyond which arrivals are rejected, as a multiple of the limit
)

// limiter is the part that differs between baselines.
type limiter interface {
	// admit reports whether an arrival may be queued.
	admit(now time.Duration) bool
	// limit returns the number of requests that may run at once.
	limit() float64
	// shed reports whether the first request of the queue is rejected instead of started. waited is how long it has been
	// queued.
	shed(now, waited time.Duration) bool
	// recordRun records the end of a run and the number of runs at that time, this one included.
	recordRun(now, took time.Duration, running int, failed bool)
	// recordGauges records the gauges, once per tick.
	recordGauges(now time.Duration, g admission.Gauges)
}

// noopLimiter implements all methods of limiter except limit, without effect. Limiters embed it.
type noopLimiter struct{}

func (noopLimiter) admit(time.Duration) bool                          { return true }
func (noopLimiter) shed(_, _ time.Duration) bool                      { return false }
func (noopLimiter) recordRun(time.Duration, time.Duration, int, bool) {}
func (noopLimiter) recordGauges(time.Duration, admission.Gauges)      {}

type state int

const (
	queued state = iota
	running
	calling
	stopping // answered, but its run has not ended
)

type trackedRequest struct {
	request  *admission.Request
	state    state
	queuedAt time.Duration
	deadline time.Duration // of the request, less deadlineMargin
}

// server is an emulator.Policy that decides by a limiter.
type server struct {
	limiter
	queue      []*trackedRequest // in order of arrival
	requests   map[*admission.Request]*trackedRequest
	active     []*trackedRequest // started but not ended, in order of start
	started    bool
	stopAt     time.Duration // limit of the shutdown; 0 before the notice to shut down
	notifiedAt time.Duration
}

func policyMaker(newLimiter func(m emulator.Machine, routes []emulator.Route, rng *rand.Rand) limiter) emulator.PolicyMaker {
	return func(routes []emulator.Route, m emulator.Machine, _ float64, seed int64) (emulator.Policy, []*admission.Route) {
		var admissionRoutes []*admission.Route
		for _, route := range routes {
			admissionRoute := &admission.Route{
				Value: route.Value, LatencyTarget: route.LatencyTarget, Deadline: route.Deadline, CallsDependency: route.Dependency != "", SkipValueShare: route.SkipValueShare,
			}
			if route.AtMostOnce {
				admissionRoute.Idempotency = admission.AtMostOnce
			}
			admissionRoutes = append(admissionRoutes, admissionRoute)
		}
		return &server{limiter: newLimiter(m, routes, rand.New(rand.NewSource(seed))), requests: map[*admission.Request]*trackedRequest{}}, admissionRoutes
	}
}

// Names returns the names of the baselines, in the order of tables.
func Names() []string {
	return []string{"no-limit", "fixed", "token-bucket", "codel", "gradient2", "vegas", "aimd"}
}

// PolicyByName returns a baseline, or the project's own decisions for "quartzpoint". It rejects other names.
func PolicyByName(name string) (emulator.PolicyMaker, error) {
	switch name {
	case "quartzpoint":
		return emulator.QuartzpointPolicy, nil
	case "no-limit":
		return policyMaker(newNoLimit), nil
	case "fixed":
		return policyMaker(newFixed), nil
	case "token-bucket":
		return policyMaker(newTokenBucket), nil
	case "codel":
		return policyMaker(newCoDel), nil
	case "gradient2":
		return policyMaker(newGradient2), nil
	case "vegas":
		return policyMaker(newVegas), nil
	case "aimd":
		return policyMaker(newAIMD), nil
	}
	return nil, fmt.Errorf("policy %q: want quartzpoint or one of %v", name, Names())
}

// Decide implements emulator.Policy.
func (s *server) Decide(r *admission.Round, executor admission.Executor) {
	if !s.started {
		s.started = true
		executor.SetHealth(true, true)
		executor.WakeAfter(tick)
	}
	if r.StopAt > 0 && s.stopAt == 0 {
		s.stopAt, s.notifiedAt = r.StopAt, r.Now
	}
	for _, e := range r.CallsEnded {
		s.callEnded(e, executor)
	}
	for _, request := range r.AwaitingCall {
		if tracked := s.requests[request]; tracked != nil && tracked.state == running {
			tracked.state = calling
			executor.Call(request, max(tracked.deadline-r.Now, 1))
		}
	}
	for _, e := range r.RunsEnded {
		if tracked := s.requests[e.Request]; tracked != nil {
			s.recordRun(r.Now, e.Took, len(s.active), e.Outcome != admission.Succeeded)
			s.remove(tracked)
		}
	}
	for _, request := range r.Canceled {
		if tracked := s.requests[request]; tracked != nil && tracked.state == queued {
			s.remove(tracked)
		}
	}
	for _, request := range r.Arrived {
		s.arrive(request, r.Now, executor)
	}
	if r.Gauges != nil {
		s.recordGauges(r.Now, *r.Gauges)
		executor.WakeAfter(tick)
	}
	s.expire(r.Now, executor)
	for len(s.queue) > 0 && float64(len(s.active)) < max(s.limit(), 1) {
		tracked := s.queue[0]
		if s.shed(r.Now, r.Now-tracked.queuedAt) {
			s.reject(tracked, executor)
			continue
		}
		s.queue = s.queue[1:]
		s.active = append(s.active, tracked)
		tracked.state = running
		executor.Start(tracked.request)
	}
}

func (s *server) arrive(request *admission.Request, now time.Duration, executor admission.Executor) {
	tracked := &trackedRequest{request: request, queuedAt: now, deadline: request.Deadline - deadlineMargin}
	s.requests[request] = tracked
	s.queue = append(s.queue, tracked)
	afterGrace := s.stopAt > 0 && now > s.notifiedAt+shutdownGrace
	if afterGrace || !s.admit(now) || float64(len(s.queue)) > queueFactor*max(s.limit(), 1) {
		s.reject(tracked, executor)
	}
}

func (s *server) reject(tracked *trackedRequest, executor admission.Executor) {
	s.remove(tracked)
	executor.Reject(tracked.request, 0, false)
}

func (s *server) remove(tracked *trackedRequest) {
	same := func(o *trackedRequest) bool { return o == tracked }
	if tracked.state == queued {
		s.queue = slices.DeleteFunc(s.queue, same)
	} else {
		s.active = slices.DeleteFunc(s.active, same)
	}
	delete(s.requests, tracked.request)
}

// expire rejects queued requests and aborts running ones deadlineMargin before their deadline or before the end of the
// shutdown.
func (s *server) expire(now time.Duration, executor admission.Executor) {
	expired := func(tracked *trackedRequest) bool {
		return now >= tracked.deadline || s.stopAt > 0 && now >= s.stopAt-deadlineMargin
	}
	for _, tracked := range slices.Clone(s.queue) {
		if expired(tracked) {
			s.reject(tracked, executor)
		}
	}
	for _, tracked := range slices.Clone(s.active) {
		if tracked.state != stopping && expired(tracked) {
			s.abort(tracked, executor)
		}
	}
}

func (s *server) abort(tracked *trackedRequest, executor admission.Executor) {
	tracked.state = stopping
	executor.Abort(tracked.request)
	executor.Pause(tracked.request)
}

func (s *server) callEnded(e admission.Completion, executor admission.Executor) {
	tracked := s.requests[e.Request]
	switch {
	case tracked == nil || tracked.state != calling:
	case e.Outcome == admission.Succeeded:
		tracked.state = running
	case tracked.request.Route.SkipValueShare > 0:
		tracked.state = running
		executor.SkipCall(tracked.request)
	default:
		s.abort(tracked, executor)
	}
}
