package scale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// validHistory returns a history of three changes at two servers, one of which restarts.
func validHistory() *History {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	return &History{
		Accepted: []AcceptedChange{{1, 1, at(1)}, {2, 2, at(2)}, {3, 3, at(3)}},
		Versions: []RecordedVersion{{1, 11, 1}, {2, 12, 2}, {3, 13, 3}},
		Applied: []AppliedVersion{
			{"a", 1, 11, at(2), false}, {"a", 2, 12, at(2), false}, {"a", 3, 13, at(4), false},
			{"b", 2, 12, at(3), false}, {"b", 0, 0, at(4), true}, {"b", 1, 11, at(5), false}, {"b", 3, 13, at(6), false},
		},
	}
}

// Check accepts a valid history and reports each injected fault.
func TestHistory(t *testing.T) {
	assert.NoError(t, validHistory().Check())
	for name, c := range map[string]struct {
		corrupt   func(h *History)
		wantError string
	}{
		"last version lost":           {func(h *History) { h.Versions = h.Versions[:2]; h.Applied = h.Applied[:2] }, "version 3 is not in the history: lost"},
		"change lost in between":      {func(h *History) { h.Versions[1] = RecordedVersion{2, 12, 1} }, "version 2 contains change 1, but change 2 was accepted as this version"},
		"changes reordered":           {func(h *History) { h.Versions[0].Marker, h.Versions[1].Marker = 2, 1 }, "reordered"},
		"accepted versions reordered": {func(h *History) { h.Accepted[0], h.Accepted[1] = h.Accepted[1], h.Accepted[0] }, "version 1 after 2"},
		"version missing":             {func(h *History) { h.Versions = append(h.Versions[:1], h.Versions[2]) }, "version 3 after 1"},
		"unknown version applied":     {func(h *History) { h.Applied[2].Version = 9 }, "which is not in the history"},
		"other content":               {func(h *History) { h.Applied[2].Digest = 1 }, "with other content"},
		"older version applied":       {func(h *History) { h.Applied[2] = h.Applied[0] }, "applied version 1 after 2"},
	} {
		h := validHistory()
		c.corrupt(h)
		assert.ErrorContains(t, h.Check(), c.wantError, name)
	}
}

// The propagation delay of a change at a server ends with the first applied version that contains the change.
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
	assert.False(t, Fit([]float64{0, 1, 2, 3}, []float64{0, 1, 4, 9}).Linear, "quadratic")
	assert.False(t, Fit([]float64{0, 1}, []float64{0, 1}).Linear, "two points do not show how the values between them run")
	assert.True(t, Fit([]float64{0, 1, 2}, []float64{5, 5.1, 4.9}).Linear, "constant")
}

// Points that are read from a file equal those that were written, and their origin is returned.
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
