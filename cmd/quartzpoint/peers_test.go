package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/estimate"
	"quartzpoint/internal/testkit/fake"
	"quartzpoint/internal/testkit/harness"
)

// runCommand runs the program once, and returns its output and its exit code.
func runCommand(t *testing.T, env []string, args ...string) (out string, code int) {
	cmd := exec.Command(builds["release"], args...)
	cmd.Env = append(append(os.Environ(), "EDGE_CONFIG=", "EDGE_NAME=", "EDGE_LISTEN="), env...)
	raw, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		require.NoError(t, err)
	}
	return string(raw), cmd.ProcessState.ExitCode()
}

func TestCommandLine(t *testing.T) {
	writeFile := func(text string) string {
		path := filepath.Join(t.TempDir(), "own.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := fake.WriteConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", fake.SiteSettings)
	bad := fake.WriteConfig(t, "", "no port", "127.0.0.1:3", strings.Replace(fake.SiteSettings, `"halt":"suspend"`, `"halt":"later"`, 1))
	leased := "[peers]\nlisten = \"127.0.0.1:7401\"\nask = [\"127.0.0.1:7402\"]\n[lease]\nduties = [\"compact\"]\n"
	cases := []struct {
		args []string
		env  string
		code int
		want []string
	}{
		{[]string{"--help"}, "", 0, []string{"EDGE_CONFIG", "check", "peer show", "Exit codes"}},
		{[]string{"serve", "--help"}, "", 0, []string{"--config"}},
		{[]string{"peer", "show", "--help"}, "", 0, []string{"--key-file"}},
		{[]string{"version"}, "", 0, []string{"quartzpoint", "go1."}},
		{nil, "", 1, []string{"EDGE_CONFIG names no configuration"}},
		{[]string{"serve"}, "", 1, []string{"EDGE_CONFIG names no configuration"}},
		{[]string{"bogus"}, "", 2, []string{"bogus", "--help"}},
		{[]string{"check"}, "", 1, []string{"nothing to check"}},
		{[]string{"check"}, "EDGE_CONFIG=" + good, 0, []string{"no faults"}},
		{[]string{"check", good}, "", 0, []string{"no faults"}},
		{[]string{"check", "--own", writeFile("[peers]\n")}, "", 0, []string{"no faults"}},
		{[]string{"check", bad, "--own", writeFile("[peers]\ntotal = 1\nx = 1")}, "", 1,
			[]string{"listen is missing", "pool:", "setting extra.halt", "peers.total", "peers.x"}},
		{[]string{"check", "--own", writeFile("[peers]\nkey-file = \"/nowhere\"")}, "", 1, []string{"key file"}},
		{[]string{"check", "--own", writeFile("[state]\ndir = \"/nowhere/state\"")}, "", 1, []string{"state.dir", "/nowhere"}},
		{[]string{"check", "--own", writeFile("[state]\ndir = \"" + t.TempDir() + "/state\"")}, "", 0, []string{"no faults"}},
		{[]string{"check", "--own", writeFile("[state]\ndir = \"" + good + "\"")}, "", 1, []string{"state.dir", "not a directory; a symbolic link"}},
		{[]string{"state", "show", "/nowhere"}, "", 1, []string{"/nowhere"}},
		{[]string{"serve", "--own", writeFile("[pears]")}, "EDGE_CONFIG=" + good, 1, []string{"pears"}},
		{[]string{"check", "--own", writeFile(leased)}, "", 0, []string{"no faults"}},
		{[]string{"check", "--own", writeFile("[lease]\nduties = [\"compact\"]")}, "", 1, []string{"lease", "[peers]"}},
		{[]string{"peer", "show", "127.0.0.1:1"}, "", 1, []string{"refused"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			out, code := runCommand(t, []string{c.env}, c.args...)
			assert.Equal(t, c.code, code, out)
			for _, text := range c.want {
				assert.Contains(t, out, text)
			}
		})
	}
}

// A server starts while a peer is under load. It must use that peer's estimates, and a server without the key must not
// get them. Then the keys are changed while both run: the new key must be accepted, and an invalid key file must leave
// the old ones in force.
func TestPeersExchange(t *testing.T) {
	routes := []harness.Route{{
		Name: "browse", Value: 1, LatencyTarget: 2 * time.Second, Deadline: 3 * time.Second, Share: 1,
		Work: 20 * time.Millisecond, Spread: 0.5,
	}}
	machine := harness.Machine{Cores: 2, Speed: 1, MemoryKB: 60000}
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	keyA, keyB := strings.Repeat("0a", 16), strings.Repeat("0b", 16)
	require.NoError(t, os.WriteFile(keys, []byte(keyA), 0o600))
	address, err := harness.FreeAddress()
	require.NoError(t, err)
	start := func(name, file string) *harness.Daemon {
		d, err := harness.Start(builds["debug"], dir, name, routes, machine, file)
		require.NoError(t, err)
		t.Cleanup(func() {
			assert.NoError(t, d.Stop())
			assert.NotContains(t, d.Log(), "check failed")
		})
		return d
	}
	waitLogged := func(d *harness.Daemon, text string) {
		t.Helper()
		require.Eventually(t, func() bool { return strings.Contains(d.Log(), text) }, fake.WaitLimit, time.Millisecond, text)
	}
	peer := start("peer", "[peers]\nlisten = \""+address+"\"\nkey-file = \""+keys+"\"\n")
	waitLogged(peer, "serving estimates to peers")
	done, err := harness.Run(peer.Address, routes, harness.Arrivals(routes, 60, 2500*time.Millisecond, 1), 1)
	require.NoError(t, err)
	assert.Zero(t, done.Unanswered+done.DuplicateAnswers)

	out, code := runCommand(t, nil, "peer", "show", address, "--key-file", keys)
	require.Zero(t, code, out)
	assert.Contains(t, out, `"browse" core s`)
	out, code = runCommand(t, nil, "peer", "show", address, "--key-file", keys, "--json")
	require.Zero(t, code, out)
	var snapshot estimate.Snapshot
	require.NoError(t, json.Unmarshal([]byte(out), &snapshot))
	assert.Greater(t, snapshot.Routes[0].Core.Samples, 8.0)
	assert.InDelta(t, 0.03, snapshot.Routes[0].Core.Mean, 0.02)

	newcomer := start("newcomer", "[peers]\nask = [\""+address+"\"]\nkey-file = \""+keys+"\"\n")
	waitLogged(newcomer, "using estimates from peers")
	keyless := start("keyless", "[peers]\nask = [\""+address+"\"]\n")
	waitLogged(keyless, "no estimates from a peer")

	require.NoError(t, os.WriteFile(keys, []byte(keyB+"\n"+keyA), 0o600))
	require.NoError(t, peer.Signal(syscall.SIGHUP))
	waitLogged(peer, "new keys")
	out, code = runCommand(t, nil, "peer", "show", address, "--key-file", keys)
	assert.Zero(t, code, out)
	require.NoError(t, os.WriteFile(keys, []byte("broken"), 0o600))
	require.NoError(t, peer.Signal(syscall.SIGHUP))
	waitLogged(peer, "new keys rejected, the old ones stay")
}
