package main

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/harness"
)

// startStoredMachine starts a single control machine of the real binary on a copy of the directory left by a killed
// quartzconfig of revision f1daac1. The directory has five versions, the first three of them in a snapshot.
func startStoredMachine(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{folder: t.TempDir()}
	c.keyFile = c.write(t, "keys", strings.Repeat("5e", 16)+"\n")
	for _, list := range []*[]string{&c.sessions, &c.replicas} {
		free, err := harness.FreeAddress()
		require.NoError(t, err)
		*list = append(*list, free)
	}
	dir := filepath.Join(c.folder, "data0", "log")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "f1daac1", "log"))))
	compressed, err := os.Open(filepath.Join(dir, "log.bolt.gz"))
	require.NoError(t, err)
	defer func() { _ = compressed.Close() }()
	reader, err := gzip.NewReader(compressed)
	require.NoError(t, err)
	raw, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "log.bolt"), raw, 0o600))
	c.running, c.logs = []*exec.Cmd{nil}, []*harness.LogBuffer{nil}
	c.start(t, 0)
	t.Cleanup(func() { c.kill(0) })
	return c
}

type storedStatus struct {
	Leader   string `json:"leader"`
	Version  uint64 `json:"version"`
	Watchers int    `json:"watchers"`
	Machines []struct {
		Digest uint64 `json:"digest"`
	} `json:"machines"`
}

func (c *cluster) storedStatus(t *testing.T) (s storedStatus) {
	t.Helper()
	out, code := c.run(t, "status", "--json")
	require.Zero(t, code, out)
	require.NoError(t, json.Unmarshal([]byte(out), &s), out)
	return s
}

// The service continues from the directory with the same version and content, sends it to a watching server, recognizes
// repeated changes that it accepted before, and accepts further changes.
func TestResumeFromStoredLog(t *testing.T) {
	c := startStoredMachine(t)
	var status storedStatus
	reached := func(version uint64) func() bool {
		return func() bool { status = c.storedStatus(t); return status.Leader == "c0" && status.Version == version }
	}
	require.Eventually(t, reached(5), testTimeout, 20*time.Millisecond)
	require.Len(t, status.Machines, 1)
	assert.Equal(t, uint64(15045096694224017753), status.Machines[0].Digest)

	d := c.server(t)
	waitForVersion(t, d, 5)
	assert.Contains(t, d.Log(), `msg="configuration: in force" version=5 routes=4 tenants=2`)
	assert.Equal(t, byte(codeServed), sendRequest(t, d, "base"))
	assert.Equal(t, byte(codeServed), sendRequest(t, d, "order"))
	assert.Equal(t, byte(codeRejected), sendRequest(t, d, "gone"), "removed by the second change")

	third := `{"id":"third","base":2,"tenants":{"west":null,"north":{"quota-rps":75,"fraction":0.5}}}`
	assert.Equal(t, 3, c.apply(t, third), "a repeated change must keep its version")
	assert.Equal(t, 5, c.apply(t, `{"id":"fifth","routes":{"base":null}}`), "a repeated change must be recognized by its ID alone")
	out, code := c.run(t, "apply", c.write(t, "change.json", `{"base":4,"routes":{"base":null}}`))
	assert.Equal(t, exitRejected, code, out)
	change := strings.Replace(routes("gone"), "{", `{"base":5,`, 1)
	assert.Equal(t, 6, c.apply(t, change))
	waitForVersion(t, d, 6)
	assert.Equal(t, byte(codeServed), sendRequest(t, d, "gone"))

	c.kill(0)
	c.start(t, 0)
	require.Eventually(t, reached(6), testTimeout, 20*time.Millisecond)
}

// A server that stored version 4 of this history starts with it, requests the versions after it, and brings them into
// force.
func TestStoredWatcherCatchesUp(t *testing.T) {
	c := startStoredMachine(t)
	require.Eventually(t, func() bool { return c.storedStatus(t).Version == 5 }, testTimeout, 20*time.Millisecond)
	require.NoError(t, os.CopyFS(filepath.Join(c.folder, "kept"), os.DirFS(filepath.Join("testdata", "f1daac1", "configuration"))))
	d := c.server(t)
	assert.Contains(t, d.Log(), `msg="configuration: stored version in force" version=4 age=`)
	waitForVersion(t, d, 5)
	assert.Contains(t, d.Log(), "version=4 newest=5")
}
