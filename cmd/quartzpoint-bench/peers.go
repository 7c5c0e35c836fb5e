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

// pairResult is what one seed gave.
type pairResult struct {
	fresh, old, young float64   // value served, over that of the cold twin
	twins             float64   // the same of a second cold twin
	more, twinsMore   []float64 // started more than the cold twin at each moment, with the old snapshot and of the twin
	asked, askedTwins float64   // value served, over that of a server that is not polled
	askBytes          float64   // of a snapshot
	asks              int       // answered
	askTook           time.Duration
	broken            []string
}

const (
	sampleInterval = 250 * time.Millisecond // of the requests started
	fetchInterval  = 100 * time.Millisecond // of a server that is polled all the time
	oldAge         = 5 * time.Minute
	youngAge       = 10 * time.Second
	slow           = 1.0 / 3 // of the full speed of a pool
	heavyLoad      = 1.3     // load of the servers that are polled all the time, and of their twins
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
	results := make([]pairResult, m.Seeds)
	failed := make([]error, m.Seeds)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() { results[i], failed[i] = m.pair(folder, int64(i+1)) })
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return m.report(results)
}

// askPeer is the configuration of a server that fetches from one peer.
func askPeer(address string) string { return fmt.Sprintf("[peers]\nask = [%q]\n", address) }

// pair measures all groups of one seed.
func (m *measurePeers) pair(folder string, seed int64) (result pairResult, err error) {
	full := harness.Machine{Cores: m.Cores, Speed: 1, MemoryKB: kbPerCore * m.Cores}
	snapshot, err := m.besideRunningPeer(folder, full, seed, &result)
	if err != nil {
		return result, err
	}
	result.askBytes = float64(peersync.EncodedSize(snapshot))
	return result, m.besideRecordedPeers(folder, full, seed, snapshot, &result)
}

// besideRunningPeer measures new servers beside a peer that has run for a while and goes on, and returns the snapshot that
// this peer had at their start.
func (m *measurePeers) besideRunningPeer(
	folder string, full harness.Machine, seed int64, result *pairResult,
) (snapshot estimate.Snapshot, err error) {
	peerAddress, err := harness.FreeAddress()
	if err != nil {
		return snapshot, err
	}
	peer := &group{
		name: "peer", machine: full, own: fmt.Sprintf("[peers]\nlisten = %q\n", peerAddress), share: m.Load,
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
	cold := &group{name: "cold", machine: full, share: m.Load, seed: seed}
	fresh := &group{name: "fresh", machine: full, own: askPeer(peerAddress), share: m.Load, seed: seed}
	err = m.together(folder, full, []*group{cold, fresh}, m.Group)
	if err = errors.Join(err, <-peerDone); err != nil {
		return snapshot, err
	}
	for _, g := range []*group{peer, cold, fresh} {
		result.broken = append(result.broken, g.broken()...)
	}
	result.fresh = fresh.honoured() / cold.honoured()
	return snapshot, nil
}

// besideRecordedPeers measures new servers on slower machines that get the snapshot when it has aged, and a server that is
// polled all the time.
func (m *measurePeers) besideRecordedPeers(
	folder string, full harness.Machine, seed int64, snapshot estimate.Snapshot, result *pairResult,
) error {
	recorded := map[time.Duration]string{} // age of the snapshot to the address that serves it
	for _, age := range []time.Duration{oldAge, youngAge} {
		server, err := serveAged(snapshot, age)
		if err != nil {
			return err
		}
		defer server.Close()
		recorded[age] = server.Address()
	}
	slower := full
	slower.Speed *= slow
	slowGroup := func(name, own string) *group {
		return &group{name: name, machine: slower, own: own, share: m.Load, seed: seed}
	}
	cold, twin := slowGroup("slow-cold", ""), slowGroup("slow-twin", "")
	old, young := slowGroup("slow-old", askPeer(recorded[oldAge])), slowGroup("slow-young", askPeer(recorded[youngAge]))
	unpolled := &group{name: "unasked", machine: full, share: heavyLoad, seed: seed}
	unpolledTwin := &group{name: "unasked-twin", machine: full, share: heavyLoad, seed: seed}
	polled := &group{name: "asked", machine: full, listens: true, share: heavyLoad, seed: seed}
	size := max(1, m.Group*3/8)
	took, quit := make(chan []time.Duration, size), make(chan struct{})
	polled.up = func(d *harness.Daemon) { go func() { took <- fetchOften(d.Peers, quit) }() }
	groups := []*group{unpolled, unpolledTwin, polled, cold, twin, old, young}
	err := m.together(folder, full, groups, size)
	close(quit)
	if err != nil {
		return err
	}
	var times []time.Duration
	for range size {
		times = append(times, <-took...)
	}
	slices.Sort(times)
	if len(times) == 0 {
		return errors.New("no fetch was answered")
	}
	for _, g := range groups {
		result.broken = append(result.broken, g.broken()...)
	}
	result.old = old.honoured() / cold.honoured()
	result.young = young.honoured() / cold.honoured()
	result.twins = twin.honoured() / cold.honoured()
	result.more, result.twinsMore = startedMore(old, cold, m.Span), startedMore(twin, cold, m.Span)
	result.asked = polled.honoured() / unpolled.honoured()
	result.askedTwins = unpolledTwin.honoured() / unpolled.honoured()
	result.askTook, result.asks = times[len(times)/2], len(times)
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

// fetchOften fetches ten times a second until quit is closed, and returns how long the answered fetches took.
func fetchOften(address string, quit <-chan struct{}) (took []time.Duration) {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return took
		case <-ticker.C:
			started := time.Now()
			if _, err := peersync.Fetch(context.Background(), address, nil); err == nil {
				took = append(took, time.Since(started))
			}
		}
	}
}
