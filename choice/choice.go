package choice

// One Choice decides for one app server. The program calls New with the terms it was started under and
// a seed, then Decide once a round with all that came in; decisions go into the Writer in their order.
// Round, Task, Route and Writer, the whole interface, are in task.go; ring.go measures over time.
//
// The ordinary path is the in-flight limit of docs/design.md: calibrate moves it, mayStart obeys it, the
// hold keeps the rest by due time. The other functions are the exceptions and guards that page lists.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	sweep        = 25 * time.Millisecond // between alarms; the margins below are counted in it
	period       = time.Second           // between calibrations of the limit
	backoff      = 0.75                  // what a backoff event leaves of the limit
	softMemory   = 0.75
	softCPU      = 0.90
	idleCPU      = 0.70             // the limit climbs fast below this while work is held
	degraded     = 1.5              // short average of latency over the long one
	mostPerCore  = 6.0              // ceiling of the limit, in tasks a core
	crowdShare   = 0.8              // part of the survived crowd that may be in flight
	hardMemory   = 0.9              // part of the memory, or of the calls survived, that is ever planned for
	callMost     = 0.7              // part of its share of the dependency that a server ever plans for
	callStart    = 0.4              // part of it that it starts with
	callLeast    = 0.1              // part of it that strain leaves
	few          = 4.0              // tasks or calls that are half believed
	noShare      = 1e-3             // taken where none is told: a call goes now and then
	callLost     = 8.0              // times as long as usual, after which a call is taken for lost
	callRise     = 0.05             // part of it that the room gains in a quarter of a second
	strainShare  = 0.5              // part of that room open to tasks that can do without, under strain
	customerSpan = 10 * time.Second // over which a customer's share is judged
	mostCallers  = 4096             // remembered; invented ones must not fill the memory
	fewTasks     = 10               // tasks read before connections are closed by what was seen of callers
	guess        = 6                // a type never seen is taken to need this part of its contract time
	plan         = 0.75             // part of the time a task could wait that it is planned to wait
	readCrowd    = 1.2              // runs and reads a core at which no further run starts
	median       = 0.7              // of the core time of a type's tasks, as a part of their mean
	doubt        = 2.0              // runs' worth of trust that the long average gets beside the recent one
	easy         = 0.05             // part of the work that may be dismissed before the level rises
	levelRise    = 0.05             // what the level gains in a tenth of a second when all is dismissed
	levelFall    = 0.02             // what it loses once few are dismissed or cores are free
	unreadWeight = 3.0              // push of the part of the contract time that lies unread
	faster       = 2                // times as fast as this one another server may well be
	fullLevel    = 0.06             // dismissals ask callers not to try elsewhere over this
	levelMost    = 0.95             // the most important tasks are never kept away altogether
)

// Choice decides for one server.
type Choice struct {
	Routes []*Route

	terms   map[string]any
	busy    map[*learned]bool // of routes whose runs ended lately, the only ones whose latency can have moved
	tenants tenants
	rng     *rand.Rand
	now     time.Duration
	began   time.Duration

	cores, memory, factor, numberKB float64
	coldShare, warmUp               float64 // speed at the start, and the time until all of it is there

	hold    []*Task // by due time
	active  []*Task // all others that hold something: running, at a call, echoing, answered but on
	numbers []*Task // entries of the table of numbers

	all, kept, out []*Task // room for what a round goes through

	limit      float64
	event      bool // a backoff event since the last calibration
	calibrated time.Duration
	callers    map[uint32]time.Duration // when each last came
	known      *ring                    // tasks read, and those of callers that came within the idle time before
	gauges     Gauges
	reads      float64 // what wanted a core at the last alarm beside runs
	swept      time.Duration
	ticks      int
	stopAt     time.Duration
	noticed    time.Duration

	level     float64
	said      float64
	load      *ring // work read, work dismissed for want of room
	unread    *ring // tasks read, and the part of their contract time they had lain unread
	ends      *ring // runs ended, and those that broke
	erring    bool
	paced     *ring   // core time spent and hinted work done
	called    *ring   // calls that went well, their time, calls that did not
	callShare float64 // what the server may hold on the mean of the calls that the dependency survives
	callRoom  float64 // what it plans to hold on the mean
	callSaved float64 // seconds of calls in hand that it has left unused, or is ahead by
	callGuess float64 // seconds that a call is taken to need before one is known
	callTurns float64 // turns to make a call that have passed
	callUsual trend
	strained  bool  // calls take much longer than usual or come back undone
	callsHeld bool  // a call waited for room since the last look
	inHand    *ring // calls in hand times seconds
	pace      trend

	paceSeen, callSeen               sight // to be handed out
	lentPace, lentCalls, lentReturns lent
	lentScale                        float64 // own times over those told
	borrowed                         bool    // something that is borrowed is not old yet
}

// pick reads one of the terms, or what holds where it was not stated.
func pick[T any](terms map[string]any, name string, otherwise T) T {
	if v, stated := terms[name].(T); stated {
		return v
	}
	return otherwise
}

// New starts the decisions of a server that knows its terms and nothing else.
func New(terms map[string]any, seed int64) *Choice {
	c := &Choice{
		terms:    terms,
		rng:      rand.New(rand.NewSource(seed)),
		cores:    pick(terms, "cores", 1.0),
		memory:   pick(terms, "memory-kb", math.Inf(1)) * hardMemory,
		factor:   pick(terms, "running-factor", 1.0),
		numberKB: pick(terms, "number-kb", 0.0),
		warmUp:   float64(max(pick(terms, "warm-up", time.Second), 1)),
		load:     newRing(time.Second, 10),
		unread:   newRing(time.Second, 10),
		known:    newRing(customerSpan, 10),
		callers:  map[uint32]time.Duration{},
		busy:     map[*learned]bool{},
		ends:     newRing(3*time.Second, 6),
		paced:    newRing(6*time.Second, 12),
		called:   newRing(2*time.Second, 8),
		inHand:   newRing(pick(terms, "calls-over", 5*time.Second), 20),
	}
	c.limit, c.coldShare = c.cores, 1
	if pick(terms, "cold", false) {
		c.coldShare = pick(terms, "cold-share", 0.0)
	}
	c.callShare = max(pick(terms, "calls-share", 0.0), noShare)
	if pick(terms, "below", "shared") == "tier" {
		// Servers below that run this code guard themselves and tell no share: what may be at calls is what
		// the crowd here allows, and the room moves by what comes back, turned away or late.
		c.callShare = crowdShare * pick(terms, "crowd", 2.0) * c.cores
	}
	c.callRoom = c.callShare * callStart
	c.callSaved, c.callTurns = c.callRoom, c.rng.Float64()
	for i := range int(pick(terms, "types", 0.0)) {
		c.Put(nil, newRoute(terms, i))
	}
	c.tenants = newTenants(terms)
	return c
}

// Decide takes all that came in and writes what is to be done. A call's outcome is taken before a new call
// of the same task, and both before its end, so that a round may hold a task's whole story.
func (c *Choice) Decide(r *Round, w Writer) {
	c.now = r.Now
	if c.swept == 0 {
		c.began, c.swept, c.calibrated = r.Now, r.Now, r.Now
		w.Health(true, true)
		w.Wake(sweep)
	}
	c.began = max(c.began, r.Booted)
	if r.StopAt > 0 && c.stopAt == 0 {
		c.leave(r.StopAt, cmp.Or(r.Noticed, c.now), w)
	}
	for _, e := range r.Returned {
		c.returned(e, w)
	}
	for _, t := range r.AtCall {
		if t.phase == running {
			c.enter(t, wantsCall)
		}
	}
	for _, e := range r.Ended {
		c.ended(e)
	}
	for _, t := range r.Arrived {
		c.arrived(t, w)
	}
	for _, t := range r.Gone { // after those that came in: a caller may leave in the moment its task is read
		c.gone(t, w)
	}
	if r.Gauges != nil {
		c.gauges = *r.Gauges
		_, on, _ := c.counts()
		c.reads = min(c.gauges.Crowd-on, c.cores) // one a core at a time
		c.measure(w)
		w.Wake(sweep)
	}
	c.expire(w)
	c.shield(w)
	c.weed(w)
	c.placeCalls(w)
	for len(c.hold) > 0 && c.mayStart(c.hold[0]) {
		t := c.hold[0]
		c.hold = slices.Delete(c.hold, 0, 1)
		t.ran = true
		c.active = append(c.active, t)
		c.enter(t, running)
		w.Start(t)
	}
}

// enter books the time of the phase that ends and begins the next.
func (c *Choice) enter(t *Task, next phase) {
	spent := c.now - t.since
	t.since = c.now
	if t.phase == calling {
		c.holdsCall(spent)
	}
	if t.phase == running || t.phase == over {
		t.onCore += spent
		t.Type.runs.add(c.now, spent.Seconds())
		if t.Hint > 0 {
			c.paced.add(c.now, spent.Seconds())
		}
	}
	t.phase = next
}

// holdsCall books time for which a call was in the dependency's hands.
func (c *Choice) holdsCall(spent time.Duration) {
	c.inHand.add(c.now, spent.Seconds())
	c.callSaved -= spent.Seconds()
}

// remove takes a task that holds nothing more off the books.
func (c *Choice) remove(t *Task) {
	is := func(other *Task) bool { return other == t }
	c.hold, c.active = slices.DeleteFunc(c.hold, is), slices.DeleteFunc(c.active, is)
}

func (c *Choice) arrived(t *Task, w Writer) {
	t.since = c.now
	// One that claims to have come long ago must not pass for a backlog of many.
	c.unread.add(c.now, 1, min(1, float64(c.now-t.Arrived)/float64(t.Type.ContractTime)))
	t.last = t.Arrived + t.Type.OuterLimit
	if t.Due > 0 {
		t.last = t.Due
	}
	t.last -= 2 * sweep
	t.wanted = t.last
	if t.Type.LateShare == 0 {
		t.wanted = min(t.last, t.Arrived+t.Type.ContractTime)
	}
	again := 0.0
	last, came := c.callers[t.Caller]
	if came && c.now-last < pick(c.terms, "idle", time.Duration(0)) {
		again = 1
	}
	if came || len(c.callers) < mostCallers { // past that a caller known is taken for new, which closes sooner
		c.callers[t.Caller] = c.now
	}
	c.known.add(c.now, 1, again)
	c.tenants.add(t.Customer, c.now)
	if t.Rank >= c.level {
		c.load.add(c.now, c.need(t).Seconds())
	}
	if t.Again {
		c.enter(t, echoing)
		c.active = append(c.active, t)
		w.AnswerFromFirst(t)
		return
	}
	if c.stopAt > 0 {
		t.last, t.wanted = min(t.last, c.stopAt), min(t.wanted, c.stopAt)
		if t.Arrived > c.noticed+pick(c.terms, "grace", time.Duration(0)) {
			c.dismiss(t, ReasonDraining, w)
			return
		}
	}
	if t.Type.Repeats == Numbered {
		// The entry comes before any run, so that no repeat is taken for a new task; without room, no task.
		if c.used()+c.numberKB+t.HeldKB > c.memory {
			c.dismiss(t, ReasonMemory, w)
			return
		}
		t.kept = t.Arrived + t.Type.Window + sweep
		c.numbers = append(c.numbers, t)
		w.Remember(t, t.kept-c.now)
	}
	i, _ := slices.BinarySearchFunc(c.hold, t, func(a, b *Task) int {
		if a.last <= b.last {
			return -1
		}
		return 1
	})
	c.hold = slices.Insert(c.hold, i, t)
}

func (c *Choice) returned(e Ending, w Writer) {
	t := e.Task
	if t.phase != calling {
		return
	}
	c.enter(t, wantsCall)
	switch e.Outcome {
	case Done:
		c.called.add(c.now, 1, e.Took.Seconds())
		c.callUsual.take(e.Took.Seconds(), 500)
		c.callSeen.take(e.Took.Seconds(), c.now)
		c.enter(t, running)
		return
	case Unclear:
		c.called.add(c.now, 1, e.Took.Seconds()) // abandoned at once, it tells of the server's patience only
		c.holdsCall(pick(c.terms, "calls-linger", time.Duration(0)))
		c.callGuess = max(c.callGuess, e.Took.Seconds())
	default:
		c.called.add(c.now, 0, 0, 1)
	}
	// A call turned away costs the dependency work too. Asking again at once would keep a jam alive that
	// all servers feed, so each asks later than the last time, and no two at the same moment.
	t.refusals++
	wait := max(c.callUsual.mean, c.lentCallTime(), sweep.Seconds()) * math.Exp2(float64(min(t.refusals, 6)))
	wait *= 0.5 + c.rng.Float64()
	t.notBefore = c.now + time.Duration(wait*float64(time.Second))
	switch {
	case t.settled || e.Outcome == NotRun:
	case t.Type.SkipShare > 0:
		c.enter(t, running)
		w.SkipCall(t)
	case t.Type.Repeats != Reissuable:
		c.giveUp(t, ReasonCallUnclear, w)
	}
}

func (c *Choice) ended(e Ending) {
	t := e.Task
	if t.phase == echoing {
		c.remove(t)
		return
	}
	if c.enter(t, t.phase); t.phase == calling {
		// Its call was not reported to have ended, so it is abandoned with the run, and stays in the dependency's hands.
		c.holdsCall(pick(c.terms, "calls-linger", time.Duration(0)))
	}
	if e.Outcome == Done || e.Outcome == Broken {
		t.Type.runs.add(c.now, 0, 1, e.Took.Seconds())
		c.busy[t.Type.learned] = true
		c.ends.add(c.now, 1, float64(e.Outcome-Done))
		if t.Hint > 0 {
			c.paced.add(c.now, 0, t.Hint.Seconds())
		}
		c.learn(t, e.Took)
	}
	if e.Outcome == Void { // what never began took no time: no sign of what others need
		t.Type.runs.add(c.now, -t.onCore.Seconds())
	}
	t.settled = true
	c.remove(t)
}

// learn takes the run of a task that ended into the long averages. One that outlived its deadline tells of trouble, which
// the sums of the last seconds show. A long average over the deadline would outlast the trouble for good: no task of
// the type would be begun any more, and so none could show that they are short again.
func (c *Choice) learn(t *Task, took time.Duration) {
	if t.settled && max(took, t.onCore) > t.Type.OuterLimit {
		return
	}
	t.Type.usual.take(t.onCore.Seconds(), 200)
	t.Type.latency.take(took.Seconds(), 200)
	t.Type.coreSeen.take(t.onCore.Seconds()*c.speed(), c.now)
	t.Type.runSeen.take(took.Seconds(), c.now)
	if t.Hint > 0 {
		c.pace.take(t.onCore.Seconds()/t.Hint.Seconds(), 200)
		c.paceSeen.take(t.onCore.Seconds()*c.speed()/t.Hint.Seconds(), c.now)
	}
}

// gone frees what was kept for a task that nobody waits for. A numbered one that runs goes on: its client
// may come again with the number, and is then answered from this run.
func (c *Choice) gone(t *Task, w Writer) {
	switch {
	case t.phase == held || t.phase == echoing:
		c.forget(t, w)
		t.settled = true
		c.remove(t)
	case t.phase == running || t.phase == wantsCall || t.phase == calling:
		t.settled = true
		if t.phase == running && t.Type.Repeats == Reissuable {
			c.stop(t, w)
		}
	}
}

// forget gives the entry of a task that never ran back; one that ran stays known for its whole window.
func (c *Choice) forget(t *Task, w Writer) {
	if t.kept > 0 && !t.ran {
		t.kept = 0
		c.numbers = slices.DeleteFunc(c.numbers, func(n *Task) bool { return n == t })
		w.Forget(t)
	}
}

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

// leave makes the server ready to go: checks fail, the level shuts, and nothing is planned past the stop.
func (c *Choice) leave(stopAt, noticed time.Duration, w Writer) {
	c.stopAt, c.noticed = stopAt-2*sweep, noticed
	w.Health(false, true)
	for _, t := range slices.Concat(c.hold, c.active) {
		t.last, t.wanted = min(t.last, c.stopAt), min(t.wanted, c.stopAt)
	}
	in, _, _ := c.counts()
	w.Note(fmt.Sprintf("leaving: %d held, %.0f in flight", len(c.hold), in))
}

// say tells callers the level in the site's words: a rank below which they send nothing, or the part of
// the tasks that they do not take elsewhere, which is what a level lets in where ranks are spread evenly.
func (c *Choice) say(level float64, w Writer) {
	value := map[string]float64{"threshold": level, "share_of": 1 - level}
	if v, told := value[pick(c.terms, "advert", "none")]; told && v != c.said {
		w.Level(v)
		c.said = v
	}
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

// strainedCall is a call's time and the turn behind those parked, that a calling task waits off the cores
// under strain; without it such tasks waited at their call until given up. At ease turns clear faster: 0.
func (c *Choice) strainedCall(parked float64) time.Duration {
	if !c.strained {
		return 0
	}
	turn := c.callTime()
	return turn + time.Duration(parked/max(1, c.callRoom)*float64(turn))
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

// counts are the tasks in flight, those of them on the cores, and those that wait for room for their call.
func (c *Choice) counts() (in, on, parked float64) {
	for _, t := range c.active {
		if t.phase != echoing {
			in++
		}
		if t.phase == running || t.phase == over {
			on++
		}
		if t.phase == wantsCall {
			parked++
		}
	}
	return in, on, parked
}

// used is the memory spoken for, with the reads that may come before the next round.
func (c *Choice) used() float64 {
	kb := float64(len(c.numbers)) * c.numberKB
	for _, t := range c.hold {
		kb += t.HeldKB
	}
	for _, t := range c.active {
		if t.phase == echoing {
			kb += t.HeldKB
		} else {
			kb += t.HeldKB * c.factor
		}
	}
	return kb
}

// crowdRoom is how many may be on the cores or at a call without the cores ever being crowded past what the
// server survives, even if all came back from their calls at once; a run that waits for room for its call
// comes back only by a call placed within it. A cold server is taken to be as cold as stated.
func (c *Choice) crowdRoom() float64 {
	return crowdShare * (1 + (pick(c.terms, "crowd", 2.0)-1)*c.speed()) * c.cores
}

// speed is the part of its speed that the server is taken to have, as it warms up from a cold start.
func (c *Choice) speed() float64 {
	return min(1, c.coldShare+(1-c.coldShare)*float64(c.now-c.began)/c.warmUp)
}

// mayStart is the gate of the design: under the limit, or beyond it while the cores have room to spare. The
// departure: room is a core with no run on it now, not a gauge below 70%. That gauge looks half a second
// back, so with runs away at calls a server full of held work kept a sixth of its cores idle. It acts only
// while runs wait at calls or disk, and could harm where those all come back at once; crowdRoom bounds that.
func (c *Choice) mayStart(t *Task) bool {
	in, on, parked := c.counts()
	if in-parked+1 > c.crowdRoom() || c.used()+t.HeldKB*(c.factor-1) > c.memory {
		return false
	}
	// Reads share the cores with runs. When they heap up, in a burst or on a cold server, each task is old
	// before it is known, and most are then read in vain; so reading goes first. At most one task a core is
	// read at a time, so some runs always go on. It could harm where reads are many but short.
	if on+c.reads >= c.cores*readCrowd {
		return false
	}
	return in < math.Floor(c.limit) || on < c.cores && c.gauges.Memory < softMemory
}

// placeCalls lets calls go to the shared dependency within the server's share of what it survives; the
// most urgent go first, and one that would come back too late goes on without where that earns anything.
// A share may be less than one call, and hundreds of servers that hold one each are more than the dependency
// survives. So the room is a mean over time: a call uses up what the room has saved, and the next waits until
// that is made good. A room of more than one bounds the number in hand as well.
func (c *Choice) placeCalls(w Writer) {
	var waiting []*Task
	inHand := 0.0
	for _, t := range c.active {
		switch t.phase {
		case wantsCall:
			waiting = append(waiting, t)
		case calling:
			inHand++
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.skipLoss(), a.skipLoss()), cmp.Compare(a.wanted, b.wanted))
	})
	over := pick(c.terms, "calls-over", 5*time.Second).Seconds()
	in, on, _ := c.counts()
	crowd := max(1, in/c.cores)
	for ahead, t := range waiting {
		if t.settled {
			continue // ends here by itself
		}
		rest := time.Duration(crowd * float64(max(c.need(t)-t.onCore, c.need(t)/4)))
		// Those ahead use up the room first, and all in flight share the cores for what is left. By its own
		// times alone a task waited until it was too late to go on without; half of the slack is kept back.
		turn := c.callTime()
		if behind := (float64(ahead)+inHand)*turn.Seconds() - c.callSaved; behind > 0 {
			turn += time.Duration(behind / c.callRoom * float64(time.Second))
		}
		// While the dependency is strained the room that is left belongs to those that can't do without it.
		spare := !c.strained || inHand+1 <= max(1, c.callRoom*strainShare) && c.callSaved > c.callRoom*strainShare
		if t.Type.SkipShare > 0 && (!spare || c.now+rest+2*turn > t.wanted) {
			c.enter(t, running)
			w.SkipCall(t)
			continue
		}
		if c.now < t.notBefore {
			continue
		}
		if inHand+1 > max(1, c.callRoom) || c.callSaved <= 0 || !c.callsTurn() || on+inHand+1 > c.crowdRoom() {
			c.callsHeld = true
			continue
		}
		patience := t.wanted - c.now
		if t.Type.SkipShare > 0 {
			patience -= rest
		}
		// More in hand than the share is survived for part of the time only, so no such call may outlast that.
		if inHand+1 > c.callShare {
			left := c.callShare*over*hardMemory - c.inHand.sum(c.now)[0]
			left -= pick(c.terms, "calls-linger", time.Duration(0)).Seconds()
			patience = min(patience, max(time.Duration(left*float64(time.Second)), 2*c.callTime()))
		}
		// A call that is never answered would keep its place until its task is given up. What may run again asks
		// again, each time later, as a dependency may just have grown slow.
		if c.callUsual.count > 0 && t.Type.Repeats == Reissuable {
			lost := c.callUsual.mean * callLost * math.Exp2(float64(min(t.refusals, 6)))
			patience = min(patience, time.Duration(lost*float64(time.Second)))
		}
		inHand++
		t.calledAt = c.now
		c.enter(t, calling)
		w.Call(t, max(patience, sweep))
	}
}

// callsTurn spreads over a fleet calls that are more than a share bears: hundreds of servers that begin one
// each at a release, or in a burst, pass what the dependency survives. A turn comes for each call that the
// room allows, at a phase of the server's own, and lasts for what the share leaves. Few with work wait more.
func (c *Choice) callsTurn() bool {
	over := max(pick(c.terms, "calls-over", 5*time.Second), sweep).Seconds()
	spare := (c.callShare*hardMemory - c.callRoom) * over
	return c.callShare <= noShare || math.Mod(c.callTurns, 1) < spare/c.callTook()
}

func (c *Choice) callTook() float64 { return cmp.Or(c.callUsual.mean, c.lentCallTime(), c.callGuess) }

// callsSeen sums up the latest calls. A small server has one in hand at a time, so a late one counts at once.
func (c *Choice) callsSeen(buckets int) [4]float64 {
	seen := c.called.recent(c.now, buckets)
	for _, t := range c.active {
		if took := (c.now - t.calledAt).Seconds(); t.phase == calling && took > degraded*c.callUsual.mean {
			seen[0]++
			seen[1] += took
		}
	}
	return seen
}

// skipLoss is the importance that is lost when a task goes on without its call.
func (t *Task) skipLoss() float64 { return t.Type.Importance * (1 - t.Type.SkipShare) }

func (c *Choice) callTime() time.Duration {
	seen := c.callsSeen(len(c.called.buckets))
	return time.Duration(max(seen[1]/max(seen[0], 1), c.lentCallTime()) * float64(time.Second))
}

// measure runs at each alarm: it books time, notices backoff events and moves limit and level.
func (c *Choice) measure(w Writer) {
	passed := (c.now - c.swept).Seconds()
	c.swept = c.now
	c.ticks++
	c.numbers = slices.DeleteFunc(c.numbers, func(t *Task) bool { return t.kept <= c.now })
	c.callSaved = min(c.callSaved+c.callRoom*passed, c.callRoom)
	c.callTurns += passed * c.callRoom / c.callTook()
	c.weighLent(c.now)
	for _, t := range c.active {
		if t.phase == over && c.halts() {
			w.Pause(t) // a stop has no effect while the cores stand still
		}
		c.enter(t, t.phase)
	}
	if c.gauges.CPU >= softCPU || c.gauges.Memory >= softMemory {
		c.event = true
	}
	for t := range c.busy { // what is done is the same in any order
		short := t.runs.recent(c.now, 4)
		if short[1] == 0 {
			delete(c.busy, t)
		} else if short[1] >= 5 && short[2]/short[1] > degraded*t.latency.mean {
			c.event = true
		}
	}
	if c.ticks%10 == 0 {
		c.calibrateCalls()
	}
	if c.now >= c.calibrated+period {
		c.calibrate(w)
	} else if c.gauges.CPU < idleCPU && len(c.hold) > 0 && c.ticks%4 == 0 {
		c.limit = min(c.limit+1, c.ceiling())
	}
	if c.stopAt > 0 && c.now > c.noticed+pick(c.terms, "grace", time.Duration(0)) {
		c.say(1, w)
	} else if c.stopAt == 0 && c.ticks%4 == 0 {
		seen := c.load.sum(c.now)
		lain := c.unread.sum(c.now)
		// A small server reads few tasks in a second: one dismissed of two is no sign that half are too much.
		short := min(1, max(seen[1]/max(seen[0], 1e-9), unreadWeight*lain[1]/max(lain[0], 1)))
		short *= lain[0] / (lain[0] + few)
		move := levelRise * (short*short - easy*easy)
		if move < 0 || c.gauges.CPU < softCPU {
			move = -levelFall
		}
		c.level = min(max(c.level+move, 0), levelMost)
		c.say(math.Round(c.level*100)/100, w)
	}
}

// calibrate is the design's pass over the limit.
func (c *Choice) calibrate(w Writer) {
	c.calibrated = c.now
	if c.event {
		c.limit *= backoff
	} else {
		c.limit++
	}
	c.event = false
	c.limit = max(min(c.limit, c.ceiling()), c.cores)
	c.closeIdle(w)
}

// closeIdle closes connections sooner the less they are used again. Each one open takes part of the cores
// and of a table that is full at some number, and a full table turns callers away unseen; a new one costs
// work too. Where a caller comes back less than once in the time that routers keep a connection, most are
// kept for nothing; the part of tasks that did come back within it, to the fourth, is what is kept of it.
// It guards against any number of routers; it could harm where callers come in bouts with long rests.
func (c *Choice) closeIdle(w Writer) {
	idle := pick(c.terms, "idle", time.Duration(0))
	maps.DeleteFunc(c.callers, func(_ uint32, last time.Duration) bool { return last+idle <= c.now })
	seen := c.known.sum(c.now)
	if seen[0] < fewTasks && c.lentReturns.weight > 0 {
		seen[0], seen[1] = fewTasks, fewTasks*c.lentReturns.told.Mean
	}
	if seen[0] >= fewTasks && idle > 0 {
		w.CloseIdle(max(10*time.Millisecond, time.Duration(math.Pow(seen[1]/seen[0], 4)*float64(idle))))
	}
}

// calibrateCalls, four times a second, moves the room for calls by the rule of the limit: up by a part of the
// share while calls wait and come back as usual, down by a quarter when turned away or much later than usual.
func (c *Choice) calibrateCalls() {
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

// ceiling is the lower of a multiple of the cores and what memory allows at the mean running size.
func (c *Choice) ceiling() float64 {
	runs, kb := 0.0, 0.0
	for _, t := range c.active {
		if t.phase != echoing {
			runs++
			kb += t.HeldKB * c.factor
		}
	}
	most := mostPerCore * c.cores
	if runs > 0 {
		most = min(most, (c.memory-c.used()+kb)/(kb/runs))
	}
	return most
}
