package store_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/configuration"
	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
	"quartzpoint/recovery"
)

// The directories in testdata were written by the program of commit f1daac1, which was killed while it served. In those
// whose name ends with torn, the newest file lacks its last five bytes.

// copyTestdata copies a directory of testdata to a temporary directory, where it may be changed, and returns its path.
func copyTestdata(t *testing.T, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.CopyFS(to, os.DirFS(filepath.Join("testdata", "f1daac1", name))))
	return to
}

// storedAt returns a time on the clocks of the machine that wrote the directory: 11 s after the second of the two
// servers that wrote to it started.
func storedAt() recovery.Timestamp {
	return recovery.Timestamp{
		Wall: 1796275673428080893 + 11*time.Second, SinceBoot: 517452478052 + 11*time.Second,
		BootID: "1e938500-a2e7-4dc6-a0dc-9e7d376168c3", MachineID: 6822207236119524394,
	}
}

// storedSchema returns the schema of a server of this version with the settings under which the directory was written.
func storedSchema(t *testing.T) estimate.Schema {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "f1daac1", "settings.json"))
	require.NoError(t, err)
	parsed, err := settings.FromJSON(raw)
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	limits := server.Limits{MemoryMB: 128, Sockets: 512, Keys: true, Tenants: true}
	s, err := server.New(parsed, 1, limits, invariant.New(log), log)
	require.NoError(t, err)
	return s.PublishEstimates(9, func(estimate.Snapshot, time.Duration) {})
}

func storedOptions(t *testing.T, dir string) store.Options {
	schema := storedSchema(t)
	log := slog.New(slog.DiscardHandler)
	var ids atomic.Uint64
	return store.Options{
		OpenDir: datadir.Opener(dir), Clock: storedAt, NewID: func() uint64 { return ids.Add(1) }, Site: "here", Schema: schema,
		MaxBytes: 64 << 20, PersistKeys: true, Counts: invariant.New(log), Log: log, OnDurable: func() {},
	}
}

// formatEstimate formats an estimate with all its digits.
func formatEstimate(e estimate.Estimate) string {
	return fmt.Sprintf("%v %v %v %d", e.Mean, e.Spread, e.Samples, int64(e.Age))
}

func formatKeys(entries []recovery.KeyEntry) (lines []string) {
	for _, entry := range entries {
		lines = append(lines,
			fmt.Sprintf("%q shape %016x until %d honoured %t %q", entry.Key, entry.Fingerprint, int64(entry.ExpiresAt), entry.Served, entry.Result))
	}
	slices.Sort(lines)
	return lines
}

// A directory that the program of commit f1daac1 wrote is read with the same estimates, keys, windows and results as by
// that program.
func TestStoredStateIsRead(t *testing.T) {
	for _, name := range []string{"state", "state-torn"} {
		t.Run(name, func(t *testing.T) {
			dir := copyTestdata(t, name)
			s, recovered, err := store.New(storedOptions(t, dir))
			require.NoError(t, err)
			assert.NoError(t, s.Close())
			require.True(t, recovered.Estimates.HasFresh(), "the estimates match the settings")
			got := map[string]any{
				"numbers": formatKeys(recovered.Keys), "unknown": recovered.UnservedKeys, "terms": fmt.Sprintf("%016x", recovered.Estimates.SettingsDigest),
				"returns": formatEstimate(recovered.Estimates.ReturnRatio),
			}
			for _, r := range recovered.Estimates.Routes {
				got["core of "+r.Name], got["run of "+r.Name] = formatEstimate(r.Core), formatEstimate(r.Run)
			}
			golden(t, name+".json", got)

			// State that was rewritten is read unchanged.
			s, reread, err := store.New(storedOptions(t, dir))
			require.NoError(t, err)
			assert.NoError(t, s.Close())
			assert.Equal(t, formatKeys(recovered.Keys), formatKeys(reread.Keys))
			assert.Equal(t, recovered.UnservedKeys, reread.UnservedKeys)
			names, err := filepath.Glob(filepath.Join(dir, "aside-*"))
			require.NoError(t, err)
			assert.Len(t, names, strings.Count(name, "torn"), "incomplete files are quarantined")
		})
	}
}

// golden compares the JSON of got with a file that records the output of the program of commit f1daac1.
func golden(t *testing.T, name string, got any) {
	t.Helper()
	encoded, err := json.MarshalIndent(got, "", "  ")
	require.NoError(t, err)
	want, err := os.ReadFile(filepath.Join("testdata", "f1daac1", name))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(encoded)+"\n")
}

// Inspect, which the commands use, must report the same about a directory as the program of commit f1daac1 did.
func TestStoredStateIsInspected(t *testing.T) {
	for _, name := range []string{"state", "state-torn"} {
		dir := copyTestdata(t, name)
		opened, err := datadir.Open(dir, true)
		require.NoError(t, err)
		r, err := store.Inspect(opened, recovery.Environment{Now: storedAt()}, 64<<20)
		require.NoError(t, err)
		require.NoError(t, opened.Close())
		golden(t, name+"-inspected.json", map[string]any{"report": r, "faults": r.Problems()})
	}
}

// In another boot, on another machine, at another time and for another site, a start must use the same state as the
// program of commit f1daac1 did.
func TestStoredStateElsewhere(t *testing.T) {
	got := map[string]any{}
	for name, change := range map[string]func(options *store.Options, now *recovery.Timestamp){
		"another boot":    func(_ *store.Options, now *recovery.Timestamp) { now.BootID, now.SinceBoot = "other", 20*time.Second },
		"another machine": func(_ *store.Options, now *recovery.Timestamp) { now.MachineID, now.SinceBoot = 5, 20*time.Second },
		"an hour later":   func(_ *store.Options, now *recovery.Timestamp) { now.Wall += time.Hour; now.SinceBoot += time.Hour },
		"clock set back":  func(_ *store.Options, now *recovery.Timestamp) { now.Wall -= time.Hour },
		"another site":    func(options *store.Options, _ *recovery.Timestamp) { options.Site = "there" },
	} {
		options, now := storedOptions(t, copyTestdata(t, "state")), storedAt()
		change(&options, &now)
		options.Clock = func() recovery.Timestamp { return now }
		s, recovered, err := store.New(options)
		require.NoError(t, err)
		assert.NoError(t, s.Close())
		got[name] = map[string]any{"numbers": formatKeys(recovered.Keys), "unknown": recovered.UnservedKeys, "fresh": recovered.Estimates.HasFresh()}
	}
	golden(t, "state-elsewhere.json", got)
}

// A configuration that an app server stored is read with the same version, digest, routes and tenants. Without its last
// bytes, the previous version is read.
func TestStoredConfigurationIsRead(t *testing.T) {
	for _, name := range []string{"configuration", "configuration-torn"} {
		dir, err := datadir.Open(copyTestdata(t, name), false)
		require.NoError(t, err)
		c, recovered, err := store.OpenConfigurationStore(dir)
		require.NoError(t, err)
		require.NotNil(t, recovered.Document)
		golden(t, name+".json", map[string]any{
			"version": recovered.Document.Version, "digest": fmt.Sprintf("%016x", uint64(recovered.Document.Digest)),
			"routes": recovered.Document.Routes, "tenants": recovered.Document.Tenants, "written": recovered.WrittenAt.UnixMilli(), "passed": recovered.Skipped,
		})
		// A document of the same content has the same digest.
		again := configuration.NewDocument()
		change := configuration.Change{Routes: map[string]*configuration.Route{}, Tenants: map[string]*configuration.Tenant{}}
		for name, r := range recovered.Document.Routes {
			change.Routes[name] = &r
		}
		for name, tenant := range recovered.Document.Tenants {
			change.Tenants[name] = &tenant
		}
		again.Accept(change)
		assert.Equal(t, recovered.Document.Digest, again.Digest)
		require.NoError(t, c.Close())
	}
}
