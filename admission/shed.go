package admission

// Which requests are refused or given up, and what they are worth beside each other.

import (
	"fmt"
	"slices"
	"time"
)

// dismiss turns away a task that never ran.
func (c *Controller) dismiss(request *Request, reason Reason, w Executor) {
	request.reason = reason
	c.forget(request, w)
	request.settled = true
	c.remove(request)
	// A further try elsewhere helps only while a faster server has time for it, and room: a level this high has
	// stood for seconds, and then the others are mostly as full. Each try costs a reading. It could harm
	// where this server alone is slow and callers heed this before the level.
	hopeless := request.wanted < c.now+c.need(request)/faster || c.level > fullLevel
	// It stays away for as long as it lay unread and the hold was too long: those are read or run first.
	comeBack := time.Duration(0)
	if c.settings.RetryAfter {
		comeBack = min(request.since-request.Arrived+request.excess, c.settings.MaxRetryAfter)
	}
	w.Reject(request, comeBack, hopeless)
}

// giveUp answers a task that ran, or a repeat whose first may have, and then stops it, so that its core is
// free at once for work that somebody waits for.
func (c *Controller) giveUp(request *Request, reason Reason, w Executor) {
	request.reason = reason
	request.settled = true
	w.Abort(request)
	switch request.phase {
	case running:
		c.stop(request, w)
	case calling, wantsCall: // its memory, and its call, are given back only with the end that is told
	default:
		c.remove(request)
	}
}

// stop frees the core of a run whose answer is given, where the site allows stops (which may change in
// service); elsewhere the run goes on to its end and counts on the cores until then.
func (c *Controller) stop(request *Request, w Executor) {
	if c.halts() {
		c.enter(request, over)
		w.Pause(request)
	}
}

func (c *Controller) halts() bool { return c.settings.Preemption.Allowed() }

// expire answers whatever has come to its last moment or can earn nothing any more, in whatever phase.
func (c *Controller) expire(w Executor) {
	c.all = append(append(c.all[:0], c.hold...), c.active...)
	for _, request := range c.all {
		if c.now >= request.wanted && request.phase == held {
			c.dismiss(request, c.expiry(request), w)
		} else if c.now >= request.wanted && !request.settled {
			c.giveUp(request, c.expiry(request), w)
		}
	}
}

// shield keeps tasks off a server whose runs end broken, whatever breaks them. Broken runs are quick, so
// callers that pick the fastest flock to it, and a numbered or at-most-once task broken here can't be run
// elsewhere. One task at a time is still run, to see the end of it. It could harm where all servers break
// most runs, as the few that would go well are then dismissed too; hence only past a half.
func (c *Controller) shield(w Executor) {
	seen := c.ends.sum(c.now)
	erring := seen[0] >= 6 && seen[1] > seen[0]/2
	if erring != c.erring && c.stopAt == 0 {
		w.SetHealth(!erring, true)
		w.Log(fmt.Sprintf("erring: %t, %.0f of %.0f runs broken", erring, seen[1], seen[0]))
	}
	if c.erring = erring; !erring {
		return
	}
	c.level = levelMost
	for in, _, _ := c.counts(); len(c.hold) > 0 && in+float64(len(c.hold)) > 1; {
		c.dismiss(c.hold[len(c.hold)-1], ReasonRunsFail, w)
	}
}

// weed leaves out, of the held tasks, those that cannot be honoured in time, the least important for its
// work first. It walks the hold in start order and lays one behind the other on the cores.
func (c *Controller) weed(w Executor) {
	ahead := time.Duration(0)
	for _, request := range c.active {
		if request.phase == running {
			need := c.need(request)
			ahead += max(need-request.onCore, need/2)
		}
	}
	_, on, parked := c.counts()
	wide, atCall := max(c.cores, on), c.strainedCall(parked)
	kept, out := c.kept[:0], c.out[:0]
	leaveOut := func(excess time.Duration, reason Reason) *Request {
		least := 0
		for i := range kept {
			if c.density(kept[i]) <= c.density(kept[least]) {
				least = i
			}
		}
		request := kept[least]
		request.excess, request.reason = excess, reason
		kept = slices.Delete(kept, least, least+1)
		out = append(out, request)
		ahead -= c.need(request)
		return request
	}
	for _, request := range c.hold {
		kept = append(kept, request)
		ahead += c.need(request)
		for len(kept) > 0 {
			need := c.need(request)
			start := c.now + time.Duration(float64(ahead-need)/wide)
			// A mean is no bound: most tasks need less, as a few very long ones make it up. Judged
			// by the whole mean, a server with cores to spare sent away what it could have done.
			waits, run := request.Route.CallWait, time.Duration(median*float64(need))
			if request.Route.CallsDependency {
				waits = max(waits, atCall)
			}
			latest := request.wanted - waits - run
			latest = min(latest, request.Arrived+time.Duration(plan*float64(latest-request.Arrived)))
			request.late = start+run > request.Arrived+request.Route.LatencyTarget
			if start <= latest || leaveOut(start-latest, ReasonNoTime) == request {
				break
			}
		}
	}
	// Reading asks nobody: on a small machine one burst of large tasks fills what runs and entries leave.
	full := c.used() - c.memory
	for i := range out {
		full -= out[i].HeldKB
	}
	for full > 0 && len(kept) > 0 {
		full -= leaveOut(0, ReasonMemory).HeldKB
	}
	for _, request := range out {
		if request.Rank >= c.level {
			c.load.add(c.now, 0, c.need(request).Seconds())
		}
		c.dismiss(request, request.reason, w)
	}
	c.kept, c.out = kept, out
}

// need is the core time a task is expected to take here. Time already spent on unfinished runs counts
// against the runs that ended, so that a machine that has just slowed down is noticed before its first end.
func (c *Controller) need(request *Request) time.Duration {
	if request.CostHint > 0 && (c.pace.count > 0 || c.lentPace.weight > 0) {
		seen := c.paced.sum(c.now)
		pace, trust := c.prior(c.pace, &c.lentPace)
		trust *= request.CostHint.Seconds()
		return time.Duration((seen[0] + trust*pace) / (seen[1] + trust) * float64(request.CostHint))
	}
	known := request.Route.coreSeconds
	if known.count == 0 {
		known.mean = request.Route.LatencyTarget.Seconds() / guess
	}
	usual, trust := known.mean, doubt
	if c.borrowed {
		usual, trust = c.prior(known, &request.Route.peerCore)
	}
	seen := request.Route.runs.sum(c.now)
	return time.Duration((max(seen[0], 0) + trust*usual) / (seen[1] + trust) * float64(time.Second))
}

// density is the importance that a second of work earns. What a customer asks beyond its share is worth
// little and carries no mark, so each of its tasks is taken for the mix that it is on the mean here.
func (c *Controller) density(request *Request) float64 {
	worth := request.Route.Value
	if request.late { // planned to end past its contract time: it goes before one that would still be in time
		worth *= request.Route.LateValueShare
	}
	share := c.tenants.rate(request.Tenant) / c.settings.FleetServers
	if asked := c.tenants.asked(request.Tenant, c.now); asked > share {
		worth *= 1 - (1-share/asked)*(1-c.settings.OverQuotaValue)
	}
	if c.settings.ValueByWork {
		return worth
	}
	return worth / c.need(request).Seconds()
}
