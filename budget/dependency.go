package budget

import (
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	period       = time.Second // between calibrations of the limit
	backoff      = 0.75        // what a backoff event leaves of it
	startShare   = 0.5         // part of the share that the limit starts with
	degraded     = 1.5         // recent mean of call times over the long one
	few          = 4.0         // calls that are half believed
	slowTimes    = 4.0         // a call of so many times the long mean is slow
	slowShare    = 0.2         // part of calls that may be slow, or fail, without a backoff event
	longMemory   = 200.0       // calls that the long mean looks back over
	bucketWidth  = 250 * time.Millisecond
	buckets      = 8   // two seconds
	breakLeast   = 5   // calls in the span before the breaker judges by their share
	breakShare   = 0.5 // part of them that fail
	firstOpen    = 100 * time.Millisecond
	mostOpen     = 500 * time.Millisecond
	leastProbe   = 50 * time.Millisecond
	probes       = 2    // that must end well, one after the other, before the breaker closes
	slowStart    = 0.5  // part of the limit that a dependency starts with once it is back
	mostTokens   = 10.0 // second attempts that can be saved up
	hedgeAt      = 95.0 // percentile of call times after which a second attempt is made beside the first
	hedgeLeast   = 20   // calls seen before that is known
	mostCallTime = int64(60 * time.Second / time.Microsecond)
)

// Options are what is stated of a dependency.
type Options struct {
	Name       string
	Share      int           // calls that it survives of this server, abandoned ones included
	QueueLimit int           // calls that may wait for room
	Linger     time.Duration // after which a call that nobody waits for is taken to have ended
	RetryRatio float64       // second attempts for each first one that went well
}

// Breaker is whether calls go to a dependency at all.
type Breaker int

// The states. Half-open lets one probe at a time through.
const (
	Closed Breaker = iota
	Open
	HalfOpen
)

func (b Breaker) String() string { return [...]string{"closed", "open", "half-open"}[b] }

// Outcome is how a call ended.
type Outcome int

// The outcomes. NotSent and Refused prove that nothing ran; Lost leaves it open.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	NotSent
	Lost
)

type bucket struct {
	slot                        int64
	calls, failed, slow, passed float64
}

// Dependency is what this server knows of one, and the room it gives to calls. The limit is the project's own
// mechanism: +1 a period without a backoff event, ×0.75 with one. Every call takes a slot until it has ended or
// lingered out, whether or not anybody waits for it.
type Dependency struct {
	options Options
	rng     *rand.Rand

	limit      float64
	calibrated time.Duration
	event      bool
	wanted     bool    // a call had to wait since the last calibration
	target     float64 // of a slow start; 0 without one
	inFlight   int
	lingering  []time.Duration // ends of slots that abandoned calls still take, in order

	recent    [buckets]bucket
	mean      float64 // seconds of a call that went well, over a long span
	count     float64
	times     *hdrhistogram.Histogram // microseconds, of this span of a minute
	timesFull time.Duration
	hedge     time.Duration // as measured at the last calibration; 0 while not known

	breaker Breaker
	until   time.Duration // end of open
	pause   time.Duration
	probing time.Duration // until when a probe is waited for before the next; 0 without one
	well    int           // probes in a row
	inRow   int           // failures

	tokens float64

	Firsts, Retries, Late, Opened int // counted since the start
	waiting                       []waiter
}

// NewDependency starts with nothing known.
func NewDependency(t Options, seed int64) *Dependency {
	return &Dependency{
		options: t, rng: rand.New(rand.NewSource(seed)), limit: max(1, float64(t.Share)*startShare),
		times: hdrhistogram.New(1, mostCallTime, 2), pause: firstOpen,
	}
}

func (d *Dependency) bucket(now time.Duration) *bucket {
	slot := int64(now / bucketWidth)
	b := &d.recent[slot%buckets]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

func (d *Dependency) sum(now time.Duration) (s bucket) {
	newest := int64(now / bucketWidth)
	for _, b := range d.recent {
		if b.slot > newest-buckets && b.slot <= newest {
			s.calls, s.failed, s.slow, s.passed = s.calls+b.calls, s.failed+b.failed, s.slow+b.slow, s.passed+b.passed
		}
	}
	return s
}

// Tick moves limit and breaker on; it is called before anything else at a moment.
func (d *Dependency) Tick(now time.Duration) {
	for len(d.lingering) > 0 && d.lingering[0] <= now {
		d.lingering = d.lingering[:copy(d.lingering, d.lingering[1:])]
	}
	if d.breaker == Open && now >= d.until {
		d.breaker, d.well, d.probing = HalfOpen, 0, 0
	}
	if d.calibrated == 0 {
		d.calibrated, d.timesFull = now, now
	}
	if now < d.calibrated+period {
		return
	}
	d.calibrated = now
	switch {
	case d.event || d.Degraded(now):
		d.limit, d.target = d.limit*backoff, 0
	case d.wanted:
		d.limit++
	}
	d.event, d.wanted = false, false
	d.bound()
	if d.times.TotalCount() >= hedgeLeast {
		d.hedge = time.Duration(d.times.ValueAtPercentile(hedgeAt)) * time.Microsecond
	}
	if now >= d.timesFull+time.Minute {
		d.timesFull = now
		d.times.Reset()
	}
}

func (d *Dependency) bound() { d.limit = min(max(d.limit, 1), float64(d.options.Share)) }

// Degraded tells whether calls take much longer than usual, or many come back undone.
func (d *Dependency) Degraded(now time.Duration) bool {
	s := d.sum(now)
	if s.calls < breakLeast {
		return false
	}
	margin := degraded * (1 + few/s.calls)
	return s.failed+s.slow > slowShare*s.calls && s.failed+s.slow > 1 || d.count > 0 && s.passed/s.calls > margin*d.mean
}

// taken are the slots in use.
func (d *Dependency) taken() int { return d.inFlight + len(d.lingering) }

// Admit takes a slot for a call, or tells that there is none, or that the breaker lets nothing through.
func (d *Dependency) Admit(now time.Duration) (admitted, broken bool) {
	d.Tick(now)
	switch {
	case d.breaker == Open, d.breaker == HalfOpen && now < d.probing:
		return false, true
	case d.taken() >= int(d.limit):
		d.wanted = true
		return false, false
	}
	if d.breaker == HalfOpen {
		// One that hangs must not keep a dependency that is back from being seen to be: its time-out may be long.
		d.probing = now + max(leastProbe, time.Duration(slowTimes*d.mean*float64(time.Second)))
	}
	d.inFlight++
	return true, false
}

// TakeRetryToken tells whether a second attempt may be made, and spends it: earned by first ones that went well, and
// never while the dependency is degraded, when it would only feed what is wrong.
func (d *Dependency) TakeRetryToken(now time.Duration) bool {
	if d.tokens < 1 || d.breaker != Closed || d.Degraded(now) {
		return false
	}
	d.tokens--
	d.Retries++
	return true
}

// Ended gives back the slot of a call that somebody waited for.
func (d *Dependency) Ended(how Outcome, took time.Duration, first bool, now time.Duration) {
	d.inFlight--
	d.judge(how, took, first, now)
}

// Abandoned books that nobody waits for a call any more. It takes its slot until it is told to have ended or has
// lingered out: what the dependency still works on is part of its load.
func (d *Dependency) Abandoned(waited time.Duration, failed bool, now time.Duration) {
	d.inFlight--
	d.lingering = append(d.lingering, now+d.options.Linger) // the same for all, so it stays in order
	if failed {
		d.judge(Lost, waited, false, now)
	} else {
		d.probing = 0
	}
}

// LateEnd gives back the slot of an abandoned call that has ended after all. Nothing else follows from it.
func (d *Dependency) LateEnd(now time.Duration) {
	d.Tick(now)
	d.Late++
	if len(d.lingering) > 0 {
		d.lingering = d.lingering[:copy(d.lingering, d.lingering[1:])]
	}
}

func (d *Dependency) judge(how Outcome, took time.Duration, first bool, now time.Duration) {
	b := d.bucket(now)
	b.calls++
	b.passed += took.Seconds()
	if how == Succeeded {
		if d.count >= few && took.Seconds() > slowTimes*d.mean {
			b.slow++
		}
		d.count = min(d.count+1, longMemory)
		d.mean += (took.Seconds() - d.mean) / d.count
		_ = d.times.RecordValue(min(max(took.Microseconds(), 1), mostCallTime)) // in range
		if first {
			d.tokens = min(d.tokens+d.options.RetryRatio, mostTokens)
		}
		d.inRow = 0
	} else {
		b.failed++
		d.inRow++
		if how == Rejected {
			d.event = true
		}
	}
	switch d.breaker {
	case HalfOpen:
		d.probing = 0
		if how == Lost && took > leastProbe && d.well > 0 {
			break // a probe from before those that went well since
		}
		if how != Succeeded {
			d.open(now, took)
		} else if d.well++; d.well >= probes {
			d.close(now)
		}
	case Closed:
		s := d.sum(now)
		if s.calls >= breakLeast && s.failed > breakShare*s.calls || d.inRow >= 2*breakLeast {
			d.open(now, 0)
		} else if d.target > 0 && how == Succeeded { // slow start: as fast as calls end well
			if d.limit++; d.limit >= d.target {
				d.target = 0
			}
			d.bound()
		}
	}
}

// open keeps calls away for a while that grows with each time in a row, with jitter, so that servers do not come
// back together. The time for which a probe was waited for is part of the while.
func (d *Dependency) open(now, waited time.Duration) {
	if d.breaker == Closed {
		d.target = d.limit
	}
	d.breaker, d.probing = Open, 0
	d.Opened++
	d.until = now - min(waited, d.pause/2) + d.pause*3/4 + time.Duration(d.rng.Int63n(int64(d.pause/2)))
	d.pause = min(2*d.pause, mostOpen)
}

func (d *Dependency) close(now time.Duration) {
	d.breaker, d.inRow, d.pause = Closed, 0, firstOpen
	d.recent = [buckets]bucket{} // what broke it is no sign of how it is now
	d.limit = max(1, d.target*slowStart)
	d.calibrated = now
}

// Expected is how long a call takes, as seen, or as stated while little was.
func (d *Dependency) Expected(stated time.Duration) time.Duration {
	trust := few
	return time.Duration((d.mean*d.count + stated.Seconds()*trust) / (d.count + trust) * float64(time.Second))
}

// State is what operators see of a dependency.
type State struct {
	Name              string     `json:"name"`
	Limit             float64    `json:"limit"`
	Share             int        `json:"share"`
	InFlight          int        `json:"in_flight"`
	Lingering         int        `json:"lingering"`
	Waiting           int        `json:"waiting"`
	Breaker           string     `json:"breaker"`
	Degraded          bool       `json:"degraded"`
	Firsts            int        `json:"first_attempts"`
	Seconds           int        `json:"second_attempts"`
	Earned            float64    `json:"second_attempts_earned"`
	Late              int        `json:"late_answers"`
	Opened            int        `json:"breaker_opened"`
	QuantilesInMillis [3]float64 `json:"p50_p95_p99_ms"`
}

// State tells how the dependency stands.
func (d *Dependency) State(now time.Duration) State {
	s := State{
		Name: d.options.Name, Limit: d.limit, Share: d.options.Share, InFlight: d.inFlight, Lingering: len(d.lingering),
		Waiting: len(d.waiting), Breaker: d.breaker.String(), Degraded: d.Degraded(now), Firsts: d.Firsts,
		Seconds: d.Retries, Earned: d.tokens, Late: d.Late, Opened: d.Opened,
	}
	for i, q := range []float64{50, 95, 99} {
		s.QuantilesInMillis[i] = float64(d.times.ValueAtPercentile(q)) / 1000
	}
	return s
}
