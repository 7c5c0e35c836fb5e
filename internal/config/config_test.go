package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/classpool"
	"quartzpoint/lease"
)

// The [peers] section is read with and without optional keys; without the section there is no exchange.
func TestPeers(t *testing.T) {
	got, err := Parse("x.toml", []byte(`
[peers]
listen = "127.0.0.1:7400"
ask = ["127.0.0.1:7401", "[::1]:7402"]
total = "1s"
`))
	require.NoError(t, err)
	assert.Equal(t, &Peers{
		Listen: "127.0.0.1:7400", Addresses: []string{"127.0.0.1:7401", "[::1]:7402"}, FirstWait: time.Second,
	}, got.Peers)
	got, err = Parse("x.toml", []byte("[peers]\nlisten = \"10.0.0.4:7400\"\nkey-file = \"k\""))
	require.NoError(t, err)
	assert.Equal(t, defaultFirstWait, got.Peers.FirstWait)
	got, err = Parse("x.toml", nil)
	require.NoError(t, err)
	assert.Nil(t, got.Peers, "no section, no exchange")
}

// The bounds must allow the largest planned fleet, also with a lease.
func TestAThousandPeers(t *testing.T) {
	var ask []string
	for i := range 1024 {
		ask = append(ask, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.1:%d", 10000+i)))
	}
	got, err := Parse("x.toml", []byte("[peers]\nlisten = \"127.0.0.1:7400\"\nask = ["+strings.Join(ask, ",")+
		"]\n[lease]\nduties = [\"compact\"]"))
	require.NoError(t, err)
	assert.Len(t, got.Peers.Addresses, 1024)
	assert.Equal(t, 1025, got.Lease.Config.Voters)
}

// The [state] section is read with all keys, and with the defaults.
func TestState(t *testing.T) {
	got, err := Parse("x.toml", []byte("[state]\ndir = \"d\"\nsite = \"s\"\nnumbers = true\ncommit = \"0s\"\nmost-mb = 8"))
	require.NoError(t, err)
	assert.Equal(t, &State{Dir: "d", Site: "s", IdempotencyKeys: true, MaxBytes: 8 << 20}, got.State)
	got, err = Parse("x.toml", []byte("[state]\ndir = \"d\""))
	require.NoError(t, err)
	assert.Equal(t, &State{Dir: "d", CommitInterval: defaultCommitInterval, MaxBytes: defaultStateMB << 20}, got.State)
}

// A lease needs voters, and a duration and clock drift within its bounds; each error must name the key.
func TestLease(t *testing.T) {
	peers := "[peers]\nlisten = \"127.0.0.1:7401\"\nask = [\"127.0.0.1:7402\", \"127.0.0.1:7403\"]\n"
	got, err := Parse("x.toml", []byte(peers+"[lease]\nduties = [\"compact\"]\nlease = \"3s\"\ndrift = 0.02"))
	require.NoError(t, err)
	assert.Equal(t, &Lease{Names: []string{"compact"}, Config: lease.Config{Duration: 3 * time.Second, MaxClockDrift: 0.02, Voters: 3}},
		got.Lease)
	require.NoError(t, got.Lease.Config.Validate())
	for name, c := range map[string]struct{ text, wantErr string }{
		"no names":    {peers + "[lease]\n", "x.toml:4: lease.duties: the list of lease names is missing"},
		"no voters":   {"[lease]\nduties = [\"d\"]", "x.toml:1: lease: needs [peers] with this server's address in listen"},
		"no listen":   {"[peers]\nask = [\"127.0.0.1:7402\"]\n[lease]\nduties = [\"d\"]", "lease: needs [peers] with this server's address in listen"},
		"large drift": {peers + "[lease]\nduties = [\"d\"]\ndrift = 0.3", "x.toml:6: lease.drift = 0.3"},
		"too short":   {peers + "[lease]\nduties = [\"d\"]\nlease = \"1ms\"", "x.toml:6: lease.lease = \"1ms\""},
	} {
		_, err := Parse("x.toml", []byte(c.text))
		assert.ErrorContains(t, err, c.wantErr, name)
	}
}

// The tree of pools is read, and errors of single pools and of the tree are reported.
func TestPools(t *testing.T) {
	got, err := Parse("x.toml", []byte(`
[pools.booking]
floor = 0.4
weight = 3
[pools.browsing]
ceiling = 0.8
[pools.browsing-slow]
parent = "browsing"
floor = 0.1
`))
	require.NoError(t, err)
	assert.Equal(t, []classpool.Options{
		{Name: "booking", Floor: 0.4, Ceiling: 1, Weight: 3},
		{Name: "browsing", Ceiling: 0.8, Weight: 1},
		{Name: "browsing-slow", Parent: "browsing", Floor: 0.1, Ceiling: 1, Weight: 1},
	}, got.Pools)
	cases := []struct{ name, text, want string }{
		{"floor out of range", "[pools.a]\nfloor = 2", `x.toml:2: pools.a.floor = 2: a number from 0 to 1 is allowed`},
		{"unknown key", "[pools.a]\nshare = 1", `pools.a.share = 1: unknown; allowed are ceiling, floor, parent, weight`},
		{"parent does not exist", "[pools.a]\nparent = \"b\"", `pool "a": its ancestor "b" does not exist`},
		{"floor above ceiling", "[pools.a]\nfloor = 0.9\nceiling = 0.5", `pool "a": floor 0.9 is above its ceiling 0.5`},
		{"cycle", "[pools.a]\nparent = \"b\"\n[pools.b]\nparent = \"a\"", `or a cycle`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(c.text))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

// Each kind of error on its own must be reported on one line with file, line, key, value and what is allowed.
func TestFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown section", "\n[pears]\n", `x.toml:2: pears = a table: unknown; allowed are configuration, control, dependencies, lease, peers, pools, state, types`},
		{"unknown key", "[peers]\n\nlisten_on = 1", `x.toml:3: peers.listen_on = 1: unknown; allowed are ask, key-file, listen, total`},
		{"not a section", "peers = 3", `x.toml:1: peers = 3: a section`},
		{"wrong type", "[peers]\ntotal = 300", `x.toml:2: peers.total = 300: a duration from "10ms" to "10s" is allowed`},
		{"out of range", "[peers]\ntotal = \"1m\"", `x.toml:2: peers.total = "1m": a duration`},
		{"host name", "[peers]\nlisten = \"localhost:1\"", `x.toml:2: peers.listen = "localhost:1": an IP address and port`},
		{"no port", "[peers]\nlisten = \"127.0.0.1:0\"", `peers.listen`},
		{"listen beyond loopback without a key", "[peers]\nlisten = \"10.0.0.4:7400\"", `x.toml:2: peers.listen = "10.0.0.4:7400": without key-file only a loopback`},
		{"peer beyond loopback without a key", "[peers]\nask = [\"10.0.0.4:7400\"]", `peers.ask = "10.0.0.4:7400": without key-file`},
		{"own address as a peer", "[peers]\nlisten = \"127.0.0.1:1\"\nask = [\"127.0.0.1:1\"]", `is this server's own address`},
		{"duplicate peer", "[peers]\nask = [\"127.0.0.1:1\", \"127.0.0.1:1\"]", `is listed twice`},
		{"too many peers", "[peers]\nask = [" + strings.Repeat("\"127.0.0.1:1\",", 1025) + "]", `at most 1024`},
		{"item of a wrong type", "[peers]\nask = [1]", `peers.ask = 1: in the list`},
		{"empty path", "[peers]\nkey-file = \"\"", `a path is allowed`},
		{"state without a directory", "\n[state]\nnumbers = true", `x.toml:2: state.dir: the path of a directory is missing`},
		{"state out of range", "[state]\ndir = \"d\"\nmost-mb = 1", `x.toml:3: state.most-mb = 1: a whole number from 8 to 4096`},
		{"commit out of range", "[state]\ndir = \"d\"\ncommit = \"2s\"", `x.toml:3: state.commit = "2s": a duration`},
		{"configuration without a machine", "\n[configuration]\nzone = \"a\"", `x.toml:2: configuration.machine: at least one [[configuration.machine]] is needed`},
		{"machine without an address", "[[configuration.machine]]\nzone = \"a\"", `x.toml:1: configuration.machine.0.address: is missing`},
		{"machine with a host name", "[[configuration.machine]]\naddress = \"here:1\"", `x.toml:2: configuration.machine.0.address = "here:1": an IP address`},
		{"duplicate machine", "[[configuration.machine]]\naddress = \"127.0.0.1:1\"\n[[configuration.machine]]\naddress = \"127.0.0.1:1\"", `x.toml:4: configuration.machine.1.address = "127.0.0.1:1": is listed twice`},
		{"machine beyond loopback without a key", "[[configuration.machine]]\naddress = \"10.0.0.4:1\"", `x.toml:2: configuration.machine.0.address = "10.0.0.4:1": without key-file`},
		{"unknown key of configuration", "[configuration]\nfolder = \"x\"\n[[configuration.machine]]\naddress = \"127.0.0.1:1\"", `x.toml:2: configuration.folder = "x": unknown; allowed are dir, key-file, machine, name, zone`},
		{"syntax error", "[peers]\nlisten = ", `x.toml:2: column`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(c.text))
			require.ErrorContains(t, err, c.want)
			assert.NotContains(t, err.Error(), "\n", "each error is on one line")
		})
	}
}

// An operator who fixes a file must get all its errors at once, sorted by line.
func TestAllFaultsAtOnce(t *testing.T) {
	_, err := Parse("x.toml", []byte("[peers]\ntotal = 1\nlisten = 2\nask = 3\nother = 4\n[more]\n"))
	require.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	assert.Len(t, lines, 5)
	for i, prefix := range []string{"x.toml:2:", "x.toml:3:", "x.toml:4:", "x.toml:5:", "x.toml:6:"} {
		assert.True(t, strings.HasPrefix(lines[i], prefix), lines[i])
	}
}

// A missing or oversized file is an error; the sample file of the release is valid.
func TestRead(t *testing.T) {
	_, err := Read("/nowhere.toml")
	assert.ErrorContains(t, err, "/nowhere.toml")
	path := filepath.Join(t.TempDir(), "big.toml")
	require.NoError(t, os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600))
	_, err = Read(path)
	assert.ErrorContains(t, err, "at most")
	_, err = Read("../../deploy/quartzpoint.toml")
	assert.NoError(t, err, "the sample file must be valid")
}
