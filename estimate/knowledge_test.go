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

var testSchema = Schema{
	SettingsDigest: 7, Origin: 99, Routes: []string{"browse", "pay"}, Deadlines: []time.Duration{2 * time.Second, 4 * time.Second},
}

func estimateOf(mean float64) Estimate {
	return Estimate{Mean: mean, Spread: mean / 2, Samples: 20, Age: time.Second}
}

func snapshotOf(origin uint64, core float64) Snapshot {
	return Snapshot{Origin: origin, SettingsDigest: 7, Routes: []RouteEstimates{
		{Name: "browse", Core: estimateOf(core), Run: estimateOf(core)}, {Name: "pay", Core: estimateOf(2 * core), Run: estimateOf(3 * core)},
	}, Pace: estimateOf(1)}
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
			snapshot := snapshotOf(1, 0.1)
			c.change(&snapshot)
			validated, err := testSchema.Validate(snapshot)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.known, validated.Routes[0].Core.Known())
			assert.True(t, validated.Routes[1].Core.Known(), "the rest stays")
		})
	}
}

func TestWeight(t *testing.T) {
	e := estimateOf(1)
	e.Age = 0
	assert.Equal(t, maxWeight, e.Weight(CoreTime), "no claim of samples counts for more")
	e.Age = halfLives[CoreTime]
	assert.InDelta(t, maxWeight/2, e.Weight(CoreTime), 1e-9)
	e.Age = MaxAge(CoreTime)
	assert.Zero(t, e.Weight(CoreTime))
	assert.Zero(t, Estimate{}.Weight(Pace))
	assert.True(t, snapshotOf(1, 1).HasFresh())
	assert.False(t, snapshotOf(1, 1).Aged(MaxAge(ReturnRatio)).HasFresh())
	assert.True(t, Snapshot{}.NeedsPeers())
	assert.False(t, snapshotOf(1, 1).NeedsPeers())
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name  string
		views []Snapshot
		mean  float64 // 0: not believed
	}{
		{"one", []Snapshot{snapshotOf(1, 0.1)}, 0.1},
		{"two that agree: the larger need", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.2)}, 0.2},
		{"two that don't", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.4)}, 0},
		{"a liar among three, far up", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 100)}, 0.12},
		{"a liar among three, far down", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 1e-6)}, 0.1},
		{"a liar under another's name", []Snapshot{snapshotOf(1, 0.1), snapshotOf(1, 50), snapshotOf(3, 0.12)}, 0.12},
		{"an echo of the lie", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 5), snapshotOf(3, 5), snapshotOf(3, 5)}, 0.12},
		{"an old one has no voice", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 9).Aged(time.Hour)}, 0.1},
	}
	for _, c := range cases {
		got := Merge(c.views).Routes[0].Core
		assert.InDelta(t, c.mean, got.Mean, 1e-9, c.name)
	}
	fast, slow := snapshotOf(1, 0.1), snapshotOf(2, 0.2)
	slow.Pace.Mean = 2
	assert.InDelta(t, 0.2, Merge([]Snapshot{fast, slow}).Routes[0].Core.Mean, 1e-9, "the same work on a machine of half the speed")
	assert.Empty(t, Merge(nil))
}

// drawSnapshot is a view of any origin and figures in range.
func drawSnapshot(t *rapid.T) Snapshot {
	e := func(most float64) Estimate {
		return Estimate{
			Mean: rapid.Float64Range(1e-4, most).Draw(t, "mean"), Samples: rapid.Float64Range(0, 50).Draw(t, "samples"),
			Age: time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age")),
		}
	}
	snapshot := Snapshot{Origin: rapid.Uint64Range(1, 5).Draw(t, "origin"), SettingsDigest: 7}
	for _, name := range testSchema.Routes {
		snapshot.Routes = append(snapshot.Routes, RouteEstimates{Name: name, Core: e(4), Run: e(4)})
	}
	snapshot.Pace = e(3)
	return snapshot
}

func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := rapid.SliceOfN(rapid.Custom(drawSnapshot), 1, 6).Draw(t, "views")
		merged := Merge(snapshots)
		assert.Equal(t, merged, Merge(rapid.Permutation(snapshots).Draw(t, "order")), "order decides")

		echoed := append(append([]Snapshot{}, snapshots...), rapid.SampledFrom(snapshots).Draw(t, "echo"))
		assert.Equal(t, merged, Merge(echoed), "an echo adds to it")
		assert.Equal(t, merged.Aged(0), merged)

		for i := range merged.Routes {
			most, heaviest := 0.0, 0.0
			for _, snapshot := range snapshots {
				most = max(most, snapshot.Routes[i].Core.Mean*maxPaceRatio)
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
		lie := drawSnapshot(t)
		lie.Origin, lie.Pace = 3, estimateOf(1)
		lie.Routes[0].Core.Samples, lie.Routes[0].Core.Age = 1, 0
		got := Merge([]Snapshot{snapshotOf(1, a), snapshotOf(2, b), lie}).Routes[0].Core
		assert.GreaterOrEqual(t, got.Mean, min(a, b)-1e-12)
		assert.LessOrEqual(t, got.Mean, max(a, b)+1e-12)
	})
}

func TestAsking(t *testing.T) {
	schedule := NewPollSchedule(2, 0, 1)
	assert.Equal(t, []int{0, 1}, schedule.Due(0, true))
	assert.Empty(t, schedule.Due(time.Second, true), "one ask of each is open")
	schedule.Finished(0, time.Millisecond, true, 0)
	last := time.Millisecond
	pauses := []time.Duration{}
	for range 6 {
		schedule.Finished(1, last, false, 0)
		next := schedule.Next()
		assert.Empty(t, schedule.Due(next-1, true))
		assert.Equal(t, []int{1}, schedule.Due(next, true), "the one that was down, again")
		pauses = append(pauses, next-last)
		last = next
	}
	assert.Less(t, pauses[0], 2*time.Second)
	assert.Greater(t, pauses[5], 5*time.Second, "pauses grow")
	assert.LessOrEqual(t, pauses[5], 2*maxBackoff)
	schedule.Finished(1, last, false, maxBackoff)
	assert.GreaterOrEqual(t, schedule.Next(), last+maxBackoff, "it asked to stay away")
	assert.Empty(t, schedule.Due(schedule.Next(), false), "warm")
	assert.True(t, schedule.Done(last, false))
	assert.False(t, schedule.Done(last, true))
	assert.True(t, schedule.Done(pollFor+1, true))
	assert.Empty(t, schedule.Due(pollFor+1, true))
}

func TestGiving(t *testing.T) {
	limiter := NewServeLimiter(0)
	for range maxConnsPerAddress {
		assert.True(t, limiter.Connect("a", 0))
	}
	assert.False(t, limiter.Connect("a", 0), "of one address")
	for i := range maxConns - maxConnsPerAddress {
		assert.True(t, limiter.Connect(string(rune('b'+i)), 0))
	}
	assert.False(t, limiter.Connect("z", 0), "in all")
	limiter.Disconnect("a")
	assert.True(t, limiter.Connect("z", 0))

	given := 0
	for range 1000 {
		if ok, comeBack := limiter.Allow("a", 100, 0); ok {
			given++
		} else {
			assert.Positive(t, comeBack)
		}
	}
	assert.Equal(t, int(requestsPerAddress*burstSeconds), given)
	ok, _ := limiter.Allow("b", 100, 0)
	assert.True(t, ok, "one that asks without end keeps nobody out")
	ok, _ = limiter.Allow("a", 100, time.Second/time.Duration(requestsPerAddress))
	assert.True(t, ok)
	ok, _ = limiter.Allow("c", bytesPerAddress*2, 0)
	assert.False(t, ok, "more bytes than one address is given")

	limiter = NewServeLimiter(0)
	for i := range 10 * maxAddresses {
		name := string(rune('A' + i))
		require.True(t, limiter.Connect(name, time.Duration(i)))
		limiter.Disconnect(name)
	}
	assert.LessOrEqual(t, len(limiter.addresses), maxAddresses)
}

// A fleet of a thousand that asks in turn: what each has had is still known when it comes again.
func TestGivingRemembersALargeFleet(t *testing.T) {
	limiter := NewServeLimiter(0)
	name := func(i int) string { return "10.0." + string(rune('A'+i)) }
	now := time.Duration(0)
	for i := range 1024 {
		now += time.Second // in which what all together may ask is had again
		require.True(t, limiter.Connect(name(i), now))
		for range int(requestsPerAddress * burstSeconds) {
			given, _ := limiter.Allow(name(i), 1, now)
			require.True(t, given)
		}
		limiter.Disconnect(name(i))
	}
	for i := range 1024 { // no time passes
		of := limiter.addresses[name(i)]
		require.NotNil(t, of, "%d is forgotten, and would be given all anew", i)
		assert.Less(t, of.requests, 1.0)
	}
}

// A view of a large site tells only of routes that something is known of, the busiest first, and comes back in order.
func TestToldAndAligned(t *testing.T) {
	const routes = 3300
	schema, full := Schema{SettingsDigest: 7, Origin: 1}, Snapshot{Origin: 2, SettingsDigest: 7}
	for i := range routes {
		name := fmt.Sprintf("route-%d", i)
		schema.Routes, schema.Deadlines = append(schema.Routes, name), append(schema.Deadlines, time.Second)
		published := RouteEstimates{Name: name}
		if i%3 == 0 {
			published.Core = Estimate{Mean: 0.1, Samples: float64(i + 1)}
		}
		full.Routes = append(full.Routes, published)
	}
	published := full.Published()
	require.Len(t, published.Routes, MaxPublishedRoutes)
	assert.Len(t, full.Routes, routes, "the view itself stays as it was")
	aligned, err := schema.Align(published)
	require.NoError(t, err)
	validated, err := schema.Validate(aligned)
	require.NoError(t, err)
	for i, got := range validated.Routes {
		assert.Equal(t, schema.Routes[i], got.Name)
		busy := i%3 == 0 && i >= routes-3*MaxPublishedRoutes
		assert.Equal(t, busy, got.Core.Known(), got.Name)
	}

	for why, change := range map[string]func(v *Snapshot){
		"not here": func(v *Snapshot) { v.Routes[3].Name = "elsewhere" },
		"twice":    func(v *Snapshot) { v.Routes[3].Name = v.Routes[4].Name },
	} {
		bad := full.Published()
		change(&bad)
		_, err := schema.Align(bad)
		assert.ErrorContains(t, err, why)
	}
}

// A newcomer that is told of hundreds of peers asks some of them, and others in the place of those that are down.
func TestAskingOfALargeFleet(t *testing.T) {
	schedule := NewPollSchedule(500, 0, 3)
	asked := map[int]bool{}
	due := schedule.Due(0, true)
	assert.Len(t, due, maxPeers)
	for _, peer := range due {
		asked[peer] = true
		schedule.Finished(peer, time.Millisecond, peer%2 == 0, 0)
	}
	for now := 2 * time.Millisecond; !schedule.Done(now, true); now += time.Millisecond {
		due := schedule.Due(now, true)
		require.NotEmpty(t, due, "others are asked at once")
		for _, peer := range due {
			asked[peer] = true
			schedule.Finished(peer, now, true, 0)
		}
	}
	assert.Less(t, len(asked), 3*maxPeers)
	assert.Empty(t, schedule.Due(time.Hour, true))
}
