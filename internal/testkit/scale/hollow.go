package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"quartzpoint/estimate"
	"quartzpoint/internal/invariant"
	"quartzpoint/internal/leasing"
	"quartzpoint/internal/peersync"
	"quartzpoint/internal/registration"
	"quartzpoint/lease"
)

// HollowSpec is the part of a hollow fleet that a process runs.
type HollowSpec struct {
	First, Count int               // range of the servers that the process runs, as indexes of Servers
	Servers      []string          // peer addresses of the whole fleet
	Via          map[string]string // addresses to dial instead of those in Servers
	Members      string            // address of the membership service
	Asked        int               // number of peers that a starting server fetches estimates from; 0 for all others
	Voters       int               // number of servers that vote on leases and campaign for them, the first of Servers
	Duties       int               // number of leases
	Lease        time.Duration     // duration of a lease
	Routes       int               // number of routes in a snapshot
	Seed         int64
}

// HollowState is the state of a hollow process.
type HollowState struct {
	Traffic peersync.Traffic    // of the process
	Cold    int                 // number of servers that are not warm yet
	Holders map[string][]string // addresses of the servers that hold a lease now, by lease
}

// hollowCommand is one line of input of a hollow process, which answers each with a HollowState.
type hollowCommand struct {
	Restart int // number of servers that are restarted before the answer
}

const (
	snapshotInterval     = time.Second            // between the snapshots that a server publishes for peers
	warmUpDelay          = time.Second            // time after which a server without estimates from peers counts as warm, as it has learned its own
	firstFetchWait       = 300 * time.Millisecond // longest wait for the first answers of all peers
	estimateSamples      = 40
	estimateMean         = 0.02 // seconds
	sharedSettingsDigest = 7    // of all hollow servers, which accept only snapshots with their own digest
	hollowMaxClockDrift  = 0.01
	maxCommandBytes      = 1 << 20
)

// hollowServer is the control code of one server without a request path: it reports to the membership service,
// exchanges estimates with peers, and votes on leases if it is a voter.
type hollowServer struct {
	spec         *HollowSpec
	index        int
	cancel       context.CancelFunc
	peerServer   *peersync.Server
	leaseManager *leasing.Manager
	warm         atomic.Bool
	running      sync.WaitGroup
}

// RunHollowServers runs a part of a hollow fleet until its input ends. The first line of the input is the HollowSpec, each
// further line a hollowCommand.
func RunHollowServers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxCommandBytes)
	if !lines.Scan() {
		return fmt.Errorf("hollow: no spec: %w", errors.Join(io.ErrUnexpectedEOF, lines.Err()))
	}
	spec := &HollowSpec{}
	if err := json.Unmarshal(lines.Bytes(), spec); err != nil {
		return fmt.Errorf("hollow: spec: %w", err)
	}
	servers := make([]*hollowServer, spec.Count)
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	for i := range servers {
		servers[i] = &hollowServer{spec: spec, index: spec.First + i}
		if err := servers[i].start(); err != nil {
			return err
		}
	}
	answer := json.NewEncoder(out)
	if err := answer.Encode(fleetState(servers)); err != nil {
		return err
	}
	rng := rand.New(rand.NewSource(spec.Seed + int64(spec.First)))
	for lines.Scan() {
		var command hollowCommand
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("hollow: command: %w", err)
		}
		for _, i := range rng.Perm(len(servers))[:min(command.Restart, len(servers))] {
			servers[i].stop()
			if err := servers[i].start(); err != nil {
				return err
			}
		}
		if err := answer.Encode(fleetState(servers)); err != nil {
			return err
		}
	}
	return lines.Err()
}

func fleetState(servers []*hollowServer) HollowState {
	state := HollowState{Traffic: peersync.ProcessTraffic(), Holders: map[string][]string{}}
	for _, s := range servers {
		if !s.warm.Load() {
			state.Cold++
		}
		if s.leaseManager == nil {
			continue
		}
		for _, status := range s.leaseManager.Status() {
			if status.Holds {
				state.Holders[status.Lease] = append(state.Holders[status.Lease], s.address())
			}
		}
	}
	return state
}

func (s *hollowServer) address() string { return s.spec.Servers[s.index] }

// start starts all of the server's control code. The server is cold at first.
func (s *hollowServer) start() error {
	log := slog.New(slog.DiscardHandler)
	counts := invariant.New(log)
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	peerServer, err := peersync.Listen(s.address(), nil, now, counts)
	if err != nil {
		return err
	}
	peerServer.Serve()
	s.peerServer = peerServer
	s.warm.Store(false)
	ctx, cancel := context.WithCancel(s.withLocalAddress(context.Background()))
	s.cancel = cancel
	reporter := registration.New(fmt.Sprintf("hollow-%d", s.index), s.spec.Members, log)
	s.running.Go(func() { reporter.Run(ctx, registration.ReportInterval) })
	s.running.Go(func() { s.publishSnapshots(ctx, peerServer, now) })
	fetcher := &peersync.Fetcher{
		Peers: s.peers(), FirstWait: firstFetchWait, Schema: s.estimateSchema(), Seed: s.spec.Seed + int64(s.index),
		NeedsEstimates: func() bool { return !s.warm.Load() }, Use: func(estimate.Snapshot) { s.warm.Store(true) },
		Counts: counts, Log: log,
	}
	s.running.Go(func() { fetcher.Run(ctx) })
	return s.startVoter(ctx, log)
}

// withLocalAddress makes connections originate from the server's own host address, as if it had its own machine.
func (s *hollowServer) withLocalAddress(ctx context.Context) context.Context {
	own := netip.MustParseAddrPort(s.address())
	return peersync.WithLocalAddress(ctx, &net.TCPAddr{IP: own.Addr().AsSlice()})
}

// startVoter makes the server a voter if the spec says so.
func (s *hollowServer) startVoter(ctx context.Context, log *slog.Logger) error {
	s.leaseManager = nil
	if s.index >= s.spec.Voters {
		return nil
	}
	var others, leases []string
	for i, address := range s.spec.Servers[:s.spec.Voters] {
		if i != s.index {
			others = append(others, s.peerAddress(address))
		}
	}
	for i := range s.spec.Duties {
		leases = append(leases, fmt.Sprintf("duty-%d", i))
	}
	manager, err := leasing.New(leasing.Options{
		Address: s.address(), Leases: leases, Peers: others, Seed: s.spec.Seed + int64(s.index), Log: log,
		Config: lease.Config{Duration: s.spec.Lease, MaxClockDrift: hollowMaxClockDrift, Voters: s.spec.Voters},
	})
	if err != nil {
		return err
	}
	s.leaseManager = manager
	s.peerServer.SetVoteHandler(manager.HandleVote)
	s.running.Go(func() { manager.Run(ctx) })
	return nil
}

// stop ends the server without notice to others, as SIGKILL does.
func (s *hollowServer) stop() {
	if s == nil || s.cancel == nil {
		return
	}
	s.cancel()
	s.peerServer.Close()
	s.running.Wait()
}

func (s *hollowServer) peerAddress(address string) string {
	if via, proxied := s.spec.Via[address]; proxied {
		return via
	}
	return address
}

// peers returns the addresses that the server fetches estimates from at its start.
func (s *hollowServer) peers() (peers []string) {
	rng := rand.New(rand.NewSource(s.spec.Seed<<16 + int64(s.index)))
	for _, i := range rng.Perm(len(s.spec.Servers)) {
		if i != s.index && (s.spec.Asked == 0 || len(peers) < s.spec.Asked) {
			peers = append(peers, s.peerAddress(s.spec.Servers[i]))
		}
	}
	return peers
}

// estimateSchema returns the schema of all hollow servers with this server's origin.
func (s *hollowServer) estimateSchema() estimate.Schema {
	schema := estimate.Schema{SettingsDigest: sharedSettingsDigest, Origin: uint64(s.index) + 1}
	for i := range s.spec.Routes {
		schema.Routes, schema.Deadlines = append(schema.Routes, RouteName(i)), append(schema.Deadlines, 3*time.Second)
	}
	return schema
}

// publishSnapshots publishes a snapshot for peers once a second as soon as the server is warm.
func (s *hollowServer) publishSnapshots(ctx context.Context, peerServer *peersync.Server, now func() time.Duration) {
	schema := s.estimateSchema()
	snapshot := estimate.Snapshot{Origin: schema.Origin, SettingsDigest: schema.SettingsDigest}
	learned := estimate.Estimate{Mean: estimateMean, Spread: estimateMean / 2, Samples: estimateSamples}
	for _, name := range schema.Routes {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{Name: name, Core: learned, Run: learned})
	}
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now() > warmUpDelay {
			s.warm.Store(true)
		}
		if s.warm.Load() {
			peerServer.Publish(snapshot, now())
		}
	}
}
