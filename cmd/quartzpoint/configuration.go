package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"quartzpoint/admission"
	"quartzpoint/configuration"
	"quartzpoint/internal/adminsocket"
	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/server"
	"quartzpoint/internal/settings"
	"quartzpoint/internal/store"
)

const (
	maxRouteBytes         = 2 << 10 // that a route takes at the most, its names, rings and copy in the document
	maxTenantBytes        = 1 << 10
	maxTableMemoryDivisor = 2 // part of the memory, as a divisor, that routes and tenants may take
)

// tableUpdater brings the configuration service's tables into force in this server.
type tableUpdater struct {
	server      *server.Server
	memoryBytes int
	store       *store.Configurations // nil where nothing is kept

	// The tables that the platform's configuration stated, until those of the service take their place for good.
	baseRoutes  map[string]admission.Route
	baseTenants map[string]float64
}

// newConfigWatcher has the server take its routes and tenants from the configuration service, where one is stated. What was kept
// on disk is in force before the server takes its first request. It gives nil where none is stated.
func newConfigWatcher(
	stated *config.Source, name string, memory int, owner *server.Server, seed int64, log *slog.Logger,
) (*configwatch.Watcher, *tableUpdater, error) {
	if stated == nil {
		return nil, nil, nil
	}
	keys, err := keysOf(stated.KeyFile)
	if err != nil {
		return nil, nil, err
	}
	k := &tableUpdater{server: owner, memoryBytes: memory}
	k.baseRoutes, k.baseTenants = owner.Tables()
	document := configuration.NewDocument()
	if stated.Dir != "" {
		kept, err := k.loadStored(stated.Dir, log)
		if err != nil {
			return nil, nil, err
		}
		if kept != nil {
			document = kept
		}
	}
	if stated.Name != "" {
		name = stated.Name
	}
	w := &configwatch.Watcher{
		Name: name, Zone: stated.Zone, Keys: keys, Document: document, Apply: k.apply, Seed: seed ^ int64(os.Getpid()), Logger: log,
	}
	if k.store != nil {
		w.Store = k.store
	}
	for _, m := range stated.Endpoints {
		w.Endpoints = append(w.Endpoints, configwatch.Endpoint{Zone: m.Zone, Address: m.Address})
	}
	log.Info("configuration: followed", "name", name, "zone", stated.Zone, "machines", len(w.Endpoints), "version", document.Version)
	return w, k, nil
}

// loadStored reads what was kept, and has it in force before the start.
func (u *tableUpdater) loadStored(dir string, log *slog.Logger) (*configuration.Document, error) {
	disk, err := datadir.OpenDisk(dir, false)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	kept, had, err := store.OpenConfigurations(disk)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	u.store = kept
	for _, why := range had.Passed {
		log.Warn("configuration: kept file not used", "why", why)
	}
	if had.Document == nil {
		return nil, nil
	}
	if err := u.checkMemory(had.Document); err != nil {
		return nil, fmt.Errorf("configuration.dir %s: %w", dir, err)
	}
	u.server.SetTables(u.tableChange(configuration.Diff(configuration.NewDocument(), had.Document)))
	log.Info("configuration: kept on disk, in force", "version", had.Document.Version,
		"age", time.Since(had.Written).Round(time.Second), "routes", len(had.Document.Routes), "tenants", len(had.Document.Tenants))
	return had.Document, nil
}

// close lets the folder go.
func (u *tableUpdater) close() {
	if u != nil && u.store != nil {
		_ = u.store.Close() // what was kept was synced
	}
}

// apply has a delta, which leads to a document, come into force, or says why it cannot.
func (u *tableUpdater) apply(ctx context.Context, delta configuration.Delta, to *configuration.Document) error {
	if err := u.checkMemory(to); err != nil {
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

// checkMemory tells whether a document's tables leave room for requests.
func (u *tableUpdater) checkMemory(d *configuration.Document) error {
	need := len(d.Routes)*maxRouteBytes + len(d.Tenants)*maxTenantBytes
	if most := u.memoryBytes / maxTableMemoryDivisor; need > most {
		return fmt.Errorf("limits.memory_mb: %d routes and %d tenants may take %d MB, %d MB at most are allowed",
			len(d.Routes), len(d.Tenants), need>>20, most>>20)
	}
	return nil
}

// tableChange is what a delta makes different. The first one holds all of the service's tables, and what the platform's
// configuration stated beside them goes.
func (u *tableUpdater) tableChange(delta configuration.Delta) (change server.TableChange) {
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

// configurationCommands are the commands about a server's watch of the configuration service.
type configurationCommands struct {
	Show configurationShowCommand `cmd:"" help:"Print which version is in force at a running server, and when the service was last heard of."`
}

// configurationShowCommand is the command that prints how a server's watch stands.
type configurationShowCommand struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON; times in nanoseconds."`
}

// Run asks once.
func (cmd *configurationShowCommand) Run() error {
	var standing configwatch.WatcherStatus
	if err := adminsocket.Query(cmd.Socket, adminsocket.Request{Query: askConfiguration}, &standing); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, standing)
	}
	heard := "never"
	if standing.SinceContact >= 0 {
		heard = standing.SinceContact.Round(time.Millisecond).String() + " ago"
	}
	fmt.Printf("version %d, connected %t, service last heard of %s\n", standing.Version, standing.Connected, heard)
	return nil
}
