package main

import (
	"log/slog"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/config"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/server"
	"quartzpoint/internal/store"
)

// statePersistence publishes a server's estimates, and stores its state if a directory is configured.
type statePersistence struct {
	schema    estimate.Schema
	recovered estimate.Snapshot // from the previous process; without fresh estimates if none can be used
	publish   []func(snapshot estimate.Snapshot, at time.Duration)
	store     *store.Store // nil without a directory
}

// openState opens the configured directory, and has the server start with the state recovered from it.
func openState(section *config.State, owner *server.Server, counters *invariant.Counters, log *slog.Logger) (*statePersistence, error) {
	p := &statePersistence{}
	p.schema = owner.PublishEstimates(store.RandomID(), func(snapshot estimate.Snapshot, at time.Duration) {
		for _, publish := range p.publish {
			publish(snapshot, at)
		}
	})
	if section == nil {
		return p, nil
	}
	opened, recovered, err := store.Attach(owner, store.Options{
		OpenDir: datadir.Opener(section.Dir), Site: section.Site, Schema: p.schema, MaxBytes: section.MaxBytes,
		CommitInterval: section.CommitInterval, PersistKeys: section.IdempotencyKeys, Counts: counters, Log: log,
	})
	if err != nil {
		return nil, err
	}
	p.store, p.recovered = opened, recovered.Estimates
	p.publish = append(p.publish, func(snapshot estimate.Snapshot, _ time.Duration) { opened.SaveEstimates(snapshot) })
	return p, nil
}

// close writes the remaining state and closes the store.
func (p *statePersistence) close() {
	if p.store != nil {
		_ = p.store.Close() // the store has logged the error
	}
}
