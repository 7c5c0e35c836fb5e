package emulator

import (
	"time"

	"quartzpoint/admission"
	"quartzpoint/budget"
)

// composer makes the calls of composed requests to several dependencies. Package budget schedules them, as in
// internal/fanout. Composed requests use no cores.
type composer struct {
	server       *server
	incarnation  uint64
	dependencies []*budget.Dependency
	emulated     []*dependency
	scheduler    *budget.Scheduler
	generation   uint64
	ended        []compositionEnd
}

// compositionEnd is the end of a composed request that is still to be reported to its server.
type compositionEnd struct {
	attempt    *attempt
	verdict    budget.Verdict
	valueShare float64
}

// dependencyCall is an attempt of a call, in flight at a dependency.
type dependencyCall struct {
	execution     *budget.Execution
	call, attempt int
	dependency    int
	cancelled     bool
}

// inFlightQuota returns the number of calls that each server may have in flight at a dependency.
func inFlightQuota(slots, servers int) int { return max(2, 2*slots/max(servers, 1)) }

func newComposer(s *server) *composer {
	w := s.world
	c := &composer{server: s, incarnation: s.incarnation}
	for i, d := range w.fleet.Dependencies {
		quota := inFlightQuota(d.Slots, w.fleet.Servers)
		c.dependencies = append(c.dependencies, budget.NewDependency(budget.Options{
			Name: d.Name, MaxInFlight: quota, QueueLimit: 4 * quota, CancelledTimeout: 5 * time.Second, RetryRatio: 0.1,
		}, w.seed+int64(100*s.number+i)))
		c.emulated = append(c.emulated, w.dependencies[d.Name])
	}
	c.scheduler = budget.NewScheduler(c.dependencies, c, w.seed+int64(s.number))
	return c
}

// begin starts the calls of a request.
func (c *composer) begin(a *attempt, deadline time.Duration) {
	a.calls = &[budget.MaxCalls][2]*dependencyCall{}
	a.execution = c.scheduler.Start(c.server.world.fleet.Plans[c.server.world.fleet.Routes[a.origin.route].Name], c.server.world.now, deadline, a)
	c.schedule()
}

// abandon cancels the calls of a request whose result is no longer needed, and ends the request as aborted.
func (c *composer) abandon(a *attempt) {
	if a.execution != nil {
		c.scheduler.Cancel(a.execution, c.server.world.now)
		a.execution = nil
	}
	c.ended = append(c.ended, compositionEnd{a, budget.Aborted, 0})
	c.schedule()
}

// schedule sets the timer of the scheduler's next event. Requests that have ended are reported in an event of their own,
// because the server may be in the middle of a round.
func (c *composer) schedule() {
	w := c.server.world
	c.generation++
	generation := c.generation
	next := c.scheduler.NextTimer()
	if len(c.ended) > 0 {
		next = w.now
	}
	if next >= 1<<62 { // the scheduler has no timer set
		return
	}
	w.at(next, func() {
		if generation != c.generation {
			return
		}
		c.server.whenRunning(c.incarnation, func() {
			ended := c.ended
			c.ended = nil
			for _, e := range ended {
				c.server.compositionEnded(e)
			}
			c.scheduler.Advance(w.now)
			c.schedule()
		})
	})
}

// Send implements budget.Executor, as do Cancel, Fallback and Finish.
func (c *composer) Send(execution *budget.Execution, call, attemptIndex int, timeout time.Duration) {
	w, a := c.server.world, execution.Ref.(*attempt)
	dc := &dependencyCall{execution: execution, call: call, attempt: attemptIndex, dependency: execution.Plan().Calls[call].Dependency}
	a.calls[call][attemptIndex] = dc
	c.emulated[dc.dependency].handle(timeout, func(outcome admission.Outcome, _ time.Duration) {
		c.server.whenRunning(c.incarnation, func() {
			if dc.cancelled {
				c.scheduler.CancelledCallEnded(dc.dependency, w.now)
			} else {
				callOutcome := map[admission.Outcome]budget.Outcome{admission.Succeeded: budget.Succeeded, admission.NotRun: budget.Rejected}[outcome]
				if outcome == admission.Unknown {
					callOutcome = budget.Lost
				}
				a.calls[call][attemptIndex] = nil
				c.scheduler.CallEnded(execution, call, attemptIndex, callOutcome, w.now)
			}
			c.schedule()
		})
	})
}

func (c *composer) Cancel(execution *budget.Execution, call, attemptIndex int) {
	a := execution.Ref.(*attempt)
	if dc := a.calls[call][attemptIndex]; dc != nil {
		dc.cancelled = true
		a.calls[call][attemptIndex] = nil
	}
}

func (c *composer) Fallback(*budget.Execution, int) bool { return false }

func (c *composer) Finish(execution *budget.Execution, v budget.Verdict) {
	a := execution.Ref.(*attempt)
	a.execution = nil
	c.ended = append(c.ended, compositionEnd{a, v, execution.Value()})
}

// compositionEnded handles the end of a composed request.
func (s *server) compositionEnded(e compositionEnd) {
	a := e.attempt
	if !a.active {
		return
	}
	a.active = false
	outcome := admission.Succeeded
	if e.verdict == budget.Aborted {
		outcome = admission.Stopped
	}
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &a.Request, Outcome: outcome, Took: s.world.now - a.run.startedAt})
	if !a.answered {
		if a.valueShare = e.valueShare; e.verdict == budget.Aborted {
			s.answer(a, aborted, 0, false)
		} else {
			s.answer(a, served, 0, false)
		}
	}
	s.decide()
}
