package classpool

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run draws the same cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261201")
	}
	m.Run()
}

func TestTreeFaults(t *testing.T) {
	cases := []struct {
		name    string
		options []Options
		want    string
	}{
		{"no pools", nil, "0 pools"},
		{"no name", []Options{{}}, "without a name"},
		{"duplicate name", []Options{{Name: "a"}, {Name: "a"}}, `duplicate pool name "a"`},
		{"no parent", []Options{{Name: "a", Parent: "b"}}, `ancestor "b" does not exist`},
		{"a cycle", []Options{{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}, "or a cycle"},
		{"too deep", []Options{{Name: "a"}, {Name: "b", Parent: "a"}, {Name: "c", Parent: "b"}, {Name: "d", Parent: "c"}, {Name: "e", Parent: "d"}}, "more than 4"},
		{"floor out of range", []Options{{Name: "a", Floor: 1.5}}, "floor = 1.5"},
		{"floor above ceiling", []Options{{Name: "a", Floor: 0.5, Ceiling: 0.2}}, "is above its ceiling"},
	}
	for _, c := range cases {
		_, err := NewTree(c.options)
		assert.ErrorContains(t, err, c.want, c.name)
	}
	tree, err := NewTree([]Options{{Name: "b", Parent: "a", Floor: 0.8}, {Name: "a"}, {Name: "c", Parent: "a", Floor: 0.7}})
	require.NoError(t, err, "a child may be listed before its parent")
	assert.Equal(t, []string{"a"}, tree.Overcommitted())
	_, isLeaf := tree.Leaf("a")
	assert.False(t, isLeaf, "a pool with children is not a leaf")
	_, isLeaf = tree.Leaf("c")
	assert.True(t, isLeaf)
}

func claimsOf(demands, floors, ceilings, weights []float64) (claims []claim) {
	for i := range demands {
		claims = append(claims, claim{demands[i], floors[i], ceilings[i], weights[i]})
	}
	return claims
}

func TestAllocate(t *testing.T) {
	one := []float64{1, 1, 1}
	cases := []struct {
		name                              string
		demands, floors, ceilings, weight []float64
		want                              []float64
	}{
		{"all demand more than there is: by weight", []float64{9, 9, 9}, []float64{0, 0, 0}, one, []float64{2, 1, 1}, []float64{0.5, 0.25, 0.25}},
		{"capacity that one does not need goes to the others", []float64{0.1, 9, 9}, []float64{0, 0, 0}, one, one, []float64{0.1, 0.45, 0.45}},
		{"floor with demand", []float64{9, 9, 9}, []float64{0.6, 0, 0}, one, one, []float64{0.6 + 0.4/3, 0.4 / 3, 0.4 / 3}},
		{"floor above the demand", []float64{0.1, 9, 9}, []float64{0.6, 0, 0}, one, one, []float64{0.1, 0.45, 0.45}},
		{"floors add up to more than the share", []float64{9, 9, 9}, []float64{1, 0.5, 0.5}, one, one, []float64{0.5, 0.25, 0.25}},
		{"ceiling below the demand", []float64{9, 9, 9}, []float64{0, 0, 0}, []float64{0.1, 1, 1}, one, []float64{0.1, 0.45, 0.45}},
		{"no demand: by weight", []float64{0, 0, 0}, []float64{0.5, 0, 0}, one, []float64{2, 1, 1}, []float64{0.5, 0.25, 0.25}},
	}
	for _, c := range cases {
		assert.InDeltaSlice(t, c.want, allocate(1, claimsOf(c.demands, c.floors, c.ceilings, c.weight)), 1e-9, c.name)
	}
}

// For any claims: the share is divided up to the ceilings, none gets more than its ceiling, and each gets its floor as
// far as it has demand, scaled down if the floors add up to more than the share.
func TestAllocateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		draw := func(name string, least, most float64) (v []float64) {
			for range n {
				v = append(v, rapid.Float64Range(least, most).Draw(t, name))
			}
			return v
		}
		demands, floors, ceilings, weights := draw("demands", 0, 2), draw("floors", 0, 0.5), draw("ceilings", 0.5, 1), draw("weights", 0.1, 10)
		share := rapid.Float64Range(0.1, 1).Draw(t, "share")
		got := allocate(share, claimsOf(demands, floors, ceilings, weights))
		sum, ceilingSum, floorSum := 0.0, 0.0, 0.0
		for i := range got {
			sum += got[i]
			ceilingSum += ceilings[i] * share
			floorSum += min(floors[i]*share, demands[i])
			assert.LessOrEqual(t, got[i], ceilings[i]*share+1e-9, "above its ceiling")
		}
		assert.InDelta(t, min(share, ceilingSum), sum, 1e-6, "the allocations do not add up to the share")
		for i := range got {
			guaranteed := min(floors[i]*share, demands[i])
			if floorSum > share {
				guaranteed *= share / floorSum
			}
			assert.GreaterOrEqual(t, got[i], guaranteed-1e-9, "below its floor")
		}
	})
}

// class is a class of simulated load.
type class struct {
	name string
	rate float64       // requests per second
	cost float64       // core seconds per request
	from time.Duration // when the load starts
	to   time.Duration // when it ends; 0 if it does not
}

// simulation runs classes of load on a number of cores: requests are queued, started in the order that the pools choose
// while a core is free, and occupy a core for their cost.
type simulation struct {
	pools   *Pools
	classes []class
	costAt  func(c class, now time.Duration) float64 // nil: the class's cost

	leaves  []int             // by class, as are the next three
	queued  [][]time.Duration // arrival times
	used    []float64         // core seconds
	waited  []time.Duration   // longest time in the queue
	running []simulatedRun
}

type simulatedRun struct {
	ticket Ticket
	ends   time.Duration
	cost   float64
}

// simulate returns the core time that each class used in core seconds, and the longest time that one of its requests
// was queued. It panics if a core is idle while a request is queued.
func simulate(p *Pools, cores int, span time.Duration, classes []class, costAt func(c class, now time.Duration) float64) (used []float64, waited []time.Duration) {
	rng := rand.New(rand.NewSource(1))
	s := &simulation{
		pools: p, classes: classes, costAt: costAt, leaves: make([]int, len(classes)), queued: make([][]time.Duration, len(classes)),
		used: make([]float64, len(classes)), waited: make([]time.Duration, len(classes)),
	}
	for i, c := range classes {
		s.leaves[i], _ = p.Leaf(c.name)
	}
	const step = time.Millisecond
	for now := time.Duration(0); now < span; now += step {
		s.arrive(rng, step, now)
		s.end(now)
		for len(s.running) < cores && s.start(now) {
		}
		for i := range classes {
			if len(s.running) < cores && len(s.queued[i]) > 0 {
				panic("a core is idle and a request is queued")
			}
		}
	}
	return s.used, s.waited
}

// arrive queues new requests and drops those that have been queued for two seconds.
func (s *simulation) arrive(rng *rand.Rand, step, now time.Duration) {
	for i, c := range s.classes {
		if now >= c.from && (c.to == 0 || now < c.to) && rng.Float64() < c.rate*step.Seconds() {
			s.queued[i] = append(s.queued[i], now)
			s.pools.Enqueued(s.leaves[i], 0)
		}
		for len(s.queued[i]) > 0 && now-s.queued[i][0] > 2*time.Second {
			s.queued[i] = s.queued[i][1:]
			s.pools.Dropped(s.leaves[i])
		}
	}
}

// end ends the runs whose cost has been spent.
func (s *simulation) end(now time.Duration) {
	running := s.running[:0]
	for _, r := range s.running {
		if r.ends <= now {
			s.pools.Ended(r.ticket, r.cost)
		} else {
			running = append(running, r)
		}
	}
	s.running = running
}

// start starts a request of the leaf that the pools choose and reports whether there was one.
func (s *simulation) start(now time.Duration) bool {
	leaf, reserved, found := s.pools.Next(now, func(leaf int) bool {
		for i := range s.classes {
			if s.leaves[i] == leaf && len(s.queued[i]) > 0 {
				return true
			}
		}
		return false
	})
	if !found {
		return false
	}
	for i, c := range s.classes {
		if s.leaves[i] != leaf {
			continue
		}
		cost := c.cost
		if s.costAt != nil {
			cost = s.costAt(c, now)
		}
		s.waited[i] = max(s.waited[i], now-s.queued[i][0])
		s.queued[i] = s.queued[i][1:]
		s.used[i] += cost
		s.running = append(s.running, simulatedRun{s.pools.Started(leaf, 0, reserved), now + time.Duration(cost*1e9), cost})
	}
	return true
}

func newPools(t require.TestingT, cores float64, options ...Options) *Pools {
	tree, err := NewTree(options)
	require.NoError(t, err)
	return New(tree, cores, 0)
}

func TestShares(t *testing.T) {
	const span = 40 * time.Second
	cases := []struct {
		name    string
		options []Options
		classes []class
		want    []float64 // fraction of all core time
	}{
		{"two classes, each with a load of 200%: by weight", []Options{{Name: "a", Weight: 3}, {Name: "b"}}, []class{{"a", 400, 0.02, 0, 0}, {"b", 400, 0.02, 0, 0}}, []float64{0.75, 0.25}},
		{"core time is divided, not the number of requests", []Options{{Name: "a"}, {Name: "b"}}, []class{{"a", 800, 0.005, 0, 0}, {"b", 40, 0.1, 0, 0}}, []float64{0.5, 0.5}},
		{"one expensive class at 95% of the requests", []Options{{Name: "a", Floor: 0.2}, {Name: "b"}}, []class{{"a", 40, 0.02, 0, 0}, {"b", 760, 0.05, 0, 0}}, []float64{0.2, 0.8}},
		{"a class with little load gets all its demand", []Options{{Name: "a"}, {Name: "b"}, {Name: "c"}}, []class{{"a", 20, 0.01, 0, 0}, {"b", 400, 0.02, 0, 0}, {"c", 400, 0.02, 0, 0}}, []float64{0.05, 0.475, 0.475}},
		{"children divide their parent's floor", []Options{{Name: "p", Floor: 0.5}, {Name: "a", Parent: "p"}, {Name: "b", Parent: "p"}, {Name: "c", Weight: 100}},
			[]class{{"a", 400, 0.02, 0, 0}, {"b", 400, 0.02, 0, 0}, {"c", 400, 0.02, 0, 0}}, []float64{0.25, 0.25, 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPools(t, 4, c.options...)
			used, _ := simulate(p, 4, span, c.classes, nil)
			for i := range used {
				assert.InDelta(t, c.want[i], used[i]/(4*span.Seconds()), 0.04, c.classes[i].name)
			}
		})
	}
}

// A class has no load for a while. The other classes get its share in the meantime. When its load returns, the class
// must regain its share soon, but must not starve the others to recover the time that it did not use.
func TestClassRegainsItsShareWhenItsLoadReturns(t *testing.T) {
	p := newPools(t, 4, Options{Name: "a", Floor: 0.5}, Options{Name: "b"})
	classes := []class{{"a", 400, 0.02, 0, 10 * time.Second}, {"b", 800, 0.02, 0, 0}}
	used, _ := simulate(p, 4, 20*time.Second, classes, nil)
	assert.InDelta(t, 4*20, used[0]+used[1], 2, "no core is idle")

	p = newPools(t, 4, Options{Name: "a"}, Options{Name: "b"})
	returning := []class{{"a", 400, 0.02, 20 * time.Second, 0}, {"b", 800, 0.02, 0, 0}}
	used, waited := simulate(p, 4, 24*time.Second, returning, nil)
	assert.InDelta(t, 0.5*4*4, used[0], 3, "half of the core time since its load returned")
	assert.Less(t, waited[1], 2*time.Second+time.Millisecond)
	assert.Greater(t, used[1], 4*20+0.35*4*4, "the other class keeps running")
}

// The cheapest class waits less with a reserve. A class that is declared cheap and becomes expensive must lose the
// reserve.
func TestReserve(t *testing.T) {
	options := []Options{{Name: "look", Weight: 0.01}, {Name: "book"}, {Name: "refresh"}}
	classes := []class{{"look", 100, 0.001, 0, 0}, {"book", 100, 0.04, 0, 0}, {"refresh", 100, 0.06, 0, 0}}
	without := newPools(t, 4, options...)
	_, before := simulate(without, 4, 20*time.Second, classes, nil)
	with := newPools(t, 4, options...)
	with.Reserve = NewReserve(0.05, 0.2)
	_, after := simulate(with, 4, 20*time.Second, classes, nil)
	assert.Less(t, after[0], before[0])

	declaredCheap := newPools(t, 4, options...)
	declaredCheap.Reserve = NewReserve(0.05, 0.2)
	used, _ := simulate(declaredCheap, 4, 30*time.Second, classes, func(c class, now time.Duration) float64 {
		if c.name == "look" && now > 5*time.Second {
			return 0.05 // declared cheap, but as expensive as the other classes
		}
		return c.cost
	})
	assert.Less(t, used[0]/(4*30), 0.1, "what the class overspent counts against the reserve, and it loses its eligibility")
}

// The cost of a class doubles. Its share of core time must stay the same.
func TestCostDrifts(t *testing.T) {
	p := newPools(t, 4, Options{Name: "a"}, Options{Name: "b"})
	classes := []class{{"a", 400, 0.02, 0, 0}, {"b", 400, 0.02, 0, 0}}
	used, _ := simulate(p, 4, 40*time.Second, classes, func(c class, now time.Duration) float64 {
		if c.name == "a" {
			return c.cost * (1 + now.Seconds()/40)
		}
		return c.cost
	})
	assert.InDelta(t, 0.5, used[0]/(4*40), 0.03)
}

// For any load, no class may starve, and no core may be idle while a request is queued (simulate checks the latter).
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "n")
		var options []Options
		var classes []class
		names := []string{"a", "b", "c", "d"}
		for i := range n {
			options = append(options, Options{Name: names[i], Floor: rapid.Float64Range(0, 0.6).Draw(t, "floor"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")})
			classes = append(classes, class{name: names[i], rate: rapid.Float64Range(20, 300).Draw(t, "rate"), cost: rapid.Float64Range(0.002, 0.05).Draw(t, "cost")})
		}
		p := newPools(t, 2, options...)
		used, _ := simulate(p, 2, 8*time.Second, classes, nil)
		for i := range used {
			assert.Positive(t, used[i], names[i])
		}
	})
}

// One caller of ten thousand accounts for half of all use. Its share must be estimated correctly, and no other caller's
// share may be overestimated by much.
func TestUsageSketch(t *testing.T) {
	sketch := NewUsageSketch(7)
	rng := rand.New(rand.NewSource(2))
	now := time.Duration(0)
	for range 100_000 {
		now += 100 * time.Microsecond
		sketch.Add(uint64(rng.Intn(10_000)), 0.001, now)
		sketch.Add(99_999, 0.001, now)
	}
	assert.InDelta(t, 0.5, sketch.Share(99_999), 0.02)
	most := 0.0
	for caller := range uint64(10_000) {
		most = max(most, sketch.Share(caller))
	}
	assert.Less(t, most, 0.05)
	sketch.Add(1, 0, now+10*useWindow)
	assert.LessOrEqual(t, sketch.total, 1e-2, "earlier use has decayed")
	assert.Zero(t, NewUsageSketch(1).Share(5))
}
