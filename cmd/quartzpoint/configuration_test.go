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
	agreed, err := settings.FromJSON([]byte(fake.Site))
	require.NoError(t, err)
	owner, err := server.New(agreed, 1, server.Limits{MemoryMB: 96, Sockets: 256, Keys: true, Tenants: true, DynamicTables: true}, invariant.New(log), log)
	require.NoError(t, err)
	return owner
}

// storeDocument leaves a document in a folder, as a server before this one did.
func storeDocument(t *testing.T, dir string, d *configuration.Document) {
	t.Helper()
	disk, err := datadir.OpenDisk(dir, false)
	require.NoError(t, err)
	kept, _, err := store.OpenConfigurations(disk)
	require.NoError(t, err)
	require.NoError(t, kept.Replace(d))
	require.NoError(t, kept.Close())
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

// What was kept is in force before the start, in the place of all that the platform's configuration states.
func TestStartsWithWhatWasKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	storeDocument(t, dir, newDocument(3, 2))
	owner := newTestServer(t)
	stated := &config.Source{Dir: dir, Endpoints: []config.ControlEndpoint{{Address: "127.0.0.1:1"}}}
	watcher, tables, err := newConfigWatcher(stated, "one", 96<<20, owner, 1, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer tables.close()
	routes, tenants := owner.Tables()
	assert.Len(t, routes, 3)
	for name, route := range routes {
		assert.Equal(t, settings.RouteOf(name, configuration.Route{LatencyTarget: 1e6, Deadline: 2e6, Value: 3, Idempotency: configuration.Keyed, DedupWindow: 5}), route)
	}
	assert.Equal(t, map[string]float64{"tenant0": 0, "tenant1": 1}, tenants)
	assert.Equal(t, uint64(1), watcher.Document.Version)
}

// Tables that leave no room for requests are a fault that names the limit, at the start and in service; nothing of them
// is in force then.
func TestTablesBeyondTheMemory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	large := newDocument(100, 20_000)
	storeDocument(t, dir, large)
	owner := newTestServer(t)
	before, _ := owner.Tables()
	stated := &config.Source{Dir: dir, Endpoints: []config.ControlEndpoint{{Address: "127.0.0.1:1"}}}
	_, _, err := newConfigWatcher(stated, "one", 16<<20, owner, 1, slog.New(slog.DiscardHandler))
	assert.ErrorContains(t, err, "configuration.dir "+dir+": limits.memory_mb: 100 routes and 20000 tenants may take 19 MB, 8 MB at most")
	after, _ := owner.Tables()
	assert.Equal(t, before, after)

	k := &tableUpdater{server: owner, memoryBytes: 16 << 20}
	err = k.apply(t.Context(), configuration.Diff(configuration.NewDocument(), large), large)
	assert.ErrorContains(t, err, "limits.memory_mb")
}

// Without the section nothing is followed.
func TestNotFollowed(t *testing.T) {
	watcher, tables, err := newConfigWatcher(nil, "one", 0, nil, 1, nil)
	require.NoError(t, err)
	assert.Nil(t, watcher)
	tables.close()
}
