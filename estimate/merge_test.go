package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// One of several peers sends wrong estimates, repeats another's snapshot, or uses another's origin. Its estimates do
// not decide the result.
func TestMerge(t *testing.T) {
	cases := []struct {
		name      string
		snapshots []Snapshot
		mean      float64 // 0 if no estimate is used
	}{
		{"one snapshot", []Snapshot{snapshotOf(1, 0.1)}, 0.1},
		{"two that agree: the larger mean", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.2)}, 0.2},
		{"two that disagree", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.4)}, 0},
		{"one of three is far too high", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 100)}, 0.12},
		{"one of three is far too low", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 1e-6)}, 0.1},
		{"a wrong snapshot with another's origin", []Snapshot{snapshotOf(1, 0.1), snapshotOf(1, 50), snapshotOf(3, 0.12)}, 0.12},
		{"copies of a wrong snapshot", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 0.12), snapshotOf(3, 5), snapshotOf(3, 5), snapshotOf(3, 5)}, 0.12},
		{"an expired snapshot is ignored", []Snapshot{snapshotOf(1, 0.1), snapshotOf(2, 9).Aged(time.Hour)}, 0.1},
	}
	for _, c := range cases {
		got := Merge(c.snapshots).Routes[0].Core
		assert.InDelta(t, c.mean, got.Mean, 1e-9, c.name)
	}
	fast, slow := snapshotOf(1, 0.1), snapshotOf(2, 0.2)
	slow.HintRatio.Mean = 2
	assert.InDelta(t, 0.2, Merge([]Snapshot{fast, slow}).Routes[0].Core.Mean, 1e-9, "the same work on a machine of half the speed")
	assert.Empty(t, Merge(nil))
}

// drawSnapshot draws a snapshot of one of five origins with figures in range.
func drawSnapshot(t *rapid.T) Snapshot {
	e := func(maxMean float64) Estimate {
		return Estimate{
			Mean: rapid.Float64Range(1e-4, maxMean).Draw(t, "mean"), Samples: rapid.Float64Range(0, 50).Draw(t, "samples"),
			Age: time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age")),
		}
	}
	snapshot := Snapshot{Origin: rapid.Uint64Range(1, 5).Draw(t, "origin"), SettingsDigest: 7}
	for _, name := range testSchema.Routes {
		snapshot.Routes = append(snapshot.Routes, RouteEstimates{Name: name, Core: e(4), Run: e(4)})
	}
	snapshot.HintRatio = e(3)
	return snapshot
}

// Neither the order of snapshots nor a repeated one changes the merged result, and ageing never adds weight to it.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := rapid.SliceOfN(rapid.Custom(drawSnapshot), 1, 6).Draw(t, "snapshots")
		merged := Merge(snapshots)
		assert.Equal(t, merged, Merge(rapid.Permutation(snapshots).Draw(t, "order")), "the order changes the result")

		echoed := append(append([]Snapshot{}, snapshots...), rapid.SampledFrom(snapshots).Draw(t, "repeated"))
		assert.Equal(t, merged, Merge(echoed), "a repeated snapshot changes the result")
		assert.Equal(t, merged.Aged(0), merged)

		for i := range merged.Routes {
			largestMean, largestWeight := 0.0, 0.0
			for _, snapshot := range snapshots {
				largestMean = max(largestMean, snapshot.Routes[i].Core.Mean*maxSpeedRatio)
				largestWeight = max(largestWeight, snapshot.Routes[i].Core.Weight(CoreTime))
			}
			assert.LessOrEqual(t, merged.Routes[i].Core.Mean, largestMean)
			assert.LessOrEqual(t, merged.Routes[i].Core.Weight(CoreTime), largestWeight, "weighs more than each of the merged estimates")
			older := merged.Aged(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later")))
			assert.LessOrEqual(t, older.Routes[i].Core.Weight(CoreTime), merged.Routes[i].Core.Weight(CoreTime))
		}
	})
}

// One of three peers sends arbitrary figures. The merged mean stays between those of the other two.
func TestOneOfThreeIsWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0.01, 1).Draw(t, "a"), rapid.Float64Range(0.01, 1).Draw(t, "b")
		wrong := drawSnapshot(t)
		wrong.Origin, wrong.HintRatio = 3, estimateOf(1)
		wrong.Routes[0].Core.Samples, wrong.Routes[0].Core.Age = 1, 0
		got := Merge([]Snapshot{snapshotOf(1, a), snapshotOf(2, b), wrong}).Routes[0].Core
		assert.GreaterOrEqual(t, got.Mean, min(a, b)-1e-12)
		assert.LessOrEqual(t, got.Mean, max(a, b)+1e-12)
	})
}
