package admission

// When and for how long calls go to the shared dependency: within the server's share of what it survives.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (c *Controller) returned(e Completion, w Executor) {
	request := e.Request
	if request.phase != calling {
		return
	}
	c.enter(request, wantsCall)
	switch e.Outcome {
	case Succeeded:
		c.called.add(c.now, 1, e.Took.Seconds())
		c.callUsual.take(e.Took.Seconds(), 500)
		c.callSeen.take(e.Took.Seconds(), c.now)
		c.enter(request, running)
		return
	case Unknown:
		c.called.add(c.now, 1, e.Took.Seconds()) // abandoned at once, it tells of the server's patience only
		c.holdsCall(c.settings.CallLinger)
		c.callGuess = max(c.callGuess, e.Took.Seconds())
	default:
		c.called.add(c.now, 0, 0, 1)
	}
	// A call turned away costs the dependency work too. Asking again at once would keep a jam alive that
	// all servers feed, so each asks later than the last time, and no two at the same moment.
	request.refusals++
	wait := max(c.callUsual.mean, c.lentCallTime(), sweep.Seconds()) * math.Exp2(float64(min(request.refusals, 6)))
	wait *= 0.5 + c.rng.Float64()
	request.notBefore = c.now + time.Duration(wait*float64(time.Second))
	switch {
	case request.settled || e.Outcome == NotRun:
	case request.Route.SkipValueShare > 0:
		c.enter(request, running)
		w.SkipCall(request)
	case request.Route.Idempotency != Retryable:
		c.giveUp(request, ReasonCallUnclear, w)
	}
}

// holdsCall books time for which a call was in the dependency's hands.
func (c *Controller) holdsCall(spent time.Duration) {
	c.inHand.add(c.now, spent.Seconds())
	c.callSaved -= spent.Seconds()
}

// placeCalls lets calls go to the shared dependency within the server's share of what it survives; the
// most urgent go first, and one that would come back too late goes on without where that earns anything.
// A share may be less than one call, and hundreds of servers that hold one each are more than the dependency
// survives. So the room is a mean over time: a call uses up what the room has saved, and the next waits until
// that is made good. A room of more than one bounds the number in hand as well.
func (c *Controller) placeCalls(w Executor) {
	var waiting []*Request
	inHand := 0.0
	for _, request := range c.active {
		switch request.phase {
		case wantsCall:
			waiting = append(waiting, request)
		case calling:
			inHand++
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(b.skipLoss(), a.skipLoss()), cmp.Compare(a.wanted, b.wanted))
	})
	over := c.settings.CallWindow.Seconds()
	in, on, _ := c.counts()
	crowd := max(1, in/c.cores)
	for ahead, request := range waiting {
		if request.settled {
			continue // ends here by itself
		}
		rest := time.Duration(crowd * float64(max(c.need(request)-request.onCore, c.need(request)/4)))
		// Those ahead use up the room first, and all in flight share the cores for what is left. By its own
		// times alone a task waited until it was too late to go on without; half of the slack is kept back.
		turn := c.callTime()
		if behind := (float64(ahead)+inHand)*turn.Seconds() - c.callSaved; behind > 0 {
			turn += time.Duration(behind / c.callRoom * float64(time.Second))
		}
		// While the dependency is strained the room that is left belongs to those that can't do without it.
		spare := !c.strained || inHand+1 <= max(1, c.callRoom*strainShare) && c.callSaved > c.callRoom*strainShare
		if request.Route.SkipValueShare > 0 && (!spare || c.now+rest+2*turn > request.wanted) {
			c.enter(request, running)
			w.SkipCall(request)
			continue
		}
		if c.now < request.notBefore {
			continue
		}
		if inHand+1 > max(1, c.callRoom) || c.callSaved <= 0 || !c.callsTurn() || on+inHand+1 > c.crowdRoom() {
			c.callsHeld = true
			continue
		}
		patience := request.wanted - c.now
		if request.Route.SkipValueShare > 0 {
			patience -= rest
		}
		// More in hand than the share is survived for part of the time only, so no such call may outlast that.
		if inHand+1 > c.callShare {
			left := c.callShare*over*hardMemory - c.inHand.sum(c.now)[0]
			left -= c.settings.CallLinger.Seconds()
			patience = min(patience, max(time.Duration(left*float64(time.Second)), 2*c.callTime()))
		}
		// A call that is never answered would keep its place until its task is given up. What may run again asks
		// again, each time later, as a dependency may just have grown slow.
		if c.callUsual.count > 0 && request.Route.Idempotency == Retryable {
			lost := c.callUsual.mean * callLost * math.Exp2(float64(min(request.refusals, 6)))
			patience = min(patience, time.Duration(lost*float64(time.Second)))
		}
		inHand++
		request.calledAt = c.now
		c.enter(request, calling)
		w.Call(request, max(patience, sweep))
	}
}

// callsTurn spreads over a fleet calls that are more than a share bears: hundreds of servers that begin one
// each at a release, or in a burst, pass what the dependency survives. A turn comes for each call that the
// room allows, at a phase of the server's own, and lasts for what the share leaves. Few with work wait more.
func (c *Controller) callsTurn() bool {
	over := max(c.settings.CallWindow, sweep).Seconds()
	spare := (c.callShare*hardMemory - c.callRoom) * over
	return c.callShare <= noShare || math.Mod(c.callTurns, 1) < spare/c.callTook()
}

func (c *Controller) callTook() float64 {
	return cmp.Or(c.callUsual.mean, c.lentCallTime(), c.callGuess)
}

// callsSeen sums up the latest calls. A small server has one in hand at a time, so a late one counts at once.
func (c *Controller) callsSeen(buckets int) [4]float64 {
	seen := c.called.recent(c.now, buckets)
	for _, request := range c.active {
		if took := (c.now - request.calledAt).Seconds(); request.phase == calling && took > degraded*c.callUsual.mean {
			seen[0]++
			seen[1] += took
		}
	}
	return seen
}

// skipLoss is the importance that is lost when a task goes on without its call.
func (r *Request) skipLoss() float64 { return r.Route.Value * (1 - r.Route.SkipValueShare) }

func (c *Controller) callTime() time.Duration {
	seen := c.callsSeen(len(c.called.buckets))
	return time.Duration(max(seen[1]/max(seen[0], 1), c.lentCallTime()) * float64(time.Second))
}

// calibrateCalls, four times a second, moves the room for calls by the rule of the limit: up by a part of the
// share while calls wait and come back as usual, down by a quarter when turned away or much later than usual.
func (c *Controller) calibrateCalls() {
	seen := c.callsSeen(4)
	// The mean of a few calls varies widely; without that margin calm servers saw strain several times a
	// minute and left out calls that had all the time they needed.
	slow := degraded * (1 + few/max(seen[0], 1)) * c.callUsual.mean
	c.strained = seen[2] > 0 || c.callUsual.count > 0 && seen[0] > 0 && seen[1]/seen[0] > slow
	switch {
	case c.strained:
		c.callRoom = max(c.callShare*callLeast, c.callRoom*backoff)
	case c.callsHeld:
		c.callRoom = min(c.callRoom+c.callShare*callRise, c.callShare*callMost)
	}
	c.callsHeld = false
}

// strainedCall is a call's time and the turn behind those parked, that a calling task waits off the cores
// under strain; without it such tasks waited at their call until given up. At ease turns clear faster: 0.
func (c *Controller) strainedCall(parked float64) time.Duration {
	if !c.strained {
		return 0
	}
	turn := c.callTime()
	return turn + time.Duration(parked/max(1, c.callRoom)*float64(turn))
}
