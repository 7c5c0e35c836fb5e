package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeExperiment writes an experiment file with one small drill and returns its path.
func writeExperiment(t *testing.T, text string) string {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "small.drill"),
		[]byte("title \"Small\"\nservers 2 zones 1 cores 2\nload 150% for 4s\nat 2s for 1s kill 50% of servers\n"), 0o600))
	path := filepath.Join(folder, "x.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const smallExperiment = "name = \"x\"\ndrills = [\"*.drill\"]\npolicies = [\"quartzpoint\", \"fixed\"]\nseeds = 3\n"

func TestRead(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", smallExperiment + "speed = 1", "unknown key"},
		{"no name", "drills = [\"*.drill\"]", "a name without blanks"},
		{"unknown policy", "name = \"x\"\ndrills = [\"*.drill\"]\npolicies = [\"best\"]", `policy "best"`},
		{"no drill", "name = \"x\"\ndrills = [\"*.none\"]", "matches no file"},
		{"no seeds", strings.Replace(smallExperiment, "seeds = 3", "seeds = 0", 1), "seeds = 0"},
		{"broken", "name = ", "experiment"},
	}
	for _, c := range cases {
		_, err := ReadExperiment(writeExperiment(t, c.text))
		assert.ErrorContains(t, err, c.want, c.name)
	}
	_, err := ReadExperiment("nowhere.toml")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// An interrupted experiment continues from its stored runs and gives the same results as an uninterrupted one, with any
// number of processes.
func TestResume(t *testing.T) {
	path := writeExperiment(t, smallExperiment)
	e, err := ReadExperiment(path)
	require.NoError(t, err)
	e.Processes = 1
	uninterrupted, err := e.Run(t.Context(), t.TempDir(), nil)
	require.NoError(t, err)
	require.Len(t, uninterrupted, 6)

	folder := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	_, err = e.Run(ctx, folder, func(_ Run, _ bool, n, _ int) {
		if n == 2 {
			cancel()
		}
	})
	assert.ErrorIs(t, err, context.Canceled)
	runs := filepath.Join(folder, "runs.jsonl")
	raw, err := os.ReadFile(runs)
	require.NoError(t, err)
	storedLines := bytes.Count(raw, []byte("\n"))
	assert.Less(t, storedLines, 6)
	require.NoError(t, os.WriteFile(runs, append(raw, raw[:len(raw)/3]...), 0o600)) // a line that was cut off by the interruption
	storedRuns := 0
	e.Processes = 4
	resumed, err := e.Run(t.Context(), folder, func(_ Run, stored bool, _, _ int) {
		if stored {
			storedRuns++
		}
	})
	require.NoError(t, err)
	assert.GreaterOrEqual(t, storedRuns, storedLines)
	for i := range uninterrupted {
		assert.Equal(t, uninterrupted[i].Result.Goodput, resumed[i].Result.Goodput)
		assert.Equal(t, uninterrupted[i].Result.Events, resumed[i].Result.Events)
		assert.Equal(t, uninterrupted[i].Key, resumed[i].Key)
	}
	require.NoError(t, e.Report(folder, resumed))
	page, err := os.ReadFile(filepath.Join(folder, "report.html"))
	require.NoError(t, err)
	assert.Contains(t, string(page), "<svg")
	assert.NotContains(t, string(page), "src=", "self-contained")
	for _, name := range []string{"overall.png", "overall.svg", "drill-small.png", "table.txt", "experiment.toml"} {
		_, err := os.Stat(filepath.Join(folder, name))
		assert.NoError(t, err, name)
	}
}

func TestIntervals(t *testing.T) {
	i := intervalOf([]float64{1, 2, 3, 4, 5})
	assert.InDelta(t, 3, i.Mean, 1e-9)
	assert.InDelta(t, 1.963, i.HalfWidth, 1e-3, "t for 4 degrees of freedom (2.776) * standard deviation (1.581) / sqrt(5)")
	cells := Cells([]Run{makeRun("p", 0.9), makeRun("p", 0.8), makeRun("q", 0.5), makeRun("q", 0.4)})
	require.Len(t, cells, 2)
	assert.InDelta(t, -0.4, cells[1].Difference.Mean, 1e-9)
	assert.InDelta(t, 0, cells[1].Difference.HalfWidth, 1e-9, "all pairs have the same difference")
	assert.InDelta(t, 0.85, cells[0].GoodputShare.Mean, 1e-9)
}

func makeRun(policy string, goodput float64) (r Run) {
	r.Drill, r.Policy, r.Result.OfferedValue, r.Result.Goodput, r.Result.Requests = "a", policy, 1, goodput, 10
	return r
}
