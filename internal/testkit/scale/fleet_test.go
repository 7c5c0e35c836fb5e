package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMain lets the test's own program stand for the one that holds hollow servers.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "hollow" {
		if err := RunHollowServers(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// A small hollow fleet is warm, holds its duty once, goes on through restarts, and uses what is counted.
func TestHollowFleet(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	fleet, err := StartFleet(self, 14, HollowSpec{Voters: 3, Duties: 1, Lease: 300 * time.Millisecond, Routes: 40, Seed: 1})
	require.NoError(t, err)
	defer func() { assert.NoError(t, fleet.Stop()) }()
	_, err = fleet.WaitForViews(t.Context())
	require.NoError(t, err)
	_, err = fleet.waitForHolders(t.Context(), healTimeout, 1)
	require.NoError(t, err)
	require.NoError(t, fleet.WaitUntilQuiet(t.Context()))
	used, err := rateDuring(fleet, time.Second, 3, func() error {
		if err := fleet.Restart(4); err != nil {
			return err
		}
		_, err := fleet.WaitForViews(t.Context())
		return err
	})
	require.NoError(t, err)
	assert.InDelta(t, 1/0.24, used.memberMessages, 1.5, "a report every 240 ms")
	assert.Positive(t, used.serverBytes)
	assert.Positive(t, used.voterTalks)
	holders, err := fleet.countHolders()
	require.NoError(t, err)
	assert.LessOrEqual(t, holders, 1)
}

// The capacity page says what the recorded points give.
func TestCapacityPage(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	points, origins, err := ReadParts(filepath.Join(root, "results", "scale"))
	require.NoError(t, err)
	rows, err := Capacity(points)
	require.NoError(t, err)
	raw, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	require.NoError(t, err)
	assert.Contains(t, string(raw), RenderCapacity(rows), "make capacity writes the figures into the page")
	before, err := ReadBaseline(filepath.Join(root, "results", "scale"))
	require.NoError(t, err)
	assert.Contains(t, string(raw), RenderComparison(before, points))
	for part, origin := range origins {
		assert.Contains(t, string(raw), origin, "%s: the page says what made the points", part)
	}
}

// A figure that is not what the points give is found.
func TestCapacityIsWorkedOut(t *testing.T) {
	points, _, err := ReadParts(filepath.Join("..", "..", "..", "results", "scale"))
	require.NoError(t, err)
	rows, err := Capacity(points)
	require.NoError(t, err)
	series := points[seriesIdle+bySize]
	for i := range series {
		series[i].Value += 100
	}
	other, err := Capacity(points)
	require.NoError(t, err)
	assert.NotEqual(t, RenderCapacity(rows), RenderCapacity(other))
	assert.Contains(t, RenderCapacity(other), "**Over budget**: app server, control: core")
	delete(points, seriesMemberBytes)
	_, err = Capacity(points)
	assert.ErrorIs(t, err, errNotMeasured)
}
