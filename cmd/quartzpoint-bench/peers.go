package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/testkit/harness"
)

// measurePeers compares new servers that fetch estimates from peers with twins that do not, under the same arrivals.
type measurePeers struct {
	Daemon string        `default:"bin/quartzpoint" help:"The daemon's program."`
	Seeds  int           `default:"10" help:"Pairs of groups."`
	Group  int           `default:"8" help:"New servers in a group; their results are added up, as a few requests sway that of one."`
	Warm   time.Duration `default:"12s" help:"For which the running peer is under load before."`
	Span   time.Duration `default:"10s" help:"Of the new servers' load."`
	Load   float64       `default:"1.2" help:"Part of the pools' capacity."`
	Cores  float64       `default:"4" help:"Of each emulated pool."`
}

// peersResult is what one seed gave.
type peersResult struct {
	fresh, stale, recent         float64   // value served, over that of the cold twin
	twins                        float64   // the same of a second cold twin
	extraStarts, twinExtraStarts []float64 // started more than the cold twin at each moment, with the old snapshot and of the twin
	polled, unpolledTwins        float64   // value served, over that of a server that is not polled
	snapshotBytes                float64   // of a snapshot
	fetches                      int       // answered
	fetchDuration                time.Duration
	violations                   []string
}

const (
	sampleInterval = 250 * time.Millisecond // of the requests started
	fetchInterval  = 100 * time.Millisecond // of a server that is polled all the time
	staleAge       = 5 * time.Minute
	recentAge      = 10 * time.Second
	slowFactor     = 1.0 / 3 // of the full speed of a pool
	polledLoad     = 1.3     // load of the servers that are polled all the time, and of their twins
	peerSeedOffset = 500     // so that the running peer has a load of its own
	kbPerCore      = 16000   // of memory of a pool
)

// Run prints the table and fails where a target is missed.
func (m *measurePeers) Run() error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	results := make([]peersResult, m.Seeds)
	failed := make([]error, m.Seeds)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() { results[i], failed[i] = m.runSeed(folder, int64(i+1)) })
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return m.report(results)
}

// fetchingConfig is the configuration of a server that fetches from one peer.
func fetchingConfig(address string) string { return fmt.Sprintf("[peers]\nask = [%q]\n", address) }

// comparedRun measures all groups of one seed.
func (m *measurePeers) runSeed(folder string, seed int64) (result peersResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, MemoryKB: kbPerCore * m.Cores}
	snapshot, err := m.compareWithRunningPeer(folder, full, seed, &result)
	if err != nil {
		return result, err
	}
	result.snapshotBytes = float64(peersync.EncodedSize(snapshot))
	return result, m.compareWithRecordedPeers(folder, full, seed, snapshot, &result)
}

// compareWithRunningPeer measures new servers beside a peer that has run for a while and goes on, and returns the snapshot that
// this peer had at their start.
func (m *measurePeers) compareWithRunningPeer(
	folder string, full harness.Machine, seed int64, result *peersResult,
) (snapshot estimate.Snapshot, err error) {
	peerAddress, err := harness.FreeAddress()
	if err != nil {
		return snapshot, err
	}
	peer := &group{
		name: "peer", machine: full, config: fmt.Sprintf("[peers]\nlisten = %q\n", peerAddress), load: m.Load,
		seed: seed + peerSeedOffset,
	}
	defer func() { err = errors.Join(err, peer.stop()) }()
	if err := peer.start(m, folder, 1); err != nil {
		return snapshot, err
	}
	peerDone := make(chan error, 1)
	go func() { peerDone <- peer.run(m.Warm+m.Span, full) }()
	time.Sleep(m.Warm)
	if snapshot, err = peersync.Fetch(context.Background(), peerAddress, nil); err != nil {
		return snapshot, errors.Join(err, <-peerDone)
	}
	cold := &group{name: "cold", machine: full, load: m.Load, seed: seed}
	fresh := &group{name: "fresh", machine: full, config: fetchingConfig(peerAddress), load: m.Load, seed: seed}
	err = m.runGroups(folder, full, []*group{cold, fresh}, m.Group)
	if err = errors.Join(err, <-peerDone); err != nil {
		return snapshot, err
	}
	for _, g := range []*group{peer, cold, fresh} {
		result.violations = append(result.violations, g.violations()...)
	}
	result.fresh = fresh.goodput() / cold.goodput()
	return snapshot, nil
}

// compareWithRecordedPeers measures new servers on slower machines that get the snapshot when it has aged, and a server that is
// polled all the time.
func (m *measurePeers) compareWithRecordedPeers(
	folder string, full harness.Machine, seed int64, snapshot estimate.Snapshot, result *peersResult,
) error {
	addresses := map[time.Duration]string{} // age of the snapshot to the address that serves it
	for _, age := range []time.Duration{staleAge, recentAge} {
		server, err := serveAged(snapshot, age)
		if err != nil {
			return err
		}
		defer server.Close()
		addresses[age] = server.Address()
	}
	slower := full
	slower.Speed *= slowFactor
	slowGroup := func(name, config string) *group {
		return &group{name: name, machine: slower, config: config, load: m.Load, seed: seed}
	}
	cold, twin := slowGroup("slow-cold", ""), slowGroup("slow-twin", "")
	stale, recent := slowGroup("slow-old", fetchingConfig(addresses[staleAge])), slowGroup("slow-young", fetchingConfig(addresses[recentAge]))
	unpolled := &group{name: "unasked", machine: full, load: polledLoad, seed: seed}
	unpolledTwin := &group{name: "unasked-twin", machine: full, load: polledLoad, seed: seed}
	polled := &group{name: "asked", machine: full, servesPeers: true, load: polledLoad, seed: seed}
	size := max(1, m.Group*3/8)
	fetchDurations, quit := make(chan []time.Duration, size), make(chan struct{})
	polled.onServing = func(d *harness.Daemon) { go func() { fetchDurations <- pollPeer(d.Peers, quit) }() }
	groups := []*group{unpolled, unpolledTwin, polled, cold, twin, stale, recent}
	err := m.runGroups(folder, full, groups, size)
	close(quit)
	if err != nil {
		return err
	}
	var durations []time.Duration
	for range size {
		durations = append(durations, <-fetchDurations...)
	}
	slices.Sort(durations)
	if len(durations) == 0 {
		return errors.New("no fetch was answered")
	}
	for _, g := range groups {
		result.violations = append(result.violations, g.violations()...)
	}
	result.stale = stale.goodput() / cold.goodput()
	result.recent = recent.goodput() / cold.goodput()
	result.twins = twin.goodput() / cold.goodput()
	result.extraStarts, result.twinExtraStarts = extraStarts(stale, cold, m.Span), extraStarts(twin, cold, m.Span)
	result.polled = polled.goodput() / unpolled.goodput()
	result.unpolledTwins = unpolledTwin.goodput() / unpolled.goodput()
	result.fetchDuration, result.fetches = durations[len(durations)/2], len(durations)
	return nil
}

// serveAged serves a snapshot as one that was taken so long ago. The caller has to close the server.
func serveAged(snapshot estimate.Snapshot, age time.Duration) (*peersync.Server, error) {
	const now = time.Hour // on the server's clock, which stands still; later than any age
	server, err := peersync.Listen("127.0.0.1:0", nil, func() time.Duration { return now },
		invariant.New(slog.New(slog.DiscardHandler)))
	if err != nil {
		return nil, err
	}
	server.Publish(snapshot, now-age)
	server.Serve()
	return server, nil
}

// pollPeer fetches ten times a second until quit is closed, and returns how long the answered fetches took.
func pollPeer(address string, quit <-chan struct{}) (durations []time.Duration) {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return durations
		case <-ticker.C:
			started := time.Now()
			if _, err := peersync.Fetch(context.Background(), address, nil); err == nil {
				durations = append(durations, time.Since(started))
			}
		}
	}
}
