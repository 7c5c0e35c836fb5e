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
	routeBytes  = 2 << 10 // that a route takes at the most, its names, rings and copy in the document
	tenantBytes = 1 << 10
	tableShare  = 2 // part of the memory, as a divisor, that routes and tenants may take
)

// tableKeeper brings the configuration service's tables into force in this server.
type tableKeeper struct {
	owner  *server.Server
	memory int
	disk   *store.Configurations // nil where nothing is kept

	// The tables that the platform's configuration stated, until those of the service take their place for good.
	baseRoutes  map[string]admission.Route
	baseTenants map[string]float64
}

// follow has the server take its routes and tenants from the configuration service, where one is stated. What was kept
// on disk is in force before the server takes its first request. It gives nil where none is stated.
func follow(
	stated *config.Configuration, name string, memory int, owner *server.Server, seed int64, log *slog.Logger,
) (*configwatch.Watcher, *tableKeeper, error) {
	if stated == nil {
		return nil, nil, nil
	}
	keys, err := readKeyFile(stated.KeyFile)
	if err != nil {
		return nil, nil, err
	}
	k := &tableKeeper{owner: owner, memory: memory}
	k.baseRoutes, k.baseTenants = owner.Tables()
	document := configuration.NewDocument()
	if stated.Dir != "" {
		kept, err := k.open(stated.Dir, log)
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
		Name: name, Zone: stated.Zone, Keys: keys, Document: document, Apply: k.apply, Seed: seed ^ int64(os.Getpid()), Log: log,
	}
	if k.disk != nil {
		w.Disk = k.disk
	}
	for _, m := range stated.Machines {
		w.Machines = append(w.Machines, configwatch.Machine{Zone: m.Zone, Address: m.Address})
	}
	log.Info("configuration: followed", "name", name, "zone", stated.Zone, "machines", len(w.Machines), "version", document.Version)
	return w, k, nil
}

// open reads what was kept, and has it in force before the start.
func (k *tableKeeper) open(dir string, log *slog.Logger) (*configuration.Document, error) {
	disk, err := datadir.OpenDisk(dir, false)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	kept, had, err := store.OpenConfigurations(disk)
	if err != nil {
		return nil, fmt.Errorf("configuration.dir: %w", err)
	}
	k.disk = kept
	for _, why := range had.Passed {
		log.Warn("configuration: kept file not used", "why", why)
	}
	if had.Document == nil {
		return nil, nil
	}
	if err := k.fits(had.Document); err != nil {
		return nil, fmt.Errorf("configuration.dir %s: %w", dir, err)
	}
	k.owner.SetTables(k.change(configuration.Between(configuration.NewDocument(), had.Document)))
	log.Info("configuration: kept on disk, in force", "version", had.Document.Version,
		"age", time.Since(had.Written).Round(time.Second), "routes", len(had.Document.Routes), "tenants", len(had.Document.Tenants))
	return had.Document, nil
}

// close lets the folder go.
func (k *tableKeeper) close() {
	if k != nil && k.disk != nil {
		_ = k.disk.Close() // what was kept was synced
	}
}

// apply has a delta, which leads to a document, come into force, or says why it cannot.
func (k *tableKeeper) apply(ctx context.Context, delta configuration.Delta, to *configuration.Document) error {
	if err := k.fits(to); err != nil {
		return err
	}
	done := make(chan struct{})
	change := k.change(delta)
	change.Done = func() { close(done) }
	k.owner.ChangeTables(change)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fits tells whether a document's tables leave room for requests.
func (k *tableKeeper) fits(d *configuration.Document) error {
	need := len(d.Routes)*routeBytes + len(d.Tenants)*tenantBytes
	if most := k.memory / tableShare; need > most {
		return fmt.Errorf("limits.memory_mb: %d routes and %d tenants may take %d MB, %d MB at most are allowed",
			len(d.Routes), len(d.Tenants), need>>20, most>>20)
	}
	return nil
}

// change is what a delta makes different. The first one holds all of the service's tables, and what the platform's
// configuration stated beside them goes.
func (k *tableKeeper) change(delta configuration.Delta) (change server.TableChange) {
	change.Routes, change.Tenants = settings.Changes(delta)
	for name := range k.baseRoutes {
		if delta.Routes[name] == nil {
			change.Routes = append(change.Routes, settings.RouteChange{Name: name})
		}
	}
	for name := range k.baseTenants {
		if delta.Tenants[name] == nil {
			change.Tenants = append(change.Tenants, settings.TenantChange{Name: name, Removed: true})
		}
	}
	k.baseRoutes, k.baseTenants = nil, nil
	return change
}

// configurations are the commands about a server's watch of the configuration service.
type configurations struct {
	Show configurationShow `cmd:"" help:"Print which version is in force at a running server, and when the service was last heard of."`
}

// configurationShow is the command that prints how a server's watch stands.
type configurationShow struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON; times in nanoseconds."`
}

// Run asks once.
func (cmd *configurationShow) Run() error {
	var standing configwatch.Standing
	if err := adminsocket.Ask(cmd.Socket, adminsocket.Question{Ask: askConfiguration}, &standing); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, standing)
	}
	heard := "never"
	if standing.Silent >= 0 {
		heard = standing.Silent.Round(time.Millisecond).String() + " ago"
	}
	fmt.Printf("version %d, connected %t, service last heard of %s\n", standing.Version, standing.Connected, heard)
	return nil
}
