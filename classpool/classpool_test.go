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

// TestMain draws the same cases every time; another seed is stated with -rapid.seed.
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
		{"none", nil, "0 pools"},
		{"no name", []Options{{}}, "without a name"},
		{"twice", []Options{{Name: "a"}, {Name: "a"}}, `"a" stands twice`},
		{"no parent", []Options{{Name: "a", Parent: "b"}}, `no pool "b"`},
		{"a ring", []Options{{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}, "or a ring"},
		{"too deep", []Options{{Name: "a"}, {Name: "b", Parent: "a"}, {Name: "c", Parent: "b"}, {Name: "d", Parent: "c"}, {Name: "e", Parent: "d"}}, "more than 4"},
		{"floor", []Options{{Name: "a", Floor: 1.5}}, "floor = 1.5"},
		{"floor over ceiling", []Options{{Name: "a", Floor: 0.5, Ceiling: 0.2}}, "over its ceiling"},
	}
	for _, c := range cases {
		_, err := NewTree(c.options)
		assert.ErrorContains(t, err, c.want, c.name)
	}
	tree, err := NewTree([]Options{{Name: "b", Parent: "a", Floor: 0.8}, {Name: "a"}, {Name: "c", Parent: "a", Floor: 0.7}})
	require.NoError(t, err, "in any order")
	assert.Equal(t, []string{"a"}, tree.Overcommitted())
	_, is := tree.Leaf("a")
	assert.False(t, is, "it has others inside")
	_, is = tree.Leaf("c")
	assert.True(t, is)
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
		name                           string
		asks, floors, ceilings, weight []float64
		want                           []float64
	}{
		{"all ask for more: by weight", []float64{9, 9, 9}, []float64{0, 0, 0}, one, []float64{2, 1, 1}, []float64{0.5, 0.25, 0.25}},
		{"what one leaves goes to the others", []float64{0.1, 9, 9}, []float64{0, 0, 0}, one, one, []float64{0.1, 0.45, 0.45}},
		{"a floor", []float64{9, 9, 9}, []float64{0.6, 0, 0}, one, one, []float64{0.6 + 0.4/3, 0.4 / 3, 0.4 / 3}},
		{"a floor that is not asked for", []float64{0.1, 9, 9}, []float64{0.6, 0, 0}, one, one, []float64{0.1, 0.45, 0.45}},
		{"floors that are too many", []float64{9, 9, 9}, []float64{1, 0.5, 0.5}, one, one, []float64{0.5, 0.25, 0.25}},
		{"a ceiling", []float64{9, 9, 9}, []float64{0, 0, 0}, []float64{0.1, 1, 1}, one, []float64{0.1, 0.45, 0.45}},
		{"nobody asks: lent by weight", []float64{0, 0, 0}, []float64{0.5, 0, 0}, one, []float64{2, 1, 1}, []float64{0.5, 0.25, 0.25}},
	}
	for _, c := range cases {
		assert.InDeltaSlice(t, c.want, allocate(1, claimsOf(c.asks, c.floors, c.ceilings, c.weight)), 1e-9, c.name)
	}
}

// For any claims: the share is divided up to the ceilings, none gets more than its ceiling, and each gets its floor as far
// as it has demand, scaled where the floors add up to more than the share.
func TestAllocateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		draw := func(name string, least, most float64) (v []float64) {
			for range n {
				v = append(v, rapid.Float64Range(least, most).Draw(t, name))
			}
			return v
		}
		asks, floors, ceilings, weights := draw("asks", 0, 2), draw("floors", 0, 0.5), draw("ceilings", 0.5, 1), draw("weights", 0.1, 10)
		room := rapid.Float64Range(0.1, 1).Draw(t, "room")
		got := allocate(room, claimsOf(asks, floors, ceilings, weights))
		sum, could, floorSum := 0.0, 0.0, 0.0
		for i := range got {
			sum += got[i]
			could += ceilings[i] * room
			floorSum += min(floors[i]*room, asks[i])
			assert.LessOrEqual(t, got[i], ceilings[i]*room+1e-9, "over its ceiling")
		}
		assert.InDelta(t, min(room, could), sum, 1e-6, "room is left, or more is given than there is")
		for i := range got {
			owed := min(floors[i]*room, asks[i])
			if floorSum > room {
				owed *= room / floorSum
			}
			assert.GreaterOrEqual(t, got[i], owed-1e-9, "under its floor")
		}
	})
}

// class is a class of simulated load.
type class struct {
	name string
	rate float64 // requests per second
	cost float64 // core seconds
	from time.Duration
	to   time.Duration
}

// simulation runs classes of load on a number of cores: requests are queued, started as the pools say while a core is free,
// and run for their cost.
type simulation struct {
	pools   *Pools
	classes []class
	costAt  func(c class, now time.Duration) float64 // nil: the class's cost

	leaves  []int             // by class, as are the next three
	queued  [][]time.Duration // when they arrived
	used    []float64         // core seconds
	waited  []time.Duration   // longest
	running []simulatedRun
}

type simulatedRun struct {
	ticket Ticket
	ends   time.Duration
	cost   float64
}

// simulate returns the core time that each class used, and the longest that a request of each waited.
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

// arrive queues new requests, and drops those that have waited for two seconds.
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

// end ends the runs that are due.
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

// start starts the request that the pools name, if any.
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
		want    []float64 // of the cores' time
	}{
		{"two at 200%, by weight", []Options{{Name: "a", Weight: 3}, {Name: "b"}}, []class{{"a", 400, 0.02, 0, 0}, {"b", 400, 0.02, 0, 0}}, []float64{0.75, 0.25}},
		{"core time is parted, not the count", []Options{{Name: "a"}, {Name: "b"}}, []class{{"a", 800, 0.005, 0, 0}, {"b", 40, 0.1, 0, 0}}, []float64{0.5, 0.5}},
		{"one expensive class at 95% of the requests", []Options{{Name: "a", Floor: 0.2}, {Name: "b"}}, []class{{"a", 40, 0.02, 0, 0}, {"b", 760, 0.05, 0, 0}}, []float64{0.2, 0.8}},
		{"a small one has all that it asks for", []Options{{Name: "a"}, {Name: "b"}, {Name: "c"}}, []class{{"a", 20, 0.01, 0, 0}, {"b", 400, 0.02, 0, 0}, {"c", 400, 0.02, 0, 0}}, []float64{0.05, 0.475, 0.475}},
		{"inside a parent's floor", []Options{{Name: "p", Floor: 0.5}, {Name: "a", Parent: "p"}, {Name: "b", Parent: "p"}, {Name: "c", Weight: 100}},
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

// A class has no load for a while. The others get its share, and it has that again soon after it returns; it does not keep
// the others out with all that it did not use.
func TestVanishesAndComesBack(t *testing.T) {
	p := newPools(t, 4, Options{Name: "a", Floor: 0.5}, Options{Name: "b"})
	classes := []class{{"a", 400, 0.02, 0, 10 * time.Second}, {"b", 800, 0.02, 0, 0}}
	used, _ := simulate(p, 4, 20*time.Second, classes, nil)
	assert.InDelta(t, 4*20, used[0]+used[1], 2, "no core stood idle")

	p = newPools(t, 4, Options{Name: "a"}, Options{Name: "b"})
	back := []class{{"a", 400, 0.02, 20 * time.Second, 0}, {"b", 800, 0.02, 0, 0}}
	used, waited := simulate(p, 4, 24*time.Second, back, nil)
	assert.InDelta(t, 0.5*4*4, used[0], 3, "half of what there was since it came back")
	assert.Less(t, waited[1], 2*time.Second+time.Millisecond)
	assert.Greater(t, used[1], 4*20+0.35*4*4, "and the other goes on meanwhile")
}

// The cheapest class waits less with a reserve. One that is declared cheap and becomes expensive loses its place.
func TestReserve(t *testing.T) {
	options := []Options{{Name: "look", Weight: 0.01}, {Name: "book"}, {Name: "refresh"}}
	classes := []class{{"look", 100, 0.001, 0, 0}, {"book", 100, 0.04, 0, 0}, {"refresh", 100, 0.06, 0, 0}}
	without := newPools(t, 4, options...)
	_, before := simulate(without, 4, 20*time.Second, classes, nil)
	with := newPools(t, 4, options...)
	with.Reserve = NewReserve(0.05, 0.2)
	_, after := simulate(with, 4, 20*time.Second, classes, nil)
	assert.Less(t, after[0], before[0])

	farmed := newPools(t, 4, options...)
	farmed.Reserve = NewReserve(0.05, 0.2)
	used, _ := simulate(farmed, 4, 30*time.Second, classes, func(c class, now time.Duration) float64 {
		if c.name == "look" && now > 5*time.Second {
			return 0.05 // called cheap, and as dear as the others
		}
		return c.cost
	})
	assert.Less(t, used[0]/(4*30), 0.1, "what it overspent is owed, and its place is lost")
}

// The cost of a class doubles. Its share of core time stays the same.
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

// For any loads: no class is starved, and no core is idle while a request is queued (simulate checks that).
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

// One caller of ten thousand uses half of all. Its share is seen, and that of none of the others is overestimated by much.
func TestUsageSketch(t *testing.T) {
	c := NewUsageSketch(7)
	rng := rand.New(rand.NewSource(2))
	now := time.Duration(0)
	for range 100_000 {
		now += 100 * time.Microsecond
		c.Add(uint64(rng.Intn(10_000)), 0.001, now)
		c.Add(99_999, 0.001, now)
	}
	assert.InDelta(t, 0.5, c.Share(99_999), 0.02)
	most := 0.0
	for caller := range uint64(10_000) {
		most = max(most, c.Share(caller))
	}
	assert.Less(t, most, 0.05)
	c.Add(1, 0, now+10*useWindow)
	assert.LessOrEqual(t, c.total, 1e-2, "what was is forgotten")
	assert.Zero(t, NewUsageSketch(1).Share(5))
}
