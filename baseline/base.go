// Package baseline holds other ways to decide what is let in, to compare this project's with. None is on the daemon's path.
// All share what any server has to do: hold tasks in the order in which they came, answer what is late, and leave in
// order. They differ in how many run at once and what is turned away.
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
	tick     = 25 * time.Millisecond
	early    = 2 * tick // before the due time, by which what is late is answered
	holdOver = 4.0      // tasks held over the limit, past which one that comes is turned away
)

// limiter is what the baselines differ in.
type limiter interface {
	// take tells whether a task that comes is let in at all.
	take(now time.Duration) bool
	// room is the number that may run at once.
	room() float64
	// drop tells whether the first in line, which has waited so long, is turned away rather than run.
	drop(now, waited time.Duration) bool
	// sample takes a run that ended, with how many were running.
	sample(now, took time.Duration, running int, failed bool)
	// gauges takes readings, once a tick.
	gauges(now time.Duration, g admission.Gauges)
}

// plain is a limiter that does nothing; others hold it for what they leave as it is.
type plain struct{}

func (plain) take(time.Duration) bool                        { return true }
func (plain) drop(_, _ time.Duration) bool                   { return false }
func (plain) sample(time.Duration, time.Duration, int, bool) {}
func (plain) gauges(time.Duration, admission.Gauges)         {}

type state int

const (
	held state = iota
	running
	calling
	stopping // answered, and its run not ended yet
)

type kept struct {
	task  *admission.Request
	state state
	since time.Duration
	due   time.Duration
}

// server decides for one server by a limiter.
type server struct {
	limiter
	line    []*kept // held, in order
	tasks   map[*admission.Request]*kept
	active  []*kept // begun, in order
	began   bool
	stopAt  time.Duration
	noticed time.Duration
}

func maker(make func(m emulator.Machine, types []emulator.Route, rng *rand.Rand) limiter) emulator.PolicyMaker {
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
		return &server{limiter: make(m, types, rand.New(rand.NewSource(seed))), tasks: map[*admission.Request]*kept{}}, kinds
	}
}

// Names are those of the baselines, in the order of tables.
func Names() []string {
	return []string{"no-limit", "fixed", "token-bucket", "codel", "gradient2", "vegas", "aimd"}
}

// ByName gives a baseline, or the project's own decisions as "quartzpoint".
func ByName(name string) (emulator.PolicyMaker, error) {
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
	return nil, fmt.Errorf("policy %q: quartzpoint and %v are known", name, Names())
}

// Decide implements emulator.Policy.
func (s *server) Decide(r *admission.Round, w admission.Executor) {
	if !s.began {
		s.began = true
		w.SetHealth(true, true)
		w.WakeAfter(tick)
	}
	if r.StopAt > 0 && s.stopAt == 0 {
		s.stopAt, s.noticed = r.StopAt, r.Now
	}
	for _, e := range r.CallsEnded {
		s.returned(e, w)
	}
	for _, request := range r.AwaitingCall {
		if k := s.tasks[request]; k != nil && k.state == running {
			k.state = calling
			w.Call(request, max(k.due-r.Now, 1))
		}
	}
	for _, e := range r.RunsEnded {
		if k := s.tasks[e.Request]; k != nil {
			s.sample(r.Now, e.Took, len(s.active), e.Outcome != admission.Succeeded)
			s.remove(k)
		}
	}
	for _, request := range r.Canceled {
		if k := s.tasks[request]; k != nil && k.state == held {
			s.remove(k)
		}
	}
	for _, request := range r.Arrived {
		s.arrived(request, r.Now, w)
	}
	if r.Gauges != nil {
		s.gauges(r.Now, *r.Gauges)
		w.WakeAfter(tick)
	}
	s.expire(r.Now, w)
	for len(s.line) > 0 && float64(len(s.active)) < max(s.room(), 1) {
		k := s.line[0]
		if s.drop(r.Now, r.Now-k.since) {
			s.dismiss(k, w)
			continue
		}
		s.line = s.line[1:]
		s.active = append(s.active, k)
		k.state = running
		w.Start(k.task)
	}
}

func (s *server) arrived(request *admission.Request, now time.Duration, w admission.Executor) {
	k := &kept{task: request, since: now, due: request.Deadline - early}
	s.tasks[request] = k
	s.line = append(s.line, k)
	late := s.stopAt > 0 && now > s.noticed+400*time.Millisecond
	if late || !s.take(now) || float64(len(s.line)) > holdOver*max(s.room(), 1) {
		s.dismiss(k, w)
	}
}

func (s *server) dismiss(k *kept, w admission.Executor) {
	s.remove(k)
	w.Reject(k.task, 0, false)
}

func (s *server) remove(k *kept) {
	is := func(o *kept) bool { return o == k }
	if k.state == held {
		s.line = slices.DeleteFunc(s.line, is)
	} else {
		s.active = slices.DeleteFunc(s.active, is)
	}
	delete(s.tasks, k.task)
}

// expire answers what is late, or would be past the stop.
func (s *server) expire(now time.Duration, w admission.Executor) {
	late := func(k *kept) bool { return now >= k.due || s.stopAt > 0 && now >= s.stopAt-early }
	for _, k := range slices.Clone(s.line) {
		if late(k) {
			s.dismiss(k, w)
		}
	}
	for _, k := range slices.Clone(s.active) {
		if k.state != stopping && late(k) {
			s.giveUp(k, w)
		}
	}
}

func (s *server) giveUp(k *kept, w admission.Executor) {
	k.state = stopping
	w.Abort(k.task)
	w.Pause(k.task)
}

func (s *server) returned(e admission.Completion, w admission.Executor) {
	k := s.tasks[e.Request]
	switch {
	case k == nil || k.state != calling:
	case e.Outcome == admission.Succeeded:
		k.state = running
	case k.task.Route.SkipValueShare > 0:
		k.state = running
		w.SkipCall(k.task)
	default:
		s.giveUp(k, w)
	}
}
