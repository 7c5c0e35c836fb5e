package estimate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A peer may send anything: other settings, another server's origin, figures that cannot have been measured. Validate
// removes figures that are out of range and nothing else, and returns an error for a snapshot that does not fit at all.
func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Snapshot)
		err    error
		text   string // text of the error
		known  bool   // whether the first route's core time is kept
	}{
		{"valid", func(*Snapshot) {}, nil, "", true},
		{"other settings", func(s *Snapshot) { s.SettingsDigest = 8 }, ErrOtherSettings, "other settings: digest", false},
		{"own snapshot", func(s *Snapshot) { s.Origin = 99 }, ErrOwnSnapshot, "own", false},
		{"a missing route", func(s *Snapshot) { s.Routes = s.Routes[:1] }, ErrOtherRoutes, "1 routes", false},
		{"another route", func(s *Snapshot) { s.Routes[1].Name = "x" }, ErrOtherRoutes, "route 1 has another name", false},
		{"not a number", func(s *Snapshot) { s.Routes[0].Core.Mean = math.NaN() }, nil, "", false},
		{"spread not a number", func(s *Snapshot) { s.Routes[0].Core.Spread = math.NaN() }, nil, "", false},
		{"infinite", func(s *Snapshot) { s.Routes[0].Core.Mean = math.Inf(1) }, nil, "", false},
		{"negative", func(s *Snapshot) { s.Routes[0].Core.Mean = -1 }, nil, "", false},
		{"zero", func(s *Snapshot) { s.Routes[0].Core.Mean = 0 }, nil, "", false},
		{"above four deadlines", func(s *Snapshot) { s.Routes[0].Core.Mean = 8.1 }, nil, "", false},
		{"negative age", func(s *Snapshot) { s.Routes[0].Core.Age = -1 }, nil, "", false},
		{"a week old", func(s *Snapshot) { s.Routes[0].Core.Age = 7 * 24 * time.Hour }, nil, "", false},
		{"too many samples", func(s *Snapshot) { s.Routes[0].Core.Samples = 1e12 }, nil, "", false},
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
			assert.True(t, validated.Routes[1].Core.Known(), "other estimates are kept")
		})
	}
}

// A server with thousands of routes publishes the busiest ones that have samples. Align restores the order of the
// settings, and returns an error for a snapshot with a duplicate or an unknown route.
func TestPublishedAndAligned(t *testing.T) {
	const routes = 3300
	schema, full := Schema{SettingsDigest: 7, Origin: 1}, Snapshot{Origin: 2, SettingsDigest: 7}
	for i := range routes {
		name := fmt.Sprintf("route-%d", i)
		schema.Routes, schema.Deadlines = append(schema.Routes, name), append(schema.Deadlines, time.Second)
		route := RouteEstimates{Name: name}
		if i%3 == 0 {
			route.Core = Estimate{Mean: 0.1, Samples: float64(i + 1)}
		}
		full.Routes = append(full.Routes, route)
	}
	published := full.Published()
	require.Len(t, published.Routes, MaxPublishedRoutes)
	assert.Len(t, full.Routes, routes, "the original snapshot is not changed")
	aligned, err := schema.Align(published)
	require.NoError(t, err)
	validated, err := schema.Validate(aligned)
	require.NoError(t, err)
	for i, got := range validated.Routes {
		assert.Equal(t, schema.Routes[i], got.Name)
		busy := i%3 == 0 && i >= routes-3*MaxPublishedRoutes
		assert.Equal(t, busy, got.Core.Known(), got.Name)
	}

	for wantText, change := range map[string]func(s *Snapshot){
		"this server lacks": func(s *Snapshot) { s.Routes[3].Name = "elsewhere" },
		"duplicate":         func(s *Snapshot) { s.Routes[3].Name = s.Routes[4].Name },
	} {
		bad := full.Published()
		change(&bad)
		_, err := schema.Align(bad)
		assert.ErrorContains(t, err, wantText)
		assert.ErrorIs(t, err, ErrOtherRoutes)
	}
}
