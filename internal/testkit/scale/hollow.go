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
	First, Count int               // which servers, by their places in Servers
	Servers      []string          // the exchange addresses of the whole fleet
	Via          map[string]string // other addresses that some of them are dialled at
	Members      string            // the membership service
	Asked        int               // how many peers a newcomer is told of; 0 for all others
	Voters       int               // the first so many vote on leases, and want them
	Duties       int               // that are held by lease
	Lease        time.Duration
	Routes       int // that a view tells of
	Seed         int64
}

// HollowState is the state of a hollow process.
type HollowState struct {
	Traffic peersync.Traffic
	Cold    int                 // servers that have no view yet
	Holders map[string][]string // duty to the servers that may act on it now
}

// hollowCommand is one line to a hollow process; it answers each with a HollowState.
type hollowCommand struct {
	Restart int // servers that are stopped and started anew before the answer
}

const (
	viewEach     = time.Second            // between the views that a server leaves for others
	coldFor      = time.Second            // after which a server that got no view has seen enough itself
	askTotal     = 300 * time.Millisecond // for which a newcomer waits for all of its peers
	viewSamples  = 40
	viewMean     = 0.02
	sharedTerms  = 7 // digest of the settings that all hollow servers share
	hollowDrift  = 0.01
	commandLimit = 1 << 20
)

// hollowServer is the control code of one server without a request path: it reports to the membership service, exchanges
// estimates with peers, and votes on leases where it is a voter.
type hollowServer struct {
	spec         *HollowSpec
	index        int
	cancel       context.CancelFunc
	peerServer   *peersync.Server
	leaseManager *leasing.Manager
	warm         atomic.Bool
	over         sync.WaitGroup
}

// RunHollowServers runs a part of a hollow fleet until its input ends. The first line of the input is the HollowSpec.
func RunHollowServers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, commandLimit)
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
	chance := rand.New(rand.NewSource(spec.Seed + int64(spec.First)))
	for lines.Scan() {
		var command hollowCommand
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("hollow: command: %w", err)
		}
		for _, i := range chance.Perm(len(servers))[:min(command.Restart, len(servers))] {
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

// start begins all of the server's control code.
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
	s.over.Go(func() { reporter.Run(ctx, registration.ReportInterval) })
	s.over.Go(func() { s.publishView(ctx, peerServer, now) })
	fetcher := &peersync.Fetcher{
		Peers: s.peers(), FirstWait: askTotal, Schema: s.estimateSchema(), Seed: s.spec.Seed + int64(s.index),
		NeedsEstimates: func() bool { return !s.warm.Load() }, Use: func(estimate.Snapshot) { s.warm.Store(true) },
		Counts: counts, Log: log,
	}
	s.over.Go(func() { fetcher.Run(ctx) })
	return s.startVoter(ctx, log)
}

// withLocalAddress makes connections start at the server's own host, as those of a machine of its own do.
func (s *hollowServer) withLocalAddress(ctx context.Context) context.Context {
	own := netip.MustParseAddrPort(s.address())
	return peersync.WithLocalAddress(ctx, &net.TCPAddr{IP: own.Addr().AsSlice()})
}

// startVoter makes the server a voter where the spec says so.
func (s *hollowServer) startVoter(ctx context.Context, log *slog.Logger) error {
	s.leaseManager = nil
	if s.index >= s.spec.Voters {
		return nil
	}
	var others, duties []string
	for i, address := range s.spec.Servers[:s.spec.Voters] {
		if i != s.index {
			others = append(others, s.peerAddress(address))
		}
	}
	for i := range s.spec.Duties {
		duties = append(duties, fmt.Sprintf("duty-%d", i))
	}
	manager, err := leasing.New(leasing.Options{
		Address: s.address(), Leases: duties, Peers: others, Seed: s.spec.Seed + int64(s.index), Log: log,
		Config: lease.Config{Duration: s.spec.Lease, MaxClockDrift: hollowDrift, Voters: s.spec.Voters},
	})
	if err != nil {
		return err
	}
	s.leaseManager = manager
	s.peerServer.SetVoteHandler(manager.HandleVote)
	s.over.Go(func() { manager.Run(ctx) })
	return nil
}

// stop ends the server as SIGKILL does: nobody is notified.
func (s *hollowServer) stop() {
	if s == nil || s.cancel == nil {
		return
	}
	s.cancel()
	s.peerServer.Close()
	s.over.Wait()
}

func (s *hollowServer) peerAddress(address string) string {
	if via, stated := s.spec.Via[address]; stated {
		return via
	}
	return address
}

// peers returns the servers that this one polls at its start.
func (s *hollowServer) peers() (peers []string) {
	chance := rand.New(rand.NewSource(s.spec.Seed<<16 + int64(s.index)))
	for _, i := range chance.Perm(len(s.spec.Servers)) {
		if i != s.index && (s.spec.Asked == 0 || len(peers) < s.spec.Asked) {
			peers = append(peers, s.peerAddress(s.spec.Servers[i]))
		}
	}
	return peers
}

// estimateSchema returns the schema of all hollow servers with this server's origin.
func (s *hollowServer) estimateSchema() estimate.Schema {
	schema := estimate.Schema{SettingsDigest: sharedTerms, Origin: uint64(s.index) + 1}
	for i := range s.spec.Routes {
		schema.Routes, schema.Deadlines = append(schema.Routes, RouteName(i)), append(schema.Deadlines, 3*time.Second)
	}
	return schema
}

// publishView publishes a view for peers once a second, once the server is warm.
func (s *hollowServer) publishView(ctx context.Context, peerServer *peersync.Server, now func() time.Duration) {
	schema := s.estimateSchema()
	snapshot := estimate.Snapshot{Origin: schema.Origin, SettingsDigest: schema.SettingsDigest}
	seen := estimate.Estimate{Mean: viewMean, Spread: viewMean / 2, Samples: viewSamples}
	for _, name := range schema.Routes {
		snapshot.Routes = append(snapshot.Routes, estimate.RouteEstimates{Name: name, Core: seen, Run: seen})
	}
	ticker := time.NewTicker(viewEach)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now() > coldFor {
			s.warm.Store(true)
		}
		if s.warm.Load() {
			peerServer.Publish(snapshot, now())
		}
	}
}
