package replay_test

import (
	"fmt"
	"strings"
	"time"

	"quartzpoint/admission"
	estimates "quartzpoint/estimate"
	"quartzpoint/internal/settings"
)

// This file contains all of the replay that depends on the code under test.

// subject is the code under test: the controller of one server. Requests and routes are identified by their numbers,
// counted from 1.
type subject struct {
	controller     *admission.Controller
	settings       *settings.Settings
	settingsLines  string
	requests       []*admission.Request
	requestNumbers map[*admission.Request]int
	routes         []*admission.Route
	executed       []decision
}

var (
	idempotencies = map[byte]admission.Idempotency{'r': admission.Retryable, 'k': admission.Keyed, 'o': admission.AtMostOnce}
	outcomes      = map[byte]admission.Outcome{
		'd': admission.Succeeded, 'b': admission.Failed, 'n': admission.NotRun, 'u': admission.Unknown, 's': admission.Stopped, 'v': admission.NeverStarted,
	}
)

func start(lines string, seed int64) (*subject, error) {
	parsed, err := settings.FromLines(lines)
	if err != nil {
		return nil, err
	}
	s := &subject{settings: parsed, settingsLines: lines, requestNumbers: map[*admission.Request]int{}}
	config := parsed.Admission
	config.EstimatesOnly = true // as in the recorded code
	s.controller = admission.New(config, seed)
	s.routes = append(s.routes, s.controller.Routes...)
	return s, nil
}

// changeSetting changes a setting, by the platform's name, from now on. An empty value means that the setting is no
// longer given. The change must affect exactly one adjustable setting and no fixed one.
func (s *subject) changeSetting(name, value string) error {
	var lines []string
	for line := range strings.SplitSeq(s.settingsLines, "\n") {
		if !strings.HasPrefix(line, name+"=") {
			lines = append(lines, line)
		}
	}
	if value != "" {
		lines = append(lines, name+"="+value)
	}
	s.settingsLines = strings.Join(lines, "\n")
	next, err := settings.FromLines(s.settingsLines)
	if err != nil {
		return err
	}
	change := s.settings.Compare(next)
	if len(change.Fixed) > 0 || len(change.Adjusted) != 1 {
		return fmt.Errorf("%s=%s: want a change of one adjustable setting and no fixed one, got adjustable %v, fixed %v", name, value, change.Adjusted, change.Fixed)
	}
	s.settings = s.settings.WithAdjustable(next)
	now := s.settings.Adjustable()
	s.controller.Reconfigure(now.Preemption, now.ShedLevelFormat)
	return nil
}

func (s *subject) configuredRoute(number int) route {
	configured := s.routes[number-1]
	r := route{
		name: configured.Name, value: bits(configured.Value), lateValueShare: bits(configured.LateValueShare), latencyTarget: configured.LatencyTarget, deadline: configured.Deadline,
		dedupWindow: configured.DedupWindow, callsDependency: configured.CallsDependency, skipValueShare: bits(configured.SkipValueShare), callWait: configured.CallWait,
	}
	for letter, kind := range idempotencies {
		if configured.Idempotency == kind {
			r.idempotency = letter
		}
	}
	return r
}

func (s *subject) putRoute(previousNumber int, r route) {
	var previous *admission.Route
	if previousNumber > 0 {
		previous = s.routes[previousNumber-1]
	}
	s.routes = append(s.routes, s.controller.PutRoute(previous, admission.Route{
		Name: r.name, Value: r.value.float(), LateValueShare: r.lateValueShare.float(), LatencyTarget: r.latencyTarget,
		Deadline: r.deadline, DedupWindow: r.dedupWindow, Idempotency: idempotencies[r.idempotency], CallsDependency: r.callsDependency, SkipValueShare: r.skipValueShare.float(),
		CallWait: r.callWait,
	}))
}

func (s *subject) removeRoute(number int)                     { s.controller.RemoveRoute(s.routes[number-1]) }
func (s *subject) setCallWait(number int, wait time.Duration) { s.routes[number-1].CallWait = wait }
func (s *subject) putTenant(index int, quota float64, replaced bool) {
	s.controller.PutTenant(index, quota, replaced)
}
func (s *subject) tenantQuota(index int) exact { return bits(s.controller.TenantQuota(index)) }
func (s *subject) usePeerEstimates(now time.Duration, v snapshot) {
	s.controller.UsePeerEstimates(now, v.toSnapshot())
}

func (s *subject) schema(origin uint64, dynamic bool) schema {
	f := s.controller.EstimateSchema(origin, s.settings.Digest(dynamic, true), dynamic)
	return schema{f.SettingsDigest, f.Origin, f.Dynamic, f.Routes, f.Deadlines}
}

func (s *subject) snapshot(now time.Duration, origin, settingsDigest uint64) snapshot {
	v := s.controller.Estimates(now, estimates.Schema{Origin: origin, SettingsDigest: settingsDigest})
	converted := snapshot{
		origin: v.Origin, settingsDigest: v.SettingsDigest, hintRatio: recordedEstimate(v.HintRatio), calls: recordedEstimate(v.Calls), rejectRatio: recordedEstimate(v.RejectRatio), returnRatio: recordedEstimate(v.ReturnRatio),
	}
	for _, r := range v.Routes {
		converted.routes = append(converted.routes, routeEstimates{r.Name, recordedEstimate(r.Core), recordedEstimate(r.Run)})
	}
	return converted
}

func recordedEstimate(e estimates.Estimate) estimate {
	return estimate{bits(e.Mean), bits(e.Spread), bits(e.Samples), e.Age}
}

func (e estimate) toEstimate() estimates.Estimate {
	return estimates.Estimate{Mean: e.mean.float(), Spread: e.spread.float(), Samples: e.samples.float(), Age: e.age}
}

func (v snapshot) toSnapshot() estimates.Snapshot {
	converted := estimates.Snapshot{
		Origin: v.origin, SettingsDigest: v.settingsDigest, HintRatio: v.hintRatio.toEstimate(), Calls: v.calls.toEstimate(), RejectRatio: v.rejectRatio.toEstimate(),
		ReturnRatio: v.returnRatio.toEstimate(),
	}
	for _, r := range v.routes {
		converted.Routes = append(converted.Routes, estimates.RouteEstimates{Name: r.name, Core: r.core.toEstimate(), Run: r.run.toEstimate()})
	}
	return converted
}

func (s *subject) occupancy(now time.Duration) occupancy {
	o := s.controller.Occupancy(now)
	return occupancy{o.Queued, o.OnCores, o.InFlight, o.Answered, bits(o.Limit), bits(o.MaxConcurrency), bits(o.UsedKB), bits(o.MaxKB)}
}

func (s *subject) addRequest(q request) {
	r := &admission.Request{
		Route: s.routes[q.route-1], QueuedKB: q.queuedKB, CostHint: q.costHint, Arrived: q.arrived, LastByteAt: q.lastByteAt, Deadline: q.deadline, Rank: q.rank,
		Tenant: q.tenant, Router: q.router, Duplicate: q.duplicate,
	}
	s.requests = append(s.requests, r)
	s.requestNumbers[r] = len(s.requests)
}

func (s *subject) isDuplicate(number int) bool { return s.requests[number-1].Duplicate }

func (s *subject) queuedKB(number int) float64 { return s.requests[number-1].QueuedKB }

func (s *subject) decide(recorded round) []decision {
	r := admission.Round{Now: recorded.now, StopAt: recorded.stopAt, NotifiedAt: recorded.notifiedAt, WorkersStartedAt: recorded.workersStartedAt}
	r.CallsEnded, r.RunsEnded = s.completions(recorded.callsEnded), s.completions(recorded.runsEnded)
	r.AwaitingCall, r.Canceled, r.Arrived = s.requestsByNumber(recorded.awaitingCall), s.requestsByNumber(recorded.canceled), s.requestsByNumber(recorded.arrived)
	if g := recorded.gauges; g != nil {
		r.Gauges = &admission.Gauges{CPU: g[0], Runnable: g[1], Memory: g[2], Connections: g[3]}
	}
	s.executed = nil
	s.controller.Decide(&r, s)
	return s.executed
}

func (s *subject) completions(all []completion) (converted []admission.Completion) {
	for _, e := range all {
		converted = append(converted, admission.Completion{Request: s.requests[e.request-1], Outcome: outcomes[e.outcome], Took: e.took})
	}
	return converted
}

func (s *subject) requestsByNumber(numbers []int) (found []*admission.Request) {
	for _, n := range numbers {
		found = append(found, s.requests[n-1])
	}
	return found
}

func (s *subject) record(d decision, r *admission.Request) {
	if r != nil {
		d.request = s.requestNumbers[r]
	}
	s.executed = append(s.executed, d)
}

// Start records decision S. Start and the methods below implement admission.Executor.
func (s *subject) Start(r *admission.Request) { s.record(decision{kind: 'S'}, r) }

// Pause records decision P.
func (s *subject) Pause(r *admission.Request) { s.record(decision{kind: 'P'}, r) }

// Reject records decision D.
func (s *subject) Reject(r *admission.Request, retryAfter time.Duration, noRetryElsewhere bool) {
	s.record(decision{kind: 'D', duration: retryAfter, flag: noRetryElsewhere, reason: int(r.RejectReason())}, r)
}

// Abort records decision G.
func (s *subject) Abort(r *admission.Request) {
	s.record(decision{kind: 'G', reason: int(r.RejectReason())}, r)
}

// AnswerFromOriginal records decision A.
func (s *subject) AnswerFromOriginal(r *admission.Request) { s.record(decision{kind: 'A'}, r) }

// RememberKey records decision M.
func (s *subject) RememberKey(r *admission.Request, lifetime time.Duration) {
	s.record(decision{kind: 'M', duration: lifetime}, r)
}

// ForgetKey records decision F.
func (s *subject) ForgetKey(r *admission.Request) { s.record(decision{kind: 'F'}, r) }

// Call records decision C.
func (s *subject) Call(r *admission.Request, timeout time.Duration) {
	s.record(decision{kind: 'C', duration: timeout}, r)
}

// SkipCall records decision K.
func (s *subject) SkipCall(r *admission.Request) { s.record(decision{kind: 'K'}, r) }

// SetHealth records decision H.
func (s *subject) SetHealth(healthy, withoutWorkers bool) {
	s.record(decision{kind: 'H', flag: healthy, secondFlag: withoutWorkers}, nil)
}

// SetShedLevel records decision L.
func (s *subject) SetShedLevel(level float64) { s.record(decision{kind: 'L', value: bits(level)}, nil) }

// SetIdleTimeout records decision I.
func (s *subject) SetIdleTimeout(idle time.Duration) {
	s.record(decision{kind: 'I', duration: idle}, nil)
}

// WakeAfter records decision W.
func (s *subject) WakeAfter(wait time.Duration) { s.record(decision{kind: 'W', duration: wait}, nil) }

// Log records decision N.
func (s *subject) Log(message string) { s.record(decision{kind: 'N', message: message}, nil) }
