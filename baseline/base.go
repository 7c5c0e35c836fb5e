// Package baseline implements admission policies that the project's decisions are compared with. The daemon does not
// use them. All queue requests in order of arrival, answer requests at their deadlines and shut down gracefully. They
// differ in how many requests run at once and in which they reject.
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
	shutdownGrace  = 400 * time.Millisecond // after the notification; arrivals are queued until then
	tick           = 25 * time.Millisecond
	deadlineMargin = 2 * tick // before the deadline; a request is answered by then
	queueFactor    = 4.0      // queue length beyond which arrivals are rejected, as a multiple of the limit
)

// limiter is the part that differs between baselines.
type limiter interface {
	// admit reports whether an arrival may be queued.
	admit(now time.Duration) bool
	// limit returns the number of requests that may run at once.
	limit() float64
	// shed reports whether the first request of the queue, which has waited for waited, is rejected instead of started.
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
	since    time.Duration
	deadline time.Duration
}

// server is an emulator.Policy that decides by a limiter.
type server struct {
	limiter
	queue      []*trackedRequest // in order of arrival
	requests   map[*admission.Request]*trackedRequest
	active     []*trackedRequest // started but not ended, in order of start
	started    bool
	stopAt     time.Duration
	notifiedAt time.Duration
}

func maker(newLimiter func(m emulator.Machine, types []emulator.Route, rng *rand.Rand) limiter) emulator.PolicyMaker {
	return func(types []emulator.Route, m emulator.Machine, _ float64, seed int64) (emulator.Policy, []*admission.Route) {
		var kinds []*admission.Route
		for _, t := range types {
			kind := &admission.Route{
				Value: t.Value, LatencyTarget: t.LatencyTarget, Deadline: t.Deadline, CallsDependency: t.Dependency != "", SkipValueShare: t.SkipValueShare,
			}
			if t.AtMostOnce {
				kind.Idempotency = admission.AtMostOnce
			}
			kinds = append(kinds, kind)
		}
		return &server{limiter: newLimiter(m, types, rand.New(rand.NewSource(seed))), requests: map[*admission.Request]*trackedRequest{}}, kinds
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
		return maker(newNoLimit), nil
	case "fixed":
		return maker(newFixed), nil
	case "token-bucket":
		return maker(newTokenBucket), nil
	case "codel":
		return maker(newCoDel), nil
	case "gradient2":
		return maker(newGradient2), nil
	case "vegas":
		return maker(newVegas), nil
	case "aimd":
		return maker(newAIMD), nil
	}
	return nil, fmt.Errorf("policy %q: want quartzpoint or one of %v", name, Names())
}

// Decide implements emulator.Policy.
func (s *server) Decide(r *admission.Round, w admission.Executor) {
	if !s.started {
		s.started = true
		w.SetHealth(true, true)
		w.WakeAfter(tick)
	}
	if r.StopAt > 0 && s.stopAt == 0 {
		s.stopAt, s.notifiedAt = r.StopAt, r.Now
	}
	for _, e := range r.CallsEnded {
		s.callEnded(e, w)
	}
	for _, request := range r.AwaitingCall {
		if k := s.requests[request]; k != nil && k.state == running {
			k.state = calling
			w.Call(request, max(k.deadline-r.Now, 1))
		}
	}
	for _, e := range r.RunsEnded {
		if k := s.requests[e.Request]; k != nil {
			s.recordRun(r.Now, e.Took, len(s.active), e.Outcome != admission.Succeeded)
			s.remove(k)
		}
	}
	for _, request := range r.Canceled {
		if k := s.requests[request]; k != nil && k.state == queued {
			s.remove(k)
		}
	}
	for _, request := range r.Arrived {
		s.arrived(request, r.Now, w)
	}
	if r.Gauges != nil {
		s.recordGauges(r.Now, *r.Gauges)
		w.WakeAfter(tick)
	}
	s.expire(r.Now, w)
	for len(s.queue) > 0 && float64(len(s.active)) < max(s.limit(), 1) {
		k := s.queue[0]
		if s.shed(r.Now, r.Now-k.since) {
			s.reject(k, w)
			continue
		}
		s.queue = s.queue[1:]
		s.active = append(s.active, k)
		k.state = running
		w.Start(k.request)
	}
}

func (s *server) arrived(request *admission.Request, now time.Duration, w admission.Executor) {
	k := &trackedRequest{request: request, since: now, deadline: request.Deadline - deadlineMargin}
	s.requests[request] = k
	s.queue = append(s.queue, k)
	late := s.stopAt > 0 && now > s.notifiedAt+shutdownGrace
	if late || !s.admit(now) || float64(len(s.queue)) > queueFactor*max(s.limit(), 1) {
		s.reject(k, w)
	}
}

func (s *server) reject(k *trackedRequest, w admission.Executor) {
	s.remove(k)
	w.Reject(k.request, 0, false)
}

func (s *server) remove(k *trackedRequest) {
	is := func(o *trackedRequest) bool { return o == k }
	if k.state == queued {
		s.queue = slices.DeleteFunc(s.queue, is)
	} else {
		s.active = slices.DeleteFunc(s.active, is)
	}
	delete(s.requests, k.request)
}

// expire rejects queued requests and aborts running ones at their deadline, less deadlineMargin, or at the end of the
// shutdown.
func (s *server) expire(now time.Duration, w admission.Executor) {
	late := func(k *trackedRequest) bool {
		return now >= k.deadline || s.stopAt > 0 && now >= s.stopAt-deadlineMargin
	}
	for _, k := range slices.Clone(s.queue) {
		if late(k) {
			s.reject(k, w)
		}
	}
	for _, k := range slices.Clone(s.active) {
		if k.state != stopping && late(k) {
			s.abort(k, w)
		}
	}
}

func (s *server) abort(k *trackedRequest, w admission.Executor) {
	k.state = stopping
	w.Abort(k.request)
	w.Pause(k.request)
}

func (s *server) callEnded(e admission.Completion, w admission.Executor) {
	k := s.requests[e.Request]
	switch {
	case k == nil || k.state != calling:
	case e.Outcome == admission.Succeeded:
		k.state = running
	case k.request.Route.SkipValueShare > 0:
		k.state = running
		w.SkipCall(k.request)
	default:
		s.abort(k, w)
	}
}
