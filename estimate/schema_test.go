package estimate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A peer may state anything: other settings, another's name, figures that nothing can measure. What is out of range must be
// dropped, and nothing else; what does not fit at all must be an error.
func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Snapshot)
		err    error
		text   string // of the error
		known  bool   // the first route's core time
	}{
		{"as it is", func(*Snapshot) {}, nil, "", true},
		{"other settings", func(s *Snapshot) { s.SettingsDigest = 8 }, ErrOtherSettings, "other terms", false},
		{"its own", func(s *Snapshot) { s.Origin = 99 }, ErrOwnSnapshot, "own", false},
		{"a route too few", func(s *Snapshot) { s.Routes = s.Routes[:1] }, ErrOtherRoutes, "1 routes", false},
		{"another route", func(s *Snapshot) { s.Routes[1].Name = "x" }, ErrOtherRoutes, "route 1 is another", false},
		{"not a number", func(s *Snapshot) { s.Routes[0].Core.Mean = math.NaN() }, nil, "", false},
		{"spread not a number", func(s *Snapshot) { s.Routes[0].Core.Spread = math.NaN() }, nil, "", false},
		{"no end", func(s *Snapshot) { s.Routes[0].Core.Mean = math.Inf(1) }, nil, "", false},
		{"negative", func(s *Snapshot) { s.Routes[0].Core.Mean = -1 }, nil, "", false},
		{"nothing", func(s *Snapshot) { s.Routes[0].Core.Mean = 0 }, nil, "", false},
		{"past four deadlines", func(s *Snapshot) { s.Routes[0].Core.Mean = 8.1 }, nil, "", false},
		{"from the future", func(s *Snapshot) { s.Routes[0].Core.Age = -1 }, nil, "", false},
		{"of last week", func(s *Snapshot) { s.Routes[0].Core.Age = 7 * 24 * time.Hour }, nil, "", false},
		{"more samples than can be", func(s *Snapshot) { s.Routes[0].Core.Samples = 1e12 }, nil, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			snapshot := snapshotOf(1, 0.1)
			c.change(&snapshot)
			validated, err := testSchema.Validate(snapshot)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				assert.ErrorContains(t, err, c.text)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.known, validated.Routes[0].Core.Known())
			assert.True(t, validated.Routes[1].Core.Known(), "the rest stays")
		})
	}
}

// A server of thousands of routes publishes the busiest that have samples. They must come back in the order of the settings,
// and a snapshot with a route twice, or with an unknown one, must be an error.
func TestPublishedAndAligned(t *testing.T) {
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
	assert.Len(t, full.Routes, routes, "the snapshot itself stays as it was")
	aligned, err := schema.Align(published)
	require.NoError(t, err)
	validated, err := schema.Validate(aligned)
	require.NoError(t, err)
	for i, got := range validated.Routes {
		assert.Equal(t, schema.Routes[i], got.Name)
		busy := i%3 == 0 && i >= routes-3*MaxPublishedRoutes
		assert.Equal(t, busy, got.Core.Known(), got.Name)
	}

	for why, change := range map[string]func(s *Snapshot){
		"not here": func(s *Snapshot) { s.Routes[3].Name = "elsewhere" },
		"twice":    func(s *Snapshot) { s.Routes[3].Name = s.Routes[4].Name },
	} {
		bad := full.Published()
		change(&bad)
		_, err := schema.Align(bad)
		assert.ErrorContains(t, err, why)
		assert.ErrorIs(t, err, ErrOtherRoutes)
	}
}
