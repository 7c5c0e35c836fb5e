package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"quartzpoint/admission"
	"quartzpoint/configuration"
	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
)

const (
	maxRouteBytes         = 2 << 10 // memory of a route with its names, statistics and copy in the document
	maxTenantBytes        = 1 << 10 // the same for a tenant
	maxTableMemoryDivisor = 2       // routes and tenants may take half of the memory
)

// tableUpdater applies the configuration service's routes and tenants to this server.
type tableUpdater struct {
	server      *server.Server
	memoryBytes int
	store       *store.ConfigurationStore // nil if documents are not stored

	// The tables of the platform's configuration. Both are nil once the tables of the configuration service have
	// replaced them.
	baseRoutes  map[string]admission.Route
	baseTenants map[string]float64
}

// newConfigWatcher returns a watcher of the configuration service that source names, for the caller to run, and the
// updater of the server's tables, for the caller to close. Without a source both are nil. It applies a stored version
// before it returns, so that the version is in force before the server accepts its first request. name is the server's
// name in the platform's configuration, which source may override; memory is in bytes.
func newConfigWatcher(
	source *config.Source, name string, memory int, owner *server.Server, seed int64, log *slog.Logger,
) (*configwatch.Watcher, *tableUpdater, error) {
	if source == nil {
		return nil, nil, nil
	}
	keys, err := readKeyFile(source.KeyFile)
	if err != nil {
		return nil, nil, err
	}
	updater := &tableUpdater{server: owner, memoryBytes: memory}
	updater.baseRoutes, updater.baseTenants = owner.Tables()
	document, err := updater.loadStored(source.Dir, log)
	if err != nil {
		updater.close()
		return nil, nil, err
	}
	if source.Name != "" {
		name = source.Name
	}
	watcher := &configwatch.Watcher{
		Name: name, Zone: source.Zone, Keys: keys, Document: document, Apply: updater.apply,
		Seed: seed ^ int64(os.Getpid()), Logger: log, // servers with the same seed must not reconnect at the same moments
	}
	if updater.store != nil {
		watcher.Store = updater.store
	}
	for _, endpoint := range source.Endpoints {
		watcher.Endpoints = append(watcher.Endpoints, configwatch.Endpoint(endpoint))
	}
	log.Info("configuration: service configured", "name", name, "zone", source.Zone, "machines", len(watcher.Endpoints),
		"version", document.Version)
	return watcher, updater, nil
}

// loadStored opens the store in a directory and applies the version that it holds. It returns the document in force,
// which is empty if nothing is stored or dir is empty.
func (u *tableUpdater) loadStored(dir string, log *slog.Logger) (*configuration.Document, error) {
	if dir == "" {
		return configuration.NewDocument(), nil
	}
	disk, err := datadir.Open(dir, false)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	opened, stored, err := store.OpenConfigurationStore(disk)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	u.store = opened
	for _, reason := range stored.Skipped {
		log.Warn("configuration: stored file not used", "reason", reason)
	}
	if stored.Document == nil {
		return configuration.NewDocument(), nil
	}
	if err := u.checkMemory(stored.Document); err != nil {
		return nil, fmt.Errorf("configuration.dir %s: %w", dir, err)
	}
	u.server.SetTables(u.tableChange(configuration.Diff(configuration.NewDocument(), stored.Document)))
	log.Info("configuration: stored version in force", "version", stored.Document.Version,
		"age", time.Since(stored.WrittenAt).Round(time.Second), "routes", len(stored.Document.Routes), "tenants", len(stored.Document.Tenants))
	return stored.Document, nil
}

// close closes the store, if there is one. The updater may be nil.
func (u *tableUpdater) close() {
	if u != nil && u.store != nil {
		_ = u.store.Close() // stored versions are synced already; if a write in progress fails, the next start fetches that version from the service
	}
}

// apply applies the delta that leads to document, and returns once it is in force. It serves as
// configwatch.Watcher.Apply.
func (u *tableUpdater) apply(ctx context.Context, delta configuration.Delta, document *configuration.Document) error {
	if err := u.checkMemory(document); err != nil {
		return err
	}
	done := make(chan struct{})
	change := u.tableChange(delta)
	change.Done = func() { close(done) }
	u.server.ChangeTables(change)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkMemory returns an error if a document's tables would leave too little memory for requests.
func (u *tableUpdater) checkMemory(d *configuration.Document) error {
	need := len(d.Routes)*maxRouteBytes + len(d.Tenants)*maxTenantBytes
	if limit := u.memoryBytes / maxTableMemoryDivisor; need > limit {
		return fmt.Errorf("limits.memory_mb: %d routes and %d tenants may take %d MB, more than the allowed %d MB",
			len(d.Routes), len(d.Tenants), need>>20, limit>>20)
	}
	return nil
}

// tableChange converts a delta to a change of the server's tables. The first one also removes the routes and tenants of
// the platform's configuration that the service does not have.
func (u *tableUpdater) tableChange(delta configuration.Delta) server.TableChange {
	var change server.TableChange
	change.Routes, change.Tenants = settings.Changes(delta)
	for name := range u.baseRoutes {
		if delta.Routes[name] == nil {
			change.Routes = append(change.Routes, settings.RouteChange{Name: name})
		}
	}
	for name := range u.baseTenants {
		if delta.Tenants[name] == nil {
			change.Tenants = append(change.Tenants, settings.TenantChange{Name: name, Removed: true})
		}
	}
	u.baseRoutes, u.baseTenants = nil, nil
	return change
}
