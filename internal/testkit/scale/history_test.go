package scale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// validHistory is a history of three changes at two servers, one of which is started anew.
func validHistory() *History {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	return &History{
		Accepted: []AcceptedChange{{1, 1, at(1)}, {2, 2, at(2)}, {3, 3, at(3)}},
		Versions: []VersionStep{{1, 11, 1}, {2, 12, 2}, {3, 13, 3}},
		Applied: []AppliedVersion{
			{"a", 1, 11, at(2), false}, {"a", 2, 12, at(2), false}, {"a", 3, 13, at(4), false},
			{"b", 2, 12, at(3), false}, {"b", 0, 0, at(4), true}, {"b", 1, 11, at(5), false}, {"b", 3, 13, at(6), false},
		},
	}
}

// The checker passes what is sound and finds each planted fault.
func TestHistory(t *testing.T) {
	assert.NoError(t, validHistory().Check())
	for name, c := range map[string]struct {
		corrupt   func(h *History)
		wantError string
	}{
		"a loss at the end":  {func(h *History) { h.Versions = h.Versions[:2]; h.Applied = h.Applied[:2] }, "version 3 is not in the history: lost"},
		"a loss in between":  {func(h *History) { h.Versions[1] = VersionStep{2, 12, 1} }, "version 2 holds change 1, and 2 was accepted as it"},
		"a reorder":          {func(h *History) { h.Versions[0].Marker, h.Versions[1].Marker = 2, 1 }, "reordered"},
		"versions reordered": {func(h *History) { h.Accepted[0], h.Accepted[1] = h.Accepted[1], h.Accepted[0] }, "version 1 behind 2"},
		"a version left out": {func(h *History) { h.Versions = append(h.Versions[:1], h.Versions[2]) }, "version 3 behind 1"},
		"in force at none":   {func(h *History) { h.Applied[2].Version = 9 }, "which the history does not hold"},
		"other content":      {func(h *History) { h.Applied[2].Digest = 1 }, "with other content"},
		"in force again":     {func(h *History) { h.Applied[2] = h.Applied[0] }, "in force at version 1 behind 2"},
	} {
		h := validHistory()
		c.corrupt(h)
		assert.ErrorContains(t, h.Check(), c.wantError, name)
	}
}

// A change's lag at a server is that of the first version in force there that holds it.
func TestLags(t *testing.T) {
	h := validHistory()
	delays := h.PropagationDelays(time.Unix(2, 0), time.Unix(3, 0))
	assert.ElementsMatch(t, []time.Duration{0, time.Second, time.Second, 3 * time.Second}, delays)
}

func TestFit(t *testing.T) {
	line := Fit([]float64{0, 1, 2, 3}, []float64{1, 3, 5, 7})
	assert.InDelta(t, 2, line.Slope, 1e-9)
	assert.InDelta(t, 9, line.At(4), 1e-9)
	assert.True(t, line.Linear)
	assert.False(t, Fit([]float64{0, 1, 2, 3}, []float64{0, 1, 4, 9}).Linear, "a square is none")
	assert.False(t, Fit([]float64{0, 1}, []float64{0, 1}).Linear, "two points say nothing of what is between")
	assert.True(t, Fit([]float64{0, 1, 2}, []float64{5, 5.1, 4.9}).Linear, "constant")
}

// Points come back from a file as they were, with what made them.
func TestPointsOnDisk(t *testing.T) {
	p := Points{}
	p.Add("core % by things, 2 kinds", 1, 2.5)
	p.Add("core % by things, 2 kinds", 0, 1)
	path := t.TempDir() + "/p.csv"
	assert.NoError(t, p.Write(path, Origin{Seed: 7, Commit: "abc", Machine: "8 cores"}))
	got, origin, err := ReadPoints(path)
	assert.NoError(t, err)
	assert.Equal(t, "seed 7, commit abc, 8 cores", origin)
	xs, ys := got.Series("core % by things, 2 kinds")
	assert.Equal(t, []float64{0, 1}, xs)
	assert.Equal(t, []float64{1, 2.5}, ys)
	value, measured := got.MeanAt("core % by things, 2 kinds", 1)
	assert.True(t, measured)
	assert.Equal(t, 2.5, value)
	_, measured = got.MeanAt("something else", 1)
	assert.False(t, measured)
}
