package main

import (
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/configuration"
	"quartzpoint/internal/config"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
	"quartzpoint/internal/testkit/fake"
)

func newTestServer(t *testing.T) *server.Server {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	parsed, err := settings.FromJSON([]byte(fake.SiteSettings))
	require.NoError(t, err)
	owner, err := server.New(parsed, 1, server.Limits{MemoryMB: 96, Sockets: 256, Keys: true, Tenants: true, DynamicTables: true}, invariant.New(log), log)
	require.NoError(t, err)
	return owner
}

// storeDocument stores a document in a directory, as an earlier run of the server would.
func storeDocument(t *testing.T, dir string, d *configuration.Document) {
	t.Helper()
	disk, err := datadir.Open(dir, false)
	require.NoError(t, err)
	stored, _, err := store.OpenConfigurationStore(disk)
	require.NoError(t, err)
	require.NoError(t, stored.Replace(d))
	require.NoError(t, stored.Close())
}

func newDocument(routes, tenants int) *configuration.Document {
	change := configuration.Change{Routes: map[string]*configuration.Route{}, Tenants: map[string]*configuration.Tenant{}}
	for i := range routes {
		change.Routes[fmt.Sprint("route", i)] = &configuration.Route{LatencyTarget: 1e6, Deadline: 2e6, Value: 3, Idempotency: configuration.Keyed, DedupWindow: 5}
	}
	for i := range tenants {
		change.Tenants[fmt.Sprint("tenant", i)] = &configuration.Tenant{QuotaRPS: float64(i)}
	}
	d := configuration.NewDocument()
	d.Accept(change)
	return d
}

// A server that starts while the service is down must not fall back to the platform's configuration: the stored version
// must be in force before it accepts requests, and replace everything that the platform's configuration names.
func TestStartsWithStoredVersion(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "stored")
	storeDocument(t, dir, newDocument(3, 2))
	owner := newTestServer(t)
	source := &config.Source{Dir: dir, Endpoints: []config.ControlEndpoint{{Address: "127.0.0.1:1"}}}
	watcher, updater, err := newConfigWatcher(source, "one", 96<<20, owner, 1, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer updater.close()
	routes, tenants := owner.Tables()
	assert.Len(t, routes, 3)
	for name, route := range routes {
		assert.Equal(t, settings.RouteOf(name, configuration.Route{LatencyTarget: 1e6, Deadline: 2e6, Value: 3, Idempotency: configuration.Keyed, DedupWindow: 5}), route)
	}
	assert.Equal(t, map[string]float64{"tenant0": 0, "tenant1": 1}, tenants)
	assert.Equal(t, uint64(1), watcher.Document.Version)
}

// Tables that would leave too little memory for requests must be rejected at the start and at run time, with an error
// that names the limit, and no part of them may come into force.
func TestTablesBeyondTheMemory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "stored")
	large := newDocument(100, 20_000)
	storeDocument(t, dir, large)
	owner := newTestServer(t)
	before, _ := owner.Tables()
	source := &config.Source{Dir: dir, Endpoints: []config.ControlEndpoint{{Address: "127.0.0.1:1"}}}
	_, _, err := newConfigWatcher(source, "one", 16<<20, owner, 1, slog.New(slog.DiscardHandler))
	assert.ErrorContains(t, err, "configuration.dir "+dir+": limits.memory_mb: 100 routes and 20000 tenants may take 19 MB, more than the allowed 8 MB")
	after, _ := owner.Tables()
	assert.Equal(t, before, after)

	updater := &tableUpdater{server: owner, memoryBytes: 16 << 20}
	err = updater.apply(t.Context(), configuration.Diff(configuration.NewDocument(), large), large)
	assert.ErrorContains(t, err, "limits.memory_mb")
}

// Without the section the server must watch nothing.
func TestNotWatched(t *testing.T) {
	watcher, updater, err := newConfigWatcher(nil, "one", 0, nil, 1, nil)
	require.NoError(t, err)
	assert.Nil(t, watcher)
	updater.close()
}
