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

// measurePeers compares new servers that fetch estimates from peers with cold ones, which start without estimates,
// under the same arrivals.
type measurePeers struct {
	Daemon string        `default:"bin/quartzpoint" help:"Path of the daemon's binary."`
	Seeds  int           `default:"10" help:"Number of seeds, each with all groups of servers."`
	Group  int           `default:"8" help:"Number of new servers in a group; their results are summed, because a few requests can change the result of a single server."`
	Warm   time.Duration `default:"12s" help:"Duration of the running peer's load before the new servers start."`
	Span   time.Duration `default:"10s" help:"Duration of the new servers' load."`
	Load   float64       `default:"1.2" help:"Load as a fraction of the pools' capacity."`
	Cores  float64       `default:"4" help:"Cores of each emulated pool."`
}

// peersResult is the result of one seed. A twin of a group differs from it in nothing but the estimates that it starts
// with, or in nothing at all; in the latter case the difference of their results is noise.
type peersResult struct {
	fresh, stale, recent         float64       // value served over that of the cold twin: with a fresh snapshot, and on slower machines with a stale and with a recent one
	twins                        float64       // value served by a second cold twin over that of the first, on slower machines
	extraStarts, twinExtraStarts []float64     // at each sampled moment, the requests started in excess of the cold twin: with the stale snapshot, and by the second cold twin
	polled, unpolledTwins        float64       // value served over that of the unpolled servers: by the polled servers, and by a twin of the unpolled ones
	snapshotBytes                float64       // size of a snapshot
	fetches                      int           // number of answered fetches
	fetchDuration                time.Duration // median of the answered fetches
	violations                   []string
}

const (
	sampleInterval = 250 * time.Millisecond // between samples of the requests started
	fetchInterval  = 100 * time.Millisecond // between fetches from a polled server
	staleAge       = 5 * time.Minute
	recentAge      = 10 * time.Second
	slowFactor     = 1.0 / 3 // speed of the slower pools, as a share of the full speed
	polledLoad     = 1.3     // load of the polled servers and of their twins, as a share of the capacity
	peerSeedOffset = 500     // gives the running peer a load that differs from the others
	kbPerCore      = 16000   // memory of a pool
)

// Run prints the table and returns an error if an objective is missed.
func (m *measurePeers) Run() error {
	folder, err := os.MkdirTemp("", "quartzpoint-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	results := make([]peersResult, m.Seeds)
	failed := make([]error, m.Seeds)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() { results[i], failed[i] = m.runSeed(folder, int64(i+1)) })
	}
	running.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return m.report(results)
}

// fetchingConfig returns the configuration of a server that fetches from one peer.
func fetchingConfig(address string) string { return fmt.Sprintf("[peers]\nask = [%q]\n", address) }

// runSeed measures all groups of one seed.
func (m *measurePeers) runSeed(folder string, seed int64) (result peersResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, MemoryKB: kbPerCore * m.Cores}
	snapshot, err := m.compareWithRunningPeer(folder, full, seed, &result)
	if err != nil {
		return result, err
	}
	result.snapshotBytes = float64(peersync.EncodedSize(snapshot))
	return result, m.compareWithRecordedPeers(folder, full, seed, snapshot, &result)
}

// compareWithRunningPeer compares new servers that fetch from a peer with cold ones. The peer is under load before and
// during the comparison. It returns the snapshot that the peer served when the new servers started.
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

// compareWithRecordedPeers compares new servers on slower machines that fetch an aged snapshot with cold ones, and
// servers that are polled all the time with unpolled ones.
func (m *measurePeers) compareWithRecordedPeers(
	folder string, full harness.Machine, seed int64, snapshot estimate.Snapshot, result *peersResult,
) error {
	addresses := map[time.Duration]string{} // by age of the snapshot, the address that serves it
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

// serveAged serves a snapshot as if it had been taken age ago. The caller must close the server.
func serveAged(snapshot estimate.Snapshot, age time.Duration) (*peersync.Server, error) {
	const now = time.Hour // constant time of the server's clock; later than any age
	server, err := peersync.Listen("127.0.0.1:0", nil, func() time.Duration { return now },
		invariant.New(slog.New(slog.DiscardHandler)))
	if err != nil {
		return nil, err
	}
	server.Publish(snapshot, now-age)
	server.Serve()
	return server, nil
}

// pollPeer fetches from a server at every fetchInterval until quit is closed, and returns the durations of the answered
// fetches.
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
