package emulator

import (
	"math/rand"
	"slices"
	"time"
)

// known is what a router knows of a server: what it was told with answers, and nothing else.
type known struct {
	open  int
	level float64
	at    time.Duration // when that was told
	away  time.Duration // until when it is left alone
	cut   time.Duration // until when the way to it is cut
}

// levelOld is how long a level that was told is gone by.
const levelOld = time.Second

// router sends tasks on, by its habits.
type router struct {
	world  *World
	number int
	chance *rand.Rand
	habits Habits
	list   []int // of servers, as it was last told
	known  []known
	next   int
	firsts float64 // earn further tries, by the budget
	spent  float64
}

// pick chooses a server for a request, of those that it has not tried; false where there is none.
func (r *router) pick(q *request) (number int, some bool) {
	now := r.world.now
	fits := func(n int) bool {
		k := &r.known[n]
		if slices.Contains(q.tried, n) || now < k.away {
			return false
		}
		return !r.habits.Heeds || now > k.at+levelOld || q.rank >= k.level
	}
	switch r.habits.Pick {
	case "least":
		best := -1
		for i := range min(len(r.list), 64) { // of more, some that are drawn
			n := r.list[i]
			if len(r.list) > 64 {
				n = r.list[r.chance.Intn(len(r.list))]
			}
			if fits(n) && (best < 0 || r.known[n].open < r.known[best].open) {
				best = n
			}
		}
		return best, best >= 0
	case "subject", "random":
		if len(r.list) == 0 {
			return 0, false
		}
		at := int(q.id*0x9e3779b97f4a7c15>>33) % len(r.list)
		if r.habits.Pick == "random" {
			at = r.chance.Intn(len(r.list))
		}
		for i := range r.list {
			if n := r.list[(at+i)%len(r.list)]; fits(n) {
				return n, true
			}
		}
	case "walk": // always the first of the list that will have it
		for _, n := range r.list {
			if fits(n) {
				return n, true
			}
		}
	default: // round
		for range r.list {
			r.next++
			if n := r.list[r.next%len(r.list)]; fits(n) {
				return n, true
			}
		}
	}
	return 0, false
}

// route sends a request to a server, or tells its client that there is none.
func (r *router) route(q *request, first bool) {
	w := r.world
	if first {
		r.firsts++
	}
	n, some := r.pick(q)
	if !some && first && len(r.list) > 0 && !r.habits.Heeds { // all are known to be down, and one of them may be up again
		n, some = r.list[r.chance.Intn(len(r.list))], true
	}
	if !some {
		w.after(time.Millisecond, func() { w.unserved(q, dismissed, 100*time.Millisecond) })
		return
	}
	q.tried = append(q.tried, n)
	w.ids++
	work, after, calls := q.work, 0.0, w.fleet.Routes[q.kind].Calls != ""
	if calls {
		work, after = q.work/2, q.work/2
	}
	t := &try{id: w.ids, of: q, after: after, call: calls, worth: 1, composed: w.fleet.Plans[w.fleet.Routes[q.kind].Name] != nil}
	t.work = run{of: t, left: work, place: -1}
	r.known[n].open++
	s, sent, ask := w.servers[n], w.now, q.ask
	t.at = s
	waits := q.asked + w.fleet.Routes[q.kind].Deadline - w.now
	w.after(w.way(), func() {
		if q.ask != ask || q.over { // its client has gone on the way
			r.known[n].open--
			return
		}
		if !s.alive || w.now < r.known[n].cut {
			w.back(t, lost, 0, false)
			return
		}
		w.result.Tries++
		w.result.Seconds[w.second(w.now)].Tries++
		s.when(s.life, func() { s.read(t, sent, waits) })
	})
}

// answered takes what became of a try.
func (r *router) answered(t *try, v verdict, level float64, comeBack time.Duration, nowhereElse bool) {
	w, q := r.world, t.of
	k := &r.known[t.at.number]
	k.open--
	if v == lost {
		k.away = w.now + downFor
	} else {
		k.level, k.at = level, w.now
		if r.habits.Heeds && v == dismissed && comeBack > 0 {
			k.away = max(k.away, w.now+comeBack/4) // others are tried meanwhile
		}
	}
	if q.over || len(q.tried) == 0 || q.tried[len(q.tried)-1] != t.at.number {
		return // its client has gone, or asked again
	}
	if v == honoured {
		w.served(q, t.worth)
		return
	}
	once := w.fleet.Routes[q.kind].Once
	// A connection that was refused carried nothing; one that broke may have carried an effect.
	may := v == dismissed || v == lost && !(once && t.reached) || r.habits.Repeat && !once
	left := q.asked + w.fleet.Routes[q.kind].Deadline - w.now
	more := r.habits.Tries == 0 || len(q.tried) < r.habits.Tries || v == lost && len(q.tried) < r.habits.Tries+2
	if r.habits.Heeds && nowhereElse {
		more = false
	}
	if more && r.habits.Budget > 0 && v != lost {
		if more = r.spent+1 <= 10+r.habits.Budget*r.firsts; more {
			r.spent++
		}
	}
	if may && r.habits.Tries == 0 && left > leastCut { // without end: round the list, and again
		if len(q.tried) >= len(r.list) {
			q.tried = nil
		}
		ask := q.ask
		w.after(endless, func() { r.more(q, ask) })
		return
	}
	if may && more && left > leastCut && len(q.tried) < len(r.list) {
		r.route(q, false)
		return
	}
	w.unserved(q, v, comeBack)
}

// endless is between the tries of a router that makes them without end.
const endless = 20 * time.Millisecond

// more makes a further try of an ask, if that is still on.
func (r *router) more(q *request, ask uint64) {
	if !q.over && q.ask == ask {
		r.route(q, false)
	}
}

// heard has the router's list become as told, after the lag.
func (w *World) heard(number int, here bool) {
	for _, r := range w.routers {
		w.after(w.lag, func() {
			at := slices.Index(r.list, number)
			switch {
			case here && at < 0:
				r.list = append(r.list, number)
				slices.Sort(r.list)
				r.known[number].away = 0
			case !here && at >= 0:
				r.list = slices.Delete(r.list, at, at+1)
			}
		})
	}
}
