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
	systems      []*dependency
	scheduler    *budget.Scheduler
	timer        uint64
	ended        []composedEnd
}

type composedEnd struct {
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
		share := inFlightQuota(d.Slots, w.fleet.Servers)
		c.dependencies = append(c.dependencies, budget.NewDependency(budget.Options{
			Name: d.Name, MaxInFlight: share, QueueLimit: 4 * share, CancelledTimeout: 5 * time.Second, RetryRatio: 0.1,
		}, w.seed+int64(100*s.number+i)))
		c.systems = append(c.systems, w.dependencies[d.Name])
	}
	c.scheduler = budget.NewScheduler(c.dependencies, c, w.seed+int64(s.number))
	return c
}

// begin starts the calls of a request.
func (c *composer) begin(t *attempt, until time.Duration) {
	t.calls = &[budget.MaxCalls][2]*dependencyCall{}
	t.execution = c.scheduler.Start(c.server.world.fleet.Plans[c.server.world.fleet.Routes[t.origin.route].Name], c.server.world.now, until, t)
	c.settle()
}

// abandon cancels the calls of a request that needs no result any more.
func (c *composer) abandon(t *attempt) {
	if t.execution != nil {
		c.scheduler.Cancel(t.execution, c.server.world.now)
		t.execution = nil
	}
	c.ended = append(c.ended, composedEnd{t, budget.Aborted, 0})
	c.settle()
}

// settle sets the timer of the scheduler's next event. Requests that have ended are reported in an event of their own,
// because the server may be in the middle of a round.
func (c *composer) settle() {
	w := c.server.world
	c.timer++
	mine := c.timer
	next := c.scheduler.NextTimer()
	if len(c.ended) > 0 {
		next = w.now
	}
	if next >= 1<<62 {
		return
	}
	w.at(next, func() {
		if mine != c.timer {
			return
		}
		c.server.whenRunning(c.incarnation, func() {
			ended := c.ended
			c.ended = nil
			for _, e := range ended {
				c.server.compositionEnded(e)
			}
			c.scheduler.Advance(w.now)
			c.settle()
		})
	})
}

// Send implements budget.Executor, as do the methods below it.
func (c *composer) Send(execution *budget.Execution, call, number int, within time.Duration) {
	w, t := c.server.world, execution.Ref.(*attempt)
	a := &dependencyCall{execution: execution, call: call, attempt: number, dependency: execution.Plan().Calls[call].Dependency}
	t.calls[call][number] = a
	c.systems[a.dependency].handle(within, func(outcome admission.Outcome, _ time.Duration) {
		c.server.whenRunning(c.incarnation, func() {
			if a.cancelled {
				c.scheduler.CancelledCallEnded(a.dependency, w.now)
			} else {
				how := map[admission.Outcome]budget.Outcome{admission.Succeeded: budget.Succeeded, admission.NotRun: budget.Rejected}[outcome]
				if outcome == admission.Unknown {
					how = budget.Lost
				}
				t.calls[call][number] = nil
				c.scheduler.CallEnded(execution, call, number, how, w.now)
			}
			c.settle()
		})
	})
}

func (c *composer) Cancel(execution *budget.Execution, call, number int) {
	t := execution.Ref.(*attempt)
	if a := t.calls[call][number]; a != nil {
		a.cancelled = true
		t.calls[call][number] = nil
	}
}

func (c *composer) Fallback(*budget.Execution, int) bool { return false }

func (c *composer) Finish(execution *budget.Execution, v budget.Verdict) {
	t := execution.Ref.(*attempt)
	t.execution = nil
	c.ended = append(c.ended, composedEnd{t, v, execution.Value()})
}

// compositionEnded handles the end of a composed request.
func (s *server) compositionEnded(e composedEnd) {
	t := e.attempt
	if !t.active {
		return
	}
	t.active = false
	outcome := admission.Succeeded
	if e.verdict == budget.Aborted {
		outcome = admission.Stopped
	}
	s.round.RunsEnded = append(s.round.RunsEnded, admission.Completion{Request: &t.Request, Outcome: outcome, Took: s.world.now - t.run.startedAt})
	if !t.answered {
		if t.valueShare = e.valueShare; e.verdict == budget.Aborted {
			s.answer(t, aborted, 0, false)
		} else {
			s.answer(t, served, 0, false)
		}
	}
	s.decide()
}
