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
func storedMachine(t *testing.T) *cluster {
	t.Helper()
	f := &cluster{folder: t.TempDir()}
	f.keyFile = f.write(t, "keys", strings.Repeat("5e", 16)+"\n")
	for _, list := range []*[]string{&f.sessions, &f.replicas} {
		free, err := harness.FreeAddress()
		require.NoError(t, err)
		*list = append(*list, free)
	}
	to := filepath.Join(f.folder, "data0", "log")
	require.NoError(t, os.CopyFS(to, os.DirFS(filepath.Join("testdata", "f1daac1", "log"))))
	packed, err := os.Open(filepath.Join(to, "log.bolt.gz"))
	require.NoError(t, err)
	defer func() { _ = packed.Close() }()
	from, err := gzip.NewReader(packed)
	require.NoError(t, err)
	raw, err := io.ReadAll(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(to, "log.bolt"), raw, 0o600))
	f.running, f.logs = []*exec.Cmd{nil}, []*harness.LogBuffer{nil}
	f.start(t, 0)
	t.Cleanup(func() { f.kill(0) })
	return f
}

type storedStatus struct {
	Leader   string `json:"leader"`
	Version  uint64 `json:"version"`
	Watchers int    `json:"watchers"`
	Machines []struct {
		Digest uint64 `json:"digest"`
	} `json:"machines"`
}

func (f *cluster) storedStatus(t *testing.T) (s storedStatus) {
	t.Helper()
	out, code := f.run(t, "status", "--json")
	require.Zero(t, code, out)
	require.NoError(t, json.Unmarshal([]byte(out), &s), out)
	return s
}

// The service continues from the directory with the same version and content, sends it to a watching server, recognizes
// repeated changes that it accepted before, and accepts further changes.
func TestGoesOnFromAStoredLog(t *testing.T) {
	f := storedMachine(t)
	var stands storedStatus
	reached := func(version uint64) func() bool {
		return func() bool { stands = f.storedStatus(t); return stands.Leader == "c0" && stands.Version == version }
	}
	require.Eventually(t, reached(5), patience, 20*time.Millisecond)
	require.Len(t, stands.Machines, 1)
	assert.Equal(t, uint64(15045096694224017753), stands.Machines[0].Digest)

	d := f.server(t)
	inForce(t, d, 5)
	assert.Contains(t, d.Log(), `msg="configuration: in force" version=5 routes=4 tenants=2`)
	assert.Equal(t, byte(codeServed), codes(t, d, "base"))
	assert.Equal(t, byte(codeServed), codes(t, d, "order"))
	assert.Equal(t, byte(codeRejected), codes(t, d, "gone"), "removed by the second change")

	third := `{"id":"third","base":2,"tenants":{"west":null,"north":{"quota-rps":75,"fraction":0.5}}}`
	assert.Equal(t, 3, f.apply(t, third), "a repeated change must keep its version")
	assert.Equal(t, 5, f.apply(t, `{"id":"fifth","routes":{"base":null}}`), "a repeated change must be recognized by its ID alone")
	out, code := f.run(t, "apply", f.write(t, "change.json", `{"base":4,"routes":{"base":null}}`))
	assert.Equal(t, exitRejected, code, out)
	gone := strings.Replace(routes("gone"), "{", `{"base":5,`, 1)
	assert.Equal(t, 6, f.apply(t, gone))
	inForce(t, d, 6)
	assert.Equal(t, byte(codeServed), codes(t, d, "gone"))

	f.kill(0)
	f.start(t, 0)
	require.Eventually(t, reached(6), patience, 20*time.Millisecond)
}

// A server that stored version 4 of this history starts with it, requests the versions after it, and brings them into
// force.
func TestStoredWatcherIsToldWhatItLacks(t *testing.T) {
	f := storedMachine(t)
	require.Eventually(t, func() bool { return f.storedStatus(t).Version == 5 }, patience, 20*time.Millisecond)
	require.NoError(t, os.CopyFS(filepath.Join(f.folder, "kept"), os.DirFS(filepath.Join("testdata", "f1daac1", "configuration"))))
	d := f.server(t)
	assert.Contains(t, d.Log(), `msg="configuration: stored version in force" version=4 age=`)
	inForce(t, d, 5)
	assert.Contains(t, d.Log(), "version=4 newest=5")
}
