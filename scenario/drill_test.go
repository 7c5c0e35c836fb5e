package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/baseline"
	"quartzpoint/emulator"
)

// TestLibrary parses all drills of the library and emulates them with the project's own decisions: no rule is violated,
// and every request has exactly one outcome.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob("../drills/*.drill")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 15)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			d, err := Parse(file, string(raw))
			require.NoError(t, err)
			assert.NotEmpty(t, d.Title)
			start := time.Now()
			r := d.Emulate(emulator.QuartzpointPolicy, 1)
			t.Logf("goodput %.3f of %d requests, rejected %d, aborted %d, unanswered %d, attempts %d, rule violations %v, %d events in %v",
				r.Goodput/r.OfferedValue, r.Requests, r.Rejected, r.Aborted, r.Unanswered, r.Attempts, r.Rules.Violations, r.Events, time.Since(start))
			assert.Zero(t, r.Rules.Total(), strings.Join(r.Rules.Messages, "\n"))
			assert.Zero(t, r.DuplicateAnswers)
			assert.Equal(t, r.Requests, r.Served+r.Rejected+r.Aborted+r.Unanswered)
		})
	}
}

func TestFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown statement", "servers 3\nserver 4", `x.drill:2:1: unexpected token "server"`},
		{"incomplete statement", "load 90%", `x.drill:1:9: unexpected token "<EOF>"`},
		{"out of range", "servers 3\n  load 90% for 2h5", `x.drill:2:`},
		{"share out of range", "servers 3\nload 9000% for 2s", `x.drill:2:6: 9000%: want a number from 0.01 to 20`},
		{"number instead of a time", "load 90% for 20", `x.drill:1:14: 20: want a time from 1s to 1h0m0s`},
		{"unknown balancing", "habits best", `x.drill:1:1: habits best: want round, least`},
		{"unknown mix", "servers 3 mix mail", `mix mail: want branch or booking`},
		{"unknown dependency", "at 5s stop dependency bank", `dependency "bank" is not defined`},
		{"unknown route", "dependency bank slots 3 takes 5ms for mail", `x.drill:1:1: no route mail`},
		{"no such server", "servers 3\nat 5s kill server 3", `the fleet has 3 servers in 2 zones`},
		{"pause without a duration", "at 5s pause 10% of servers", `pause has no duration`},
		{"stray character", "servers 3 ; cores 4", `x.drill:1:11`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.drill", c.text)
			require.ErrorContains(t, err, c.want)
		})
	}
	_, err := Parse("x.drill", "servers 0\nload 1000000% for 1ms\nhabits best")
	require.Error(t, err)
	assert.Equal(t, 4, strings.Count(err.Error(), "x.drill:"), "all errors are reported: %v", err)
	_, err = Parse("x.drill", strings.Repeat("# ", maxScriptSize))
	assert.ErrorContains(t, err, "at most")
}

// A retry storm is metastable without admission control: it continues after its cause has ended. With this project it
// ends.
func TestMetastable(t *testing.T) {
	raw, err := os.ReadFile("../drills/retry-storm.drill")
	require.NoError(t, err)
	d, err := Parse("retry-storm.drill", string(raw))
	require.NoError(t, err)
	goodputAfterCause := func(name string) float64 { // goodput share of the requests created in the ten seconds that begin 20 s after the end of the cause
		policy, err := baseline.PolicyByName(name)
		require.NoError(t, err)
		r := d.Emulate(policy, 1)
		offered, goodput := 0.0, 0.0
		for _, s := range r.Seconds[38:48] {
			offered, goodput = offered+s.OfferedValue, goodput+s.Goodput
		}
		return goodput / offered
	}
	noLimit, quartzpoint := goodputAfterCause("no-limit"), goodputAfterCause("quartzpoint")
	t.Logf("goodput 20 s after the cause: no limit %.3f, quartzpoint %.3f", noLimit, quartzpoint)
	assert.Less(t, noLimit, 0.3)
	assert.Greater(t, quartzpoint, 0.95)
}
