package estimate

import (
	"flag"
	"fmt"
	"math"
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

var frame = Schema{
	SettingsDigest: 7, Origin: 99, Routes: []string{"browse", "pay"}, Deadlines: []time.Duration{2 * time.Second, 4 * time.Second},
}

func estimate(mean float64) Estimate {
	return Estimate{Mean: mean, Spread: mean / 2, Samples: 20, Age: time.Second}
}

func view(origin uint64, core float64) Snapshot {
	return Snapshot{Origin: origin, SettingsDigest: 7, Routes: []RouteEstimates{
		{Name: "browse", Core: estimate(core), Run: estimate(core)}, {Name: "pay", Core: estimate(2 * core), Run: estimate(3 * core)},
	}, Pace: estimate(1)}
}

func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Snapshot)
		err    string
		known  bool // the first type's core time
	}{
		{"as it is", func(*Snapshot) {}, "", true},
		{"other terms", func(v *Snapshot) { v.SettingsDigest = 8 }, "other terms", false},
		{"its own", func(v *Snapshot) { v.Origin = 99 }, "own", false},
		{"a type too few", func(v *Snapshot) { v.Routes = v.Routes[:1] }, "1 traffic types", false},
		{"another type", func(v *Snapshot) { v.Routes[1].Name = "x" }, "type 1 is another", false},
		{"not a number", func(v *Snapshot) { v.Routes[0].Core.Mean = math.NaN() }, "", false},
		{"spread not a number", func(v *Snapshot) { v.Routes[0].Core.Spread = math.NaN() }, "", false},
		{"no end", func(v *Snapshot) { v.Routes[0].Core.Mean = math.Inf(1) }, "", false},
		{"negative", func(v *Snapshot) { v.Routes[0].Core.Mean = -1 }, "", false},
		{"nothing", func(v *Snapshot) { v.Routes[0].Core.Mean = 0 }, "", false},
		{"past four outer limits", func(v *Snapshot) { v.Routes[0].Core.Mean = 8.1 }, "", false},
		{"from the future", func(v *Snapshot) { v.Routes[0].Core.Age = -1 }, "", false},
		{"of last week", func(v *Snapshot) { v.Routes[0].Core.Age = 7 * 24 * time.Hour }, "", false},
		{"more samples than can be", func(v *Snapshot) { v.Routes[0].Core.Samples = 1e12 }, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			snapshot := view(1, 0.1)
			c.change(&snapshot)
			fit, err := frame.Validate(snapshot)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.known, fit.Routes[0].Core.Known())
			assert.True(t, fit.Routes[1].Core.Known(), "the rest stays")
		})
	}
}

func TestWeight(t *testing.T) {
	e := estimate(1)
	e.Age = 0
	assert.Equal(t, maxTrust, e.Weight(CoreTime), "no claim of samples counts for more")
	e.Age = halfLives[CoreTime]
	assert.InDelta(t, maxTrust/2, e.Weight(CoreTime), 1e-9)
	e.Age = MaxAge(CoreTime)
	assert.Zero(t, e.Weight(CoreTime))
	assert.Zero(t, Estimate{}.Weight(Pace))
	assert.True(t, view(1, 1).Fresh())
	assert.False(t, view(1, 1).Aged(MaxAge(ReturnRatio)).Fresh())
	assert.True(t, Snapshot{}.Cold())
	assert.False(t, view(1, 1).Cold())
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name  string
		views []Snapshot
		mean  float64 // 0: not believed
	}{
		{"one", []Snapshot{view(1, 0.1)}, 0.1},
		{"two that agree: the larger need", []Snapshot{view(1, 0.1), view(2, 0.2)}, 0.2},
		{"two that don't", []Snapshot{view(1, 0.1), view(2, 0.4)}, 0},
		{"a liar among three, far up", []Snapshot{view(1, 0.1), view(2, 0.12), view(3, 100)}, 0.12},
		{"a liar among three, far down", []Snapshot{view(1, 0.1), view(2, 0.12), view(3, 1e-6)}, 0.1},
		{"a liar under another's name", []Snapshot{view(1, 0.1), view(1, 50), view(3, 0.12)}, 0.12},
		{"an echo of the lie", []Snapshot{view(1, 0.1), view(2, 0.12), view(3, 5), view(3, 5), view(3, 5)}, 0.12},
		{"an old one has no voice", []Snapshot{view(1, 0.1), view(2, 9).Aged(time.Hour)}, 0.1},
	}
	for _, c := range cases {
		got := Merge(c.views).Routes[0].Core
		assert.InDelta(t, c.mean, got.Mean, 1e-9, c.name)
	}
	fast, slow := view(1, 0.1), view(2, 0.2)
	slow.Pace.Mean = 2
	assert.InDelta(t, 0.2, Merge([]Snapshot{fast, slow}).Routes[0].Core.Mean, 1e-9, "the same work on a machine of half the speed")
	assert.Empty(t, Merge(nil))
}

// drawn is a view of any origin and figures in range.
func drawn(t *rapid.T) Snapshot {
	e := func(most float64) Estimate {
		return Estimate{
			Mean: rapid.Float64Range(1e-4, most).Draw(t, "mean"), Samples: rapid.Float64Range(0, 50).Draw(t, "samples"),
			Age: time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age")),
		}
	}
	snapshot := Snapshot{Origin: rapid.Uint64Range(1, 5).Draw(t, "origin"), SettingsDigest: 7}
	for _, name := range frame.Routes {
		snapshot.Routes = append(snapshot.Routes, RouteEstimates{Name: name, Core: e(4), Run: e(4)})
	}
	snapshot.Pace = e(3)
	return snapshot
}

func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := rapid.SliceOfN(rapid.Custom(drawn), 1, 6).Draw(t, "views")
		merged := Merge(views)
		assert.Equal(t, merged, Merge(rapid.Permutation(views).Draw(t, "order")), "order decides")

		echoed := append(append([]Snapshot{}, views...), rapid.SampledFrom(views).Draw(t, "echo"))
		assert.Equal(t, merged, Merge(echoed), "an echo adds to it")
		assert.Equal(t, merged.Aged(0), merged)

		for i := range merged.Routes {
			most, heaviest := 0.0, 0.0
			for _, snapshot := range views {
				most = max(most, snapshot.Routes[i].Core.Mean*maxPace)
				heaviest = max(heaviest, snapshot.Routes[i].Core.Weight(CoreTime))
			}
			assert.LessOrEqual(t, merged.Routes[i].Core.Mean, most)
			assert.LessOrEqual(t, merged.Routes[i].Core.Weight(CoreTime), heaviest, "worth more than any that told")
			older := merged.Aged(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later")))
			assert.LessOrEqual(t, older.Routes[i].Core.Weight(CoreTime), merged.Routes[i].Core.Weight(CoreTime))
		}
	})
}

// Of three that answer one may lie in every figure: the result stays between what the honest two told.
func TestOneOfThreeLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0.01, 1).Draw(t, "a"), rapid.Float64Range(0.01, 1).Draw(t, "b")
		lie := drawn(t)
		lie.Origin, lie.Pace = 3, estimate(1)
		lie.Routes[0].Core.Samples, lie.Routes[0].Core.Age = 1, 0
		got := Merge([]Snapshot{view(1, a), view(2, b), lie}).Routes[0].Core
		assert.GreaterOrEqual(t, got.Mean, min(a, b)-1e-12)
		assert.LessOrEqual(t, got.Mean, max(a, b)+1e-12)
	})
}

func TestAsking(t *testing.T) {
	a := NewPollSchedule(2, 0, 1)
	assert.Equal(t, []int{0, 1}, a.Due(0, true))
	assert.Empty(t, a.Due(time.Second, true), "one ask of each is open")
	a.Ended(0, time.Millisecond, true, 0)
	last := time.Millisecond
	pauses := []time.Duration{}
	for range 6 {
		a.Ended(1, last, false, 0)
		next := a.Next()
		assert.Empty(t, a.Due(next-1, true))
		assert.Equal(t, []int{1}, a.Due(next, true), "the one that was down, again")
		pauses = append(pauses, next-last)
		last = next
	}
	assert.Less(t, pauses[0], 2*time.Second)
	assert.Greater(t, pauses[5], 5*time.Second, "pauses grow")
	assert.LessOrEqual(t, pauses[5], 2*maxPause)
	a.Ended(1, last, false, maxPause)
	assert.GreaterOrEqual(t, a.Next(), last+maxPause, "it asked to stay away")
	assert.Empty(t, a.Due(a.Next(), false), "warm")
	assert.True(t, a.Over(last, false))
	assert.False(t, a.Over(last, true))
	assert.True(t, a.Over(askFor+1, true))
	assert.Empty(t, a.Due(askFor+1, true))
}

func TestGiving(t *testing.T) {
	g := NewServeLimiter(0)
	for range openEach {
		assert.True(t, g.Joined("a", 0))
	}
	assert.False(t, g.Joined("a", 0), "of one address")
	for i := range openAll - openEach {
		assert.True(t, g.Joined(string(rune('b'+i)), 0))
	}
	assert.False(t, g.Joined("z", 0), "in all")
	g.Left("a")
	assert.True(t, g.Joined("z", 0))

	given := 0
	for range 1000 {
		if ok, comeBack := g.Allow("a", 100, 0); ok {
			given++
		} else {
			assert.Positive(t, comeBack)
		}
	}
	assert.Equal(t, int(asksEach*burst), given)
	ok, _ := g.Allow("b", 100, 0)
	assert.True(t, ok, "one that asks without end keeps nobody out")
	ok, _ = g.Allow("a", 100, time.Second/time.Duration(asksEach))
	assert.True(t, ok)
	ok, _ = g.Allow("c", bytesEach*2, 0)
	assert.False(t, ok, "more bytes than one address is given")

	g = NewServeLimiter(0)
	for i := range 10 * maxKnown {
		name := string(rune('A' + i))
		require.True(t, g.Joined(name, time.Duration(i)))
		g.Left(name)
	}
	assert.LessOrEqual(t, len(g.known), maxKnown)
}

// A fleet of a thousand that asks in turn: what each has had is still known when it comes again.
func TestGivingRemembersALargeFleet(t *testing.T) {
	g := NewServeLimiter(0)
	name := func(i int) string { return "10.0." + string(rune('A'+i)) }
	now := time.Duration(0)
	for i := range 1024 {
		now += time.Second // in which what all together may ask is had again
		require.True(t, g.Joined(name(i), now))
		for range int(asksEach * burst) {
			given, _ := g.Allow(name(i), 1, now)
			require.True(t, given)
		}
		g.Left(name(i))
	}
	for i := range 1024 { // no time passes
		of := g.known[name(i)]
		require.NotNil(t, of, "%d is forgotten, and would be given all anew", i)
		assert.Less(t, of.asks, 1.0)
	}
}

// A view of a large site tells only of routes that something is known of, the busiest first, and comes back in order.
func TestToldAndAligned(t *testing.T) {
	const routes = 3300
	schema, whole := Schema{SettingsDigest: 7, Origin: 1}, Snapshot{Origin: 2, SettingsDigest: 7}
	for i := range routes {
		name := fmt.Sprintf("route-%d", i)
		schema.Routes, schema.Deadlines = append(schema.Routes, name), append(schema.Deadlines, time.Second)
		told := RouteEstimates{Name: name}
		if i%3 == 0 {
			told.Core = Estimate{Mean: 0.1, Samples: float64(i + 1)}
		}
		whole.Routes = append(whole.Routes, told)
	}
	told := whole.Published()
	require.Len(t, told.Routes, MaxPublishedRoutes)
	assert.Len(t, whole.Routes, routes, "the view itself stays as it was")
	aligned, err := schema.Align(told)
	require.NoError(t, err)
	fit, err := schema.Validate(aligned)
	require.NoError(t, err)
	for i, got := range fit.Routes {
		assert.Equal(t, schema.Routes[i], got.Name)
		busy := i%3 == 0 && i >= routes-3*MaxPublishedRoutes
		assert.Equal(t, busy, got.Core.Known(), got.Name)
	}

	for why, change := range map[string]func(v *Snapshot){
		"not here": func(v *Snapshot) { v.Routes[3].Name = "elsewhere" },
		"twice":    func(v *Snapshot) { v.Routes[3].Name = v.Routes[4].Name },
	} {
		bad := whole.Published()
		change(&bad)
		_, err := schema.Align(bad)
		assert.ErrorContains(t, err, why)
	}
}

// A newcomer that is told of hundreds of peers asks some of them, and others in the place of those that are down.
func TestAskingOfALargeFleet(t *testing.T) {
	a := NewPollSchedule(500, 0, 3)
	asked := map[int]bool{}
	due := a.Due(0, true)
	assert.Len(t, due, maxVoices)
	for _, peer := range due {
		asked[peer] = true
		a.Ended(peer, time.Millisecond, peer%2 == 0, 0)
	}
	for now := 2 * time.Millisecond; !a.Over(now, true); now += time.Millisecond {
		due := a.Due(now, true)
		require.NotEmpty(t, due, "others are asked at once")
		for _, peer := range due {
			asked[peer] = true
			a.Ended(peer, now, true, 0)
		}
	}
	assert.Less(t, len(asked), 3*maxVoices)
	assert.Empty(t, a.Due(time.Hour, true))
}
