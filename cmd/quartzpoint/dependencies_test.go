package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/budget"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

const confirmFile = `
[control]
socket = "SOCKET"
[dependencies.tables]
address = "TABLES"
[dependencies.bank]
address = "BANK"
[types.confirm-booking]
[[types.confirm-booking.calls]]
name = "hold"
dependency = "tables"
needed = true
effect = "numbered"
second-attempt = true
[[types.confirm-booking.calls]]
name = "deposit"
dependency = "bank"
after = ["hold"]
needed = true
effect = "at-most-once"
`

// composedServer is a server with a route whose requests are composed of calls and one that the worker pool runs.
type composedServer struct {
	daemon       *harness.Daemon
	tables, bank *harness.Dependency
	socket, file string
	routes       []harness.Route
}

func startComposedServer(t *testing.T, bank harness.BehaviourScript) *composedServer {
	c := &composedServer{routes: []harness.Route{
		{Name: "confirm-booking", Value: 4, LatencyTarget: time.Second, Deadline: 2 * time.Second, AtMostOnce: true, Share: 0.5,
			Work: time.Millisecond, Composed: true},
		{Name: "guest-note", Value: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second, Share: 0.5, Work: 20 * time.Millisecond},
	}}
	var err error
	c.tables, err = harness.NewDependency(8, 5*time.Millisecond, 0, 1, nil)
	require.NoError(t, err)
	t.Cleanup(c.tables.Close)
	c.bank, err = harness.NewDependency(8, 5*time.Millisecond, 0, 2, bank)
	require.NoError(t, err)
	t.Cleanup(c.bank.Close)
	dir := t.TempDir()
	c.socket = filepath.Join(dir, "control.sock")
	c.file = strings.NewReplacer("SOCKET", c.socket, "TABLES", c.tables.Address, "BANK", c.bank.Address).Replace(confirmFile)
	c.daemon, err = harness.Start(builds["debug"], dir, "n1", c.routes, harness.Machine{Cores: 2, Speed: 1, MemoryKB: 60000}, c.file)
	require.NoError(t, err)
	return c
}

// Without faults all requests must be served, and the control socket must report the dependencies.
func TestComposed(t *testing.T) {
	c := startComposedServer(t, nil)
	done, err := harness.Run(c.daemon.Address, c.routes, harness.Arrivals(c.routes, 60, time.Second, 1), 1)
	require.NoError(t, err)
	assert.Equal(t, done.Requests, done.Codes[20], "all complete: codes %v\n%s", done.Codes, c.daemon.Log())
	assert.Zero(t, done.Partial+done.LateAnswers+done.DuplicateAnswers)
	info, err := os.Stat(c.socket)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "only the owner may use the socket")

	out, code := runCommand(t, nil, "dependencies", c.socket)
	require.Zero(t, code, out)
	assert.Contains(t, out, "closed")
	out, code = runCommand(t, nil, "dependencies", c.socket, "--json")
	require.Zero(t, code, out)
	var states []budget.State
	require.NoError(t, json.Unmarshal([]byte(out), &states))
	require.Len(t, states, 2)
	assert.Equal(t, "bank", states[0].Name)
	assert.Equal(t, c.bank.Stats().Calls, states[0].FirstAttempts)
	assert.Zero(t, states[0].InFlight)
	assert.Greater(t, states[0].QuantilesInMillis[0], 4.0)
	require.NoError(t, c.daemon.Stop())
	out, code = runCommand(t, nil, "dependencies", c.socket)
	assert.Equal(t, 1, code, out)
}

// The deposit is sent, and its response arrives after the deadline. The request must be aborted, never rejected, and
// the deposit made once. Requests that do not need the bank must not be affected.
func TestDepositWithoutAnswer(t *testing.T) {
	c := startComposedServer(t, func(time.Duration) harness.DependencyBehaviour {
		return harness.DependencyBehaviour{AnswerDelay: 3 * time.Second}
	})
	load := harness.Arrivals(c.routes, 20, time.Second, 1)
	done, err := harness.Run(c.daemon.Address, c.routes, load, 1)
	require.NoError(t, err)
	assert.Zero(t, done.Unanswered+done.LateAnswers+done.DuplicateAnswers)
	notes := 0.0
	for _, a := range load {
		notes += float64(a.Route)
	}
	assert.Equal(t, notes, done.GoodputByRoute[1])
	stats := c.bank.Stats()
	assert.Positive(t, stats.Effects)
	assert.Zero(t, stats.RepeatedRuns)
	assert.Equal(t, stats.Calls, stats.DistinctKeys, "no attempt may be repeated")
	assert.GreaterOrEqual(t, done.Codes[51], stats.Effects, "a request that ran must be aborted, not rejected")
	require.NoError(t, c.daemon.Stop())
	assert.NotContains(t, c.daemon.Log(), "check failed")
}

// A caller disconnects, and then the server shuts down, while calls are in flight. The other callers must get their
// answers, and the shutdown must end in time.
func TestDrainWithOpenCalls(t *testing.T) {
	c := startComposedServer(t, func(time.Duration) harness.DependencyBehaviour { return harness.DependencyBehaviour{Silent: true} })
	disconnecting := fake.Dial(t, c.daemon.Address)
	disconnecting.Send(t, fake.RequestFrame(1, "confirm-booking", "x"))
	require.Eventually(t, func() bool { return c.bank.Stats().Calls == 1 }, fake.WaitLimit, time.Millisecond)
	_ = disconnecting.Close()
	router := fake.Dial(t, c.daemon.Address)
	for stream := range uint32(3) {
		more := []string{"call", "00000000000000a" + string(rune('1'+stream))}
		router.Send(t, fake.RequestFrame(stream+1, "confirm-booking", "x", more...))
	}
	require.Eventually(t, func() bool { return c.bank.Stats().Calls == 4 }, fake.WaitLimit, time.Millisecond)
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- c.daemon.Stop() }()
	answers := 0
	for answers < 3 {
		if reply := router.Next(t); reply.Type == 11 {
			assert.Equal(t, byte(51), reply.Code)
			answers++
		}
	}
	_ = router.Close()
	require.NoError(t, <-stopped)
	assert.Less(t, time.Since(began), 2500*time.Millisecond)
	assert.NotContains(t, c.daemon.Log(), "check failed")
}

// The check command must report each error in a plan and fail.
func TestCheckPlans(t *testing.T) {
	dir := t.TempDir()
	site := strings.Replace(fake.SiteSettings, `"browse"`, `"confirm-booking"`, 1)
	platform := fake.WriteConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", site)
	write := func(text string) string {
		path := filepath.Join(dir, "own.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := strings.NewReplacer("SOCKET", "/tmp/x", "TABLES", "127.0.0.1:4", "BANK", "127.0.0.1:5").Replace(confirmFile)
	out, code := runCommand(t, nil, "check", platform, "--own", write(good))
	assert.Zero(t, code, out)
	for _, words := range []string{"confirm-booking: 8s in total", "hold", "deposit", "bank", "50ms", "100ms", "no faults"} {
		assert.Contains(t, out, words)
	}
	cases := map[string][2]string{
		"can't have a second attempt": {`effect = "at-most-once"`, "effect = \"at-most-once\"\nsecond-attempt = true"},
		"no such route":               {"types.confirm-booking", "types.other"},
		"wait for each other":         {"effect = \"numbered\"", "effect = \"numbered\"\nafter = [\"deposit\"]"},
		"needed calls take":           {"[types.confirm-booking]\n", "[types.confirm-booking]\nreserve = \"4s\"\n"},
		"a name under [dependencies]": {`dependency = "bank"`, `dependency = "bnak"`},
		"a name of a call":            {`after = ["hold"]`, `after = ["hodl"]`},
		"address: is missing":         {`address = "127.0.0.1:5"`, ""},
		"share = 0":                   {`address = "127.0.0.1:5"`, "address = \"127.0.0.1:5\"\nshare = 0"},
		"is listed twice in the plan": {`name = "deposit"`, `name = "hold"`},
	}
	for want, change := range cases {
		text := strings.ReplaceAll(good, change[0], change[1])
		if want == "needed calls take" {
			text = strings.ReplaceAll(text, "needed = true", "needed = true\nexpected = \"3s\"")
		}
		out, code := runCommand(t, nil, "check", platform, "--own", write(text))
		assert.Equal(t, 1, code, want)
		assert.Contains(t, out, want)
	}
}
