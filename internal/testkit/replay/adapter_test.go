package replay_test

import (
	"fmt"
	"strings"
	"time"

	"quartzpoint/admission"
	estimates "quartzpoint/estimate"
	"quartzpoint/internal/settings"
)

// This file is all of the replay that names the code under test.

// subject is the decisions of one server. Requests and routes are known by their numbers, from 1.
type subject struct {
	decisions *admission.Controller
	settings  *settings.Settings
	flat      string
	requests  []*admission.Request
	numbers   map[*admission.Request]int
	routes    []*admission.Route
	made      []decision
}

var (
	repeats  = map[byte]admission.Idempotency{'r': admission.Retryable, 'k': admission.Keyed, 'o': admission.AtMostOnce}
	outcomes = map[byte]admission.Outcome{
		'd': admission.Succeeded, 'b': admission.Failed, 'n': admission.NotRun, 'u': admission.Unknown, 's': admission.Stopped, 'v': admission.NeverStarted,
	}
)

func start(flat string, seed int64) (*subject, error) {
	told, err := settings.FromLines(flat)
	if err != nil {
		return nil, err
	}
	s := &subject{settings: told, flat: flat, numbers: map[*admission.Request]int{}}
	decided := told.Admission
	decided.EstimatesOnly = true // as the recorded code did
	s.decisions = admission.New(decided, seed)
	s.routes = append(s.routes, s.decisions.Routes...)
	return s, nil
}

// move has a setting, by the platform's name, hold from now on; empty for no longer stated.
func (s *subject) move(name, value string) error {
	var lines []string
	for line := range strings.SplitSeq(s.flat, "\n") {
		if !strings.HasPrefix(line, name+"=") {
			lines = append(lines, line)
		}
	}
	if value != "" {
		lines = append(lines, name+"="+value)
	}
	s.flat = strings.Join(lines, "\n")
	told, err := settings.FromLines(s.flat)
	if err != nil {
		return err
	}
	change := s.settings.Compare(told)
	if len(change.Fixed) > 0 || len(change.Adjusted) != 1 {
		return fmt.Errorf("%s=%s moves %v, and not %v", name, value, change.Adjusted, change.Fixed)
	}
	s.settings = s.settings.WithAdjustable(told)
	now := s.settings.Adjustable()
	s.decisions.Reconfigure(now.Preemption, now.ShedLevelFormat)
	return nil
}

func (s *subject) stated(number int) route {
	t := s.routes[number-1]
	r := route{
		name: t.Name, importance: bits(t.Value), lateShare: bits(t.LateValueShare), contract: t.LatencyTarget, outermost: t.Deadline,
		window: t.DedupWindow, calls: t.CallsDependency, skipShare: bits(t.SkipValueShare), waits: t.CallWait,
	}
	for letter, kind := range repeats {
		if t.Idempotency == kind {
			r.repeats = letter
		}
	}
	return r
}

func (s *subject) put(was int, r route) {
	var before *admission.Route
	if was > 0 {
		before = s.routes[was-1]
	}
	s.routes = append(s.routes, s.decisions.PutRoute(before, admission.Route{
		Name: r.name, Value: r.importance.float(), LateValueShare: r.lateShare.float(), LatencyTarget: r.contract,
		Deadline: r.outermost, DedupWindow: r.window, Idempotency: repeats[r.repeats], CallsDependency: r.calls, SkipValueShare: r.skipShare.float(),
		CallWait: r.waits,
	}))
}

func (s *subject) remove(number int)                        { s.decisions.RemoveRoute(s.routes[number-1]) }
func (s *subject) setWaits(number int, waits time.Duration) { s.routes[number-1].CallWait = waits }
func (s *subject) putTenant(place int, rate float64, another bool) {
	s.decisions.PutTenant(place, rate, another)
}
func (s *subject) tenantRate(place int) exact       { return bits(s.decisions.TenantQuota(place)) }
func (s *subject) borrow(now time.Duration, v view) { s.decisions.UsePeerEstimates(now, v.lent()) }

func (s *subject) frame(origin uint64, moving bool) frame {
	f := s.decisions.EstimateSchema(origin, s.settings.Digest(moving, true), moving)
	return frame{f.SettingsDigest, f.Origin, f.Dynamic, f.Routes, f.Deadlines}
}

func (s *subject) learned(now time.Duration, origin, terms uint64) view {
	v := s.decisions.Estimates(now, estimates.Schema{Origin: origin, SettingsDigest: terms})
	is := view{
		origin: v.Origin, terms: v.SettingsDigest, pace: told(v.Pace), calls: told(v.Calls), refused: told(v.RejectRatio), returns: told(v.ReturnRatio),
	}
	for _, t := range v.Routes {
		is.routes = append(is.routes, routeView{t.Name, told(t.Core), told(t.Run)})
	}
	return is
}

func told(e estimates.Estimate) estimate {
	return estimate{bits(e.Mean), bits(e.Spread), bits(e.Samples), e.Age}
}

func (e estimate) lent() estimates.Estimate {
	return estimates.Estimate{Mean: e.mean.float(), Spread: e.spread.float(), Samples: e.samples.float(), Age: e.age}
}

func (v view) lent() estimates.Snapshot {
	is := estimates.Snapshot{
		Origin: v.origin, SettingsDigest: v.terms, Pace: v.pace.lent(), Calls: v.calls.lent(), RejectRatio: v.refused.lent(),
		ReturnRatio: v.returns.lent(),
	}
	for _, r := range v.routes {
		is.Routes = append(is.Routes, estimates.RouteEstimates{Name: r.name, Core: r.core.lent(), Run: r.run.lent()})
	}
	return is
}

func (s *subject) books(now time.Duration) books {
	o := s.decisions.Occupancy(now)
	return books{o.Queued, o.OnCores, o.InFlight, o.Answered, bits(o.Limit), bits(o.MaxConcurrency), bits(o.UsedKB), bits(o.MaxKB)}
}

func (s *subject) know(q request) {
	t := &admission.Request{
		Route: s.routes[q.route-1], QueuedKB: q.heldKB, CostHint: q.hint, Arrived: q.arrived, LastByteAt: q.whole, Deadline: q.due, Rank: q.rank,
		Tenant: q.tenant, Router: q.caller, Duplicate: q.again,
	}
	s.requests = append(s.requests, t)
	s.numbers[t] = len(s.requests)
}

func (s *subject) decide(told round) []decision {
	r := admission.Round{Now: told.now, StopAt: told.stopAt, NotifiedAt: told.noticed, WorkersStartedAt: told.booted}
	r.CallsEnded, r.RunsEnded = s.endings(told.returned), s.endings(told.ended)
	r.AwaitingCall, r.Canceled, r.Arrived = s.all(told.atCall), s.all(told.gone), s.all(told.arrived)
	if g := told.gauges; g != nil {
		r.Gauges = &admission.Gauges{CPU: g[0], Runnable: g[1], Memory: g[2], Connections: g[3]}
	}
	s.made = nil
	s.decisions.Decide(&r, s)
	return s.made
}

func (s *subject) endings(all []ending) (is []admission.Completion) {
	for _, e := range all {
		is = append(is, admission.Completion{Request: s.requests[e.request-1], Outcome: outcomes[e.outcome], Took: e.took})
	}
	return is
}

func (s *subject) all(numbers []int) (is []*admission.Request) {
	for _, n := range numbers {
		is = append(is, s.requests[n-1])
	}
	return is
}

func (s *subject) write(d decision, of *admission.Request) {
	if of != nil {
		d.request = s.numbers[of]
	}
	s.made = append(s.made, d)
}

// Start implements admission.Executor, as do the methods below it.
func (s *subject) Start(t *admission.Request) { s.write(decision{what: 'S'}, t) }

// Pause is P.
func (s *subject) Pause(t *admission.Request) { s.write(decision{what: 'P'}, t) }

// Reject is D.
func (s *subject) Reject(t *admission.Request, comeBack time.Duration, nowhereElse bool) {
	s.write(decision{what: 'D', span: comeBack, yes: nowhereElse, reason: int(t.RejectReason())}, t)
}

// Abort is G.
func (s *subject) Abort(t *admission.Request) {
	s.write(decision{what: 'G', reason: int(t.RejectReason())}, t)
}

// AnswerFromOriginal is A.
func (s *subject) AnswerFromOriginal(t *admission.Request) { s.write(decision{what: 'A'}, t) }

// RememberKey is M.
func (s *subject) RememberKey(t *admission.Request, span time.Duration) {
	s.write(decision{what: 'M', span: span}, t)
}

// ForgetKey is F.
func (s *subject) ForgetKey(t *admission.Request) { s.write(decision{what: 'F'}, t) }

// Call is C.
func (s *subject) Call(t *admission.Request, patience time.Duration) {
	s.write(decision{what: 'C', span: patience}, t)
}

// SkipCall is K.
func (s *subject) SkipCall(t *admission.Request) { s.write(decision{what: 'K'}, t) }

// SetHealth is H.
func (s *subject) SetHealth(good, withoutWorkers bool) {
	s.write(decision{what: 'H', yes: good, yesToo: withoutWorkers}, nil)
}

// SetShedLevel is L.
func (s *subject) SetShedLevel(level float64) { s.write(decision{what: 'L', value: bits(level)}, nil) }

// CloseIdleAfter is I.
func (s *subject) CloseIdleAfter(span time.Duration) { s.write(decision{what: 'I', span: span}, nil) }

// WakeAfter is W.
func (s *subject) WakeAfter(in time.Duration) { s.write(decision{what: 'W', span: in}, nil) }

// Log is N.
func (s *subject) Log(words string) { s.write(decision{what: 'N', words: words}, nil) }
