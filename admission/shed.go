package admission

// Which requests are refused or given up, and what they are worth beside each other.

import (
	"fmt"
	"slices"
	"time"
)

// dismiss turns away a task that never ran.
func (c *Choice) dismiss(t *Task, reason Reason, w Writer) {
	t.reason = reason
	c.forget(t, w)
	t.settled = true
	c.remove(t)
	// A further try elsewhere helps only while a faster server has time for it, and room: a level this high has
	// stood for seconds, and then the others are mostly as full. Each try costs a reading. It could harm
	// where this server alone is slow and callers heed this before the level.
	hopeless := t.wanted < c.now+c.need(t)/faster || c.level > fullLevel
	// It stays away for as long as it lay unread and the hold was too long: those are read or run first.
	comeBack := time.Duration(0)
	if pick(c.terms, "come-back", false) {
		comeBack = min(t.since-t.Arrived+t.excess, pick(c.terms, "come-back-most", comeBack))
	}
	w.Dismiss(t, comeBack, hopeless)
}

// giveUp answers a task that ran, or a repeat whose first may have, and then stops it, so that its core is
// free at once for work that somebody waits for.
func (c *Choice) giveUp(t *Task, reason Reason, w Writer) {
	t.reason = reason
	t.settled = true
	w.GiveUp(t)
	switch t.phase {
	case running:
		c.stop(t, w)
	case calling, wantsCall: // its memory, and its call, are given back only with the end that is told
	default:
		c.remove(t)
	}
}

// stop frees the core of a run whose answer is given, where the site allows stops (which may change in
// service); elsewhere the run goes on to its end and counts on the cores until then.
func (c *Choice) stop(t *Task, w Writer) {
	if c.halts() {
		c.enter(t, over)
		w.Pause(t)
	}
}

func (c *Choice) halts() bool { return pick(c.terms, "halt", "suspend") != "none" }

// expire answers whatever has come to its last moment or can earn nothing any more, in whatever phase.
func (c *Choice) expire(w Writer) {
	c.all = append(append(c.all[:0], c.hold...), c.active...)
	for _, t := range c.all {
		if c.now >= t.wanted && t.phase == held {
			c.dismiss(t, c.expiry(t), w)
		} else if c.now >= t.wanted && !t.settled {
			c.giveUp(t, c.expiry(t), w)
		}
	}
}

// shield keeps tasks off a server whose runs end broken, whatever breaks them. Broken runs are quick, so
// callers that pick the fastest flock to it, and a numbered or at-most-once task broken here can't be run
// elsewhere. One task at a time is still run, to see the end of it. It could harm where all servers break
// most runs, as the few that would go well are then dismissed too; hence only past a half.
func (c *Choice) shield(w Writer) {
	seen := c.ends.sum(c.now)
	erring := seen[0] >= 6 && seen[1] > seen[0]/2
	if erring != c.erring && c.stopAt == 0 {
		w.Health(!erring, true)
		w.Note(fmt.Sprintf("erring: %t, %.0f of %.0f runs broken", erring, seen[1], seen[0]))
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
func (c *Choice) weed(w Writer) {
	ahead := time.Duration(0)
	for _, t := range c.active {
		if t.phase == running {
			need := c.need(t)
			ahead += max(need-t.onCore, need/2)
		}
	}
	_, on, parked := c.counts()
	wide, atCall := max(c.cores, on), c.strainedCall(parked)
	kept, out := c.kept[:0], c.out[:0]
	leaveOut := func(excess time.Duration, reason Reason) *Task {
		least := 0
		for i := range kept {
			if c.density(kept[i]) <= c.density(kept[least]) {
				least = i
			}
		}
		t := kept[least]
		t.excess, t.reason = excess, reason
		kept = slices.Delete(kept, least, least+1)
		out = append(out, t)
		ahead -= c.need(t)
		return t
	}
	for _, t := range c.hold {
		kept = append(kept, t)
		ahead += c.need(t)
		for len(kept) > 0 {
			need := c.need(t)
			start := c.now + time.Duration(float64(ahead-need)/wide)
			// A mean is no bound: most tasks need less, as a few very long ones make it up. Judged
			// by the whole mean, a server with cores to spare sent away what it could have done.
			waits, run := t.Type.Waits, time.Duration(median*float64(need))
			if t.Type.Calls {
				waits = max(waits, atCall)
			}
			latest := t.wanted - waits - run
			latest = min(latest, t.Arrived+time.Duration(plan*float64(latest-t.Arrived)))
			t.late = start+run > t.Arrived+t.Type.ContractTime
			if start <= latest || leaveOut(start-latest, ReasonNoTime) == t {
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
	for _, t := range out {
		if t.Rank >= c.level {
			c.load.add(c.now, 0, c.need(t).Seconds())
		}
		c.dismiss(t, t.reason, w)
	}
	c.kept, c.out = kept, out
}

// need is the core time a task is expected to take here. Time already spent on unfinished runs counts
// against the runs that ended, so that a machine that has just slowed down is noticed before its first end.
func (c *Choice) need(t *Task) time.Duration {
	if t.Hint > 0 && (c.pace.count > 0 || c.lentPace.weight > 0) {
		seen := c.paced.sum(c.now)
		pace, trust := c.prior(c.pace, &c.lentPace)
		trust *= t.Hint.Seconds()
		return time.Duration((seen[0] + trust*pace) / (seen[1] + trust) * float64(t.Hint))
	}
	known := t.Type.usual
	if known.count == 0 {
		known.mean = t.Type.ContractTime.Seconds() / guess
	}
	usual, trust := known.mean, doubt
	if c.borrowed {
		usual, trust = c.prior(known, &t.Type.lent)
	}
	seen := t.Type.runs.sum(c.now)
	return time.Duration((max(seen[0], 0) + trust*usual) / (seen[1] + trust) * float64(time.Second))
}

// density is the importance that a second of work earns. What a customer asks beyond its share is worth
// little and carries no mark, so each of its tasks is taken for the mix that it is on the mean here.
func (c *Choice) density(t *Task) float64 {
	worth := t.Type.Importance
	if t.late { // planned to end past its contract time: it goes before one that would still be in time
		worth *= t.Type.LateShare
	}
	share := c.tenants.rate(t.Customer) / pick(c.terms, "servers", 1.0)
	if asked := c.tenants.asked(t.Customer, c.now); asked > share {
		worth *= 1 - (1-share/asked)*(1-pick(c.terms, "over-share", 1.0))
	}
	if pick(c.terms, "importance-by", "request") == "work" {
		return worth
	}
	return worth / c.need(t).Seconds()
}
