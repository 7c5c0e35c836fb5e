package budget

import (
	"slices"
	"time"
)

// queuedCall is a call that waits for a slot of its dependency.
type queuedCall struct {
	execution *Execution
	call      int
	deadline  time.Duration // of its request
}

// enqueue inserts a call in the order of deadlines. If the queue is full, the call with the latest deadline is dropped.
func (s *Scheduler) enqueue(queued queuedCall, now time.Duration) {
	d := s.dependencies[queued.execution.plan.Calls[queued.call].Dependency]
	at := len(d.queue)
	for at > 0 && d.queue[at-1].deadline > queued.deadline {
		at--
	}
	if len(d.queue) < d.options.QueueLimit {
		d.queue = slices.Insert(d.queue, at, queued)
		return
	}
	dropped := queued
	if at < len(d.queue) {
		dropped = d.queue[len(d.queue)-1]
		copy(d.queue[at+1:], d.queue[at:len(d.queue)-1])
		d.queue[at] = queued
	}
	s.settle(dropped.execution, dropped.call, false, OverLimit, now)
}

func (s *Scheduler) dequeue(execution *Execution, call int) {
	d := s.dependencies[execution.plan.Calls[call].Dependency]
	d.queue = slices.DeleteFunc(d.queue, func(q queuedCall) bool { return q.execution == execution && q.call == call })
}

// sendQueued sends the queued calls of a dependency while it has free slots, earliest deadline first.
func (s *Scheduler) sendQueued(dependency int, now time.Duration) {
	d := s.dependencies[dependency]
	for len(d.queue) > 0 {
		head := d.queue[0]
		if now >= head.execution.deadline { // its own timer has not run yet
			d.popQueue()
			s.settle(head.execution, head.call, false, OverLimit, now)
			continue
		}
		admitted, breakerOpen := d.Admit(now)
		if !admitted && !breakerOpen {
			return
		}
		d.popQueue()
		if breakerOpen {
			s.settle(head.execution, head.call, false, BreakerOpen, now)
			continue
		}
		s.send(head.execution, head.call, now)
	}
	d.Tick(now)
}

func (d *Dependency) popQueue() { d.queue = d.queue[:copy(d.queue, d.queue[1:])] }
